"""Sliding-window rate limit for loads from the weight store. Pure."""

from collections import deque
from collections.abc import Iterable

# Loads that the previous leader may have started without announcing them to this daemon.
UNREPORTED_LOADS = 2


class LoadRateLimiter:
    """Limits load starts per window, counting those of this leader and of the previous one."""

    def __init__(
        self, per_second: float, window_seconds: float, now: float, seen: Iterable[float] = ()
    ) -> None:
        """Initialize the window with the loads announced by the previous leader.

        :param per_second: the maximum rate of load starts.
        :param seen: the times at which those loads were announced.
        """
        self._max_loads = max(1, int(per_second * window_seconds))
        self._window = window_seconds
        self._start_times: deque[float] = deque(sorted(seen))
        self._start_times.extend([now] * UNREPORTED_LOADS)

    def allows(self, now: float) -> bool:
        """Return whether one more load may start now."""
        while self._start_times and self._start_times[0] <= now - self._window:
            self._start_times.popleft()
        return len(self._start_times) < self._max_loads

    def record(self, now: float) -> None:
        """Record the start of a load."""
        self._start_times.append(now)
