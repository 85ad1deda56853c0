"""Steps for the schedule of loads; no processes or clock."""

import itertools
from collections.abc import Sequence
from typing import Any

from attrs import evolve
from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import strategies as st

from features.steps.planner_steps import (
    FENCE,
    SERVICE,
    STORE_LOAD_S,
    plan,
    plan_input,
    profile,
    report,
)
from features.support.properties import examples
from loomwind.messages.serving import PoolDemand
from loomwind.placement.demand_view import DemandView
from loomwind.placement.load_schedule import RequestedLoad, schedule_loads
from loomwind.placement.plan import OrderPurpose
from loomwind.placement.planner import Planner
from loomwind.placement.server_tracker import ServerTracker
from loomwind.serving.demand import DECAY_PER_SECOND, TargetDemand
from loomwind.serving.views import (
    ModelKey,
    Order,
    OrderAnswer,
    OrderKind,
    ServerEntry,
    ServerState,
)

NEVER = float("-inf")


@given("a weight store with 1 place that is free, and loads of {load:d} s")
def step_free_place(context: Any, load: int) -> None:
    _begin(context, 0.0, load)


@given("a weight store with 1 place that is free in {free:d} s, and loads of {load:d} s")
def step_place(context: Any, free: int, load: int) -> None:
    _begin(context, float(free), load)


def _begin(context: Any, free_in: float, load_seconds: int) -> None:
    context.free_in = [free_in]
    context.load = RequestedLoad("", 0.0, float(load_seconds), 0.0, 1.0, 0.0)
    context.loads = {name: evolve(context.load, name=name) for name in "ab"}


def _change(context: Any, name: str, **changes: float) -> None:
    context.loads[name] = evolve(context.loads[name], **changes)


@given("a has been missing for {first:d} s, b for {second:d} s")
def step_missing(context: Any, first: int, second: int) -> None:
    _change(context, "a", missing_seconds=float(first))
    _change(context, "b", missing_seconds=float(second))


@given("a has priority {first:d}, b priority {second:d}")
def step_priority(context: Any, first: int, second: int) -> None:
    _change(context, "a", priority=float(first))
    _change(context, "b", priority=float(second))


@given("nobody waits for a, which is requested {count:d} times in 6 s")
def step_nobody(context: Any, count: int) -> None:
    _change(context, "a", latest_start_in=NEVER, callers=float(count))


@when(
    "{first:d} caller waits for a and stays for {stays:d} s, "
    "and {second:d} callers wait for b and stay for {others_stay:d} s"
)
def step_both_wait(context: Any, first: int, stays: int, second: int, others_stay: int) -> None:
    _wait(context, "a", first, stays)
    _wait(context, "b", second, others_stay)


@when("{count:d} caller waits for b and stays for {stays:d} s")
def step_one_waits(context: Any, count: int, stays: int) -> None:
    _wait(context, "b", count, stays)


def _wait(context: Any, name: str, callers: int, stays: int) -> None:
    latest_start_in = stays - context.load.load_seconds
    _change(context, name, callers=float(callers), latest_start_in=latest_start_in)


@then("the loads start in the order {names}")
def step_order(context: Any, names: str) -> None:
    scheduled = schedule_loads(list(context.loads.values()), context.free_in)
    assert [load.name for load in scheduled] == names.split(", "), scheduled


LEAVE_TIMES = st.lists(st.integers(0, 400).map(lambda tenths: tenths / 10), max_size=6)


@given("up to {count:d} models with one caller each, who leave at any time")
def step_any_models(context: Any, count: int) -> None:
    _begin(context, 0.0, 6)


@when("their loads of {load:d} s are scheduled on one place, in {count:d} runs")
def step_schedule(context: Any, load: int, count: int) -> None:
    context.worse = []

    @examples(count)
    @hypothesis_given(LEAVE_TIMES)
    def run(leave_times: list[float]) -> None:
        loads = [
            evolve(context.load, name=str(n), callers=1.0, latest_start_in=leaves_in - load)
            for n, leaves_in in enumerate(leave_times)
        ]
        reached = _started_in_time(schedule_loads(loads, context.free_in))
        best = max(map(_started_in_time, itertools.permutations(loads)))
        if reached < best:
            context.worse.append((leave_times, reached, best))

    run()


@then("as many loads start in time as in the best of all orders")
def step_best(context: Any) -> None:
    assert not context.worse, (len(context.worse), context.worse[0])


def _started_in_time(loads: Sequence[RequestedLoad]) -> int:
    """Return how many loads start in time if each begins when the one before it is done."""
    starts = itertools.accumulate((load.load_seconds for load in loads), initial=0.0)
    return sum(start <= load.latest_start_in for start, load in zip(starts, loads, strict=False))


