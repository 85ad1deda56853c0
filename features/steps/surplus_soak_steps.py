"""A soak of repeated responses: ``behave features/surplus_soak.feature -D seed=N``.

``-D`` takes the same values as for the soak of pauses, and ``share``, the share of the responses
that are repeated.
"""

import functools
from typing import Any

from behave import given, then

from features.support.soak import SoakOptions
from features.support.surplus_soak import SurplusResult, run_surplus_soak
from standins.pool.repeats import Moment


@functools.cache
def _result(options: SoakOptions, share: float | None) -> SurplusResult:
    """Run the soak for the first scenario; the others judge the same run."""
    result = run_surplus_soak(options, share)
    print(result.result.summary)
    return result


@given(
    "a soak of repeated responses with {daemons:d} daemons for {seconds:d} s, seed {seed:d}, "
    "or as given"
)
def step_soak(context: Any, daemons: int, seconds: int, seed: int) -> None:
    userdata = context.config.userdata
    share = float(userdata["share"]) if "share" in userdata else None
    context.surplus = _result(SoakOptions.read(userdata, seed, seconds, daemons), share)
    context.soak = context.surplus.result


@then("servers sent copies while idle, before, with and around the next response")
def step_copies(context: Any) -> None:
    missing = [moment.name for moment in Moment if not context.surplus.copies[moment.name]]
    assert not missing, (missing, context.soak.summary)


@then("no request of the soak was refused and ran")
def step_refused(context: Any) -> None:
    context.soak.require_none("refused and ran")


@then("no request of the soak was answered with the response to another one")
def step_own_answers(context: Any) -> None:
    context.soak.require_none("foreign")


@then("no request of the soak was answered 502 because of a repeated response")
def step_not_lost(context: Any) -> None:
    context.soak.require_none("lost")


@then("no answer to an order was taken for another")
def step_orders(context: Any) -> None:
    context.soak.require_none("misread order")


@then("no order of the soak overcommitted a server")
def step_room(context: Any) -> None:
    context.soak.require_none("overcommitted")
