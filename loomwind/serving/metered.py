"""A store whose calls are counted and timed, around any other store."""

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

# One line of a daemon each time; a day's calls can be told from the last one.
LINE_INTERVAL_SECONDS = 5.0


class MeteredStore(Store):
    """Passes each call on, and notes its kind, its table, its result and how long it took."""

    def __init__(self, inner: Store, metrics: Metrics, clock: Clock, life: str = "") -> None:
        """Wrap a store.

        :param life: names this life of the daemon in the log.
        """
        self.configuration_table = inner.configuration_table
        self.configuration_key = inner.configuration_key
        self.server_table = inner.server_table
        self._inner = inner
        self._metrics = metrics
        self._clock = clock
        self._life = life
        self._calls: Counter[str] = Counter()

    def set_address(self, address: str, timeout_seconds: float) -> None:
        """Reach the store elsewhere; see :meth:`Store.set_address`."""
        self._inner.set_address(address, timeout_seconds)

    async def read(self, table: str) -> Snapshot:
        """Return a whole table; see :meth:`Store.read`."""
        return await self._metered("read", table, self._inner.read(table))

    async def changes(self, table: str, after: int, wait_seconds: float) -> Snapshot:
        """Return what changed; see :meth:`Store.changes`."""
        work = self._inner.changes(table, after, wait_seconds)
        return await self._metered("changes", table, work)

    async def write(self, table: str, write: Write, timeout_seconds: float | None = None) -> int:
        """Write a row; see :meth:`Store.write`."""
        work = self._inner.write(table, write, timeout_seconds)
        return await self._metered("write", table, work)

    async def log_calls(self) -> None:
        """Say for ever, now and then, which calls this life has made so far."""
        said = 0
        while True:
            await asyncio.sleep(LINE_INTERVAL_SECONDS)
            if self._calls.total() != said:
                said = self._calls.total()
                log_state("store", "calls", life=self._life, calls=dict(self._calls))

    async def _metered(self, call: str, table: str, work: Awaitable[Answer]) -> Answer:
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
            result = "unknown" if error.outcome_unknown else "unavailable"
            raise
        finally:
            seconds = (self._clock.now_ms() - began_ms) / MS_PER_SECOND
            self._calls[f"{call} {table} {result}"] += 1
            self._metrics.store_calls.labels(call, table, result).inc()
            if call != "changes":
                self._metrics.store_seconds.labels(call).observe(seconds)
