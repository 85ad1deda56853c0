"""Runs a call for many callers at once."""

import asyncio
from collections.abc import Awaitable, Callable


class CoalescedCall:
    """Lets concurrent callers share a call; each call begins after those that share it asked.

    A result is therefore never older than the question, and calls that fail do not queue up.
    """

    def __init__(self, call: Callable[[], Awaitable[None]]) -> None:
        self._call = call
        self._running: asyncio.Task[None] | None = None
        self._next: asyncio.Task[None] | None = None

    async def __call__(self) -> None:
        """Wait for a call that begins now or later; raises what the call raises."""
        if self._next is None:
            self._next = asyncio.get_running_loop().create_task(self._run_after(self._running))
            self._next.add_done_callback(_retrieve)
        await asyncio.shield(self._next)

    async def _run_after(self, earlier: asyncio.Task[None] | None) -> None:
        if earlier is not None and not earlier.done():
            await asyncio.wait([earlier])
        self._running, self._next = self._next, None
        await self._call()


def _retrieve(task: asyncio.Task[None]) -> None:
    """Mark an error as seen, also when all callers have left."""
    if not task.cancelled():
        task.exception()
