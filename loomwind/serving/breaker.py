"""What one daemon has seen of each server lately: errors, silence, work under way. Pure."""

from collections.abc import Callable

FAILURE_DECAY = 0.8
OPEN_AFTER_FAILURES = 2
INITIAL_OPEN_SECONDS = 0.7
MAX_OPEN_SECONDS = 4.0
INITIAL_UNREACHABLE_SECONDS = 0.6
SUSPECT_AFTER_SECONDS = 0.7


class ServerHealth:
    """Errors of one life of a server, as this daemon sees them.

    :ivar in_flight: requests that this daemon has there now.
    :ivar error_share: moving share of sends that failed, 0 to 1.
    :ivar heard_at: when something came from the server last, in seconds.
    """

    def __init__(self, on_heard: Callable[[float], None] = lambda now: None) -> None:
        """Make the health of a server.

        :param on_heard: called with the time, in seconds, when something has come from it.
        """
        self._on_heard = on_heard
        self.in_flight = 0
        self.last_received_at = float("-inf")
        self.error_rate = 0.0
        self._failures = 0
        self._open_until = 0.0
        self._unreachable_until = 0.0
        self._unreachable_seconds = INITIAL_UNREACHABLE_SECONDS
        self._open_seconds = INITIAL_OPEN_SECONDS
        self._silent_since: float | None = None

    def note_sent(self, now: float) -> None:
        """A request goes to the server."""
        self.in_flight += 1
        if self._silent_since is None:
            self._silent_since = now

    def note_received(self, now: float) -> None:
        """Something has come from the server."""
        self.last_received_at = now
        self._on_heard(now)
        self._silent_since = now

    def note_ended(self) -> None:
        """A request that was sent has ended."""
        self.in_flight -= 1
        if self.in_flight == 0:
            self._silent_since = None

    def is_suspect(self, now: float) -> bool:
        """Whether requests are there and nothing has come for a while, on any connection."""
        since = self._silent_since
        return since is not None and now - since > SUSPECT_AFTER_SECONDS

    def note_success(self) -> None:
        """Note a good answer."""
        self.error_rate *= FAILURE_DECAY
        self._failures = 0
        self._open_seconds = INITIAL_OPEN_SECONDS
        self._open_until = 0.0
        self._unreachable_seconds = INITIAL_UNREACHABLE_SECONDS

    def note_failure(self, now: float) -> bool:
        """Note a failure; returns whether the breaker opened by it."""
        self.error_rate = self.error_rate * FAILURE_DECAY + (1 - FAILURE_DECAY)
        self._failures += 1
        if self._failures < OPEN_AFTER_FAILURES:
            return False
        return self.open(now)

    def open(self, now: float) -> bool:
        """Keep requests away for a while; returns whether it was closed before."""
        was_closed = not self.is_open(now)
        if was_closed:
            self._open_until = now + self._open_seconds
            self._open_seconds = min(2 * self._open_seconds, MAX_OPEN_SECONDS)
        return was_closed

    def note_unreachable(self, now: float) -> None:
        """No connection could be made: send nothing at all for a while."""
        if not self.is_unreachable(now):
            self._unreachable_until = now + self._unreachable_seconds
            self._unreachable_seconds = min(2 * self._unreachable_seconds, MAX_OPEN_SECONDS)

    def note_reachable(self) -> None:
        """Connections may be made again."""
        self._unreachable_until = 0.0
        self._unreachable_seconds = INITIAL_UNREACHABLE_SECONDS

    def is_unreachable(self, now: float) -> bool:
        """Whether no connection could be made a moment ago."""
        return now < self._unreachable_until

    def is_open(self, now: float) -> bool:
        """Whether requests should go elsewhere if they can."""
        return now < self._open_until
