"""Continuous batching of a stand-in engine: a concurrency limit with a priority queue."""

import asyncio
import heapq
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager


class Batch:
    """Runs up to ``concurrency`` requests at once and admits waiting ones by priority."""

    def __init__(self, concurrency: int) -> None:
        self.concurrency = concurrency
        self.running = 0
        self._sequence = itertools.count()
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return sum(not future.done() for _, _, future in self._waiting)

    @asynccontextmanager
    async def slot(self, priority: int) -> AsyncIterator[None]:
        """Acquire a slot in the batch for the duration of the context."""
        if self.running >= self.concurrency:
            future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            heapq.heappush(self._waiting, (-priority, next(self._sequence), future))
            await future
        else:
            self.running += 1
        try:
            yield
        finally:
            self._release_slot()

    def _release_slot(self) -> None:
        while self._waiting:
            _, _, future = heapq.heappop(self._waiting)
            if not future.done():
                future.set_result(None)
                return
        self.running -= 1
