"""Adaptive limit on concurrent loads from the weight store.

Above some concurrency, which is not configured, each load slows down in proportion: more loads add
no throughput and keep servers busy longer. While no load is slow, the limit stays ahead of the
concurrency by GROWTH_FACTOR; when loads slow down it falls to the capacity that they measure. A
load that began before the limit fell measures the same capacity, so that one congestion is answered
once. After PROBE_AFTER_MS without a slow load the limit grows by one per load time. Pure: the time
is an argument.
"""

import math
from collections import deque
from collections.abc import Sequence

import attrs

from loomwind.placement.store_capacity import LoadTimeline
from loomwind.serving.residency import LearnedConcurrencyLimit

INITIAL_LIMIT = 4
SLOW_LOAD_FACTOR = 1.15
OVERDUE_FACTOR = 1.3
# By this factor the limit exceeds the concurrency that was shown to be no congestion.
GROWTH_FACTOR = 2.0
# A load is also slow on a server that runs many requests, so the store counts as slow only after
# this many slow loads in a row.
CONSECUTIVE_SLOW_LOADS = 3
PROBE_AFTER_MS = 20_000.0


@attrs.frozen
class FinishedLoad:
    """A finished load from the weight store.

    :ivar began_ms: start time.
    :ivar done_ms: end time.
    :ivar expected_ms: expected duration by the model's profile.
    """

    began_ms: float
    done_ms: float
    expected_ms: float

    @property
    def slowdown(self) -> float:
        """Return the actual duration divided by the expected one, at least 1."""
        return max(1.0, (self.done_ms - self.began_ms) / max(1.0, self.expected_ms))


@attrs.frozen
class LoadInProgress:
    """A load from the weight store that is in progress.

    :ivar began_ms: start time.
    :ivar expected_ms: expected duration by the model's profile.
    """

    began_ms: float
    expected_ms: float

    def slowdown(self, now_ms: float) -> float:
        """Return the elapsed time divided by the expected duration."""
        return (now_ms - self.began_ms) / max(1.0, self.expected_ms)


@attrs.frozen
class _LoadMeasurement:
    """The slowdown of one load and the capacity that it measured."""

    slowdown: float
    capacity: float


class StoreConcurrencyLimit:
    """Limit on concurrent loads that adapts to the slowdown of loads."""

    def __init__(self, learned: LearnedConcurrencyLimit | None = None, now_ms: float = 0.0) -> None:
        """Initialize the limit.

        :param learned: the state that the previous leader learned, if any.
        """
        self._limit = float(INITIAL_LIMIT if learned is None else learned.loads_at_once)
        was_slow = learned is not None and learned.was_slow
        self._last_slow_ms = now_ms if was_slow else -math.inf
        self._timeline = LoadTimeline()
        self._recent: deque[_LoadMeasurement] = deque(maxlen=CONSECUTIVE_SLOW_LOADS)

    @property
    def limit(self) -> int:
        """Return the maximum number of concurrent loads."""
        return max(1, round(self._limit))

    def snapshot(self, service: str) -> LearnedConcurrencyLimit:
        """Return the state from which the next leader starts."""
        return LearnedConcurrencyLimit(service, self.limit, self._last_slow_ms > -math.inf)

    def observe(self, in_progress: int, now_ms: float) -> None:
        """Record the number of loads in progress from now on."""
        self._timeline.record(in_progress, now_ms)

    def record_finished(self, load: FinishedLoad, now_ms: float) -> None:
        """Adjust the limit by a finished load.

        One that began before the first observation tells nothing: it may have had others beside it.
        """
        if not self._timeline.covers(load.began_ms):
            return
        capacity = self._timeline.capacity(load.began_ms, load.done_ms, load.expected_ms)
        self._recent.append(_LoadMeasurement(load.slowdown, capacity))
        slowdown = min(m.slowdown for m in self._recent)
        if len(self._recent) == CONSECUTIVE_SLOW_LOADS and slowdown > SLOW_LOAD_FACTOR:
            self._reduce(max(m.capacity for m in self._recent), now_ms)
            self._recent.clear()
        elif load.slowdown <= SLOW_LOAD_FACTOR:
            self._increase(load, now_ms)

    def check_overdue(self, loads: Sequence[LoadInProgress], now_ms: float) -> None:
        """Lower the limit if several loads in progress are overdue.

        When all loads are slow, none may finish for a long time. Those in progress give an upper
        bound of the capacity.
        """
        overdue = [
            load
            for load in loads
            if load.slowdown(now_ms) > OVERDUE_FACTOR and self._timeline.covers(load.began_ms)
        ]
        if len(overdue) < CONSECUTIVE_SLOW_LOADS:
            return
        bounds = [
            self._timeline.capacity(load.began_ms, now_ms, load.expected_ms) for load in overdue
        ]
        self._reduce(max(bounds), now_ms)

    def _reduce(self, capacity: float, now_ms: float) -> None:
        """Lower the limit to a measured capacity, if it is higher."""
        self._last_slow_ms = now_ms
        self._limit = max(1.0, min(self._limit, capacity))

    def _increase(self, load: FinishedLoad, now_ms: float) -> None:
        """Raise the limit beyond the loads that ran beside a fast one from its start on."""
        concurrency = min(
            self._timeline.at(load.began_ms), self._timeline.mean(load.began_ms, load.done_ms)
        )
        if self._last_slow_ms == -math.inf:
            self._limit = max(self._limit, GROWTH_FACTOR * concurrency)
        elif now_ms - self._last_slow_ms >= PROBE_AFTER_MS:
            self._limit = max(self._limit, concurrency + 1.0)
