"""The cell's share of the weight store: a token bucket and a limit on loads at once."""


class RemoteLoadLimiter:
    """Says how many remote loads may start. Times in seconds, of any steady clock.

    It starts empty, since a controller that takes over does not know what its predecessor started
    a moment ago.
    """

    def __init__(self, loads_per_second: float, parallel_loads: int, now: float) -> None:
        self._rate = loads_per_second
        self._max_parallel = parallel_loads
        self._next_start = now

    def available(self, now: float, in_flight: int) -> int:
        """Return how many remote loads may start now."""
        if now < self._next_start:
            return 0
        return 1 if in_flight < self._max_parallel else 0

    def record_start(self, now: float) -> None:
        """Count a load that starts now."""
        self._next_start = max(now, self._next_start) + 1.0 / self._rate

    def seconds_until_start(self, now: float) -> float:
        """Return how long until the rate allows another load, in seconds."""
        return max(0.0, self._next_start - now)

    def expected_wait(
        self, position: int, in_flight: int, load_seconds: float, now: float
    ) -> float:
        """Return the expected wait of the load at a position of the queue, in seconds.

        :param position: 0 for the load that starts next.
        """
        by_rate = self.seconds_until_start(now) + position / self._rate
        ahead = in_flight + position
        by_parallel = max(0, ahead - self._max_parallel + 1) * load_seconds / self._max_parallel
        return max(by_rate, by_parallel)
