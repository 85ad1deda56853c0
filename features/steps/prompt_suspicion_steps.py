"""Steps for prompt parts that are suspected to crash servers; no processes."""

import itertools
from typing import Any

from behave import given, then, when

from loomwind.serving.prompt_suspicion import (
    WHOLE_REQUEST_POSITION,
    Crash,
    PromptSuspicions,
    Suspect,
)


@given("prompts with the shared parts route and session, and a unique last part")
def step_parts(context: Any) -> None:
    context.heard = {}
    context.look_ups = 0

    def is_heard_since(instance: str, at_ms: float) -> bool:
        context.look_ups += 1
        return bool(context.heard.get(instance, -1.0) > at_ms)

    context.suspicions = PromptSuspicions(is_heard_since)
    context.instances = (f"i-{number}" for number in itertools.count())
    context.now_ms = 0.0


@when("servers crash at {times} ms under {first:w} and {second:w}")
@when("a server crashes at {times} ms under {first:w} and {second:w}")
def step_end(context: Any, times: str, first: str, second: str) -> None:
    for text in times.replace(" and ", ", ").split(", "):
        crash = Crash(next(context.instances), float(text))
        for position, identity in enumerate((first, second)):
            part = Suspect(identity, position)
            context.suspicions.record_crash(part, crash, crash.at_ms)
        context.suspicions.ban_suspects(crash.at_ms)
        context.now_ms = crash.at_ms


@when(
    "servers crash at {times} ms under {first:w} and {second:w} and the request {name:w}, "
    "each up {up_ms:d} ms before"
)
def step_request_crashes_up(
    context: Any, times: str, first: str, second: str, name: str, up_ms: int
) -> None:
    _crash_request(context, times, first, second, name, up_ms)


@when("servers crash at {times} ms under {first:w} and {second:w} and the request {name:w}")
def step_request_crashes(context: Any, times: str, first: str, second: str, name: str) -> None:
    _crash_request(context, times, first, second, name, None)


def _crash_request(
    context: Any, times: str, first: str, second: str, name: str, up_ms: int | None
) -> None:
    context.crashed = []
    for text in times.replace(" and ", ", ").split(", "):
        at_ms = float(text)
        up_at_ms = None if up_ms is None else at_ms - up_ms
        crash = Crash(next(context.instances), at_ms, up_at_ms)
        context.crashed.append(crash)
        suspects = [Suspect(first, 0), Suspect(second, 1), Suspect(name, WHOLE_REQUEST_POSITION)]
        for suspect in suspects:
            context.suspicions.record_crash(suspect, crash, crash.at_ms)
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


@when("the request {name:w} is answered completely at {at_ms:d} ms")
def step_request_answered(context: Any, name: str, at_ms: int) -> None:
    context.suspicions.record_answered((name,), float(at_ms))


@then("the request {name:w} is banned")
def step_request_banned(context: Any, name: str) -> None:
    assert context.suspicions.banned_for_ms((name,), context.now_ms) > 0


@then("the request {name:w} is not banned")
def step_request_not_banned(context: Any, name: str) -> None:
    assert context.suspicions.banned_for_ms((name,), context.now_ms) == 0


@when(
    "a server crashes under {count:d} requests that share {first:w} and {second:w}, "
    "and another one again"
)
def step_many_requests(context: Any, count: int, first: str, second: str) -> None:
    """Record what daemons report of two crashes, one request after the other."""
    for at_ms in (0.0, 400.0):
        crash = Crash(next(context.instances), at_ms)
        for number in range(count):
            request = Suspect(f"request-{number}", WHOLE_REQUEST_POSITION)
            for suspect in (Suspect(first, 0), Suspect(second, 1), request):
                context.suspicions.record_crash(suspect, crash, at_ms)
            context.suspicions.ban_suspects(at_ms)


@then("servers were looked up at most {count:d} times")
def step_look_ups(context: Any, count: int) -> None:
    assert context.look_ups <= count, context.look_ups


@when("the last of them is heard at {at_ms:d} ms")
def step_heard(context: Any, at_ms: int) -> None:
    context.heard[context.crashed[-1].instance] = float(at_ms)
