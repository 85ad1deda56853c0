"""Immutable views of what a daemon is told: configuration, servers, and requests.

These are the product's own terms; an adapter turns whatever a deployment speaks into them. Read
this module first. Times are in seconds, memory is in MB (10**6 bytes) unless a name says otherwise.
"""

import enum
import math
from functools import cached_property

from msgspec import Struct


class RequestKind(enum.Enum):
    """What may be done with a request of a route when its fate is unknown."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class WeightedService(Struct, frozen=True):
    """One part of a split route."""

    service: str
    weight: float


class RouteRule(Struct, frozen=True):
    """Sends requests of a host whose path starts with ``prefix`` to a service.

    :param parts: the services, with the weight of each; at least one.
    :param timeout_seconds: the longest that a request may be held.
    :param objective_seconds: the time within which an answer (a stream: its first event) counts.
    :param max_attempts: the largest number of servers that may run one request.
    :param priority: 0 is the most urgent.
    :param resumable: whether a stream that was cut may be continued at another server.
    :param gap_objective_seconds: the longest pause between events; 0 when none is given.
    :param patience_seconds: how long its callers wait for the next event of a stream.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    parts: tuple[WeightedService, ...]
    timeout_seconds: float
    objective_seconds: float
    max_attempts: int = 1
    priority: int = 0
    sticky: bool = False
    resumable: bool = False
    gap_objective_seconds: float = 0.0
    event_timeout_seconds: float = math.inf

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


class ModelProfile(Struct, frozen=True):
    """A model of a service.

    :param memory_mb: accelerator memory of its weights.
    :param load_seconds: a load from the weight store.
    :param memory_load_seconds: a load from a copy in the server's host memory.
    :param disk_load_seconds: a load from a copy on the server's disk.
    :param adapters: how many adapters it has.
    """

    name: str
    memory_mb: float
    load_seconds: float
    memory_load_seconds: float
    disk_load_seconds: float
    adapters: int = 0
    adapter_mb: float = 0.0


class EngineProfile(Struct, frozen=True, dict=True):
    """What each model server of a service can hold.

    :param memory_mb: accelerator memory for weights and adapters together.
    :param adapter_slots: how many adapters may be loaded at once.
    :param loads_per_second: what the weight store allows over all servers.
    :param models: in the configuration's order.
    """

    memory_mb: float
    adapter_slots: int
    loads_per_second: float
    models: tuple[ModelProfile, ...]
    slots: int = 1

    @cached_property
    def _by_name(self) -> dict[str, ModelProfile]:
        return {model.name: model for model in self.models}

    @cached_property
    def positions(self) -> dict[str, int]:
        """Return the place of each model in the configuration's order, by its name."""
        return {model.name: position for position, model in enumerate(self.models)}

    def model(self, name: str) -> ModelProfile | None:
        """Return the model of that name, or None."""
        return self._by_name.get(name)


class ServiceProfile(Struct, frozen=True):
    """A service: servers that answer the same requests.

    :param max_connections: how many connections each server accepts from all callers together.
    :param engine: given when its servers load models.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineProfile | None = None


class CallerLimits(Struct, frozen=True):
    """What the configuration allows callers."""

    max_head_bytes: int
    max_body_bytes: int
    head_timeout_seconds: float
    idle_timeout_seconds: float


class Configuration(Struct, frozen=True):
    """One version of the configuration, in whole."""

    version: int
    routes: tuple[RouteRule, ...]
    services: tuple[ServiceProfile, ...]
    limits: CallerLimits

    def service(self, name: str) -> ServiceProfile | None:
        """Return the service of that name, or None."""
        return next((service for service in self.services if service.name == name), None)


class ServerState(enum.Enum):
    """What a server says of itself."""

    READY = "ready"
    DRAINING = "draining"


class ServerEntry(Struct, frozen=True):
    """A server as the directory lists it.

    :param name: stays when the server's process starts again.
    :param revision: how many orders it has taken in this life.
    :param held: the models it holds, with their adapters.
    :param remaining_seconds: for one that leaves at short notice: the time until it is gone.
    :param born_ms: when its process started, since 1970; None where servers do not say.
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int
    state: ServerState
    revision: int = 0
    held: tuple["HeldModel", ...] = ()
    remaining_seconds: float | None = None
    started_at_ms: int | None = None

    @property
    def instance(self) -> str:
        """Return what names this one life of the server's process."""
        return self.name if self.started_at_ms is None else f"{self.name}@{self.started_at_ms}"

    def is_older_than(self, other: "ServerEntry") -> bool:
        """Whether this is an earlier life of the same server."""
        if self.started_at_ms is None or other.started_at_ms is None:
            return False
        return self.name == other.name and self.started_at_ms < other.started_at_ms


class HeldModel(Struct, frozen=True, array_like=True):
    """A model that a server holds, ready to run."""

    name: str
    adapters: tuple[str, ...] = ()


class ServerReport(Struct, frozen=True):
    """What a model server says when it is asked.

    :param busy: whether it carries out an order.
    :param pending_adapters: adapters on their way, as ``(model, adapter)``.
    :param in_memory: models with a copy in host memory.
    :param on_disk: models with a copy on its disk.
    :param born_ms: when its process started, since 1970; None where servers do not say.
    """

    revision: int
    busy: bool
    held: tuple[HeldModel, ...]
    waiting: int = 0
    running: int = 0
    kv_used: int = 0
    kv_total: int = 0
    pending_adapters: tuple["ModelKey", ...] = ()
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    started_at_ms: int | None = None


class ModelKey(Struct, frozen=True, order=True, array_like=True):
    """A model, or one of its adapters."""

    model: str
    adapter: str = ""

    def __str__(self) -> str:
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


class PromptPart(Struct, frozen=True):
    """A part of a prompt; the same identity means the same text."""

    identity: str
    tokens: int


class CallerRequest(Struct, frozen=True):
    """What a request's headers say, in the product's terms.

    :param remaining_seconds: how long the caller will wait; None when it does not say.
    :param target: the model that it needs; None on services without models.
    :param last_event_id: where a resumed stream goes on; None for a new one.
    """

    request_id: str
    host: str
    remaining_seconds: float | None
    target: ModelKey | None = None
    prompt_tokens: int = 0
    max_new_tokens: int = 0
    prompt: tuple[PromptPart, ...] = ()
    last_event_id: str | None = None

    @property
    def unique_part(self) -> str:
        """Return what names the part of the prompt that no other request has; empty for none.

        It stays when the caller asks again.
        """
        return self.prompt[-1].identity if self.prompt else ""


class OrderKind(enum.Enum):
    """What a model server is told to do."""

    LOAD = "load"
    UNLOAD = "unload"


class Order(Struct, frozen=True):
    """An order to one life of a model server.

    :param fence: rises with each change of the leader; a server refuses a lower one.
    :param expected_revision: carried out only while the server is at this revision.
    """

    kind: OrderKind
    target: ModelKey
    instance: str
    holder: str
    fence: int
    expected_revision: int


class OrderAnswer(enum.Enum):
    """What a model server says to an order."""

    ACCEPTED = "accepted"
    ALREADY = "already"
    CONFLICT = "conflict"
    FENCED = "fenced"
    OTHER_INSTANCE = "other-instance"
    REJECTED = "rejected"
    UNKNOWN = "unknown"
