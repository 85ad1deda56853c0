"""One daemon's share of the retry budget. Does no I/O; the caller passes the time.

The budget limits the retries of all daemons together in each window. Each daemon therefore gets the
fixed allowance divided by the number of daemons that may run, plus a ratio of its own requests.
"""

from collections import deque


class RetryBudget:
    """Limits the retries to one service in a sliding window."""

    def __init__(self, ratio: float, allowance: float, window_seconds: float) -> None:
        """Create a budget.

        :param ratio: retries per request.
        :param allowance: retries per window in addition to those of the ratio.
        """
        self._ratio = ratio
        self._allowance = allowance
        self._window_seconds = window_seconds
        self._request_times: deque[float] = deque()
        self._retry_times: deque[float] = deque()

    def set_allowance(self, allowance: float) -> None:
        """Change the allowance after the number of daemons has changed."""
        self._allowance = allowance

    def set_limits(self, ratio: float, allowance: float, window_seconds: float) -> None:
        """Change all limits; the parameters are those of :meth:`__init__`."""
        self._ratio = ratio
        self._allowance = allowance
        self._window_seconds = window_seconds

    def record_request(self, now: float) -> None:
        """Count a request from a caller, not a retry."""
        self._request_times.append(now)
        self._evict_expired(now)

    def try_spend(self, now: float) -> bool:
        """Count a retry and return True if the budget has room for it."""
        if not self.has_room(now):
            return False
        self._retry_times.append(now)
        return True

    def has_room(self, now: float, retries: int = 1) -> bool:
        """Return whether a number of retries could be spent."""
        self._evict_expired(now)
        return len(self._retry_times) + retries <= (
            self._ratio * len(self._request_times) + self._allowance
        )

    def refund(self, spent_at: float) -> None:
        """Uncount the retry that was spent at a time, because it was not sent."""
        if spent_at in self._retry_times:
            self._retry_times.remove(spent_at)

    def _evict_expired(self, now: float) -> None:
        for times in (self._request_times, self._retry_times):
            while times and times[0] <= now - self._window_seconds:
                times.popleft()
