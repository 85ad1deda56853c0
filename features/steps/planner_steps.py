"""Steps for the planner, without processes or a clock; times are in seconds."""

from typing import Any

import msgspec
from behave import given, then, when

from loomwind.messages.serving import PoolDemand
from loomwind.placement.demand_view import DemandView
from loomwind.placement.plan import UNLIMITED_STORE_LOADS, PlanInput, PlannedOrder
from loomwind.placement.planner import Planner
from loomwind.placement.server_tracker import ServerTracker
from loomwind.serving.demand import TargetDemand
from loomwind.serving.views import (
    EngineProfile,
    HeldModel,
    ModelKey,
    ModelProfile,
    Order,
    OrderAnswer,
    OrderKind,
    ServerEntry,
    ServerReport,
    ServerState,
)

SERVICE = "tutor"
MODEL_MB = 48_000.0
STORE_LOAD_S = 4.0
DISK_LOAD_S = 1.5
FENCE = 7
SLOTS = 8


def profile(memory_gb: int) -> EngineProfile:
    """Return a server profile with models a to h, of which two fit in 100 GB."""
    models = tuple(
        ModelProfile(name, MODEL_MB, STORE_LOAD_S, DISK_LOAD_S, DISK_LOAD_S) for name in "abcdefgh"
    )
    return EngineProfile(memory_gb * 1000.0, 8, 4.0, models, SLOTS)


def report(held: list[str], on_disk: set[str], revision: int = 0) -> ServerReport:
    """Return the report of an idle server."""
    models = tuple(HeldModel(name) for name in held)
    return ServerReport(revision, False, models, on_disk=frozenset(on_disk))


@given("model servers {first} and {second} of {memory:d} GB")
def step_servers(context: Any, first: str, second: str, memory: int) -> None:
    context.trackers = {}
    context.demand = DemandView()
    for name in [*first.split(", "), second]:
        entry = ServerEntry(name, SERVICE, "a:1", "zone-a", 8, ServerState.READY)
        context.trackers[name] = ServerTracker(entry, profile(memory))


@given("{first:w} holds {held_first}, {second:w} holds {held_second}")
def step_hold(context: Any, first: str, held_first: str, second: str, held_second: str) -> None:
    for name, held in ((first, held_first), (second, held_second)):
        report_held_models(context, name, held)


@given("{name:w} holds nothing")
def step_hold_nothing(context: Any, name: str) -> None:
    report_held_models(context, name, "nothing")


def report_held_models(context: Any, name: str, held: str) -> None:
    """Record a report that a server holds models, each with a copy on its disk."""
    models = [] if held == "nothing" else held.split(" and ")
    context.trackers[name].record_report(report(models, set(models)), 9.0)


@given("{name:w} has a copy of {model} on its disk and loads {other} until {until:f} s")
def step_busy(context: Any, name: str, model: str, other: str, until: float) -> None:
    tracker: ServerTracker = context.trackers[name]
    assert tracker.report is not None
    held = [known.name for known in tracker.report.held]
    tracker.record_report(report(held, {*held, model}), 9.0)
    began = until - STORE_LOAD_S
    tracker.record_answer(_order(tracker, OrderKind.LOAD, other), OrderAnswer.ACCEPTED, began)


def _order(tracker: ServerTracker, kind: OrderKind, model: str) -> Order:
    assert tracker.report is not None
    revision = tracker.report.revision
    return Order(kind, ModelKey(model), tracker.entry.instance, "daemon", FENCE, revision)


@when("a request waits for {model} at {now:f} s")
def step_waits(context: Any, model: str, now: float) -> None:
    context.now = now
    requested = TargetDemand(SERVICE, ModelKey(model), 1, 1.0, 1, 8.0)
    context.demand.add_report(PoolDemand(f"daemon-of-{model}", (requested,), ()), now)


@when("the first order of the plan is accepted at {now:f} s")
def step_accept(context: Any, now: float) -> None:
    planned = plan(context)[0]
    tracker: ServerTracker = context.trackers[planned.instance]
    order = _order(tracker, planned.kind, planned.target.model)
    tracker.reserve_memory(planned.evicts_for, now)
    tracker.record_answer(order, OrderAnswer.ACCEPTED, now)
    context.now, context.accepted_order = now, planned


@when("that order is accepted and done at {now:f} s")
def step_done(context: Any, now: float) -> None:
    step_accept(context, now - 0.1)
    tracker: ServerTracker = context.trackers[context.accepted_order.instance]
    assert tracker.report is not None
    held = [known.name for known in tracker.report.held]
    tracker.record_report(report(held, set(held), tracker.report.revision), now)
    context.now = now


