"""Spreads long work over passes of the event loop, so that no connection holds up the others."""

import asyncio
from collections import deque
from collections.abc import Callable


class Turns:
    """Runs one of the waiting callbacks in each pass of the event loop, in order.

    The work of a pass is so bounded by that of one callback, however many connections wait.
    """

    def __init__(self) -> None:
        self._waiting: deque[Callable[[], None]] = deque()
        self._is_scheduled = False

    def call(self, callback: Callable[[], None]) -> None:
        """Have a callback run once it is its turn."""
        self._waiting.append(callback)
        self._schedule()

    async def wait(self) -> None:
        """Wait for a turn."""
        turn = asyncio.get_running_loop().create_future()
        self.call(lambda: None if turn.done() else turn.set_result(None))
        await turn

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_next)

    def _run_next(self) -> None:
        self._is_scheduled = False
        callback = self._waiting.popleft()
        self._schedule()
        callback()
