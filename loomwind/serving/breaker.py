"""Circuit breaker and passive health checks of a server. Does no I/O; callers pass the time."""

from collections.abc import Callable

FAILURE_DECAY = 0.8
OPEN_AFTER_FAILURES = 2
INITIAL_OPEN_SECONDS = 0.7
MAX_OPEN_SECONDS = 4.0
INITIAL_UNREACHABLE_SECONDS = 0.6
SUSPECT_AFTER_SECONDS = 0.7


class ServerHealth:
    """Health of one server process, as this daemon observes it.

    :ivar in_flight: the number of this daemon's requests in progress at the server.
    :ivar error_rate: moving average of failed sends, 0 to 1.
    :ivar last_received_at: when data last came from the server, in seconds.
    :ivar moves: the number of requests that are being moved to the server.
    """

    def __init__(self, on_received: Callable[[float], None] = lambda now: None) -> None:
        """Create the health of a server.

        :param on_received: called with the time, in seconds, whenever data comes from the server.
        """
        self._on_received = on_received
        self.in_flight = 0
        self.last_received_at = float("-inf")
        self.moves = 0
        self.error_rate = 0.0
        self._failures = 0
        self._open_until = 0.0
        self._unreachable_until = 0.0
        self._unreachable_seconds = INITIAL_UNREACHABLE_SECONDS
        self._open_seconds = INITIAL_OPEN_SECONDS
        self._silent_since: float | None = None
        self._left_until = 0.0
        self._left_seconds = INITIAL_OPEN_SECONDS

    def record_sent(self, now: float) -> None:
        """Record that a request is sent to the server."""
        self.in_flight += 1
        if self._silent_since is None:
            self._silent_since = now

    def record_received(self, now: float) -> None:
        """Record that data has come from the server."""
        self.last_received_at = now
        self._on_received(now)
        self._silent_since = now
        self._left_until = 0.0
        self._left_seconds = INITIAL_OPEN_SECONDS

    def record_ended(self) -> None:
        """Record that a request at the server has ended, with any outcome."""
        self.in_flight -= 1
        if self.in_flight == 0:
            self._silent_since = None

    def record_left(self, now: float) -> None:
        """Record that a request was moved away because the server was silent.

        It stays suspect for a while, longer each time, unless it sends data: a server that paused
        is soon used again, and one that hangs is not taken for an idle one.
        """
        if now >= self._left_until:
            self._left_until = now + self._left_seconds
            self._left_seconds = min(2 * self._left_seconds, MAX_OPEN_SECONDS)

    def is_suspect(self, now: float) -> bool:
        """Whether requests are in progress and no connection has received data for a while."""
        since = self._silent_since
        is_silent = since is not None and now - since > SUSPECT_AFTER_SECONDS
        return is_silent or now < self._left_until

    def record_success(self) -> None:
        """Record a successful response, which closes the breaker."""
        self.error_rate *= FAILURE_DECAY
        self._failures = 0
        self._open_seconds = INITIAL_OPEN_SECONDS
        self._open_until = 0.0
        self._unreachable_seconds = INITIAL_UNREACHABLE_SECONDS

    def record_failure(self, now: float) -> bool:
        """Record a failure; returns whether it opened the breaker."""
        self.error_rate = self.error_rate * FAILURE_DECAY + (1 - FAILURE_DECAY)
        self._failures += 1
        if self._failures < OPEN_AFTER_FAILURES:
            return False
        return self.open(now)

    def open(self, now: float) -> bool:
        """Open the breaker, for longer each time; returns whether it was closed before."""
        was_closed = not self.is_open(now)
        if was_closed:
            self._open_until = now + self._open_seconds
            self._open_seconds = min(2 * self._open_seconds, MAX_OPEN_SECONDS)
        return was_closed

    def record_unreachable(self, now: float) -> None:
        """Record a failed connect: the server gets no requests for a while."""
        if not self.is_unreachable(now):
            self._unreachable_until = now + self._unreachable_seconds
            self._unreachable_seconds = min(2 * self._unreachable_seconds, MAX_OPEN_SECONDS)

    def record_reachable(self) -> None:
        """Record that connects may be tried again."""
        self._unreachable_until = 0.0
        self._unreachable_seconds = INITIAL_UNREACHABLE_SECONDS

    def is_unreachable(self, now: float) -> bool:
        """Whether the server gets no requests because a recent connect failed."""
        return now < self._unreachable_until

    def is_open(self, now: float) -> bool:
        """Whether the breaker is open, so that requests should prefer other servers."""
        return now < self._open_until
