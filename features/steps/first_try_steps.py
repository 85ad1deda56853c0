"""Steps for callers that wait for their model while it comes in time."""

import asyncio
from typing import Any, cast

from attrs import define, field
from behave import given, then, when

from features.support.virtual_time import VirtualTimeLoop
from loomwind.serving.demand import DemandKey, DemandTracker
from loomwind.serving.expectations import Expectations, ExpectedTarget
from loomwind.serving.handler import RequestHandler
from loomwind.serving.model_wait import ModelWait
from loomwind.serving.views import CallerRequest, ModelKey, RequestKind, RouteRule, WeightedService
from loomwind.serving.wait_policy import is_first_try

MS = 1000.0
KEY = DemandKey("tutor", ModelKey("m1"))
TIMEOUT_SECONDS = 15.0


@define
class WaitingPool:
    """The parts of a pool that a wait needs."""

    demand: DemandTracker = field(factory=DemandTracker)
    expectations: Expectations = field(factory=Expectations)


@define
class WaitingHandler:
    """The parts of a request handler that a wait needs."""

    pool: WaitingPool = field(factory=WaitingPool)

    @staticmethod
    def now() -> float:
        """Return the time of the event loop in seconds."""
        return asyncio.get_running_loop().time()

    @staticmethod
    def expected_load_ms(key: DemandKey) -> float:
        """Return how long an unqueued load takes."""
        return 6.0 * MS


@given("a caller with {remaining:f} s of {timeout:d} s left, whose request {kind}")
def step_caller(context: Any, remaining: float, timeout: int, kind: str) -> None:
    context.first_try = is_first_try(remaining * MS, timeout * MS, kind == "resumes a stream")


@then("its try is {tries}")
def step_try(context: Any, tries: str) -> None:
    assert context.first_try == (tries == "the first time"), context.first_try


@given("a model server that holds nothing, and a wait of a caller that resumes its stream")
def step_wait(context: Any) -> None:
    context.runner = asyncio.Runner(loop_factory=VirtualTimeLoop)
    context.add_cleanup(context.runner.close)
    context.handler = WaitingHandler()
    context.route = waiting_route(objective_seconds=0.6, event_timeout_seconds=2.4)
    context.caller = CallerRequest(
        "retry", "h", TIMEOUT_SECONDS, last_event_id="3", origin_id="first"
    )


@given(
    "a route with an objective of {objective:f} s, "
    "whose callers wait up to {stays:f} s for an event"
)
def step_route(context: Any, objective: float, stays: float) -> None:
    context.runner = asyncio.Runner(loop_factory=VirtualTimeLoop)
    context.add_cleanup(context.runner.close)
    context.handler = WaitingHandler()
    context.route = waiting_route(objective, stays)
    context.caller = CallerRequest("first", "h", TIMEOUT_SECONDS)


@when("the leader's estimate is {ready_in:f} s")
def step_estimate(context: Any, ready_in: float) -> None:
    context.ready_in_ms = ready_in * MS


@then("the wait goes on")
def step_goes_on(context: Any) -> None:
    context.runner.run(_wait(context.handler, context.route, context.caller, context.ready_in_ms))


def waiting_route(objective_seconds: float, event_timeout_seconds: float) -> RouteRule:
    """Return a route of resumable streams."""
    return RouteRule(
        "drill",
        "h",
        "/",
        RequestKind.STREAMING,
        (WeightedService("tutor", 1),),
        timeout_seconds=TIMEOUT_SECONDS,
        objective_seconds=objective_seconds,
        resumable=True,
        event_timeout_seconds=event_timeout_seconds,
    )


async def _wait(
    handler: WaitingHandler, route: RouteRule, caller: CallerRequest, ready_in_ms: float
) -> None:
    """Wait for a change once; a refusal would be raised."""
    now = handler.now()
    handler.pool.expectations.update([ExpectedTarget(KEY, ready_in_ms)], now * MS)
    wait = ModelWait(cast(RequestHandler, handler), KEY, route, caller, now, now + TIMEOUT_SECONDS)
    with wait:
        await wait.wait_for_change(may_retry=True)
