"""Placement: which artifacts are loaded where. Pure functions over typed views.

Rules, in this order: never more replicas than the model's limit, counting whatever an engine may
hold; never more memory than an engine has; who waits goes before who may come; higher priority
first, then the group that has least of its share, then the nearest deadline, then the longest load:
among equally urgent ones that makes the last of a burst ready soonest.
"""

import math
from collections import defaultdict

from msgspec import Struct

from loomwind.catalog.model import Catalog
from loomwind.control.views import (
    ClusterView,
    DemandView,
    EngineView,
    Load,
    Plan,
    Unload,
)
from loomwind.engines.protocol import CheckpointTier
from loomwind.schema import Artifact

UNUSED_KEEP_SECONDS = 60.0
DEADLINE_STEP_SECONDS = 2.0


class _Urgency(Struct, frozen=True, order=True):
    """What loads are ordered by; the lowest goes first."""

    negative_priority: int
    use_of_share: float
    deadline_step: int
    negative_load_seconds: float
    artifact: Artifact


class _Draft:
    """The cluster as it will be, while one plan is made."""

    def __init__(self, view: ClusterView) -> None:
        self.view = view
        self.engines = {engine.engine: engine for engine in view.engines}
        self.free = {engine.engine: engine.free_mib for engine in view.engines}
        # Memory once the unloads under way are done, less what waiting artifacts will take of it.
        self.future = {
            engine.engine: engine.free_mib + sum(engine.held[a] for a in engine.unloading)
            for engine in view.engines
        }
        self.holders: dict[Artifact, set[str]] = defaultdict(set)
        for engine in view.engines:
            for artifact in engine.held:
                self.holders[artifact].add(engine.engine)
        self.unknown = sum(engine.contents_unknown for engine in view.engines)
        self.remote_left = view.remote_loads_allowed
        self.loads: list[Load] = []
        self.unloads: list[Unload] = []
        self.waiting: list[Artifact] = []
        self.wanted = _wanted_replicas(view)

    def replicas(self, artifact: Artifact) -> int:
        """Return how many replicas of an artifact there may be at most."""
        return len(self.holders[artifact]) + self.unknown

    def leaving_soon(self, engine: str) -> set[Artifact]:
        """Return what this plan already unloads from an engine."""
        return {unload.artifact for unload in self.unloads if unload.engine == engine}


def plan(view: ClusterView) -> Plan:
    """Return what to load and unload now."""
    draft = _Draft(view)
    for artifact in _loading_order(draft):
        _place(draft, artifact)
    _retire(draft)
    return Plan(tuple(draft.loads), tuple(draft.unloads), tuple(draft.waiting))


def _wanted_replicas(view: ClusterView) -> dict[Artifact, int]:
    """Return how many replicas of each artifact the demand asks for, within its limit."""
    concurrency = max((engine.concurrency for engine in view.engines), default=1)
    load: dict[Artifact, int] = defaultdict(int)
    for demand in view.demand:
        active = demand.waiting + demand.running
        load[demand.artifact] += active
        if demand.artifact.adapter:
            load[demand.artifact.base] += active
    wanted = {}
    for artifact, active in load.items():
        needed = math.ceil(active / max(concurrency, 1))
        wanted[artifact] = min(needed, view.catalog.max_replicas(artifact))
    for artifact in _successors(view):
        wanted[artifact] = max(wanted.get(artifact, 0), 1)
    for artifact, usage in view.usage.items():
        if usage.preload and view.catalog.max_replicas(artifact) > 0:
            wanted[artifact] = max(wanted.get(artifact, 0), 1)
    return wanted


def _successors(view: ClusterView) -> set[Artifact]:
    """Return the current versions of models of which the previous one is loaded and in use."""
    successors = set()
    for engine in view.engines:
        for artifact in engine.ready:
            model = view.catalog.model(artifact.model)
            previous = view.catalog.previous_version(artifact.model)
            if model is None or artifact.adapter or artifact.version != previous:
                continue
            usage = view.usage.get(artifact)
            if usage is not None and usage.idle_seconds < usage.keep_seconds:
                successors.add(Artifact(model.name, model.current))
    return successors


def group_memory(view: ClusterView) -> dict[str, int]:
    """Return the memory that each group's artifacts hold over all engines, in MiB."""
    memory: dict[str, int] = defaultdict(int)
    for engine in view.engines:
        for artifact, memory_mib in engine.held.items():
            memory[view.catalog.owner(artifact)] += memory_mib
    return memory


