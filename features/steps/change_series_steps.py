"""Signals and changes in series: ``behave features/change_series.feature -D seed=N``.

``-D`` takes the same values as for the soak of pauses.
"""

import functools
from typing import Any

from behave import given, then

from features.support.change_series import ChangeSeries
from features.support.pause_soak import SoakResult, run_soak
from features.support.soak import SoakOptions


@functools.cache
def _result(options: SoakOptions) -> SoakResult:
    """Run the series for the first scenario; the others judge the same run."""
    result = run_soak(options, ChangeSeries)
    print(result.summary)
    return result


@given(
    "a series of signals and changes at {daemons:d} daemons for {seconds:d} s, "
    "seed {seed:d}, or as given"
)
def step_series(context: Any, daemons: int, seconds: int, seed: int) -> None:
    userdata = context.config.userdata
    context.soak = _result(SoakOptions.read(userdata, seed, seconds, daemons))


@then("no stopping daemon closed a connection inside a request")
def step_not_inside(context: Any) -> None:
    context.soak.require_none("shut down inside")
