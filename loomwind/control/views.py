"""Immutable inputs and results of the placement functions; memory in MiB, times in seconds."""

from msgspec import Struct

from loomwind.catalog.model import Catalog
from loomwind.engines.protocol import CheckpointTier
from loomwind.schema import Artifact

# Load time from each tier relative to a load from the weight store.
RELOAD_TIME_FACTORS = {
    CheckpointTier.MEMORY: 0.05,
    CheckpointTier.DISK: 0.3,
    CheckpointTier.REMOTE: 1.0,
}


class EngineView(Struct, frozen=True):
    """State of one engine, as input of placement.

    :param usable: whether new artifacts may be loaded on the engine.
    :param contents_unknown: whether the engine has not been read in this generation and may still
        be running.
    :param held: the artifacts that the engine may hold, with the memory reserved for each.
    :param ready: the artifacts that can serve requests.
    :param in_transition: the held artifacts that are not ready.
    :param unloading: the artifacts that are being unloaded; their memory will become free.
    """

    engine: str
    instance: str
    zone: str
    memory_mib: int
    concurrency: int
    usable: bool
    contents_unknown: bool
    held: dict[Artifact, int]
    ready: frozenset[Artifact]
    in_transition: frozenset[Artifact]
    unloading: frozenset[Artifact]
    tiers: dict[Artifact, CheckpointTier]

    @property
    def free_mib(self) -> int:
        """The memory that is not reserved."""
        return self.memory_mib - sum(self.held.values())

    def reload_seconds(self, artifact: Artifact, load_seconds: float) -> float:
        """Return the load time of an artifact on this engine, given the tier of its weights."""
        return load_seconds * RELOAD_TIME_FACTORS[self.tiers.get(artifact, CheckpointTier.REMOTE)]


class DemandView(Struct, frozen=True):
    """Queued and running requests of one group for one artifact, over all routers."""

    artifact: Artifact
    group: str
    waiting: int
    running: int
    nearest_deadline_seconds: float


class UsageView(Struct, frozen=True):
    """Usage of an artifact.

    :param idle_seconds: the time since the last request.
    :param keep_seconds: the idle time after which a replica is unloaded.
    :param preload: whether to load the artifact now, ahead of its predicted next request.
    """

    idle_seconds: float
    keep_seconds: float
    preload: bool = False


class ClusterView(Struct, frozen=True):
    """The complete input of placement."""

    catalog: Catalog
    engines: tuple[EngineView, ...]
    demand: tuple[DemandView, ...]
    usage: dict[Artifact, UsageView]
    remote_loads_allowed: int


class Load(Struct, frozen=True):
    """Decision to load an artifact on one instance of an engine."""

    engine: str
    instance: str
    artifact: Artifact
    memory_mib: int
    remote: bool


class Unload(Struct, frozen=True):
    """Decision to unload an artifact from an engine."""

    engine: str
    artifact: Artifact


class Plan(Struct, frozen=True):
    """Loads and unloads to start now.

    :param waiting: the artifacts that wait for memory or for the weight store, most urgent first.
    """

    loads: tuple[Load, ...] = ()
    unloads: tuple[Unload, ...] = ()
    waiting: tuple[Artifact, ...] = ()