def _use_of_share(catalog: Catalog, memory: dict[str, int], group: str) -> float:
    known = catalog.group(group)
    return memory.get(group, 0) / (known.share if known else 1.0)


def _loading_order(draft: _Draft) -> list[Artifact]:
    """Return the artifacts that lack replicas, the most urgent first."""
    view = draft.view
    memory = group_memory(view)
    urgency: dict[Artifact, _Urgency] = {}
    for demand in view.demand:
        if demand.waiting:
            for artifact in {demand.artifact.base, demand.artifact}:
                key = _urgency(view.catalog, memory, demand, artifact)
                urgency[artifact] = min(key, urgency.get(artifact, key))
    lacking = [a for a in urgency if draft.replicas(a) < draft.wanted.get(a, 0)]
    ordered = sorted(lacking, key=lambda artifact: urgency[artifact])
    preloads = [
        artifact
        for artifact, usage in sorted(view.usage.items())
        if usage.preload and artifact not in urgency and draft.replicas(artifact) == 0
    ]
    successors = [a for a in sorted(_successors(view)) if draft.replicas(a) == 0]
    return ordered + [a for a in successors if a not in urgency] + preloads


def _urgency(
    catalog: Catalog, memory: dict[str, int], demand: DemandView, artifact: Artifact
) -> _Urgency:
    group = catalog.group(demand.group)
    return _Urgency(
        negative_priority=-group.priority if group else 0,
        use_of_share=_use_of_share(catalog, memory, demand.group),
        deadline_step=int(demand.nearest_deadline_seconds / DEADLINE_STEP_SECONDS),
        negative_load_seconds=-catalog.load_seconds(artifact),
        artifact=artifact,
    )


def _place(draft: _Draft, artifact: Artifact) -> None:
    """Add one replica of an artifact, or make room for it, or note that it waits."""
    memory_mib = draft.view.catalog.memory_mib(artifact)
    if memory_mib is None:
        return
    candidates = [e for e in draft.view.engines if _can_host(draft, e, artifact)]
    if draft.remote_left <= 0:
        candidates = [e for e in candidates if not _is_remote(e, artifact)]
    roomy = [engine for engine in candidates if draft.free[engine.engine] >= memory_mib]
    if roomy:
        _load(draft, min(roomy, key=lambda e: _preference(draft, e, artifact)), artifact)
        return
    draft.waiting.append(artifact)
    coming = [engine for engine in candidates if draft.future[engine.engine] >= memory_mib]
    if coming:
        draft.future[coming[0].engine] -= memory_mib
    elif not _is_preload(draft, artifact):
        _make_room(draft, candidates, artifact, memory_mib)


def _is_preload(draft: _Draft, artifact: Artifact) -> bool:
    """Return whether nobody waits for an artifact: such a load takes free memory only."""
    usage = draft.view.usage.get(artifact)
    waited_for = any(
        demand.waiting and artifact in (demand.artifact, demand.artifact.base)
        for demand in draft.view.demand
    )
    return usage is not None and usage.preload and not waited_for


def _is_remote(engine: EngineView, artifact: Artifact) -> bool:
    return engine.tiers.get(artifact, CheckpointTier.REMOTE) is CheckpointTier.REMOTE


def _can_host(draft: _Draft, engine: EngineView, artifact: Artifact) -> bool:
    if not engine.usable or engine.engine in draft.holders[artifact]:
        return False
    if not artifact.adapter:
        return True
    leaving = artifact.base in draft.leaving_soon(engine.engine)
    return artifact.base in engine.ready and not leaving


def _preference(
    draft: _Draft, engine: EngineView, artifact: Artifact
) -> tuple[float, int, int, str]:
    """Return the sort key of an engine for an artifact; lower is better."""
    load_seconds = draft.view.catalog.load_seconds(artifact)
    reload_seconds = engine.reload_seconds(artifact, load_seconds)
    same_zone = sum(draft.engines[holder].zone == engine.zone for holder in draft.holders[artifact])
    return (reload_seconds, same_zone, -draft.free[engine.engine], engine.engine)


