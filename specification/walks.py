"""Random walks over a model, used to compare the code with it step by step."""

import random
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from specification.model import State, Step


class WalkStep(NamedTuple):
    """One step of a walk."""

    label: str
    before: State
    after: State


def random_walk(
    source: random.Random,
    initial: State,
    steps_of: Callable[[State], Iterable[Step]],
    length: int,
) -> Iterator[WalkStep]:
    """Yield up to ``length`` random steps; stop early in a state without successors."""
    state = initial
    for _ in range(length):
        steps = list(steps_of(state))
        if not steps:
            return
        label, after = source.choice(steps)
        yield WalkStep(label, state, after)
        state = after
