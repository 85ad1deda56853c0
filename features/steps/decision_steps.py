"""Steps that test the decision functions with small inputs."""

from typing import Any

from behave import given, then, when
from msgspec import structs

from loomwind import constants
from loomwind.catalog.changes import ObjectKey, ObjectKind
from loomwind.catalog.model import Catalog, Entry
from loomwind.control.cluster_view import engine_view
from loomwind.control.engine_tracker import EngineTracker
from loomwind.control.keep_alive import GapHistogram, HistogramKeepAlive
from loomwind.control.placement import plan
from loomwind.control.slot_allocation import SlotDemand, allocate_slots
from loomwind.control.views import ClusterView, DemandView, EngineView, UsageView
from loomwind.engines.protocol import (
    Action,
    CheckpointTier,
    Fence,
    Inventory,
    InventoryItem,
    Order,
    OrderAnswer,
    OrderResult,
    ReplicaState,
)
from loomwind.membership.detector import Detector, DetectorSettings, MemberState
from loomwind.messages import Intent, MemberInfo, RegisterValue, Stamp, VoterId
from loomwind.pipeline.circuit import CircuitBreaker, RetryBudget
from loomwind.pipeline.fair_queue import FairQueue
from loomwind.schema import Artifact, Group, Model, Version

LOAD_SECONDS = 4.0


def artifacts(cell: str) -> list[Artifact]:
    """Return the artifacts named in a table cell."""
    return [Artifact(name, "v1") for name in cell.split(",") if name]


def column(row: Any, name: str, default: str = "") -> str:
    """Return a table cell, or a default if the table has no such column."""
    return str(row[name]) if name in row.headings else default


@given("engines")
def step_engines(context: Any) -> None:
    context.engine_rows = list(context.table)
    context.shares = {}
    context.remote_loads = 10


@given("models")
def step_models(context: Any) -> None:
    context.model_rows = list(context.table)


@given("group {one} has share {first:g} and group {other} has share {second:g}")
def step_shares(context: Any, one: str, first: float, other: str, second: float) -> None:
    context.shares = {one: first, other: second}


@given("no remote load may start now")
def step_no_remote(context: Any) -> None:
    context.remote_loads = 0


def catalog_of(context: Any) -> Catalog:
    """Return the catalog of the scenario's models."""
    entries: dict[ObjectKey, Entry] = {}
    for row in context.model_rows:
        version = Version(name="v1", memory_mib=int(row["memory"]), load_seconds=LOAD_SECONDS)
        model = Model(
            name=row["model"],
            group=row["group"],
            versions=(version,),
            current="v1",
            max_replicas=int(row["replicas"]),
        )
        group = Group(name=row["group"], share=context.shares.get(row["group"], 1.0))
        entries[ObjectKey(ObjectKind.MODEL, model.name)] = Entry(version=1, model=model)
        entries[ObjectKey(ObjectKind.GROUP, group.name)] = Entry(version=1, group=group)
    return Catalog(1, entries)


def engine_of(row: Any, catalog: Catalog) -> EngineView:
    """Return the engine view for a row of the engine table."""
    held = {a: catalog.memory_mib(a) or 0 for a in artifacts(column(row, "held"))}
    ready = frozenset(artifacts(column(row, "ready")))
    return EngineView(
        engine=row["engine"],
        instance="1",
        zone=column(row, "zone", "zone-a"),
        memory_mib=int(row["memory"]),
        concurrency=8,
        usable=column(row, "contents unknown") != "yes",
        contents_unknown=column(row, "contents unknown") == "yes",
        held=held,
        ready=ready,
        in_transition=frozenset(held) - ready,
        unloading=frozenset(),
        tiers=dict.fromkeys(artifacts(column(row, "cached")), CheckpointTier.MEMORY),
    )


@when("{first:d} requests wait for {one} and {second:d} for {other}")
def step_wait(context: Any, first: int, one: str, second: int, other: str) -> None:
    catalog = catalog_of(context)
    demand = tuple(
        DemandView(Artifact(name, "v1"), catalog.owner(Artifact(name, "v1")), count, 0, 10.0)
        for name, count in ((one, first), (other, second))
        if count
    )
    engines = tuple(engine_of(row, catalog) for row in context.engine_rows)
    usage = {a: UsageView(10.0, 1000.0) for engine in engines for a in engine.ready}
    view = ClusterView(catalog, engines, demand, usage, context.remote_loads)
    context.plan = plan(view)


@then("the plan loads {model} on {engine}")
def step_loads(context: Any, model: str, engine: str) -> None:
    assert (model, engine) in [(x.artifact.model, x.engine) for x in context.plan.loads]