def _load(draft: _Draft, engine: EngineView, artifact: Artifact) -> None:
    remote = _is_remote(engine, artifact)
    memory_mib = draft.view.catalog.memory_mib(artifact) or 0
    draft.remote_left -= remote
    draft.free[engine.engine] -= memory_mib
    draft.future[engine.engine] -= memory_mib
    draft.holders[artifact].add(engine.engine)
    draft.loads.append(Load(engine.engine, engine.instance, artifact, memory_mib, remote))


def _make_room(
    draft: _Draft, candidates: list[EngineView], artifact: Artifact, memory_mib: int
) -> None:
    """Unload idle replicas on the engine where that costs least."""
    options = []
    for engine in candidates:
        victims = _victims(draft, engine, memory_mib - draft.future[engine.engine])
        if victims:
            options.append((_eviction_cost(draft, engine, victims), engine.engine, victims))
    if options:
        _, name, victims = min(options)
        held = draft.engines[name].held
        draft.unloads += [Unload(name, victim) for victim in victims]
        draft.future[name] += sum(held[victim] for victim in victims) - memory_mib


def _victims(draft: _Draft, engine: EngineView, needed_mib: int) -> list[Artifact]:
    """Return idle replicas that free enough memory, the cheapest first; empty when none do."""
    leaving = draft.leaving_soon(engine.engine)
    idle = [
        artifact
        for artifact in engine.ready - leaving
        if not artifact.adapter and _is_idle(draft, engine, artifact)
    ]
    idle.sort(key=lambda victim: _eviction_cost(draft, engine, [victim]))
    victims: list[Artifact] = []
    freed = 0
    for base in idle:
        family = [artifact for artifact in engine.held if artifact.base == base]
        victims += sorted(family, key=lambda artifact: not artifact.adapter)
        freed += sum(engine.held[artifact] for artifact in family)
        if freed >= needed_mib:
            return victims
    return []


def _is_idle(draft: _Draft, engine: EngineView, base: Artifact) -> bool:
    """Return whether nobody wants a base model or an adapter on it, and all of it is settled."""
    family = {artifact for artifact in engine.held if artifact.base == base}
    wanted = any(draft.wanted.get(artifact, 0) for artifact in family)
    return not wanted and family <= engine.ready and not family & engine.in_transition


def _eviction_cost(
    draft: _Draft, engine: EngineView, victims: list[Artifact]
) -> tuple[float, float]:
    """Return how much the unload of idle replicas costs: over-share groups first, then reloads."""
    view = draft.view
    memory = group_memory(view)
    use = max(_use_of_share(view.catalog, memory, view.catalog.owner(v)) for v in victims)
    reload_cost = 0.0
    for victim in victims:
        usage = view.usage.get(victim)
        idle_seconds = usage.idle_seconds if usage else UNUSED_KEEP_SECONDS
        seconds = engine.reload_seconds(victim, view.catalog.load_seconds(victim))
        reload_cost += seconds / (1.0 + idle_seconds)
    return (-use, reload_cost)


def _retire(draft: _Draft) -> None:
    """Unload what is idle for longer than it is worth keeping, or is no longer in the catalog."""
    loading = {load.artifact for load in draft.loads}
    for engine in draft.view.engines:
        if not engine.usable:
            continue
        for artifact in sorted(engine.ready, key=lambda a: (not a.adapter, a)):
            if artifact.base in loading or artifact in draft.leaving_soon(engine.engine):
                continue
            if _is_expired(draft, engine, artifact):
                draft.unloads.append(Unload(engine.engine, artifact))


def _is_expired(draft: _Draft, engine: EngineView, artifact: Artifact) -> bool:
    if draft.wanted.get(artifact, 0) or artifact in engine.in_transition:
        return False
    family = {a for a in engine.held if a.base == artifact and a != artifact}
    if not artifact.adapter and family - draft.leaving_soon(engine.engine):
        return False
    if draft.view.catalog.memory_mib(artifact) is None:
        return True
    if _is_superseded(draft, artifact):
        return True
    usage = draft.view.usage.get(artifact)
    return usage is not None and usage.idle_seconds >= usage.keep_seconds


def _is_superseded(draft: _Draft, artifact: Artifact) -> bool:
    """Return whether this is the model's previous version, and the current one is ready."""
    model = draft.view.catalog.model(artifact.model)
    previous = draft.view.catalog.previous_version(artifact.model)
    if model is None or artifact.adapter or artifact.version != previous:
        return False
    current = Artifact(model.name, model.current)
    return any(current in engine.ready for engine in draft.view.engines)
