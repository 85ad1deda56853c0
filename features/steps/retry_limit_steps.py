"""Steps for the limits of the sends of one request. No processes."""

from typing import Any, cast

from behave import given, then, when

from features.steps.refusal_steps import NoBannedPrompts
from features.support.virtual_time import run_in_virtual_time
from loomwind.metrics import Metrics
from loomwind.serving.budget import RetryBudget
from loomwind.serving.errors import SendFailed
from loomwind.serving.prompt_guard import PromptGuard
from loomwind.serving.request_log import RequestProgress
from loomwind.serving.retry_policy import RetryPolicy
from loomwind.serving.views import CallerRequest, RequestKind, RouteRule, WeightedService

WINDOW_SECONDS = 10.0
NO_SERVER = "no server"
ANY_SERVER = "any server"


@given("a request that {count:d} servers may run, and a retry budget of {retries:d}")
def step_request(context: Any, count: int, retries: int) -> None:
    weighted = (WeightedService("tutor", 1),)
    kind = RequestKind.STREAMING
    route = RouteRule(
        "drill", "h", "/", kind, weighted, 10.0, 0.6, max_attempts=count, resumable=True
    )
    context.progress = RequestProgress()
    context.budget = RetryBudget(0.0, float(retries), WINDOW_SECONDS)
    context.policy = RetryPolicy(
        CallerRequest("id-1", "h", 10.0),
        route,
        context.budget,
        cast(PromptGuard, NoBannedPrompts()),
        Metrics(),
        context.progress,
        is_leaving=lambda: False,
        on_denied=lambda reason: None,
    )


@when("it was sent to {events}")
def step_events(context: Any, events: str) -> None:
    """Apply the events; the last server that it was sent to, or went on, has it."""
    for event in events.split(", "):
        server, _, what = event.partition(" ")
        _apply(context.progress, server, what)


@when("it is moved from {one:w} to {two:w}, and others spend all retries that are left")
def step_moved(context: Any, one: str, two: str) -> None:
    run_in_virtual_time(_move(context, one, two, goes_on=False))


@when(
    "it is moved from {one:w} to {two:w}, which goes on, and others spend all retries that are left"
)
def step_moved_on(context: Any, one: str, two: str) -> None:
    run_in_virtual_time(_move(context, one, two, goes_on=True))


async def _move(context: Any, one: str, two: str, goes_on: bool) -> None:
    policy, progress = context.policy, context.progress
    _apply(progress, one, "")
    assert policy.move_obstacle(one) is None and policy.try_spend_for_move()
    _apply(progress, two, "and moved there")
    policy.record_sent()
    if goes_on:
        policy.release_reserve()
    context.others_spent = 0
    while context.budget.try_spend(0.0):
        context.others_spent += 1


@then("others have spent {count:d} retry")
@then("others have spent {count:d} retries")
def step_others_spent(context: Any, count: int) -> None:
    assert context.others_spent == count


def _apply(progress: RequestProgress, server: str, what: str) -> None:
    if what in ("", "in vain", "and moved there"):
        previous, dropped = progress.server, what == "in vain"
        progress.record_sent(server)
        if dropped:
            progress.record_run(server)
            progress.server = previous
        elif what:
            progress.record_run(previous)
    else:
        assert what in ("which failed", "which rejected it"), what
        if progress.server != server:
            progress.record_sent(server)
        progress.record_failure(server, may_have_run=what == "which failed")


@then("while its server is silent, it may move to {servers}")
def step_may_move(context: Any, servers: str) -> None:
    silent = context.progress.server
    obstacle = run_in_virtual_time(_obstacle(context.policy, silent))
    allowed = context.policy.allowed_servers(silent)
    assert _describe(obstacle is None, None if allowed is None else allowed - {silent}) == servers


async def _obstacle(policy: RetryPolicy, silent: str) -> str | None:
    return policy.move_obstacle(silent)


@then("when its server fails, it may be sent to {servers}")
def step_may_retry(context: Any, servers: str) -> None:
    context.progress.record_failure(context.progress.server, may_have_run=True)
    may = run_in_virtual_time(_may_retry(context.policy))
    assert _describe(may, context.policy.allowed_servers()) == servers


async def _may_retry(policy: RetryPolicy) -> bool:
    return policy.may_retry(SendFailed("reset", may_have_run=True, broken=True))


def _describe(may: bool, allowed: set[str] | None) -> str:
    if not may:
        return NO_SERVER
    return ANY_SERVER if allowed is None else " or ".join(sorted(allowed))
