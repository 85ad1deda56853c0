"""Immutable views that the decision functions work on. Memory in MiB, times in seconds."""

from msgspec import Struct

from loomwind.catalog.model import Catalog
from loomwind.engines.protocol import CheckpointTier
from loomwind.schema import Artifact

RELOAD_TIME_FACTORS = {
    CheckpointTier.MEMORY: 0.05,
    CheckpointTier.DISK: 0.3,
    CheckpointTier.REMOTE: 1.0,
}


class EngineView(Struct, frozen=True):
    """One engine as placement sees it.

    :param usable: whether new work may be placed here.
    :param may_hold_anything: it was never read in this generation and is not known to be gone.
    :param held: all that it may hold, with the memory reserved for each.
    :param ready: what serves there now.
    :param busy: what is being loaded or unloaded there.
    :param unloading: what is being unloaded there, so that its memory comes free.
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
        """Return the memory that is not reserved."""
        return self.memory_mib - sum(self.held.values())

    def reload_seconds(self, artifact: Artifact, load_seconds: float) -> float:
        """Return how long a load here would take, given where the weights are."""
        return load_seconds * RELOAD_TIME_FACTORS[self.tiers.get(artifact, CheckpointTier.REMOTE)]


class DemandView(Struct, frozen=True):
    """What callers want of one artifact, over all routers."""

    artifact: Artifact
    group: str
    waiting: int
    running: int
    nearest_deadline_seconds: float


class UsageView(Struct, frozen=True):
    """How an artifact was used.

    :param idle_seconds: time since its last request.
    :param keep_seconds: how long an idle replica is worth keeping.
    :param preload: whether its next request is expected so soon that it should be loaded.
    """

    idle_seconds: float
    keep_seconds: float
    preload: bool = False


class ClusterView(Struct, frozen=True):
    """All that placement decides on."""

    catalog: Catalog
    engines: tuple[EngineView, ...]
    demand: tuple[DemandView, ...]
    usage: dict[Artifact, UsageView]
    remote_loads_allowed: int


class Load(Struct, frozen=True):
    """Decision to load an artifact on one life of an engine."""

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
    """What to do now, and what waits for memory or for the weight store, in order."""

    loads: tuple[Load, ...] = ()
    unloads: tuple[Unload, ...] = ()
    waiting: tuple[Artifact, ...] = ()
