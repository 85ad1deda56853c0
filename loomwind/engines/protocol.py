"""Headers and message bodies of the engines' HTTP protocol.

``POST /v1/fence``   raises the fence and returns the inventory.
``POST /v1/orders``  executes one fenced order and answers when it is done.
``GET /v1/status``   returns the load report and whether the engine is leaving.
``GET /v1/cache-events?after=N`` returns cache events, delayed and with gaps.
``POST /v1/chat/completions`` runs a request; ``DELETE /v1/requests/ID`` cancels it. An engine
without the artifact answers 409, one that accepts no requests 503, both with
``x-outcome: not-run``.
"""

import enum

from msgspec import Struct

from loomwind.messages import Ballot
from loomwind.schema import Artifact

# Headers exchanged with engines and application servers; names are in lower case.
REQUEST_ID_HEADER = "x-request-id"
ARTIFACT_HEADER = "x-artifact"
PRIORITY_HEADER = "x-priority"
RESUME_HEADER = "x-resume-from-byte"
OUTCOME_HEADER = "x-outcome"
STATE_HEADER = "x-backend-state"
LEAVING = "leaving"
NOT_RUN = "not-run"


class Fence(Struct, frozen=True, order=True, array_like=True):
    """Fencing token of an order: generation, ballot, and the controller's sequence number."""

    generation: int = 0
    ballot: Ballot = Ballot()
    sequence: int = 0


class Action(enum.Enum):
    """The action that an order requests."""

    LOAD = "load"
    UNLOAD = "unload"
    SET_ROLE = "set-role"


class Order(Struct, frozen=True):
    """A fenced order to one instance of an engine.

    :param instance: the engine process that the order is for; any other refuses it.
    :param memory_mib: the memory that the artifact needs, in MiB.
    :param load_seconds: the load time from the weight store, in seconds.
    """

    fence: Fence
    instance: str
    action: Action
    artifact: Artifact
    memory_mib: int = 0
    load_seconds: float = 0.0
    role: str = ""


class ReplicaState(enum.Enum):
    """The state of an artifact that an engine has allocated memory for."""

    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"


class CheckpointTier(enum.Enum):
    """The storage tiers of an artifact's weights, fastest first."""

    MEMORY = "memory"
    DISK = "disk"
    REMOTE = "remote"


class InventoryItem(Struct, frozen=True):
    """An artifact that an engine has allocated memory for."""

    artifact: Artifact
    state: ReplicaState
    memory_mib: int


class CheckpointItem(Struct, frozen=True):
    """An artifact whose weights an engine has in a storage tier."""

    artifact: Artifact
    tier: CheckpointTier


class Inventory(Struct, frozen=True):
    """The artifacts and checkpoints of an engine, and the highest fence that it has accepted."""

    instance: str
    fence: Fence
    memory_mib: int
    concurrency: int
    leaving: bool
    items: tuple[InventoryItem, ...] = ()
    checkpoints: tuple[CheckpointItem, ...] = ()


class FenceRequest(Struct, frozen=True):
    """Asks an engine to refuse all orders with a lower fence."""

    fence: Fence


class OrderResult(enum.Enum):
    """The result of an order."""

    DONE = "done"
    STALE = "stale"
    WRONG_INSTANCE = "wrong-instance"
    NO_MEMORY = "no-memory"
    FAILED = "failed"


class OrderAnswer(Struct, frozen=True):
    """An engine's answer to an order, with its inventory after the order."""

    result: OrderResult
    inventory: Inventory
    detail: str = ""


class StatusReport(Struct, frozen=True):
    """An engine's load report, which lags behind.

    :param running: the number of requests that are generating.
    :param waiting: the number of requests that wait in the engine.
    """

    instance: str
    leaving: bool
    running: int = 0
    waiting: int = 0


class CacheEvent(Struct, frozen=True):
    """A prompt prefix was added to or evicted from an engine's cache."""

    sequence: int
    prefix: str
    cached: bool


class CacheEvents(Struct, frozen=True):
    """The cache events after the requested sequence number."""

    events: tuple[CacheEvent, ...]
