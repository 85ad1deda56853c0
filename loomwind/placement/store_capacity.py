"""How many concurrent loads the weight store serves at full speed, as measured by one load. Pure.

With ``n`` loads in progress and a capacity of ``k``, each has the speed ``min(1, k / n)``.
A store may divide its capacity anew whenever a load begins or ends, or give each load a share when
it begins; which one it does is not known, so the higher of both measurements counts. Times are in
milliseconds.
"""

import math
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterator

import attrs

RETENTION_MS = 120_000.0


@attrs.frozen
class _Change:
    """The number of loads in progress from a time on."""

    at_ms: float
    in_progress: int


class LoadTimeline:
    """The number of loads in progress over time, from the first record on."""

    def __init__(self) -> None:
        self._changes: list[_Change] = []

    def record(self, in_progress: int, now_ms: float) -> None:
        """Record the number of loads in progress from now on."""
        if not self._changes or in_progress != self._changes[-1].in_progress:
            self._changes.append(_Change(now_ms, in_progress))
        while len(self._changes) > 1 and self._changes[1].at_ms < now_ms - RETENTION_MS:
            self._changes.pop(0)

    def covers(self, time_ms: float) -> bool:
        """Return whether a time is not before the first record."""
        return bool(self._changes) and self._changes[0].at_ms <= time_ms

    def capacity(self, began_ms: float, until_ms: float, expected_ms: float) -> float:
        """Return the capacity at which a load makes its whole progress in a span of time.

        It is infinite if the span is no longer than the load takes at full speed. For a load that
        is still in progress, the true capacity is lower.

        :param expected_ms: the duration of the load at full speed.
        """
        slowdown = (until_ms - began_ms) / max(1.0, expected_ms)
        if slowdown <= 1.0:
            return math.inf
        return max(
            self.at(began_ms) / slowdown, self.shared_capacity(began_ms, until_ms, expected_ms)
        )

    def shared_capacity(self, began_ms: float, until_ms: float, expected_ms: float) -> float:
        """Return the capacity if the store divides it among the loads in progress at any time."""
        durations: dict[int, float] = defaultdict(float)
        for in_progress, duration_ms in self._spans(began_ms, until_ms):
            durations[max(1, in_progress)] += duration_ms
        shared_ms = sum(duration / count for count, duration in durations.items())
        remaining_ms = expected_ms
        for count, duration_ms in sorted(durations.items()):
            if remaining_ms < count * shared_ms:
                return max(0.0, remaining_ms) / shared_ms
            remaining_ms -= duration_ms
            shared_ms -= duration_ms / count
        return math.inf

    def at(self, time_ms: float) -> int:
        """Return the number of loads in progress at a time, at least 1."""
        known = bisect_right(self._changes, time_ms, key=lambda change: change.at_ms) - 1
        return max(1, self._changes[known].in_progress) if known >= 0 else 1

    def mean(self, began_ms: float, until_ms: float) -> float:
        """Return the mean number of loads in progress during a load, including itself."""
        total = sum(n * duration for n, duration in self._spans(began_ms, until_ms))
        return max(1.0, total / max(1.0, until_ms - began_ms))

    def _spans(self, began_ms: float, until_ms: float) -> Iterator[tuple[int, float]]:
        """Yield the loads in progress and the duration of each span between two changes."""
        first = bisect_right(self._changes, began_ms, key=lambda change: change.at_ms) - 1
        changes = self._changes[max(0, first) :]
        for i, change in enumerate(changes):
            start_ms = max(began_ms, change.at_ms)
            end_ms = changes[i + 1].at_ms if i + 1 < len(changes) else math.inf
            if start_ms >= until_ms:
                return
            yield change.in_progress, min(end_ms, until_ms) - start_ms