@then("the plan does not load {model}")
def step_not_loads(context: Any, model: str) -> None:
    assert model not in [load.artifact.model for load in context.plan.loads]


@then("the plan unloads {model} from {engine}")
def step_unloads(context: Any, model: str, engine: str) -> None:
    assert [(x.artifact.model, x.engine) for x in context.plan.unloads] == [(model, engine)]


@then("the plan unloads nothing")
def step_unloads_nothing(context: Any) -> None:
    assert not context.plan.unloads, context.plan


@when("an engine with {total:d} slots is allocated for {demand}")
def step_allocate(context: Any, total: int, demand: str) -> None:
    requested, _, shares = demand.partition("; ")
    demands = []
    for item in requested.split(", "):
        router, group, active = item.split()
        demands.append(SlotDemand(router, group, int(active)))
    weights = {name: float(value) for name, value in (s.split() for s in shares.split(", "))}
    context.slots = allocate_slots(total, demands, weights, ["r1", "r2"])


@then("the routers get {slots}")
def step_slots(context: Any, slots: str) -> None:
    expected = {name: int(value) for name, value in (s.split() for s in slots.split(", "))}
    allocated = {router: allocation.slots for router, allocation in context.slots.items()}
    assert allocated == expected, context.slots


@when(
    "{first:d} items of group {one} with weight {a:g} and {second:d} of group {other} "
    "with weight {b:g} wait"
)
def step_queue(
    context: Any, first: int, one: str, a: float, second: int, other: str, b: float
) -> None:
    context.queue = FairQueue[str]()
    for group, count, weight in ((one, first, a), (other, second, b)):
        for number in range(count):
            context.queue.push(1, group, weight, f"{group}-{number}")


@then("the first {total:d} served are {first:d} of {one} and {second:d} of {other}")
def step_served(context: Any, total: int, first: int, one: str, second: int, other: str) -> None:
    served = [context.queue.pop(lambda item: True).rpartition("-")[0] for _ in range(total)]
    assert (served.count(one), served.count(other)) == (first, second)


@then("a higher priority class goes first")
def step_priority(context: Any) -> None:
    context.queue.push(5, "late", 0.1, "urgent")
    assert context.queue.pop(lambda item: True) == "urgent"


@when("{count:d} requests each want one retry")
def step_retries(context: Any, count: int) -> None:
    budget = RetryBudget()
    context.allowed = 0
    for _ in range(count):
        budget.on_request()
        context.allowed += budget.try_spend()


@then("at most {count:d} retries are allowed")
def step_allowed(context: Any, count: int) -> None:
    assert 0 < context.allowed <= count, context.allowed


@when("a back end fails {count:d} consecutive times")
def step_fails(context: Any, count: int) -> None:
    context.circuit = CircuitBreaker()
    for _ in range(count):
        context.circuit.record_failure(now=0.0)


@then("its circuit rejects requests, and after {seconds:g} s allows exactly one")
def step_circuit(context: Any, seconds: float) -> None:
    assert seconds == constants.CIRCUIT_OPEN_SECONDS
    assert not context.circuit.allows(now=seconds / 2)
    assert context.circuit.allows(now=seconds)
    context.circuit.record_sent()
    assert not context.circuit.allows(now=seconds)
    context.circuit.record_success()
    assert context.circuit.allows(now=seconds)


def gaps_of(seconds: list[float]) -> GapHistogram:
    """Return a histogram of the given gaps."""
    gaps = GapHistogram()
    now = 0.0
    gaps.record_arrival(now)
    for gap in seconds:
        now += gap
        gaps.record_arrival(now)
    return gaps


@given("request gaps that are mostly {often:g} s and sometimes {rarely:g} s")
def step_gaps(context: Any, often: float, rarely: float) -> None:
    context.gaps = gaps_of([often] * 90 + [rarely] * 10)


@then(
    "at an idle hour cost of {cost:g} s a replica that reloads in {reload:g} s "
    "is kept {a:g} to {b:g} s"
)
def step_kept(context: Any, cost: float, reload: float, a: float, b: float) -> None:
    context.reload = reload
    decision = HistogramKeepAlive(cost, 600.0).decide(context.gaps, reload)
    assert a <= decision.keep_seconds <= b, decision


@then("at an idle hour cost of {cost:g} s it is kept at least {seconds:g} s")
def step_kept_long(context: Any, cost: float, seconds: float) -> None:
    decision = HistogramKeepAlive(cost, 600.0).decide(context.gaps, context.reload)
    assert decision.keep_seconds >= seconds, decision


