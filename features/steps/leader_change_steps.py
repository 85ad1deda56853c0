"""Steps about what a new leader begins with: pure parts, times are passed in."""

from typing import Any

from behave import given, then, when

from features.steps.planner_steps import SERVICE, plan, profile, report
from loomwind.clock import MS_PER_SECOND
from loomwind.placement.plan import PlanInput
from loomwind.placement.planner import Planner
from loomwind.placement.server_tracker import ServerTracker
from loomwind.placement.store_concurrency import FinishedLoad, StoreConcurrencyLimit
from loomwind.serving.residency import Residency, ServerHolding
from loomwind.serving.views import ServerEntry, ServerReport, ServerState

TOLERANCE_SECONDS = 0.5
LOAD_MS = 6000.0


@given("one and two hold nothing, and daemons were told at {now:f} s that one loads {model}")
def step_told(context: Any, now: float, model: str) -> None:
    context.residency = Residency()
    context.residency.update(ServerHolding("one", 1, (), model), now)
    context.residency.update(ServerHolding("two", 0, ()), now)


@when("a new leader reads at {now:f} s that one is busy and two is idle")
def step_reads(context: Any, now: float) -> None:
    states = {"one": ServerReport(1, True, ()), "two": report([], set())}
    for name, state in states.items():
        entry = ServerEntry(name, SERVICE, "a:1", "zone-a", 8, ServerState.READY)
        heard = context.residency.announced_load(name)
        context.trackers[name] = ServerTracker(entry, profile(100), heard)
        context.trackers[name].record_report(state, now)


@then("the plan of the new leader orders nothing")
def step_orders_nothing(context: Any) -> None:
    assert plan(context) == []


@then("the plan of the new leader loads {model} at {name}")
def step_orders(context: Any, model: str, name: str) -> None:
    orders = [(order.instance, str(order.target)) for order in plan(context)]
    assert orders == [(name, model)], orders


@then("{model:w} is expected at {at:f} s")
def step_expected(context: Any, model: str, at: float) -> None:
    given_input = PlanInput(
        SERVICE, list(context.trackers.values()), context.demand, {}, context.now, True
    )
    planner = Planner(given_input)
    planner.plan()
    ready_in = {e.key.target.model: e.ready_in_ms for e in planner.expectations()}[model]
    assert abs(context.now + ready_in / MS_PER_SECOND - at) < TOLERANCE_SECONDS, ready_in


@given("a leader that has learned that the weight store serves {served:d} loads at once")
def step_learned(context: Any, served: int) -> None:
    pace = StoreConcurrencyLimit()
    began_ms = 0.0
    while pace.limit > served:
        under_way = pace.limit
        slowdown = max(1.0, under_way / served)
        done_ms = began_ms + LOAD_MS * slowdown
        pace.observe(under_way, began_ms)
        pace.observe(under_way, done_ms)
        for _ in range(under_way):
            pace.record_finished(FinishedLoad(began_ms, done_ms, LOAD_MS), done_ms)
        began_ms = done_ms
    context.residency = Residency()
    context.residency.store_limits[SERVICE] = pace.snapshot(SERVICE)
    context.now_ms = began_ms


@when("another daemon leads")
def step_other_leads(context: Any) -> None:
    context.pace = StoreConcurrencyLimit(
        context.residency.store_limits.get(SERVICE), context.now_ms
    )


@then("it has {served:d} loads under way at once, and does not grow for a while")
def step_same_pace(context: Any, served: int) -> None:
    assert context.pace.limit == served
    context.pace.observe(served, context.now_ms)
    done_ms = context.now_ms + LOAD_MS
    context.pace.observe(served, done_ms)
    for _ in range(served):
        context.pace.record_finished(FinishedLoad(context.now_ms, done_ms, LOAD_MS), done_ms)
    assert context.pace.limit == served
