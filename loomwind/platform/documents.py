"""Decodes the platform's configuration and server entries into :mod:`loomwind.serving.views`."""

import math
import re
from ipaddress import AddressValueError, IPv4Address
from typing import Annotated, Literal

from msgspec import Meta, Struct

from loomwind.decoding import DecodeError, decode_json
from loomwind.serving.ports import DocumentParser, MalformedDocument
from loomwind.serving.views import (
    CallerLimits,
    Configuration,
    EngineProfile,
    HeldModel,
    ModelProfile,
    RequestKind,
    RouteRule,
    ServerEntry,
    ServerState,
    ServiceProfile,
    WeightedService,
)
from loomwind.settings import Address

MAX_PORT = 65_535
# The largest integer that peer messages can carry.
MAX_INTEGER = 2**63 - 1
MAX_SLOTS = 1_000_000
MAX_REMAINING_MS = 86_400_000.0
# How long clients wait for the next event of a stream, by the platform's specification.
MIN_EVENT_TIMEOUT_MS = 2000.0
EVENT_TIMEOUT_LATENCY_FACTOR = 4.0
EVENT_TIMEOUT_GAP_FACTOR = 8.0


WireState = Literal["ready", "draining"]
Count = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
SlotCount = Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
RemainingMs = Annotated[float, Meta(ge=0, le=MAX_REMAINING_MS)]


class WireWeightedService(Struct):
    """A service that gets a weighted share of a route's requests."""

    service: str
    weight: float


class WireRoute(Struct, rename="kebab"):
    """A route of the configuration.

    :param kind: the value of a :class:`RequestKind`.
    :param target_latency_ms: latency objective for the response, or for a stream's first event.
    :param service: the only service of the route; unused when there is a traffic split.
    :param resumable: whether an interrupted stream may be continued at another server.
    :param gap_aim_ms: objective for the gap between events of a stream; 0 for none.
    """

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float
    priority: Count = 0
    service: str = ""
    traffic_split: list[WireWeightedService] = []
    max_attempts: Count = 1
    sticky_sessions: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0.0


class WireModel(Struct, rename="kebab"):
    """A model that an engine can load.

    :param load_time_s: load time from the weight store.
    :param adapters: the number of its adapters.
    :param warm_s: load time from a copy in the server's host memory.
    :param disk_load_s: load time from a copy on the server's disk.
    """

    name: str
    weights_mb: float
    load_time_s: float
    adapters: Count = 0
    adapter_mb: float = 0.0
    warm_s: float | None = None
    disk_load_s: float | None = None


class WireEngine(Struct, rename="kebab"):
    """Capacity of each model server of a service.

    :param weights_mb: accelerator memory for weights and adapters together.
    :param loads_per_s: rate limit of the weight store over all servers.
    """

    weights_mb: float = 0.0
    adapter_slots: Count = 0
    loads_per_s: float = 0.0
    slots: SlotCount = 1
    models: list[WireModel] = []


class WireService(Struct, rename="kebab"):
    """A service of the configuration.

    :param max_conns: the maximum number of connections that each server accepts.
    :param engine: None when its servers do not load models.
    """

    name: str
    health_path: str = ""
    max_conns: Count = 64
    engine: WireEngine | None = None


class WireLimits(Struct, rename="kebab"):
    """Limits on the requests and connections of clients."""

    max_header_bytes: Count = 16384
    max_body_bytes: Count = 4194304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class WireConfiguration(Struct, rename="kebab"):
    """The document that holds the configuration."""

    version: Count
    routes: list[WireRoute]
    services: list[WireService]
    limits: WireLimits


class WireHeldModel(Struct, rename="kebab"):
    """A loaded model with its loaded adapters."""

    name: str
    adapters: list[str] = []


class WireServer(Struct, rename="kebab"):
    """A server's entry in the list of servers.

    :param seq: the number of orders that this process has accepted.
    :param remaining_ms: time until a server leaving at short notice is gone.
    :param born: start of its process, in milliseconds of Unix time.
    :param version: the version of its software.
    """

    service: str
    address: Address
    zone: str
    state: WireState
    slots: SlotCount = 1
    seq: Count = 0
    models: list[WireHeldModel] = []
    remaining_ms: RemainingMs | None = None
    born: Count | None = None
    version: str | int | None = None


