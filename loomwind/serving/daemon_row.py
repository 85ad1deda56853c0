"""The row in the store that lists this daemon, so that its peers send it what they tell all.

Every write is conditional on the version that the row had. A removal that the store carries out
late so leaves the row of a process that has been started since.
"""

import asyncio

import msgspec

from loomwind.leadership.lease import LeaseHolder
from loomwind.logs import log_state
from loomwind.serving.peers import PEER_KEY_PREFIX, PeerEntry, decode_peer
from loomwind.serving.ports import (
    MalformedDocument,
    Snapshot,
    Store,
    StoredRow,
    StoreUnavailable,
    Write,
    WriteConflict,
)

REGISTER_RETRY_SECONDS = 0.5


class DaemonRow:
    """Writes the row of this daemon, again whenever it is gone, and removes it at the end."""

    def __init__(
        self, store: Store, table: str, own: LeaseHolder, zone: str, relay_address: str
    ) -> None:
        self._store = store
        self._table = table
        self._key = PEER_KEY_PREFIX + own.name
        self._entry = PeerEntry(own.address, zone, own.incarnation, relay_address)
        self._version = 0
        self._write_due = asyncio.Event()
        self._write_due.set()
        self._write_lock = asyncio.Lock()
        self._removed = False

    def on_rows(self, snapshot: Snapshot, is_full: bool) -> None:
        """Apply changed rows of the table, or all rows if ``is_full``."""
        row = next((row for row in snapshot.rows if row.key == self._key), None)
        if row is not None:
            self._on_row(row)
        elif is_full and snapshot.version > self._version:
            self._on_row(StoredRow(self._key, snapshot.version, deleted=True))

    def _on_row(self, row: StoredRow) -> None:
        if row.version <= self._version:
            return
        if row.deleted:
            self._version = 0
        else:
            self._version = row.version
        if not self._is_own(row) and not self._write_due.is_set():
            log_state("peer", "unlisted", version=row.version, removed=row.deleted)
            self._write_due.set()

    def _is_own(self, row: StoredRow) -> bool:
        if row.deleted:
            return False
        try:
            return decode_peer(row.value).incarnation == self._entry.incarnation
        except MalformedDocument:
            return False

    async def run(self) -> None:
        """Write the row when it is missing or another process's; never returns."""
        while True:
            await self._write_due.wait()
            async with self._write_lock:
                if self._removed:
                    return
                await self._write()
            await asyncio.sleep(REGISTER_RETRY_SECONDS)

    async def _write(self) -> None:
        """Write the row; a conflict tells the version that the next write expects."""
        value = msgspec.json.encode(self._entry)
        for _ in range(2):
            try:
                self._version = await self._store.write(
                    self._table, Write(self._key, value, self._version)
                )
                self._write_due.clear()
                return
            except WriteConflict as conflict:
                row = self._conflicting_row(conflict)
                self._version = row.version if row is not None else 0
            except StoreUnavailable as error:
                log_state("peer", "not-registered", error=str(error))
                return

    def _conflicting_row(self, conflict: WriteConflict) -> StoredRow | None:
        rows = (row for row in conflict.rows if row.key == self._key and not row.deleted)
        return next(rows, None)

    async def remove(self) -> None:
        """Remove the row if this process wrote it, and write it no more."""
        self._removed = True
        async with self._write_lock:
            version = self._version
            for _ in range(2):
                try:
                    await self._store.write(self._table, Write(self._key, None, version))
                    return
                except WriteConflict as conflict:
                    row = self._conflicting_row(conflict)
                    if row is None or not self._is_own(row):
                        return
                    version = row.version
                except StoreUnavailable as error:
                    log_state("peer", "not-unregistered", error=str(error))
                    return
