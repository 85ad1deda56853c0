"""Steps for demand reports at long intervals; times are passed in."""

from typing import Any

from behave import given, then, when

from features.steps.planner_steps import SERVICE
from loomwind.clock import MS_PER_SECOND
from loomwind.messages.serving import PoolDemand
from loomwind.placement.demand_view import DemandView
from loomwind.placement.expectation_notices import ExpectationNotices
from loomwind.serving.demand import DemandKey, TargetDemand
from loomwind.serving.expectations import ExpectedTarget
from loomwind.serving.views import ModelKey

KEY = DemandKey(SERVICE, ModelKey("m1"))
DAEMON = "daemon-1"


def is_notice_due(context: Any, now: float, ready_in: float, reported: bool = False) -> bool:
    """Return whether a notice with the model's ready time is due now."""
    expected = {KEY: ExpectedTarget(KEY, ready_in * MS_PER_SECOND)}
    names = {DAEMON} if reported else set()
    return bool(context.notices.due({DAEMON: [KEY]}, expected, names, now * MS_PER_SECOND))


@given("daemons that report every {interval:f} s")
def step_interval(context: Any, interval: float) -> None:
    context.interval_ms = interval * MS_PER_SECOND


@when("one reports at {now:f} s that a request waits for m1")
def step_reports(context: Any, now: float) -> None:
    context.demand = DemandView()
    waits = TargetDemand(SERVICE, KEY.target, 1, 1.0, 1, 8.0)
    report = PoolDemand(DAEMON, (waits,), (), next_report_in_ms=context.interval_ms)
    context.demand.add_report(report, now)


@then("the leader counts it at {now:f} s")
def step_counted(context: Any, now: float) -> None:
    assert [pending.waiting for pending in context.demand.pending_demand(now)] == [1]


@then("the leader no longer counts it at {now:f} s")
def step_not_counted(context: Any, now: float) -> None:
    assert context.demand.pending_demand(now) == []


@given("a daemon got a notice at {now:f} s that m1 is ready in {ready_in:f} s")
def step_got_notice(context: Any, now: float, ready_in: float) -> None:
    context.notices = ExpectationNotices()
    assert is_notice_due(context, now, ready_in, reported=True)


@then("it gets a notice at {now:f} s if m1 is ready in {ready_in:f} s")
def step_gets_notice(context: Any, now: float, ready_in: float) -> None:
    assert is_notice_due(context, now, ready_in)


@then("it gets no notice at {now:f} s if m1 is ready in {ready_in:f} s")
def step_gets_no_notice(context: Any, now: float, ready_in: float) -> None:
    assert not is_notice_due(context, now, ready_in)
