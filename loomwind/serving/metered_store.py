"""A store wrapper that counts and times all calls."""

import asyncio
from collections import Counter
from collections.abc import Awaitable
from typing import TypeVar

from loomwind.clock import MS_PER_SECOND, Clock
from loomwind.logs import log_state
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

# The logged counts are cumulative, so the last line gives the totals of a daemon process.
LOG_INTERVAL_SECONDS = 5.0


class MeteredStore(Store):
    """Forwards each call and records its kind, table, result and duration."""

    def __init__(self, inner: Store, metrics: Metrics, clock: Clock, incarnation: str = "") -> None:
        """Wrap a store.

        :param incarnation: the ID of this daemon process, for the log.
        """
        self.configuration_table = inner.configuration_table
        self.configuration_key = inner.configuration_key
        self.server_table = inner.server_table
        self._inner = inner
        self._metrics = metrics
        self._clock = clock
        self._incarnation = incarnation
        self._calls: Counter[str] = Counter()

    def set_address(self, address: str, timeout_seconds: float) -> None:
        """Switch to another store address; see :meth:`Store.set_address`."""
        self._inner.set_address(address, timeout_seconds)

    async def read(self, table: str) -> Snapshot:
        """Return a whole table; see :meth:`Store.read`."""
        return await self._measure("read", table, self._inner.read(table))

    async def changes(self, table: str, after: int, wait_seconds: float) -> Snapshot:
        """Return the changes of a table; see :meth:`Store.changes`."""
        work = self._inner.changes(table, after, wait_seconds)
        return await self._measure("changes", table, work)

    async def write(self, table: str, write: Write, timeout_seconds: float | None = None) -> int:
        """Write a row; see :meth:`Store.write`."""
        work = self._inner.write(table, write, timeout_seconds)
        return await self._measure("write", table, work)

    async def log_calls(self) -> None:
        """Log the number of calls so far whenever it has changed; never returns."""
        logged_total = 0
        while True:
            await asyncio.sleep(LOG_INTERVAL_SECONDS)
            if self._calls.total() != logged_total:
                logged_total = self._calls.total()
                log_state("store", "calls", life=self._incarnation, calls=dict(self._calls))

    async def _measure(self, call: str, table: str, work: Awaitable[Answer]) -> Answer:
        start_ms = self._clock.now_ms()
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
            result = "unknown" if error.outcome_unknown else "unavailable"
            raise
        finally:
            seconds = (self._clock.now_ms() - start_ms) / MS_PER_SECOND
            self._calls[f"{call} {table} {result}"] += 1
            self._metrics.store_calls.labels(call, table, result).inc()
            if call != "changes":
                self._metrics.store_seconds.labels(call).observe(seconds)
