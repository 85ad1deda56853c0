"""Settings that the property tests share: each run draws the same examples, and keeps none."""

from collections.abc import Callable
from typing import Any

from hypothesis import HealthCheck, Phase, seed, settings

# Fixes the examples. Without it, derandomize derives the seed from the source text of the test.
EXAMPLES_SEED = 20261205


def examples(count: int) -> Callable[[Any], Any]:
    """Return a decorator that runs a property on a number of generated examples."""

    def decorate(test: Any) -> Any:
        return seed(EXAMPLES_SEED)(
            settings(
                max_examples=count,
                derandomize=True,
                database=None,
                deadline=None,
                phases=[Phase.generate],
                suppress_health_check=list(HealthCheck),
            )(test)
        )

    return decorate