@when("2 callers wait for c, and 1 caller of d is refused, returns, and waits")
def step_returns(context: Any) -> None:
    context.now = 20.0
    many = TargetDemand(SERVICE, ModelKey("c"), 2, 2.0, 1, 6.0)
    context.demand.add_report(PoolDemand("daemon-1", (many,), ()), 20.0)
    first = TargetDemand(SERVICE, ModelKey("d"), 0, 2.0, 1, 6.0)
    context.demand.add_report(PoolDemand("daemon-2", (first,), ()), 20.0)
    second = TargetDemand(SERVICE, ModelKey("d"), 1, 2.0, 1, 6.0)
    context.demand.add_report(PoolDemand("daemon-3", (second,), ()), 20.0)


@then("the plan makes room for c first")
def step_room_for_c(context: Any) -> None:
    loaded = [order.evicts_for or order.target.model for order in plan(context) if order]
    assert loaded == ["c"], loaded


@given("both servers load other models for {seconds:f} s more")
def step_busy(context: Any, seconds: float) -> None:
    context.now = 20.0
    for tracker, model in zip(context.trackers.values(), "gh", strict=True):
        order = Order(OrderKind.LOAD, ModelKey(model), tracker.entry.instance, "daemon", FENCE, 0)
        tracker.record_answer(order, OrderAnswer.ACCEPTED, context.now - STORE_LOAD_S + seconds)


@when("callers of c and d stay for {short:f} s, and callers of e and f for {long:f} s")
def step_short_and_long(context: Any, short: float, long: float) -> None:
    demand = tuple(
        TargetDemand(SERVICE, ModelKey(name), 1, 1.0, 1, stays, 0, None, stays)
        for name, stays in (("c", short), ("d", short), ("e", long), ("f", long))
    )
    context.demand.add_report(PoolDemand("daemon-1", demand, ()), context.now)


@then("e and f are expected within {seconds:f} s, c and d after that")
def step_expected_within(context: Any, seconds: float) -> None:
    planner = Planner(plan_input(context))
    planner.plan()
    expected = {each.key.target.model: each.ready_in_ms / 1000 for each in planner.expectations()}
    assert max(expected["e"], expected["f"]) < seconds, expected
    assert min(expected["c"], expected["d"]) > seconds, expected


@given("three holds nothing, and has copies of a and c on its disk")
def step_cached(context: Any) -> None:
    context.trackers["three"].record_report(report([], {"a", "c"}), 9.0)


@when("a caller of c stays for {stays:f} s at {now:f} s")
def step_caller_of_c(context: Any, stays: float, now: float) -> None:
    context.now = now
    requested = TargetDemand(SERVICE, ModelKey("c"), 1, 1.0, 1, stays, 0, None, stays)
    context.demand.add_report(PoolDemand("daemon-1", (requested,), ()), now)


@then("the plan loads a at three, as a further copy")
def step_further_copy(context: Any) -> None:
    loads = [(order.target.model, order.instance, order.purpose) for order in plan(context)]
    assert ("a", "three", OrderPurpose.FURTHER_COPY) in loads, loads


@given("a server with room for one model")
def step_one_place(context: Any) -> None:
    entry = ServerEntry("one", SERVICE, "a:1", "zone-a", 8, ServerState.READY)
    context.trackers = {"one": ServerTracker(entry, profile(50))}
    context.trackers["one"].record_report(report([], set()), 9.0)
    context.demand, context.now = DemandView(), 20.0


@when(
    "callers of c keep coming, the first of whom leaves in {first:f} s and the last in {last:f} s"
)
def step_keep_coming(context: Any, first: float, last: float) -> None:
    requested = TargetDemand(SERVICE, ModelKey("c"), 5, 5.0, 1, first, 0, None, last)
    context.demand.add_report(PoolDemand("daemon-1", (requested,), ()), context.now)


@when("callers of d stay for {stays:f} s")
def step_callers_of_d(context: Any, stays: float) -> None:
    requested = TargetDemand(SERVICE, ModelKey("d"), 1, 1.0, 1, stays, 0, None, stays)
    context.demand.add_report(PoolDemand("daemon-2", (requested,), ()), context.now)


@then("c is loaded first")
def step_c_first(context: Any) -> None:
    assert [order.target.model for order in plan(context)] == ["c"], plan(context)


@when("c was asked for in vain 4 times, and 2 callers of an adapter of c stay for {stays:f} s")
def step_adapter_caller(context: Any, stays: float) -> None:
    requested = TargetDemand(SERVICE, ModelKey("c", "a1"), 2, 6.0, 1, stays, 0, None, stays)
    context.demand.add_report(PoolDemand("daemon-1", (requested,), ()), context.now)


@when("c is requested {rate:d} times a second by callers that leave too soon for a load")
def step_impatient(context: Any, rate: int) -> None:
    requested = TargetDemand(SERVICE, ModelKey("c"), 0, rate / DECAY_PER_SECOND)
    context.demand.add_report(PoolDemand("daemon-1", (requested,), ()), context.now)
