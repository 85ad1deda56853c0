"""Limits the cell's loads from the weight store, by rate and by concurrency."""


class RemoteLoadLimiter:
    """Token bucket with a concurrency limit for remote loads; times are monotonic, in seconds.

    The bucket starts without accumulated tokens, since a new controller does not know which loads
    its predecessor has just started.
    """

    def __init__(self, loads_per_second: float, parallel_loads: int, now: float) -> None:
        self._rate = loads_per_second
        self._max_parallel = parallel_loads
        self._next_start = now

    def available(self, now: float, in_flight: int) -> int:
        """Return the number of remote loads that may start now."""
        if now < self._next_start:
            return 0
        return 1 if in_flight < self._max_parallel else 0

    def record_start(self, now: float) -> None:
        """Record the start of a remote load."""
        self._next_start = max(now, self._next_start) + 1.0 / self._rate

    def seconds_until_start(self, now: float) -> float:
        """Return the time until the rate limit allows another load, in seconds."""
        return max(0.0, self._next_start - now)

    def expected_wait(
        self, position: int, in_flight: int, load_seconds: float, now: float
    ) -> float:
        """Return the expected time until a queued load starts, in seconds.

        :param position: the position in the queue; 0 starts next.
        :param load_seconds: the duration of a load.
        """
        by_rate = self.seconds_until_start(now) + position / self._rate
        ahead = in_flight + position
        by_parallel = max(0, ahead - self._max_parallel + 1) * load_seconds / self._max_parallel
        return max(by_rate, by_parallel)
