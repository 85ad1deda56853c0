"""A soak of overload among restarts: ``behave features/overload_soak.feature -D seed=N``.

``-D seconds=N`` and ``-D daemons=N`` change its length and size.
"""

import functools
from typing import Any

from behave import given, then

from features.support.overload_soak import ALLOWED_FALLS, OverloadResult, run_overload_soak
from features.support.soak import SoakOptions


@functools.cache
def _result(options: SoakOptions) -> OverloadResult:
    """Run the soak for the first scenario; the others judge the same run."""
    result = run_overload_soak(options)
    print(result.summary())
    return result


@given("a soak of overload with {daemons:d} daemons for {seconds:d} s, seed {seed:d}, or as given")
def step_soak(context: Any, daemons: int, seconds: int, seed: int) -> None:
    userdata = context.config.userdata
    context.overload = _result(SoakOptions.read(userdata, seed, seconds, daemons))


@then("servers of the soak fell over no more often than is allowed")
def step_falls(context: Any) -> None:
    assert context.overload.falls <= ALLOWED_FALLS, context.overload.summary()


@then("every rejected request of the soak has a time to come back")
def step_come_back(context: Any) -> None:
    rejected = [each for each in context.overload.outcomes if each.status == 503]
    without = [each for each in rejected if each.retry_after_seconds is None]
    assert not without, (without[:3], context.overload.summary())


@then("no daemon of the overload ended by itself")
def step_own_ends(context: Any) -> None:
    assert not context.overload.own_ends, context.overload.summary()
