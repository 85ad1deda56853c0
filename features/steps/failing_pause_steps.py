"""Pauses beside failures: ``behave features/failing_pauses.feature -D seed=N``.

``-D`` takes the same values as for the soak of pauses.
"""

import functools
from typing import Any

from behave import given

from features.support.failing_pauses import FailingPauses
from features.support.pause_soak import SoakResult, run_soak
from features.support.soak import SoakOptions


@functools.cache
def _result(options: SoakOptions) -> SoakResult:
    """Run the soak for the first scenario; the others judge the same run."""
    result = run_soak(options, FailingPauses)
    print(result.summary)
    return result


@given(
    "pauses beside failures at {daemons:d} daemons for {seconds:d} s, seed {seed:d}, or as given"
)
def step_failing_pauses(context: Any, daemons: int, seconds: int, seed: int) -> None:
    userdata = context.config.userdata
    context.soak = _result(SoakOptions.read(userdata, seed, seconds, daemons))
