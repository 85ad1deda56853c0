"""Steps for callers that wait for their model while it comes in time."""

import asyncio
from typing import Any, cast

from attrs import define, field, frozen
from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import strategies as st

from features.steps.planner_steps import SERVICE, profile, report
from features.support.properties import examples
from features.support.virtual_time import VirtualTimeLoop
from loomwind.messages.serving import PoolDemand
from loomwind.placement.demand_view import DemandView
from loomwind.placement.plan import PlanInput
from loomwind.placement.planner import Planner
from loomwind.placement.server_tracker import ServerTracker
from loomwind.serving.demand import DemandKey, DemandTracker, TargetDemand
from loomwind.serving.errors import ModelUnavailable
from loomwind.serving.expectations import Expectations, ExpectedTarget
from loomwind.serving.handler import RequestHandler
from loomwind.serving.model_wait import ModelWait
from loomwind.serving.views import (
    CallerRequest,
    ModelKey,
    RequestKind,
    RouteRule,
    ServerEntry,
    ServerState,
    WeightedService,
)

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


@given("a model server that holds nothing, and a wait of a caller that resumes its stream")
def step_wait(context: Any) -> None:
    context.runner = asyncio.Runner(loop_factory=VirtualTimeLoop)
    context.add_cleanup(context.runner.close)
    context.handler = WaitingHandler()
    context.route = waiting_route(0.6, 2.4)
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


@then("the caller is not sent away")
def step_goes_on(context: Any) -> None:
    context.runner.run(_wait(context.handler, context.route, context.caller, context.ready_in_ms))


def waiting_route(
    objective_seconds: float,
    event_timeout_seconds: float,
    timeout_seconds: float = TIMEOUT_SECONDS,
    priority: int = 0,
) -> RouteRule:
    """Return a route of resumable streams."""
    return RouteRule(
        "drill",
        "h",
        "/",
        RequestKind.STREAMING,
        (WeightedService("tutor", 1),),
        timeout_seconds=timeout_seconds,
        objective_seconds=objective_seconds,
        resumable=True,
        event_timeout_seconds=event_timeout_seconds,
        priority=priority,
    )


@frozen
class CallerCase:
    """A caller that waits for its model.

    :ivar timeouts: how long two routes let callers wait, as factors of what this one has left.
    """

    remaining: float
    stays: float
    ready_in: float
    timeouts: tuple[float, float]


@frozen
class Outcome:
    """What became of a request, and what the leader hears of it afterwards."""

    retry_after: float | None
    reported: tuple[TargetDemand, ...]


TIMES = st.integers(1, 200).map(lambda tenths: tenths / 10)
TIMEOUT_FACTORS = st.sampled_from([1.0, 1.05, 1.2, 2.0])
CALLERS = st.builds(CallerCase, TIMES, TIMES, TIMES, st.tuples(TIMEOUT_FACTORS, TIMEOUT_FACTORS))


@given(
    "callers of routes with any time-out, of which some came before, and any estimate of the leader"
)
def step_callers(context: Any) -> None:
    context.runner = asyncio.Runner(loop_factory=VirtualTimeLoop)
    context.add_cleanup(context.runner.close)


@when(
    "a request of a route with a long time-out and one of a route with a short one have "
    "the same time left, in {count:d} runs"
)
def step_same_time_left(context: Any, count: int) -> None:
    context.different = []

    @examples(count)
    @hypothesis_given(CALLERS)
    def run(case: CallerCase) -> None:
        first, second = (_outcome(context.runner, case, factor) for factor in case.timeouts)
        if first != second:
            context.different.append((case, first, second))

    run()


@then("both get the same decision, and the leader hears of both alike")
def step_same_decision(context: Any) -> None:
    assert not context.different, (len(context.different), context.different[0])


def _outcome(runner: asyncio.Runner, case: CallerCase, timeout_factor: float) -> Outcome:
    """Return what becomes of a request on a route whose time-out is a multiple of what is left."""
    handler = WaitingHandler()
    route = waiting_route(1.0, case.stays, timeout_factor * case.remaining)
    caller = CallerRequest("any", "h", case.remaining)
    try:
        runner.run(_wait(handler, route, caller, case.ready_in * MS))
        retry_after = None
    except ModelUnavailable as refusal:
        retry_after = refusal.ready_in_seconds
    return Outcome(retry_after, handler.pool.demand.take_report(0.0))


async def _wait(
    handler: WaitingHandler, route: RouteRule, caller: CallerRequest, ready_in_ms: float
) -> None:
    """Wait for a change once; a refusal would be raised."""
    now = handler.now()
    handler.pool.expectations.update([ExpectedTarget(KEY, ready_in_ms)], now * MS)
    remaining = caller.remaining_seconds or TIMEOUT_SECONDS
    wait = ModelWait(cast(RequestHandler, handler), KEY, route, caller, now, now + remaining)
    with wait:
        await wait.wait_for_change(may_retry=True)


CHAT_MODEL, DRAFT_MODEL = "a", "b"


@given(
    "a model server with room for one model, a chat route with an objective of {chat:f} s "
    "and a draft route with one of {draft:f} s"
)
def step_one_place(context: Any, chat: float, draft: float) -> None:
    context.chat_objective, context.draft_objective = chat, draft
    context.runner = asyncio.Runner(loop_factory=VirtualTimeLoop)
    context.add_cleanup(context.runner.close)
    context.handler = WaitingHandler()
    entry = ServerEntry("one", SERVICE, "a:1", "zone-a", 8, ServerState.READY)
    context.tracker = ServerTracker(entry, profile(50))
    context.tracker.record_report(report([], set()), 0.0)


@when(
    "a caller of the chat route, priority {priority:d}, that stays for {stays:f} s "
    "waits for a model"
)
def step_chat_waits(context: Any, priority: int, stays: float) -> None:
    _begin_wait(context, CHAT_MODEL, waiting_route(context.chat_objective, stays, 60.0, priority))


@when(
    "a caller of the draft route, priority {priority:d}, that stays for {stays:f} s "
    "waits for another one"
)
def step_draft_waits(context: Any, priority: int, stays: float) -> None:
    _begin_wait(context, DRAFT_MODEL, waiting_route(context.draft_objective, stays, 60.0, priority))


def _begin_wait(context: Any, model: str, route: RouteRule) -> None:
    key = DemandKey(SERVICE, ModelKey(model))
    caller = CallerRequest("any", "h", 60.0)
    ModelWait(context.handler, key, route, caller, 0.0, 60.0).__enter__()


@then("the model of the {route} route is loaded first")
def step_loaded_first(context: Any, route: str) -> None:
    demand = DemandView()
    demand.add_report(PoolDemand("daemon-1", context.handler.pool.demand.take_report(0.0), ()), 0.0)
    orders = Planner(PlanInput(SERVICE, [context.tracker], demand, {}, 0.0, True)).plan()
    expected = CHAT_MODEL if route == "chat" else DRAFT_MODEL
    assert [order.target.model for order in orders] == [expected], orders
