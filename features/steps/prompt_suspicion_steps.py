"""Steps for prompt parts that are suspected to crash servers; no processes."""

import itertools
from typing import Any

from behave import given, then, when

from loomwind.serving.prompt_suspicion import Crash, PromptSuspicions, SharedPart


@given("prompts with the shared parts route and session, and a unique last part")
def step_parts(context: Any) -> None:
    context.suspicions = PromptSuspicions()
    context.instances = (f"i-{number}" for number in itertools.count())
    context.now_ms = 0.0


@when("servers crash at {times} ms under {first:w} and {second:w}")
@when("a server crashes at {times} ms under {first:w} and {second:w}")
def step_end(context: Any, times: str, first: str, second: str) -> None:
    for text in times.replace(" and ", ", ").split(", "):
        crash = Crash(next(context.instances), float(text))
        for position, identity in enumerate((first, second)):
            part = SharedPart(identity, position)
            context.suspicions.record_crash(part, crash, crash.at_ms)
        context.suspicions.ban_suspects(crash.at_ms)
        context.now_ms = crash.at_ms


@when("a request with {first:w} and {second:w} is answered completely at {at_ms:d} ms")
def step_answered(context: Any, first: str, second: str, at_ms: int) -> None:
    context.suspicions.record_answered((first, second), float(at_ms))


@then("{identity:w} is banned")
def step_banned(context: Any, identity: str) -> None:
    assert context.suspicions.banned_for_ms((identity,), context.now_ms) > 0


@then("{identity:w} is banned until {until_ms:d} ms")
def step_banned_until(context: Any, identity: str, until_ms: int) -> None:
    left_ms = context.suspicions.banned_for_ms((identity,), context.now_ms)
    assert context.now_ms + left_ms == until_ms, context.now_ms + left_ms


@then("{identity:w} is not banned")
def step_not_banned(context: Any, identity: str) -> None:
    assert context.suspicions.banned_for_ms((identity,), context.now_ms) == 0


@then("a request with {identity:w} may be retried")
def step_may_repeat(context: Any, identity: str) -> None:
    assert context.suspicions.may_retry((identity,))


@then("a request with {identity:w} may not be retried")
def step_may_not_repeat(context: Any, identity: str) -> None:
    assert not context.suspicions.may_retry((identity,))