@given("{names} run software version {version:w}, the others {other:w}")
def step_versions(context: Any, names: str, version: str, other: str) -> None:
    for name, tracker in context.trackers.items():
        chosen = version if name in names.split(" and ") else other
        tracker.entry = msgspec.structs.replace(tracker.entry, software_version=chosen)


@when("a stream of software version {version:w} waits for {model:w} at {now:f} s")
def step_stream_waits(context: Any, version: str, model: str, now: float) -> None:
    context.now = now
    requested = TargetDemand(SERVICE, ModelKey(model), 1, 0.0, 1, 8.0, 0, version)
    context.demand.add_report(PoolDemand("daemon-1", (requested,), ()), now)


@then("the model {model:w} is ordered at {names}")
def step_ordered_at(context: Any, model: str, names: str) -> None:
    orders = plan(context)
    assert [(order.kind, order.target.model) for order in orders] == [(OrderKind.LOAD, model)]
    assert orders[0].instance in names.split(" or "), orders


@then("the leader expects {model:w} for that stream in {seconds:f} s or more")
def step_expected(context: Any, model: str, seconds: float) -> None:
    planner = Planner(plan_input(context))
    planner.plan()
    expected = [(each.key.target.model, each.ready_in_ms) for each in planner.expectations()]
    assert len(expected) == 1 and expected[0][0] == model, expected
    assert expected[0][1] >= seconds * 1000, expected


def plan(context: Any) -> list[PlannedOrder]:
    """Return the plan for the current state."""
    return Planner(plan_input(context)).plan()


def plan_input(context: Any) -> PlanInput:
    """Return the input of the plan for the current state."""
    servers = list(context.trackers.values())
    allowed = getattr(context, "store_load_allowed", True)
    left = getattr(context, "store_loads_left", UNLIMITED_STORE_LOADS)
    running = getattr(context, "running", {})
    return PlanInput(SERVICE, servers, context.demand, running, context.now, allowed, False, left)


@then("the plan is empty")
def step_empty(context: Any) -> None:
    assert plan(context) == [], plan(context)


@then("the plan is one order: unload {models}")
def step_unload(context: Any, models: str) -> None:
    orders = plan(context)
    assert len(orders) == 1 and orders[0].kind is OrderKind.UNLOAD, orders
    assert orders[0].target.model in models.split(" or "), orders


@given("{model:w} needs {memory:d} GB")
def step_large_model(context: Any, model: str, memory: int) -> None:
    for tracker in context.trackers.values():
        models = tuple(
            msgspec.structs.replace(known, memory_mb=memory * 1000.0)
            if known.name == model
            else known
            for known in tracker.profile.models
        )
        tracker.profile = msgspec.structs.replace(tracker.profile, models=models)


@then("the plan evicts one more model at the same server")
def step_unload_next(context: Any) -> None:
    orders = plan(context)
    assert [(order.kind, order.instance) for order in orders] == [
        (OrderKind.UNLOAD, context.accepted_order.instance)
    ], orders


@then("the plan is one order: load {model} at {where}")
def step_load(context: Any, model: str, where: str) -> None:
    orders = plan(context)
    instance = context.accepted_order.instance if where == "the same server" else where
    assert len(orders) == 1 and orders[0].kind is OrderKind.LOAD, orders
    assert (orders[0].target.model, orders[0].instance) == (model, instance), orders


@when("{name:w} begins to load {model} from the weight store at {now:f} s")
def step_begin_load(context: Any, name: str, model: str, now: float) -> None:
    tracker: ServerTracker = context.trackers[name]
    tracker.record_answer(_order(tracker, OrderKind.LOAD, model), OrderAnswer.ACCEPTED, now)
    context.loading = model


@when("{name:w} leaves an order to load {model} unanswered at {now:f} s, at revision 0")
def step_unanswered(context: Any, name: str, model: str, now: float) -> None:
    tracker: ServerTracker = context.trackers[name]
    tracker.record_answer(_order(tracker, OrderKind.LOAD, model), OrderAnswer.UNKNOWN, now)


@when("{name:w} starts again and says at {now:f} s that it holds nothing, at revision {revision:d}")
def step_starts_again(context: Any, name: str, now: float, revision: int) -> None:
    earlier: ServerTracker = context.trackers[name]
    context.trackers[name] = ServerTracker(earlier.entry, earlier.profile)
    context.trackers[name].unanswered_orders.inherit(earlier.unanswered_orders)
    step_says_nothing_held(context, name, now, revision)


@when("{name:w} says at {now:f} s that it holds nothing, at revision {revision:d}")
def step_says_nothing_held(context: Any, name: str, now: float, revision: int) -> None:
    context.trackers[name].record_report(report([], set(), revision), now)


@then("{name:w} has room for {count:d} model")
@then("{name:w} has room for {count:d} models")
def step_room(context: Any, name: str, count: int) -> None:
    assert context.trackers[name].free_mb() // MODEL_MB == count, context.trackers[name].free_mb()


