"""Steps for requests that may run only once, and whether they are sent again. No processes."""

import itertools
from typing import Any, cast

from behave import given, then

from features.steps.refusal_steps import SERVICE, TARGET, NoBannedPrompts
from features.support.virtual_time import run_in_virtual_time
from loomwind.metrics import Metrics
from loomwind.serving.budget import RetryBudget
from loomwind.serving.errors import SendFailed
from loomwind.serving.inactivity import event_silence_ms, start_silence_ms
from loomwind.serving.prompt_guard import PromptGuard
from loomwind.serving.request_log import RequestProgress
from loomwind.serving.retry_policy import RetryPolicy
from loomwind.serving.views import CallerRequest, RequestKind, RouteRule, WeightedService

KINDS = {
    "plain request": (RequestKind.NON_IDEMPOTENT, None),
    "model request": (RequestKind.NON_IDEMPOTENT, TARGET),
    "stream": (RequestKind.STREAMING, TARGET),
}
# What a failure may tell besides after the request was sent.
DETAILS = ("missing_target", "other_instance", "at_fault", "broken", "rejected")
MAX_ATTEMPTS = 4


@given("a once-only {kind}, and a budget with room for retries")
def step_once_only(context: Any, kind: str) -> None:
    route_kind, target = KINDS[kind]
    parts = (WeightedService(SERVICE, 1.0),)
    context.route = RouteRule("r", "h", "/", route_kind, parts, 30.0, 0.6, MAX_ATTEMPTS)
    context.progress = RequestProgress()
    context.policy = RetryPolicy(
        CallerRequest("id-1", "h", 30.0, target),
        context.route,
        RetryBudget(0.0, 1e6, 10.0),
        cast(PromptGuard, NoBannedPrompts()),
        Metrics(),
        context.progress,
        is_leaving=lambda: False,
        on_denied=lambda reason: None,
    )


@then("it is not sent again after any failure with which it may have run")
def step_no_retry(context: Any) -> None:
    run_in_virtual_time(_check_failures(context))


async def _check_failures(context: Any) -> None:
    for values in itertools.product((False, True), repeat=len(DETAILS)):
        details: dict[str, Any] = dict(zip(DETAILS, values, strict=True))
        assert not context.policy.may_retry(SendFailed("", may_have_run=True, **details)), details
        assert context.policy.may_retry(SendFailed("", may_have_run=False, **details)), details


@then("it waits for its server however long that is silent")
def step_waits(context: Any) -> None:
    assert start_silence_ms(context.route, 1000.0) is None
    for events, is_peer in itertools.product((0, 1, 20), (False, True)):
        assert event_silence_ms(context.route, 1000.0, events, is_peer) is None, (events, is_peer)


@then("it is not sent to another server beside the one that has it")
def step_not_moved(context: Any) -> None:
    context.progress.record_sent("i-1")
    assert run_in_virtual_time(_move_obstacle(context.policy)) is not None


async def _move_obstacle(policy: RetryPolicy) -> str | None:
    return policy.move_obstacle("i-1")
