"""Adaptive limit on concurrent loads from the weight store.

Above some concurrency, which is not configured, each load slows down in proportion: more loads add
no throughput and keep servers busy longer. The limit is found as in TCP congestion control: it
doubles per load time while no load is slow, and falls to the sustained concurrency when loads slow
down. After PROBE_AFTER_MS without a slow load it grows by one per load time. Pure: the time is an
argument.
"""

from collections import deque
from collections.abc import Sequence

import attrs

from loomwind.serving.residency import LearnedConcurrencyLimit

INITIAL_LIMIT = 4
SLOW_LOAD_FACTOR = 1.15
OVERDUE_FACTOR = 1.3
# A load raises the limit only if its mean concurrency was at least this fraction of the limit at
# its start; a less used limit gives no evidence for a higher one.
MIN_UTILIZATION = 0.75
# A load is also slow on a server that runs many requests, so the store counts as slow only after
# this many slow loads in a row.
CONSECUTIVE_SLOW_LOADS = 3
PROBE_AFTER_MS = 20_000.0
SAMPLE_RETENTION_MS = 120_000.0


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
class _Sample:
    """The integral of concurrency over time up to a moment, and the limit at that moment."""

    at_ms: float
    cumulative_load_ms: float
    limit: float


@attrs.frozen
class _LoadMeasurement:
    """The slowdown of one load and the concurrency under which it ran.

    :ivar concurrency: mean number of loads in progress during this load, including itself.
    """

    slowdown: float
    concurrency: float


class StoreConcurrencyLimit:
    """Limit on concurrent loads that adapts to the slowdown of loads."""

    def __init__(self, learned: LearnedConcurrencyLimit | None = None, now_ms: float = 0.0) -> None:
        """Initialize the limit.

        :param learned: the state that the previous leader learned, if any.
        """
        self._limit = float(INITIAL_LIMIT if learned is None else learned.loads_at_once)
        was_slow = learned is not None and learned.was_slow
        self._last_slow_ms: float | None = now_ms if was_slow else None
        self._last_halved_ms = float("-inf")
        self._in_progress = 0
        self._samples = [_Sample(0.0, 0.0, self._limit)]
        self._recent: deque[_LoadMeasurement] = deque(maxlen=CONSECUTIVE_SLOW_LOADS)

    @property
    def limit(self) -> int:
        """Return the maximum number of concurrent loads."""
        return max(1, round(self._limit))

    def snapshot(self, service: str) -> LearnedConcurrencyLimit:
        """Return the state from which the next leader starts."""
        return LearnedConcurrencyLimit(service, self.limit, self._last_slow_ms is not None)

    def observe(self, in_progress: int, now_ms: float) -> None:
        """Record the number of loads in progress from now on."""
        last = self._samples[-1]
        cumulative_load_ms = last.cumulative_load_ms + self._in_progress * (now_ms - last.at_ms)
        self._samples.append(_Sample(now_ms, cumulative_load_ms, self._limit))
        self._in_progress = in_progress
        while self._samples[1].at_ms < now_ms - SAMPLE_RETENTION_MS:
            self._samples.pop(0)

    def _mean_concurrency(self, load: FinishedLoad) -> float:
        """Return the mean number of loads in progress during a load, including itself."""
        samples = [s for s in self._samples if load.began_ms <= s.at_ms <= load.done_ms]
        if len(samples) < 2:
            return float(max(1, self._in_progress))
        first, last = samples[0], samples[-1]
        return max(
            1.0,
            (last.cumulative_load_ms - first.cumulative_load_ms)
            / max(1.0, last.at_ms - first.at_ms),
        )

    def record_finished(self, load: FinishedLoad, now_ms: float) -> None:
        """Adjust the limit by a finished load."""
        concurrency = self._mean_concurrency(load)
        self._recent.append(_LoadMeasurement(load.slowdown, concurrency))
        slowdown = min(m.slowdown for m in self._recent)
        if len(self._recent) == CONSECUTIVE_SLOW_LOADS and slowdown > SLOW_LOAD_FACTOR:
            sustained = max(m.concurrency / m.slowdown for m in self._recent)
            self._limit = max(1.0, min(self._limit, sustained))
            self._last_slow_ms = now_ms
            self._recent.clear()
        elif load.slowdown <= SLOW_LOAD_FACTOR and concurrency >= MIN_UTILIZATION * self._limit_at(
            load.began_ms
        ):
            self._increase_limit(now_ms)

    def _limit_at(self, at_ms: float) -> float:
        """Return the limit that applied at a time."""
        since = (sample.limit for sample in self._samples if sample.at_ms >= at_ms)
        return next(since, self._limit)

    def check_overdue(self, loads: Sequence[LoadInProgress], now_ms: float) -> None:
        """Halve the limit if several loads in progress are overdue.

        When all loads are slow, none may finish for a long time. The limit is halved at most once
        per expected load duration, since loads that started before it fell stay slow.
        """
        overdue = [load for load in loads if load.slowdown(now_ms) > OVERDUE_FACTOR]
        if len(overdue) < CONSECUTIVE_SLOW_LOADS:
            return
        if now_ms - self._last_halved_ms < min(load.expected_ms for load in overdue):
            return
        self._limit = max(1.0, self._limit / 2)
        self._last_halved_ms = self._last_slow_ms = now_ms

    def _increase_limit(self, now_ms: float) -> None:
        if self._last_slow_ms is None:
            self._limit += 1.0
        elif now_ms - self._last_slow_ms >= PROBE_AFTER_MS:
            self._limit += 1.0 / self._limit