def holds_after(context: Any, name: str, now: float, running: int) -> bool:
    """Complete due loads of a server and return whether it holds the model it was loading."""
    tracker: ServerTracker = context.trackers[name]
    tracker.complete_due_load(now, running)
    return tracker.holds(ModelKey(context.loading))


@then("{name:w} does not hold c at {early:f} s, and holds it at {late:f} s")
def step_settles(context: Any, name: str, early: float, late: float) -> None:
    assert not holds_after(context, name, early, 0)
    assert holds_after(context, name, late, 0)


@then(
    "with {running:d} running requests {name:w} does not hold c at {early:f} s, "
    "and holds it at {late:f} s"
)
def step_settles_later(context: Any, running: int, name: str, early: float, late: float) -> None:
    assert not holds_after(context, name, early, running)
    assert holds_after(context, name, late, running)


@when("a report of {name:w} at {now:f} s still shows the load")
def step_old_report(context: Any, name: str, now: float) -> None:
    tracker: ServerTracker = context.trackers[name]
    assert tracker.report is not None
    tracker.record_report(ServerReport(tracker.report.revision, True, (HeldModel("a"),)), now)


@when(
    "{name:w} is sent an order to unload {model}, and an older report comes at {now:f} s "
    "that still shows the load"
)
def step_report_beside_order(context: Any, name: str, model: str, now: float) -> None:
    tracker: ServerTracker = context.trackers[name]
    context.sent_order = _order(tracker, OrderKind.UNLOAD, model)
    tracker.in_flight = context.sent_order
    step_old_report(context, name, now)


@when("{name:w} accepts that order at {now:f} s")
def step_accepts_order(context: Any, name: str, now: float) -> None:
    tracker: ServerTracker = context.trackers[name]
    tracker.record_answer(context.sent_order, OrderAnswer.ACCEPTED, now, in_use=False)


@then("{name:w} holds c")
def step_holds_now(context: Any, name: str) -> None:
    assert context.trackers[name].holds(ModelKey("c"))


@then("{name:w} does not hold c")
def step_holds_not(context: Any, name: str) -> None:
    assert not context.trackers[name].holds(ModelKey("c"))


@when("{name:w} is ordered to unload {model} at {now:f} s, and {who} uses it")
def step_unload_ordered(context: Any, name: str, model: str, now: float, who: str) -> None:
    tracker: ServerTracker = context.trackers[name]
    order = _order(tracker, OrderKind.UNLOAD, model)
    tracker.record_answer(order, OrderAnswer.ACCEPTED, now, in_use=who != "nobody")


def accepts_order(context: Any, name: str, now: float) -> bool:
    """Return whether a server can accept an order at a given time."""
    tracker: ServerTracker = context.trackers[name]
    return tracker.idle and tracker.no_orders_until <= now


@then("{name:w} accepts no order at {early:f} s, and accepts one at {late:f} s")
def step_accepts_later(context: Any, name: str, early: float, late: float) -> None:
    assert not accepts_order(context, name, early) and accepts_order(context, name, late)


@then("{name:w} accepts no order at {now:f} s")
def step_accepts_none(context: Any, name: str, now: float) -> None:
    assert not accepts_order(context, name, now)


ADAPTER = ModelKey("a", "x")


@when("{name:w} is ordered to load the adapter a/x at {now:f} s")
def step_adapter_ordered(context: Any, name: str, now: float) -> None:
    tracker: ServerTracker = context.trackers[name]
    assert tracker.report is not None
    revision = tracker.report.revision
    order = Order(OrderKind.LOAD, ADAPTER, tracker.entry.instance, "daemon", FENCE, revision)
    tracker.record_answer(order, OrderAnswer.ACCEPTED, now)


@then("{name:w} does not have a/x at {early:f} s, and has it at {late:f} s")
def step_adapter_settles(context: Any, name: str, early: float, late: float) -> None:
    tracker: ServerTracker = context.trackers[name]
    assert not tracker.complete_due_adapters(early) and not tracker.holds(ADAPTER)
    assert tracker.complete_due_adapters(late) and tracker.holds(ADAPTER)


@when("a report of {name:w} at {now:f} s still lists a/x as pending")
def step_adapter_pending(context: Any, name: str, now: float) -> None:
    tracker: ServerTracker = context.trackers[name]
    assert tracker.report is not None
    held = (HeldModel("a"),)
    revision = tracker.report.revision
    tracker.record_report(ServerReport(revision, False, held, pending_adapters=(ADAPTER,)), now)


@then("{name:w} has a/x")
def step_has_adapter(context: Any, name: str) -> None:
    assert context.trackers[name].holds(ADAPTER)


