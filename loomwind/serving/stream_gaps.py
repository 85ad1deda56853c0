"""Tracks the gaps between events of a stream. Does no I/O; the caller passes the time."""


class StreamGaps:
    """Tracks the longest gap between two events of a stream.

    :ivar longest_ms: the longest gap; 0 before the second event.
    """

    def __init__(self) -> None:
        self.longest_ms = 0.0
        self._last_ms: float | None = None

    def record_event(self, now_ms: float) -> None:
        """Record that one or more events have arrived."""
        if self._last_ms is not None:
            self.longest_ms = max(self.longest_ms, now_ms - self._last_ms)
        self._last_ms = now_ms
