"""Steps for the initial state of a new leader; no processes, times are passed in."""

from typing import Any

from behave import given, then, when

from features.steps.planner_steps import SERVICE, plan, plan_input, profile, report
from loomwind.clock import MS_PER_SECOND
from loomwind.messages.serving import PoolDemand
from loomwind.placement.plan import PlanInput
from loomwind.placement.planner import Planner
from loomwind.placement.server_tracker import ServerTracker
from loomwind.placement.store_concurrency import FinishedLoad, StoreConcurrencyLimit
from loomwind.serving.demand import TargetDemand
from loomwind.serving.residency import Residency, ServerHolding
from loomwind.serving.views import ModelKey, ServerEntry, ServerReport, ServerState

TOLERANCE_SECONDS = 0.5
LOAD_MS = 6000.0


@given("one and two hold nothing, and the leader announced at {now:f} s that one loads {model}")
def step_announced(context: Any, now: float, model: str) -> None:
    context.residency = Residency()
    context.residency.update(ServerHolding("one", 1, (), model), now)
    context.residency.update(ServerHolding("two", 0, ()), now)


@when("a new leader reads at {now:f} s that one is busy and two is idle")
def step_new_leader_reads(context: Any, now: float) -> None:
    states = {"one": ServerReport(1, True, ()), "two": report([], set())}
    for name, state in states.items():
        entry = ServerEntry(name, SERVICE, "a:1", "zone-a", 8, ServerState.READY)
        announced_load = context.residency.announced_load(name)
        context.trackers[name] = ServerTracker(entry, profile(100), announced_load)
        context.trackers[name].record_report(state, now)


@then("the new leader's plan is empty")
def step_orders_nothing(context: Any) -> None:
    assert plan(context) == []


@then("the new leader's plan is to load {model} at {name}")
def step_orders(context: Any, model: str, name: str) -> None:
    orders = [(order.instance, str(order.target)) for order in plan(context)]
    assert orders == [(name, model)], orders


@then("{model:w} is expected at {at:f} s")
def step_expected(context: Any, model: str, at: float) -> None:
    plan_input = PlanInput(
        SERVICE, list(context.trackers.values()), context.demand, {}, context.now, True
    )
    planner = Planner(plan_input)
    planner.plan()
    ready_in = {e.key.target.model: e.ready_in_ms for e in planner.expectations()}[model]
    assert abs(context.now + ready_in / MS_PER_SECOND - at) < TOLERANCE_SECONDS, ready_in


@when("callers of {models} wait at {now:f} s and stay for {stays:f} s")
def step_callers(context: Any, models: str, now: float, stays: float) -> None:
    context.now = now
    names = models.replace(" and ", ", ").split(", ")
    waiting = tuple(
        TargetDemand(SERVICE, ModelKey(name), 1, 1.0, 1, stays, 0, None, stays) for name in names
    )
    context.demand.add_report(PoolDemand("daemon-1", waiting, ()), now)


@then("no caller is told a time of more than {seconds:f} s")
def step_told(context: Any, seconds: float) -> None:
    planner = Planner(plan_input(context))
    planner.plan()
    late = {
        each.key.target.model: each.ready_in_ms
        for each in planner.expectations()
        if each.ready_in_ms > seconds * MS_PER_SECOND
    }
    assert not late, late


@given("a leader that has learned a limit of {limit:d} concurrent weight store loads")
def step_learned(context: Any, limit: int) -> None:
    store_limit = StoreConcurrencyLimit()
    began_ms = 0.0
    while store_limit.limit > limit:
        under_way = store_limit.limit
        slowdown = max(1.0, under_way / limit)
        done_ms = began_ms + LOAD_MS * slowdown
        store_limit.observe(under_way, began_ms)
        store_limit.observe(under_way, done_ms)
        for _ in range(under_way):
            store_limit.record_finished(FinishedLoad(began_ms, done_ms, LOAD_MS), done_ms)
        began_ms = done_ms
    context.residency = Residency()
    context.residency.store_limits[SERVICE] = store_limit.snapshot(SERVICE)
    context.now_ms = began_ms


@when("a new leader takes the limit over")
def step_new_leader(context: Any) -> None:
    context.store_limit = StoreConcurrencyLimit(
        context.residency.store_limits.get(SERVICE), context.now_ms
    )


@then("its limit is {limit:d} and does not grow after {limit:d} fast loads")
def step_same_limit(context: Any, limit: int) -> None:
    assert context.store_limit.limit == limit
    context.store_limit.observe(limit, context.now_ms)
    done_ms = context.now_ms + LOAD_MS
    context.store_limit.observe(limit, done_ms)
    for _ in range(limit):
        context.store_limit.record_finished(FinishedLoad(context.now_ms, done_ms, LOAD_MS), done_ms)
    assert context.store_limit.limit == limit
