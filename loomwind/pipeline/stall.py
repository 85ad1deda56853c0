"""Ends a stream on which nothing came for a while, with one timer for many pieces."""

import asyncio
from collections.abc import Callable


class StallWatch:
    """Calls back once nothing was noted for some time. A context manager.

    A timer for each piece would cost more than the piece: this one is armed again only when it
    fires and finds that something came meanwhile.

    :param seconds: the silence that is too long.
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
        """Note that something came."""
        self._last_activity_at = self._loop.time()

    def _check(self) -> None:
        due = self._last_activity_at + self._seconds
        if self._loop.time() >= due:
            self._on_stall()
        else:
            self._timer = self._loop.call_at(due, self._check)
