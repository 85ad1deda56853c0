"""Placement: decides which artifacts to load on and unload from which engines.

The functions are pure and work on typed views. Constraints and priorities, in this order:

* A model never gets more replicas than its limit; engines whose contents are unknown count.
* Artifacts never take more memory than an engine has.
* Artifacts with queued requests are loaded before those with predicted requests only.
* Loads are ordered by the group's priority (highest first), the memory that the group uses
  relative to its share (least first), the earliest deadline and the load time (longest first).
  Starting the longest load first makes the last artifact of a burst ready as early as possible.
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

# Assumed for replicas without recorded usage.
DEFAULT_IDLE_SECONDS = 60.0
DEADLINE_BUCKET_SECONDS = 2.0


class _Urgency(Struct, frozen=True, order=True):
    """Sort key of a load; the lowest key is loaded first."""

    negative_priority: int
    memory_per_share: float
    deadline_bucket: int
    negative_load_seconds: float
    artifact: Artifact


class _PlanningState:
    """State of the cluster with the loads and unloads that have been planned so far."""

    def __init__(self, view: ClusterView) -> None:
        self.view = view
        self.engines = {engine.engine: engine for engine in view.engines}
        self.free_mib = {engine.engine: engine.free_mib for engine in view.engines}
        # Free memory after the unloads in progress, minus what waiting artifacts will use of it.
        self.projected_free_mib = {
            engine.engine: engine.free_mib + sum(engine.held[a] for a in engine.unloading)
            for engine in view.engines
        }
        self.holders: dict[Artifact, set[str]] = defaultdict(set)
        for engine in view.engines:
            for artifact in engine.held:
                self.holders[artifact].add(engine.engine)
        self.unread_engines = sum(engine.contents_unknown for engine in view.engines)
        self.remaining_remote_loads = view.remote_loads_allowed
        self.loads: list[Load] = []
        self.unloads: list[Unload] = []
        self.waiting: list[Artifact] = []
        self.desired_replicas = _desired_replicas(view)

    def possible_replicas(self, artifact: Artifact) -> int:
        """Return an upper bound on the number of replicas of an artifact that exist."""
        return len(self.holders[artifact]) + self.unread_engines

    def planned_unloads(self, engine: str) -> set[Artifact]:
        """Return the artifacts that the plan so far unloads from an engine."""
        return {unload.artifact for unload in self.unloads if unload.engine == engine}


def plan(view: ClusterView) -> Plan:
    """Return the loads and unloads to start now."""
    state = _PlanningState(view)
    for artifact in _load_order(state):
        _place_replica(state, artifact)
    _unload_expired(state)
    return Plan(tuple(state.loads), tuple(state.unloads), tuple(state.waiting))


def _desired_replicas(view: ClusterView) -> dict[Artifact, int]:
    """Return the number of replicas that each artifact needs, capped at its replica limit."""
    concurrency = max((engine.concurrency for engine in view.engines), default=1)
    active: dict[Artifact, int] = defaultdict(int)
    for demand in view.demand:
        requests = demand.waiting + demand.running
        active[demand.artifact] += requests
        if demand.artifact.adapter:
            active[demand.artifact.base] += requests
    desired_replicas = {}
    for artifact, requests in active.items():
        needed = math.ceil(requests / max(concurrency, 1))
        desired_replicas[artifact] = min(needed, view.catalog.max_replicas(artifact))
    for artifact in _replacement_versions(view):
        desired_replicas[artifact] = max(desired_replicas.get(artifact, 0), 1)
    for artifact, usage in view.usage.items():
        if usage.preload and view.catalog.max_replicas(artifact) > 0:
            desired_replicas[artifact] = max(desired_replicas.get(artifact, 0), 1)
    return desired_replicas


def _replacement_versions(view: ClusterView) -> set[Artifact]:
    """Return the current versions of models whose previous version is loaded and in use."""
    replacements = set()
    for engine in view.engines:
        for artifact in engine.ready:
            model = view.catalog.model(artifact.model)
            previous = view.catalog.previous_version(artifact.model)
            if model is None or artifact.adapter or artifact.version != previous:
                continue
            usage = view.usage.get(artifact)
            if usage is not None and usage.idle_seconds < usage.keep_seconds:
                replacements.add(Artifact(model.name, model.current))
    return replacements


def group_memory(view: ClusterView) -> dict[str, int]:
    """Return the memory reserved for each group's artifacts over all engines, in MiB."""
    memory: dict[str, int] = defaultdict(int)
    for engine in view.engines:
        for artifact, memory_mib in engine.held.items():
            memory[view.catalog.owner(artifact)] += memory_mib
    return memory


