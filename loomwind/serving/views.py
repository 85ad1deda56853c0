"""Immutable data types for configuration, servers and requests.

They do not depend on the deployment's formats; an adapter converts these. Times are in seconds and
memory is in MB (10**6 bytes) unless a name says otherwise.
"""

import enum
import math
from functools import cached_property

from msgspec import Struct


class RequestKind(enum.Enum):
    """Whether requests of a route may be retried after a failure with an unknown outcome."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class WeightedService(Struct, frozen=True):
    """A service that gets a weighted share of a route's requests."""

    service: str
    weight: float


class RouteRule(Struct, frozen=True):
    """Sends requests of a host whose path starts with ``prefix`` to a service.

    :param parts: the services and their weights; at least one.
    :param timeout_seconds: the maximum time from the arrival of a request to its response.
    :param objective_seconds: latency objective for the response, or for a stream's first event.
    :param max_attempts: the maximum number of servers that may run one request.
    :param priority: 0 is the most urgent.
    :param resumable: whether an interrupted stream may be continued at another server.
    :param gap_objective_seconds: objective for the gap between events of a stream; 0 for none.
    :param event_timeout_seconds: how long callers wait for the next event of a stream.
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
    """Size and load times of a model.

    :param memory_mb: accelerator memory for its weights.
    :param load_seconds: load time from the weight store.
    :param memory_load_seconds: load time from a copy in the server's host memory.
    :param disk_load_seconds: load time from a copy on the server's disk.
    :param adapters: the number of its adapters.
    :param adapter_mb: accelerator memory for one adapter.
    """

    name: str
    memory_mb: float
    load_seconds: float
    memory_load_seconds: float
    disk_load_seconds: float
    adapters: int = 0
    adapter_mb: float = 0.0


class EngineProfile(Struct, frozen=True, dict=True):
    """Capacity of each model server of a service, and the models that it can load.

    :param memory_mb: accelerator memory for weights and adapters together.
    :param adapter_slots: the maximum number of loaded adapters.
    :param loads_per_second: rate limit of the weight store over all servers.
    :param models: the models that its servers can load; their order means nothing.
    """

    memory_mb: float
    adapter_slots: int
    loads_per_second: float
    models: tuple[ModelProfile, ...]
    slots: int = 1

    @cached_property
    def _by_name(self) -> dict[str, ModelProfile]:
        return {model.name: model for model in self.models}

    def model(self, name: str) -> ModelProfile | None:
        """Return the model with a name, or None."""
        return self._by_name.get(name)


class ServiceProfile(Struct, frozen=True):
    """A group of interchangeable servers.

    :param max_connections: the maximum number of connections that each server accepts.
    :param engine: None when its servers do not load models.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineProfile | None = None


class CallerLimits(Struct, frozen=True):
    """Size and time limits for the connections of callers."""

    max_head_bytes: int
    max_body_bytes: int
    head_timeout_seconds: float
    idle_timeout_seconds: float


class Configuration(Struct, frozen=True):
    """A complete version of the configuration."""

    version: int
    routes: tuple[RouteRule, ...]
    services: tuple[ServiceProfile, ...]
    limits: CallerLimits

    def service(self, name: str) -> ServiceProfile | None:
        """Return the service with a name, or None."""
        return next((service for service in self.services if service.name == name), None)


class ServerState(enum.Enum):
    """The state that a server publishes in its directory entry."""

    READY = "ready"
    DRAINING = "draining"


class ServerEntry(Struct, frozen=True):
    """A server's entry in the directory.

    :param name: stable across restarts of the server's process.
    :param revision: the number of orders that this process has accepted.
    :param held: the loaded models, with their adapters.
    :param remaining_seconds: time until a server leaving at short notice is gone; None otherwise.
    :param started_at_ms: start of its process, in Unix time; None when servers do not publish it.
    :param software_version: the version of the server's software, which is not that of its models;
        empty when servers do not publish it.
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
    software_version: str = ""

    @property
    def instance(self) -> str:
        """Return the identifier of this process of the server, which changes at a restart."""
        return self.name if self.started_at_ms is None else f"{self.name}@{self.started_at_ms}"

    def is_older_than(self, other: "ServerEntry") -> bool:
        """Whether this is an earlier process of the same server."""
        if self.started_at_ms is None or other.started_at_ms is None:
            return False
        return self.name == other.name and self.started_at_ms < other.started_at_ms


class HeldModel(Struct, frozen=True, array_like=True):
    """A model that is loaded and ready at a server, with its loaded adapters."""

    name: str
    adapters: tuple[str, ...] = ()


class ServerReport(Struct, frozen=True):
    """A model server's response to a state query.

    :param busy: whether it is executing an order.
    :param pending_adapters: adapters that are being loaded.
    :param in_memory: models with a copy in host memory.
    :param on_disk: models with a copy on its disk.
    :param started_at_ms: start of its process, in Unix time; None when servers do not publish it.
    :param max_rejections_per_second: it falls over when it rejects more requests than this; None
        for a server that does not say so.
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
    max_rejections_per_second: int | None = None


class ModelKey(Struct, frozen=True, order=True, array_like=True):
    """Identifies a model, or one of its adapters when ``adapter`` is not empty."""

    model: str
    adapter: str = ""

    def __str__(self) -> str:
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


class PromptPart(Struct, frozen=True):
    """A part of a prompt; parts with equal identities have equal text."""

    identity: str
    tokens: int


class CallerRequest(Struct, frozen=True):
    """The parsed headers of a request.

    :param remaining_seconds: the caller's timeout; None when it sends none.
    :param target: the model or adapter that it needs; None for services without models.
    :param last_event_id: the event after which a stream resumes; None for a new stream.
    :param origin_id: the request ID of the caller's attempt that brought a resumed stream's first
        event; None for a new stream.
    :param fingerprint: what all attempts at the same request share, whatever their IDs.
    """

    request_id: str
    host: str
    remaining_seconds: float | None
    target: ModelKey | None = None
    prompt_tokens: int = 0
    max_new_tokens: int = 0
    prompt: tuple[PromptPart, ...] = ()
    last_event_id: str | None = None
    origin_id: str | None = None
    fingerprint: str = ""

    @property
    def unique_part(self) -> str:
        """Return the identity of the last part of the prompt, which no other request shares.

        It is the same when the caller retries, and empty when there is no prompt.
        """
        return self.prompt[-1].identity if self.prompt else ""


class OrderKind(enum.Enum):
    """The operation of an order."""

    LOAD = "load"
    UNLOAD = "unload"


class Order(Struct, frozen=True):
    """An order to one process of a model server to load or unload a model or adapter.

    :param holder: the leader that issues it.
    :param fence: fencing token that rises with each change of leader; servers reject lower ones.
    :param expected_revision: the server executes it only at this revision.
    """

    kind: OrderKind
    target: ModelKey
    instance: str
    holder: str
    fence: int
    expected_revision: int


class OrderAnswer(enum.Enum):
    """A model server's response to an order.

    OTHER_INSTANCE: another server responded. MISSING_TARGET: the server does not hold what the
    order refers to, such as the model of an adapter. EXPIRED: it was not sent, since its sender did
    not lead any more.
    """

    ACCEPTED = "accepted"
    ALREADY = "already"
    CONFLICT = "conflict"
    FENCED = "fenced"
    OTHER_INSTANCE = "other-instance"
    MISSING_TARGET = "missing-target"
    REJECTED = "rejected"
    EXPIRED = "expired"
    UNKNOWN = "unknown"
