"""Builds the input of placement from the state of the cell; pure functions."""

from loomwind.catalog.model import Catalog
from loomwind.control.engine_tracker import (
    ENDED_STATUSES,
    EngineRecord,
    EngineStatus,
    EngineTracker,
)
from loomwind.control.usage import UsageTracker
from loomwind.control.views import ClusterView, DemandView, EngineView, UsageView
from loomwind.engines.protocol import Action, CheckpointTier, ReplicaState
from loomwind.messages import Intent, RegisterValue
from loomwind.schema import Artifact


def ready_artifacts(record: EngineRecord) -> frozenset[Artifact]:
    """Return the artifacts that can serve requests on an engine: ready and not being unloaded."""
    if record.inventory is None or record.failed or record.status in ENDED_STATUSES:
        return frozenset()
    unloading = {o.order.artifact for o in record.orders if o.order.action is Action.UNLOAD}
    return frozenset(
        item.artifact
        for item in record.inventory.items
        if item.state is ReplicaState.READY and item.artifact not in unloading
    )


def unloading_artifacts(record: EngineRecord) -> frozenset[Artifact]:
    """Return the artifacts that are being unloaded, by pending orders and by the inventory."""
    ordered = {o.order.artifact for o in record.orders if o.order.action is Action.UNLOAD}
    items = record.inventory.items if record.inventory else ()
    reported = {item.artifact for item in items if item.state is ReplicaState.UNLOADING}
    return frozenset(ordered | reported)


def engine_view(record: EngineRecord, value: RegisterValue) -> EngineView:
    """Return the placement view of one engine."""
    held = {i.artifact: i.memory_mib for i in value.intents if i.engine == record.engine}
    inventory = record.inventory
    items = inventory.items if inventory else ()
    for item in items:
        held.setdefault(item.artifact, item.memory_mib)
    ready = ready_artifacts(record)
    unread = record.engine not in value.fenced_engines
    return EngineView(
        engine=record.engine,
        instance=inventory.instance if inventory else "",
        zone=record.zone,
        memory_mib=inventory.memory_mib if inventory else 0,
        concurrency=inventory.concurrency if inventory else 1,
        usable=record.usable,
        contents_unknown=unread
        and value.stamp.generation > 1
        and record.status not in ENDED_STATUSES,
        held=held,
        ready=ready,
        in_transition=frozenset(held) - ready,
        unloading=unloading_artifacts(record) & frozenset(held),
        tiers={c.artifact: c.tier for c in inventory.checkpoints} if inventory else {},
    )


def remote_loads_in_flight(tracker: EngineTracker) -> int:
    """Return the number of weight store loads in progress, by orders and inventories."""
    count = 0
    for record in tracker.records.values():
        loading = {o.order.artifact for o in record.orders if o.order.action is Action.LOAD}
        items = record.inventory.items if record.inventory else ()
        loading |= {item.artifact for item in items if item.state is ReplicaState.LOADING}
        count += sum(record.tier(artifact) is CheckpointTier.REMOTE for artifact in loading)
    return count


def cluster_view(
    catalog: Catalog,
    tracker: EngineTracker,
    value: RegisterValue,
    demand: tuple[DemandView, ...],
    usage: UsageTracker,
    remote_loads_allowed: int,
    now: float,
) -> ClusterView:
    """Return the complete input of placement."""
    engines = tuple(engine_view(record, value) for _, record in sorted(tracker.records.items()))
    return ClusterView(
        catalog=catalog,
        engines=engines,
        demand=demand,
        usage=_usage_views(catalog, engines, usage, now),
        remote_loads_allowed=remote_loads_allowed,
    )


def _usage_views(
    catalog: Catalog, engines: tuple[EngineView, ...], usage: UsageTracker, now: float
) -> dict[Artifact, UsageView]:
    views = {}
    artifacts = {artifact for engine in engines for artifact in engine.ready}
    for artifact in artifacts | set(usage.artifacts()):
        usage.start_idle(artifact, now)
        # Assumes that the next load comes from the weight store: a cached copy of the weights may
        # be evicted before the next request, and the policy weighs the tail of cold starts.
        views[artifact] = usage.view(artifact, catalog.load_seconds(artifact), now)
    return views


def reconcile_intents(tracker: EngineTracker, value: RegisterValue) -> tuple[Intent, ...]:
    """Return the intents that are still needed, plus one for each other artifact on an engine."""
    kept = set(value.intents) - tracker.removable_intents(value.intents)
    known = {(intent.engine, intent.artifact) for intent in kept}
    for record in tracker.records.values():
        if record.status is EngineStatus.FENCED and record.inventory is not None:
            for item in record.inventory.items:
                if (record.engine, item.artifact) not in known:
                    instance = record.inventory.instance
                    kept.add(Intent(record.engine, instance, item.artifact, item.memory_mib))
    return tuple(sorted(kept))


def fenced_engine_names(tracker: EngineTracker, value: RegisterValue) -> tuple[str, ...]:
    """Return the engines that have been fenced and read in this generation."""
    fenced = {
        engine for engine, record in tracker.records.items() if record.status is EngineStatus.FENCED
    }
    return tuple(sorted(fenced | set(value.fenced_engines)))