def _memory_per_share(catalog: Catalog, memory: dict[str, int], group: str) -> float:
    definition = catalog.group(group)
    return memory.get(group, 0) / (definition.share if definition else 1.0)


def _load_order(state: _PlanningState) -> list[Artifact]:
    """Return the artifacts that need another replica, most urgent first."""
    view = state.view
    memory = group_memory(view)
    urgency: dict[Artifact, _Urgency] = {}
    for demand in view.demand:
        if demand.waiting:
            for artifact in {demand.artifact.base, demand.artifact}:
                key = _urgency(view.catalog, memory, demand, artifact)
                urgency[artifact] = min(key, urgency.get(artifact, key))
    under_replicated = [
        a for a in urgency if state.possible_replicas(a) < state.desired_replicas.get(a, 0)
    ]
    ordered = sorted(under_replicated, key=lambda artifact: urgency[artifact])
    preloads = [
        artifact
        for artifact, usage in sorted(view.usage.items())
        if usage.preload and artifact not in urgency and state.possible_replicas(artifact) == 0
    ]
    replacements = [
        a for a in sorted(_replacement_versions(view)) if state.possible_replicas(a) == 0
    ]
    return ordered + [a for a in replacements if a not in urgency] + preloads


def _urgency(
    catalog: Catalog, memory: dict[str, int], demand: DemandView, artifact: Artifact
) -> _Urgency:
    group = catalog.group(demand.group)
    return _Urgency(
        negative_priority=-group.priority if group else 0,
        memory_per_share=_memory_per_share(catalog, memory, demand.group),
        deadline_bucket=int(demand.nearest_deadline_seconds / DEADLINE_BUCKET_SECONDS),
        negative_load_seconds=-catalog.load_seconds(artifact),
        artifact=artifact,
    )


def _place_replica(state: _PlanningState, artifact: Artifact) -> None:
    """Plan a load of an artifact, or mark it as waiting and evict idle replicas if necessary."""
    memory_mib = state.view.catalog.memory_mib(artifact)
    if memory_mib is None:
        return
    candidates = [e for e in state.view.engines if _can_host(state, e, artifact)]
    if state.remaining_remote_loads <= 0:
        candidates = [e for e in candidates if not _is_remote(e, artifact)]
    fitting = [engine for engine in candidates if state.free_mib[engine.engine] >= memory_mib]
    if fitting:
        _plan_load(state, min(fitting, key=lambda e: _host_cost(state, e, artifact)), artifact)
        return
    state.waiting.append(artifact)
    fitting_after_unloads = [
        engine for engine in candidates if state.projected_free_mib[engine.engine] >= memory_mib
    ]
    if fitting_after_unloads:
        state.projected_free_mib[fitting_after_unloads[0].engine] -= memory_mib
    elif not _is_preload(state, artifact):
        _plan_eviction(state, candidates, artifact, memory_mib)


def _is_preload(state: _PlanningState, artifact: Artifact) -> bool:
    """Return whether a load serves predicted requests only; such a load never evicts replicas."""
    usage = state.view.usage.get(artifact)
    waited_for = any(
        demand.waiting and artifact in (demand.artifact, demand.artifact.base)
        for demand in state.view.demand
    )
    return usage is not None and usage.preload and not waited_for


def _is_remote(engine: EngineView, artifact: Artifact) -> bool:
    return engine.tiers.get(artifact, CheckpointTier.REMOTE) is CheckpointTier.REMOTE


def _can_host(state: _PlanningState, engine: EngineView, artifact: Artifact) -> bool:
    if not engine.usable or engine.engine in state.holders[artifact]:
        return False
    if not artifact.adapter:
        return True
    unload_planned = artifact.base in state.planned_unloads(engine.engine)
    return artifact.base in engine.ready and not unload_planned


def _host_cost(
    state: _PlanningState, engine: EngineView, artifact: Artifact
) -> tuple[float, int, int, str]:
    """Return the sort key of an engine as host of an artifact; lower is better."""
    load_seconds = state.view.catalog.load_seconds(artifact)
    reload_seconds = engine.reload_seconds(artifact, load_seconds)
    same_zone = sum(state.engines[holder].zone == engine.zone for holder in state.holders[artifact])
    return (reload_seconds, same_zone, -state.free_mib[engine.engine], engine.engine)


def _plan_load(state: _PlanningState, engine: EngineView, artifact: Artifact) -> None:
    remote = _is_remote(engine, artifact)
    memory_mib = state.view.catalog.memory_mib(artifact) or 0
    state.remaining_remote_loads -= remote
    state.free_mib[engine.engine] -= memory_mib
    state.projected_free_mib[engine.engine] -= memory_mib
    state.holders[artifact].add(engine.engine)
    state.loads.append(Load(engine.engine, engine.instance, artifact, memory_mib, remote))


