"""A soak of pauses among changes and restarts: ``behave features/pause_soak.feature -D seed=N``.

``-D seconds=N`` and ``-D daemons=N`` change its length and size; ``-D keep=FOLDER`` keeps the logs
of a run that broke a rule.
"""

import functools
from typing import Any

from behave import given, then

from features.support.pause_soak import SoakResult, run_soak
from features.support.soak import SoakOptions


@functools.cache
def _result(options: SoakOptions) -> SoakResult:
    """Run the soak for the first scenario; the others judge the same run."""
    result = run_soak(options)
    print(result.summary)
    return result


@given("a soak of pauses with {daemons:d} daemons for {seconds:d} s, seed {seed:d}, or as given")
def step_soak(context: Any, daemons: int, seconds: int, seed: int) -> None:
    userdata = context.config.userdata
    context.soak = _result(SoakOptions.read(userdata, seed, seconds, daemons))


@then("every request that was read was answered completely")
def step_answered(context: Any) -> None:
    context.soak.require_none("unanswered")


@then("no request on a permanent route was answered with 404")
def step_not_denied(context: Any) -> None:
    context.soak.require_none("denied")


@then("no stream of the soak has events of two software versions")
def step_one_version(context: Any) -> None:
    context.soak.require_none("joined")


@then("no stream of the soak lacks or repeats an event")
def step_in_order(context: Any) -> None:
    context.soak.require_none("disordered")


@then("no stream of the soak is closed as complete before its last event")
def step_to_its_end(context: Any) -> None:
    context.soak.require_none("early end")


@then("no request that cannot be repeated ran twice, or ran although it was refused")
def step_ran_once(context: Any) -> None:
    context.soak.require_none("repeated")


@then("no two servers worked on one request at the same time for long")
def step_not_concurrent(context: Any) -> None:
    context.soak.require_none("concurrent")


@then("no daemon of the soak ended by itself")
def step_no_own_ends(context: Any) -> None:
    context.soak.require_none("own end")


@then("every daemon became ready again and served every route")
def step_recovered(context: Any) -> None:
    context.soak.require_none("not recovered")
