"""How many loads at once the weight store serves at full speed, learned from how long they take.

Beyond some number that no setting tells, each load takes proportionally longer: more of them at
once bring nothing and hold up the servers. The number is found as a sender finds the room of a
network path: twice as many at once while none is slow, and back to what was served when one is.
Pure; time is passed in.
"""

from collections import deque
from collections.abc import Sequence

import attrs

from loomwind.serving.residency import LearnedConcurrencyLimit

INITIAL_LIMIT = 4
SLOW_LOAD_FACTOR = 1.15
OVERDUE_FACTOR = 1.3
# A load that had fewer beside it than this part of the limit as it began says nothing of a higher
# one.
MIN_UTILIZATION = 0.75
# A server that runs many requests loads slowly too: the store is slow when so many in a row are.
CONSECUTIVE_SLOW_LOADS = 3
PROBE_AFTER_MS = 20_000.0
SAMPLE_RETENTION_MS = 120_000.0


@attrs.frozen
class FinishedLoad:
    """A load from the weight store that is done.

    :ivar began_ms: when it began.
    :ivar done_ms: when it was done.
    :ivar expected_ms: how long it should take, by its model's profile.
    """

    began_ms: float
    done_ms: float
    expected_ms: float

    @property
    def slowdown(self) -> float:
        """Return the time it took as a multiple of what it should take; 1 or more."""
        return max(1.0, (self.done_ms - self.began_ms) / max(1.0, self.expected_ms))


@attrs.frozen
class LoadInProgress:
    """A load from the weight store that is under way.

    :ivar began_ms: when it began.
    :ivar expected_ms: how long it should take, by its model's profile.
    """

    began_ms: float
    expected_ms: float

    def slowdown(self, now_ms: float) -> float:
        """Return the time it has taken by now as a multiple of what it should take."""
        return (now_ms - self.began_ms) / max(1.0, self.expected_ms)


@attrs.frozen
class _Sample:
    """How many loads were under way up to a time, summed over time, and the limit from then on."""

    at_ms: float
    cumulative_load_ms: float
    limit: float


@attrs.frozen
class _LoadMeasurement:
    """What one load has shown.

    :ivar at_once: loads that were under way with it on the whole, itself among them.
    """

    slowdown: float
    concurrency: float


class StoreConcurrencyLimit:
    """The number of loads at once that is worth having."""

    def __init__(self, learned: LearnedConcurrencyLimit | None = None, now_ms: float = 0.0) -> None:
        """Begin to learn.

        :param learned: what an earlier leader has learned.
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
        """Return how many loads may be under way at once."""
        return max(1, round(self._limit))

    def snapshot(self, service: str) -> LearnedConcurrencyLimit:
        """Return what the next leader should begin with."""
        return LearnedConcurrencyLimit(service, self.limit, self._last_slow_ms is not None)

    def observe(self, in_progress: int, now_ms: float) -> None:
        """Take in how many loads are under way from now on."""
        last = self._samples[-1]
        cumulative_load_ms = last.cumulative_load_ms + self._in_progress * (now_ms - last.at_ms)
        self._samples.append(_Sample(now_ms, cumulative_load_ms, self._limit))
        self._in_progress = in_progress
        while self._samples[1].at_ms < now_ms - SAMPLE_RETENTION_MS:
            self._samples.pop(0)

    def _mean_concurrency(self, load: FinishedLoad) -> float:
        """Return how many loads were under way while one was, itself among them, on the whole."""
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
        """Learn from a load."""
        concurrency = self._mean_concurrency(load)
        self._recent.append(_LoadMeasurement(load.slowdown, concurrency))
        slowdown = min(measurement.slowdown for measurement in self._recent)
        if len(self._recent) == CONSECUTIVE_SLOW_LOADS and slowdown > SLOW_LOAD_FACTOR:
            sustained = max(
                measurement.concurrency / measurement.slowdown for measurement in self._recent
            )
            self._limit = max(1.0, min(self._limit, sustained))
            self._last_slow_ms = now_ms
            self._recent.clear()
        elif load.slowdown <= SLOW_LOAD_FACTOR and concurrency >= MIN_UTILIZATION * self._limit_at(
            load.began_ms
        ):
            self._increase_limit(now_ms)

    def _limit_at(self, at_ms: float) -> float:
        """Return the limit of a time."""
        since = (sample.limit for sample in self._samples if sample.at_ms >= at_ms)
        return next(since, self._limit)

    def check_overdue(self, loads: Sequence[LoadInProgress], now_ms: float) -> None:
        """Learn from loads that have not ended yet: halve the limit while several are overdue.

        Where all are slow, none may end for long. Once a load's time, since what began before the
        limit fell goes on being slow.
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