class PlatformDocumentParser(DocumentParser):
    """Decodes the platform's JSON documents."""

    def parse_configuration(self, value: bytes) -> Configuration:
        """Decode a configuration; see :meth:`DocumentParser.parse_configuration`."""
        try:
            wire = decode_json(value, WireConfiguration)
            return Configuration(
                version=wire.version,
                routes=tuple(_convert_route(route) for route in wire.routes),
                services=tuple(_convert_service(service) for service in wire.services),
                limits=CallerLimits(
                    wire.limits.max_header_bytes,
                    wire.limits.max_body_bytes,
                    wire.limits.header_timeout_ms / 1000,
                    wire.limits.idle_timeout_ms / 1000,
                ),
            )
        except (DecodeError, ValueError) as error:
            raise MalformedDocument(f"configuration: {error}") from error

    def parse_server(self, name: str, value: bytes) -> ServerEntry:
        """Decode a server's entry; see :meth:`DocumentParser.parse_server`."""
        try:
            wire = decode_json(value, WireServer)
        except DecodeError as error:
            raise MalformedDocument(f"server {name}: {error}") from error
        if not _is_valid_address(wire.address):
            raise MalformedDocument(f"server {name}: invalid address {wire.address}")
        return ServerEntry(
            name=name,
            service=wire.service,
            address=wire.address,
            zone=wire.zone,
            slots=wire.slots,
            state=ServerState(wire.state),
            revision=wire.seq,
            held=convert_held_models(wire.models),
            remaining_seconds=None if wire.remaining_ms is None else wire.remaining_ms / 1000,
            started_at_ms=wire.born,
            software_version="" if wire.version is None else str(wire.version),
        )


def _is_valid_address(address: str) -> bool:
    """Whether an address has a valid port, and a valid IPv4 address if its host looks like one."""
    host, _, port = address.rpartition(":")
    if not 0 < int(port) <= MAX_PORT:
        return False
    if not re.fullmatch(r"[0-9.]+", host):
        return True
    try:
        IPv4Address(host)
    except AddressValueError:
        return False
    return True


def convert_held_models(models: list[WireHeldModel]) -> tuple[HeldModel, ...]:
    """Convert the loaded models of an entry or a report."""
    return tuple(HeldModel(model.name, tuple(model.adapters)) for model in models)


def _convert_route(wire: WireRoute) -> RouteRule:
    parts = tuple(WeightedService(part.service, part.weight) for part in wire.traffic_split)
    return RouteRule(
        name=wire.name,
        host=wire.host,
        prefix=wire.path_prefix,
        kind=RequestKind(wire.kind),
        parts=parts or (WeightedService(wire.service, 1.0),),
        timeout_seconds=wire.timeout_ms / 1000,
        objective_seconds=wire.target_latency_ms / 1000,
        max_attempts=wire.max_attempts,
        priority=wire.priority,
        sticky=wire.sticky_sessions,
        resumable=wire.resumable,
        gap_objective_seconds=wire.gap_aim_ms / 1000,
        event_timeout_seconds=_event_timeout_ms(wire) / 1000,
    )


def _event_timeout_ms(wire: WireRoute) -> float:
    """Return how long clients wait for the next event of a stream; infinite for other kinds."""
    if RequestKind(wire.kind) is not RequestKind.STREAMING:
        return math.inf
    from_objective_ms = EVENT_TIMEOUT_LATENCY_FACTOR * wire.target_latency_ms
    return max(MIN_EVENT_TIMEOUT_MS, from_objective_ms, EVENT_TIMEOUT_GAP_FACTOR * wire.gap_aim_ms)


def _convert_service(wire: WireService) -> ServiceProfile:
    engine = None if wire.engine is None else _convert_engine(wire.engine)
    return ServiceProfile(wire.name, wire.health_path, wire.max_conns, engine)


def _convert_engine(wire: WireEngine) -> EngineProfile:
    return EngineProfile(
        memory_mb=wire.weights_mb,
        adapter_slots=wire.adapter_slots,
        loads_per_second=wire.loads_per_s,
        models=tuple(_convert_model(model) for model in wire.models),
        slots=wire.slots,
    )


def _convert_model(wire: WireModel) -> ModelProfile:
    return ModelProfile(
        name=wire.name,
        memory_mb=wire.weights_mb,
        load_seconds=wire.load_time_s,
        memory_load_seconds=wire.load_time_s if wire.warm_s is None else wire.warm_s,
        disk_load_seconds=wire.load_time_s if wire.disk_load_s is None else wire.disk_load_s,
        adapters=wire.adapters,
        adapter_mb=wire.adapter_mb,
    )
