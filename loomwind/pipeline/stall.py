"""Detects a stalled stream, with one timer for many pieces."""

import asyncio
from collections.abc import Callable


class StallWatch:
    """Calls back after a time without activity. A context manager.

    A timer for each piece would cost more than relaying the piece. This timer is restarted only
    when it fires and finds that there was activity in the meantime.

    :param seconds: the time without activity after which ``on_stall`` is called.
    """

    def __init__(self, seconds: float, on_stall: Callable[[], None]) -> None:
        self._seconds = seconds
        self._on_stall = on_stall
        self._loop = asyncio.get_running_loop()
        self._last_activity_at = self._loop.time()
        self._timer: asyncio.TimerHandle | None = None

    def __enter__(self) -> "StallWatch":
        self._timer = self._loop.call_later(self._seconds, self._check)
        return self

    def __exit__(self, *_: object) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def record_activity(self) -> None:
        """Record that data arrived."""
        self._last_activity_at = self._loop.time()

    def _check(self) -> None:
        due = self._last_activity_at + self._seconds
        if self._loop.time() >= due:
            self._on_stall()
        else:
            self._timer = self._loop.call_at(due, self._check)
