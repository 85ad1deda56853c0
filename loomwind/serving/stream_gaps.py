"""The pauses of one stream, as its daemon sees them. Pure; time is passed in."""


class StreamGaps:
    """The longest time between two events of a stream.

    :ivar longest_ms: 0 before the second event.
    """

    def __init__(self) -> None:
        self.longest_ms = 0.0
        self._last_ms: float | None = None

    def note_event(self, now_ms: float) -> None:
        """Events have come."""
        if self._last_ms is not None:
            self.longest_ms = max(self.longest_ms, now_ms - self._last_ms)
        self._last_ms = now_ms