@then("{name:w} does not have a/x")
def step_has_no_adapter(context: Any, name: str) -> None:
    assert not context.trackers[name].holds(ADAPTER)


class CountingTracker(ServerTracker):
    """A server that counts the lookups of what it holds and has copies of."""

    lookups = 0
    copy_lookups = 0

    def has_copy(self, name: str) -> bool:
        """Count and perform the lookup."""
        CountingTracker.copy_lookups += 1
        return super().has_copy(name)

    def holds(self, target: ModelKey) -> bool:
        """Count and perform the lookup."""
        CountingTracker.lookups += 1
        return super().holds(target)


@given("{servers:d} model servers and {models:d} models, three at each server")
def step_many_servers(context: Any, servers: int, models: int) -> None:
    names = [f"m{number}" for number in range(models)]
    load_s = (STORE_LOAD_S, DISK_LOAD_S, DISK_LOAD_S)
    profile_of_many = EngineProfile(
        3 * MODEL_MB, 8, 4.0, tuple(ModelProfile(name, MODEL_MB, *load_s) for name in names)
    )
    context.demand = DemandView()
    context.trackers = {}
    for number in range(servers):
        entry = ServerEntry(f"i{number}", SERVICE, "a:1", "zone-a", 8, ServerState.READY)
        tracker = CountingTracker(entry, profile_of_many)
        tracker.record_report(report(names[3 * number : 3 * number + 3], set()), 9.0)
        context.trackers[entry.instance] = tracker


@when("requests wait for {count:d} models that no server has, and no load may start")
def step_wait_for_many(context: Any, count: int) -> None:
    context.store_load_allowed = False
    _wait_for_many(context, count)


@when("requests wait for {count:d} models that no server has, and {left:d} loads may start")
def step_wait_for_loads(context: Any, count: int, left: int) -> None:
    context.store_loads_left = left
    _wait_for_many(context, count)


@then("the plan loads {count:d} models or evicts for them")
def step_loads_or_evicts(context: Any, count: int) -> None:
    brought = {order.evicts_for or order.target.model for order in plan(context)}
    assert len(brought) == count, brought


def _wait_for_many(context: Any, count: int) -> None:
    context.now = 10.0
    requested = [
        TargetDemand(SERVICE, ModelKey(f"m{399 - n}"), 1, 1.0, 1, 8.0) for n in range(count)
    ]
    context.demand.add_report(PoolDemand("daemon-1", tuple(requested), ()), 10.0)
    CountingTracker.lookups = CountingTracker.copy_lookups = 0


@then("what a server holds was looked up at most {most:d} times for each server")
def step_look_ups(context: Any, most: int) -> None:
    assert CountingTracker.lookups <= most * len(context.trackers), CountingTracker.lookups


@then("the copies of a server were looked up at most {most:d} times for each server")
def step_copy_lookups(context: Any, most: int) -> None:
    lookups = CountingTracker.copy_lookups
    assert lookups <= most * len(context.trackers), lookups


@when("reports of {name:w} show the load each {step:f} s until {last:f} s, its end at {end:f} s")
def step_slow_load(context: Any, name: str, step: float, last: float, end: float) -> None:
    tracker: ServerTracker = context.trackers[name]
    context.states_while_loading = []
    now = 14.3
    while now < last:
        now += step
        tracker.record_report(msgspec.structs.replace(report(["a"], {"a"}, 1), busy=True), now)
        tracker.complete_due_load(now, 0)
        state = (now, tracker.holds(ModelKey("c")), tracker.loading)
        context.states_while_loading.append(state)
    tracker.record_report(report(["a", "c"], {"a", "c"}, 1), end)
    context.finished = tracker.pop_finished_load()


@then("{name:w} did not hold c from {first:f} s to {last:f} s, and was loading it")
def step_not_held(context: Any, name: str, first: float, last: float) -> None:
    states = [state for state in context.states_while_loading if first <= state[0] <= last]
    assert states and all(not held and loading == "c" for _, held, loading in states), states
    assert context.trackers[name].holds(ModelKey("c"))


@then("the measured slowdown of the load is {times:f}")
def step_slowness(context: Any, times: float) -> None:
    assert abs(context.finished.slowdown - times) < 0.05, context.finished


@then("after a step of the leader {model:w} has {count:d} unserved requests")
def step_still_unserved(context: Any, model: str, count: int) -> None:
    servers, demand = list(context.trackers.values()), context.demand
    inputs = PlanInput(SERVICE, servers, demand, {}, context.now, True, False, 0)
    planner = Planner(inputs)
    planner.plan()
    planner.expectations()
    demand.reset_unserved(SERVICE, inputs.index.holders)
    assert [(each.key.target.model, each.requests) for each in demand.unserved_models()] == [
        (model, count)
    ]
