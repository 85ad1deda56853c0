"""The share of one daemon in the retry budget of all daemons. Pure; time is passed in.

The budget holds over all daemons together in each window; so each daemon takes the part of the
fixed allowance that it has when all daemons that may run are counted, and the ratio of its own
requests.
"""

from collections import deque


class RetryBudget:
    """Repeated sends to one service in a sliding window."""

    def __init__(self, ratio: float, allowance: float, window_seconds: float) -> None:
        """Make a budget.

        :param ratio: repeated sends for each request.
        :param allowance: repeated sends that are free in each window.
        """
        self._ratio = ratio
        self._allowance = allowance
        self._window_seconds = window_seconds
        self._request_times: deque[float] = deque()
        self._retry_times: deque[float] = deque()

    def set_allowance(self, allowance: float) -> None:
        """Change the free part, when the number of daemons has changed."""
        self._allowance = allowance

    def set_limits(self, ratio: float, allowance: float, window_seconds: float) -> None:
        """Change everything that bounds the repeats; see :meth:`__init__`."""
        self._ratio = ratio
        self._allowance = allowance
        self._window_seconds = window_seconds

    def note_request(self, now: float) -> None:
        """Count a caller's request."""
        self._request_times.append(now)
        self._evict_expired(now)

    def try_spend(self, now: float) -> bool:
        """Count a repeated send if there is room for it."""
        self._evict_expired(now)
        if len(self._retry_times) + 1 > self._ratio * len(self._request_times) + self._allowance:
            return False
        self._retry_times.append(now)
        return True

    def _evict_expired(self, now: float) -> None:
        for times in (self._request_times, self._retry_times):
            while times and times[0] <= now - self._window_seconds:
                times.popleft()
