"""An in-memory store with conditional writes, and writes that are delayed or fail, for tests."""

import asyncio
import base64

from loomwind.serving.ports import (
    Snapshot,
    Store,
    StoredRow,
    StoreUnavailable,
    Write,
    WriteConflict,
)
from standins.pool.rows import Expectation, Put, Removal, Row, RowStore, Transaction

TIMEOUT_SECONDS = 0.8


class MemoryStore(Store):
    """Tables in memory.

    :ivar is_available: whether calls are answered.
    :ivar fails_unexpectedly: whether calls end with an error that no caller knows.
    :ivar delays_writes: whether writes get no answer and wait for :meth:`apply_delayed`.
    :ivar loses_every_second_write: whether every second write of all callers is not
        carried out and gets no answer.
    :ivar calls: the number of calls.
    """

    configuration_table = "op"
    configuration_key = "config"
    server_table = "servers"

    def __init__(self) -> None:
        self.rows = RowStore()
        self.is_available = True
        self.fails_unexpectedly = False
        self.delays_writes = False
        self.loses_every_second_write = False
        self._writes = 0
        self.calls = 0
        self._delayed: list[Transaction] = []

    def set_address(self, address: str, timeout_seconds: float) -> None:
        """Do nothing; see :meth:`Store.set_address`."""

    async def read(self, table: str) -> Snapshot:
        """Return a full table; see :meth:`Store.read`."""
        self._record_call()
        rows = tuple(_stored_row(row) for row in self.rows.table(table))
        return Snapshot(rows, self.rows.version)

    async def changes(self, table: str, after: int, wait_seconds: float) -> Snapshot:
        """Return the changes of a table; see :meth:`Store.changes`."""
        self._record_call()
        rows = tuple(_stored_row(row) for row in self.rows.changes(table, after) or ())
        return Snapshot(rows, self.rows.version)

    async def write(self, table: str, write: Write, timeout_seconds: float | None = None) -> int:
        """Write a row; see :meth:`Store.write`."""
        self._record_call()
        self._writes += 1
        if self.loses_every_second_write and self._writes % 2 == 0:
            await asyncio.sleep(timeout_seconds or TIMEOUT_SECONDS)
            raise StoreUnavailable("no response", outcome_unknown=True)
        transaction = Transaction()
        if write.expected_version is not None:
            transaction.expect_revision = [Expectation(table, write.key, write.expected_version)]
        if write.value is None:
            transaction.remove = [Removal(table, write.key)]
        else:
            transaction.put = [Put(table, write.key, base64.b64encode(write.value).decode())]
        if self.delays_writes:
            self._delayed.append(transaction)
            raise StoreUnavailable("no response", outcome_unknown=True)
        conflict = self.rows.apply(transaction)
        if conflict is not None:
            raise WriteConflict(tuple(_stored_row(row) for row in conflict))
        return self.rows.version

    def apply_delayed(self) -> None:
        """Carry out the delayed writes whose conditions still hold."""
        for transaction in self._delayed:
            self.rows.apply(transaction)
        self._delayed.clear()

    def _record_call(self) -> None:
        self.calls += 1
        if self.fails_unexpectedly:
            raise ValueError("an odd response")
        if not self.is_available:
            raise StoreUnavailable("no response")


def _stored_row(row: Row) -> StoredRow:
    return StoredRow(row.key, row.ver, base64.b64decode(row.value), row.gone)