def _plan_eviction(
    state: _PlanningState, candidates: list[EngineView], artifact: Artifact, memory_mib: int
) -> None:
    """Plan to unload idle replicas on the engine where the eviction costs least."""
    options = []
    for engine in candidates:
        victims = _select_victims(
            state, engine, memory_mib - state.projected_free_mib[engine.engine]
        )
        if victims:
            options.append((_eviction_cost(state, engine, victims), engine.engine, victims))
    if options:
        _, name, victims = min(options)
        held = state.engines[name].held
        state.unloads += [Unload(name, victim) for victim in victims]
        state.projected_free_mib[name] += sum(held[victim] for victim in victims) - memory_mib


def _select_victims(state: _PlanningState, engine: EngineView, needed_mib: int) -> list[Artifact]:
    """Return idle replicas to evict, cheapest first, or nothing if they free too little memory."""
    planned = state.planned_unloads(engine.engine)
    idle = [
        artifact
        for artifact in engine.ready - planned
        if not artifact.adapter and _is_evictable(state, engine, artifact)
    ]
    idle.sort(key=lambda victim: _eviction_cost(state, engine, [victim]))
    victims: list[Artifact] = []
    freed = 0
    for base in idle:
        base_and_adapters = [artifact for artifact in engine.held if artifact.base == base]
        victims += sorted(base_and_adapters, key=lambda artifact: not artifact.adapter)
        freed += sum(engine.held[artifact] for artifact in base_and_adapters)
        if freed >= needed_mib:
            return victims
    return []


def _is_evictable(state: _PlanningState, engine: EngineView, base: Artifact) -> bool:
    """Return whether a base model and its adapters have no demand and are not in transition."""
    base_and_adapters = {artifact for artifact in engine.held if artifact.base == base}
    has_demand = any(state.desired_replicas.get(artifact, 0) for artifact in base_and_adapters)
    return (
        not has_demand
        and base_and_adapters <= engine.ready
        and not base_and_adapters & engine.in_transition
    )


def _eviction_cost(
    state: _PlanningState, engine: EngineView, victims: list[Artifact]
) -> tuple[float, float]:
    """Return the sort key of an eviction; lower is better.

    Replicas of the group that uses the most memory relative to its share are evicted first, then
    those that are cheapest to reload.
    """
    view = state.view
    memory = group_memory(view)
    memory_per_share = max(
        _memory_per_share(view.catalog, memory, view.catalog.owner(v)) for v in victims
    )
    reload_cost = 0.0
    for victim in victims:
        usage = view.usage.get(victim)
        idle_seconds = usage.idle_seconds if usage else DEFAULT_IDLE_SECONDS
        seconds = engine.reload_seconds(victim, view.catalog.load_seconds(victim))
        reload_cost += seconds / (1.0 + idle_seconds)
    return (-memory_per_share, reload_cost)


def _unload_expired(state: _PlanningState) -> None:
    """Plan to unload replicas that are expired, superseded or no longer in the catalog."""
    loading = {load.artifact for load in state.loads}
    for engine in state.view.engines:
        if not engine.usable:
            continue
        for artifact in sorted(engine.ready, key=lambda a: (not a.adapter, a)):
            if artifact.base in loading or artifact in state.planned_unloads(engine.engine):
                continue
            if _is_expired(state, engine, artifact):
                state.unloads.append(Unload(engine.engine, artifact))


def _is_expired(state: _PlanningState, engine: EngineView, artifact: Artifact) -> bool:
    if state.desired_replicas.get(artifact, 0) or artifact in engine.in_transition:
        return False
    adapters = {a for a in engine.held if a.base == artifact and a != artifact}
    if not artifact.adapter and adapters - state.planned_unloads(engine.engine):
        return False
    if state.view.catalog.memory_mib(artifact) is None:
        return True
    if _is_superseded(state, artifact):
        return True
    usage = state.view.usage.get(artifact)
    return usage is not None and usage.idle_seconds >= usage.keep_seconds


def _is_superseded(state: _PlanningState, artifact: Artifact) -> bool:
    """Return whether this is a model's previous version and its current version is ready."""
    model = state.view.catalog.model(artifact.model)
    previous = state.view.catalog.previous_version(artifact.model)
    if model is None or artifact.adapter or artifact.version != previous:
        return False
    current = Artifact(model.name, model.current)
    return any(current in engine.ready for engine in state.view.engines)
