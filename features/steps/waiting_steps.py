"""Steps for waiting requests and pending demand; no processes, times are passed in."""

import re
from typing import Any

from behave import given, then, when

from features.steps.planner_steps import SERVICE, STORE_LOAD_S, plan
from loomwind.messages.serving import PoolDemand
from loomwind.placement.demand_view import DemandView
from loomwind.placement.plan import PlanInput
from loomwind.placement.planner import Planner
from loomwind.serving.demand import DemandKey, DemandTracker, ExpectedRetry, TargetDemand
from loomwind.serving.expectations import Expectations, ExpectedTarget
from loomwind.serving.views import ModelKey
from loomwind.serving.wait_policy import Refuse, RetryLater, Wait, WaitLimits, decide

MS = 1000.0
TOLERANCE_MS = 1.0
KEY = DemandKey(SERVICE, ModelKey("m1"))


@given(
    "a request that arrived at {arrived:f} s with {left:f} s left, "
    "whose caller gives up after {event_timeout:f} s"
)
def step_request(context: Any, arrived: float, left: float, event_timeout: float) -> None:
    context.limits = WaitLimits(arrived * MS, event_timeout * MS, (arrived + left) * MS)


@when("the leader's estimate at {now:f} s is {estimate}, and a load usually takes {usual:d} s")
def step_decide(context: Any, estimate: str, now: float, usual: int) -> None:
    found = re.search(r"[\d.]+", estimate)
    ready_in_ms = float(found[0]) * MS if found else None
    context.decision = decide(context.limits, now * MS, ready_in_ms, usual * MS)


@then("the request waits")
def step_waits(context: Any) -> None:
    assert isinstance(context.decision, Wait), context.decision
    assert context.decision.until_ms == context.limits.wait_until_ms


@then("the request waits for an estimate until {until:f} s")
def step_waits_for_estimate(context: Any, until: float) -> None:
    assert context.decision == Wait(until * MS), context.decision


@then("the request is to be retried after {after:f} s")
def step_retry(context: Any, after: float) -> None:
    assert isinstance(context.decision, RetryLater), context.decision
    assert abs(context.decision.after_ms - after * MS) < TOLERANCE_MS, context.decision


@then("the request is refused, with a retry time of {after:f} s")
def step_refused(context: Any, after: float) -> None:
    assert isinstance(context.decision, Refuse), context.decision
    assert context.decision.after_ms is not None
    assert abs(context.decision.after_ms - after * MS) < TOLERANCE_MS, context.decision


@given("the leader estimated at {now:f} s that m1 is ready in {ready_in:f} s")
def step_estimated(context: Any, now: float, ready_in: float) -> None:
    context.expectations = Expectations()
    context.expectations.update([ExpectedTarget(KEY, ready_in * MS)], now * MS)


@then("m1 is expected in {ready_in:f} s at {now:f} s")
def step_is_expected(context: Any, ready_in: float, now: float) -> None:
    known = context.expectations.ready_in_ms(KEY, now * MS)
    assert known is not None and abs(known - ready_in * MS) < TOLERANCE_MS, known


@then("there is no estimate for m1 at {now:f} s")
def step_no_estimate(context: Any, now: float) -> None:
    assert context.expectations.ready_in_ms(KEY, now * MS) is None


@given("a demand tracker, and an expected retry for m1 that is due at {due:f} s")
def step_expected_retry(context: Any, due: float) -> None:
    context.tracker = DemandTracker()
    context.tracker.add_expected_retry(KEY, ExpectedRetry(due + 5.0, 1, due))


@then(
    "the demand report has {waiting:d} waiting requests and {expected_retries:d} expected retries "
    "at {now:f} s"
)
def step_report(context: Any, waiting: int, expected_retries: int, now: float) -> None:
    (report,) = context.tracker.take_report(now)
    assert (report.waiting, report.expected_retries) == (waiting, expected_retries), report


@then("the demand report is empty at {now:f} s")
def step_report_empty(context: Any, now: float) -> None:
    assert context.tracker.take_report(now) == ()


def model_demand(
    name: str, arrivals: float, waiting: int = 1, expected_retries: int = 0
) -> TargetDemand:
    """Return the demand for a model whose callers all leave at the same time."""
    return TargetDemand(SERVICE, ModelKey(name), waiting, arrivals, 1, 8.0, expected_retries)


@when("requests wait for m1 after 3 arrivals, at {now:f} s")
def step_pending_models(context: Any, now: float) -> None:
    context.demand.add_report(PoolDemand("daemon-1", (model_demand("m1", 3.0),), ()), now)
    context.now = now


@when("servers hold m1 by {now:f} s")
def step_held(context: Any, now: float) -> None:
    context.demand.reset_unserved(SERVICE, ["m1"])
    context.now = now


@then("m1 has {count:d} unserved requests")
def step_unserved(context: Any, count: int) -> None:
    pending = next(w for w in context.demand.pending_demand(context.now) if w.key == KEY)
    assert pending.unserved == count, pending


@when("requests wait for c and d at {now:f} s, and no more loads may begin")
def step_two_models_wait(context: Any, now: float) -> None:
    demand = (model_demand("c", 1.0), model_demand("d", 1.0))
    context.demand.add_report(PoolDemand("daemon-1", demand, ()), now)
    context.now = now


@then("c is expected in about {first:d} s, and d in about {second:d} s")
def step_expected(context: Any, first: int, second: int) -> None:
    servers = list(context.trackers.values())
    plan_input = PlanInput(SERVICE, servers, context.demand, {}, context.now, True, False, 0)
    planner = Planner(plan_input)
    assert planner.plan() == []
    expected = {each.key.target.model: each.ready_in_ms / MS for each in planner.expectations()}
    assert abs(expected["c"] - first) < 0.5, expected
    assert abs(expected["d"] - second) < 0.5, expected
    assert expected["d"] - expected["c"] >= STORE_LOAD_S


@when(
    "requests wait for c, which is requested {rate:d} times per second, and no more loads may begin"
)
def step_constant_requests(context: Any, rate: int) -> None:
    context.demand = DemandView()
    for step in range(40):
        arrivals = rate * 0.5
        context.demand.add_report(
            PoolDemand("daemon-1", (model_demand("c", arrivals),), ()), step * 0.5
        )
        context.now = step * 0.5
    context.store_loads_left = 0


@then("the plan is to load c")
def step_loads_c(context: Any) -> None:
    orders = plan(context)
    assert [str(order.target) for order in orders] == ["c"], orders