@then("constant gaps of {gap:g} s lead to a preload before the next request")
def step_preload(context: Any, gap: float) -> None:
    decision = HistogramKeepAlive(30.0, 600.0).decide(gaps_of([gap] * 10), context.reload)
    ahead = decision.preload_after_seconds
    assert ahead is not None and decision.keep_seconds < ahead < gap, decision


LOADED = Artifact("m", "v1")


def inventory(sequence: int, instance: str = "1", holds: bool = False) -> Inventory:
    """Return an inventory under a fence with the given sequence number."""
    items = (InventoryItem(LOADED, ReplicaState.READY, 1),) if holds else ()
    return Inventory(instance, Fence(1, sequence=sequence), 10, 1, False, items)


def tracker_with_engine() -> EngineTracker:
    """Return a tracker that has read one empty engine."""
    tracker = EngineTracker()
    tracker.add_or_update("e1", "address", "zone", False)
    tracker.on_inventory("e1", inventory(1))
    return tracker


@when("an order's response arrives before an older inventory")
def step_stale_inventory(context: Any) -> None:
    context.tracker = tracker_with_engine()
    order = Order(Fence(1, sequence=3), "1", Action.LOAD, LOADED, 1, 1.0)
    context.tracker.on_order_sent("e1", order)
    answer = OrderAnswer(OrderResult.DONE, inventory(3, holds=True))
    context.tracker.on_order_answered("e1", order, answer)
    context.tracker.on_inventory("e1", inventory(2))


@then("the older inventory does not make the loaded model count as absent")
def step_not_absent(context: Any) -> None:
    assert not context.tracker.removable_intents((Intent("e1", "1", LOADED, 1),))


@when("an engine is listed as {listed} and its last inventory says {reported}")
def step_leaving(context: Any, listed: str, reported: str) -> None:
    tracker = EngineTracker()
    tracker.add_or_update("e1", "address", "zone", listed == "leaving")
    read = structs.replace(inventory(1), leaving=reported == "leaving")
    tracker.on_inventory("e1", read)
    context.engine = engine_view(tracker.records["e1"], RegisterValue(Stamp(1), ()))


@then("placement may {use} it")
def step_may_use(context: Any, use: str) -> None:
    assert context.engine.usable == (use == "use"), context.engine


@when("a restarted engine is read")
def step_restarted(context: Any) -> None:
    context.tracker = tracker_with_engine()
    context.tracker.on_inventory("e1", inventory(1, instance="2", holds=True))


@then("only intents for its earlier instance may be removed")
def step_instances(context: Any) -> None:
    earlier, later = Intent("e1", "1", LOADED, 1), Intent("e1", "2", LOADED, 1)
    assert context.tracker.removable_intents((earlier, later)) == {earlier}


def member(incarnation: str = "1") -> MemberInfo:
    """Return the info of a daemon."""
    return MemberInfo(VoterId("daemon-2", incarnation), "cell", "zone", "address")


def state_after(detector: Detector, seconds: float, identity: VoterId) -> MemberState | None:
    """Advance the detector's clock and return a member's state."""
    detector.tick(seconds)
    return detector.state_of(identity)


@given("a detector with a suspect timeout of {suspect:g} s and a gone timeout of {gone:g} s")
def step_detector(context: Any, suspect: float, gone: float) -> None:
    def make() -> Detector:
        detector = Detector(DetectorSettings(suspect, gone))
        detector.record_heartbeat(member(), 0.0)
        return detector

    context.detector = make


@then("a member is suspect after {suspect:g} s without messages and gone after {gone:g} s")
def step_silence(context: Any, suspect: float, gone: float) -> None:
    detector = context.detector()
    assert state_after(detector, suspect, member().identity) is MemberState.SUSPECT
    assert state_after(detector, gone, member().identity) is MemberState.GONE


@then("a refused connection marks a member as gone immediately")
def step_refused(context: Any) -> None:
    detector = context.detector()
    detector.record_connection_refused(member().identity)
    assert state_after(detector, 0.1, member().identity) is MemberState.GONE


@then("a suspect that a peer has reached does not become gone")
def step_reached(context: Any) -> None:
    detector = context.detector()
    detector.tick(3.0)
    detector.record_reached_by_peer(member().identity, 3.0)
    assert state_after(detector, 5.0, member().identity) is MemberState.SUSPECT


@then("a new incarnation under the same name replaces the earlier one")
def step_incarnation(context: Any) -> None:
    detector = context.detector()
    detector.record_heartbeat(member("2"), 1.0)
    assert detector.state_of(member("1").identity) is MemberState.GONE
    assert detector.members[member("1").identity].process_ended
