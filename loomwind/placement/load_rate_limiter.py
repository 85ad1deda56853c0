"""Keeps the loads begun from the weight store under its rate in each sliding window. Pure."""

from collections import deque
from collections.abc import Iterable

# Loads that the leader before may have begun without a word having reached this daemon.
UNREPORTED_LOADS = 2


class LoadRateLimiter:
    """Loads begun lately, by this leader and by the one before."""

    def __init__(
        self, per_second: float, window_seconds: float, now: float, seen: Iterable[float] = ()
    ) -> None:
        """Begin with the loads that this daemon was told of while another one led.

        :param per_second: what the weight store allows.
        :param seen: when those were told.
        """
        self._max_loads = max(1, int(per_second * window_seconds))
        self._window = window_seconds
        self._start_times: deque[float] = deque(sorted(seen))
        self._start_times.extend([now] * UNREPORTED_LOADS)

    def allows(self, now: float) -> bool:
        """Whether one more load may begin."""
        while self._start_times and self._start_times[0] <= now - self._window:
            self._start_times.popleft()
        return len(self._start_times) < self._max_loads

    def record(self, now: float) -> None:
        """A load begins."""
        self._start_times.append(now)
