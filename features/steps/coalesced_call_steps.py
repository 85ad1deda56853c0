"""Steps for calls that concurrent callers share, in virtual time."""

import asyncio
import contextlib
from typing import Any

from behave import given, then, when

from features.support.virtual_time import run_in_virtual_time
from loomwind.coalescing import CoalescedCall


class CallFailed(Exception):
    """The failure of the call under test."""


class TimedCall:
    """A call that takes some time.

    :ivar count: how often it was made.
    """

    def __init__(self, seconds: float, fails: bool) -> None:
        self._seconds = seconds
        self._fails = fails
        self.count = 0

    async def make(self) -> None:
        """Make the call."""
        self.count += 1
        await asyncio.sleep(self._seconds)
        if self._fails:
            raise CallFailed


@given("a call that takes {seconds:f} s")
def step_call(context: Any, seconds: float) -> None:
    context.timed_call = TimedCall(seconds, fails=False)


@given("a call that fails after {seconds:f} s")
def step_failing_call(context: Any, seconds: float) -> None:
    context.timed_call = TimedCall(seconds, fails=True)


async def _ask(call: CoalescedCall, at_seconds: float) -> float:
    """Return when a caller that asks at some time had its result."""
    await asyncio.sleep(at_seconds)
    with contextlib.suppress(CallFailed):
        await call()
    return asyncio.get_running_loop().time()


@when("1 caller asks at {first:f} s, and {count:d} callers ask at {later:f} s")
def step_ask(context: Any, first: float, count: int, later: float) -> None:
    async def ask() -> list[float]:
        call = CoalescedCall(context.timed_call.make)
        times: list[float] = await asyncio.gather(
            *(_ask(call, at) for at in [first] + [later] * count)
        )
        return times

    context.last_result_seconds = max(run_in_virtual_time(ask()))


@when("2 callers ask at {first:f} s, and one of them leaves at {later:f} s")
def step_leave(context: Any, first: float, later: float) -> None:
    async def ask() -> float:
        call = CoalescedCall(context.timed_call.make)
        leaver, other = (asyncio.ensure_future(_ask(call, first)) for _ in range(2))
        await asyncio.sleep(later)
        leaver.cancel()
        return await other

    context.last_result_seconds = run_in_virtual_time(ask())


@then("the call was made {count:d} times, and the last caller had its result after {seconds:f} s")
def step_count(context: Any, count: int, seconds: float) -> None:
    assert (context.timed_call.count, context.last_result_seconds) == (count, seconds)


@then("the call was made once, and the other caller had its result after {seconds:f} s")
def step_once(context: Any, seconds: float) -> None:
    assert (context.timed_call.count, context.last_result_seconds) == (1, seconds)
