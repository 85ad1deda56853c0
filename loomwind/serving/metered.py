"""A store whose calls are counted and timed, around any other store."""

from collections.abc import Awaitable
from typing import TypeVar

from loomwind.clock import MS_PER_SECOND, Clock
from loomwind.metrics import Metrics
from loomwind.serving.ports import (
    HistoryLost,
    Snapshot,
    Store,
    StoreUnavailable,
    Write,
    WriteConflict,
)

Answer = TypeVar("Answer")


class MeteredStore(Store):
    """Passes each call on, and notes its kind, its result and how long it took."""

    def __init__(self, inner: Store, metrics: Metrics, clock: Clock) -> None:
        self.configuration_table = inner.configuration_table
        self.configuration_key = inner.configuration_key
        self.server_table = inner.server_table
        self._inner = inner
        self._metrics = metrics
        self._clock = clock

    def move(self, address: str, timeout_seconds: float) -> None:
        """Reach the store elsewhere; see :meth:`Store.move`."""
        self._inner.move(address, timeout_seconds)

    async def read(self, table: str) -> Snapshot:
        """Return a whole table; see :meth:`Store.read`."""
        return await self._metered("read", self._inner.read(table))

    async def changes(self, table: str, after: int, wait_seconds: float) -> Snapshot:
        """Return what changed; see :meth:`Store.changes`."""
        return await self._metered("changes", self._inner.changes(table, after, wait_seconds))

    async def write(self, table: str, write: Write, timeout_seconds: float | None = None) -> int:
        """Write a row; see :meth:`Store.write`."""
        return await self._metered("write", self._inner.write(table, write, timeout_seconds))

    async def _metered(self, call: str, work: Awaitable[Answer]) -> Answer:
        began_ms = self._clock.now_ms()
        result = "cancelled"
        try:
            answer = await work
            result = "answered"
            return answer
        except WriteConflict:
            result = "conflict"
            raise
        except HistoryLost:
            result = "history-lost"
            raise
        except StoreUnavailable as error:
            result = "unknown" if error.unknown else "unavailable"
            raise
        finally:
            seconds = (self._clock.now_ms() - began_ms) / MS_PER_SECOND
            self._metrics.store_calls.labels(call, result).inc()
            if call != "changes":
                self._metrics.store_seconds.labels(call).observe(seconds)
