"""Acquires, renews and releases the leader lease by conditional writes to the store."""

import asyncio
import contextlib
from collections.abc import Iterator

import msgspec

from loomwind.decoding import DecodeError, decode_json
from loomwind.leadership.lease import Lease, LeaseAction, LeaseHolder
from loomwind.logs import log_state
from loomwind.serving.follower import StoreHealth
from loomwind.serving.ports import (
    MalformedDocument,
    Store,
    StoredRow,
    StoreUnavailable,
    Write,
    WriteConflict,
)

LEASE_KEY = "leader"
TICK_INTERVAL_SECONDS = 0.1
RETRY_DELAY_SECONDS = 0.2
FIRST_WRITE_TIMEOUT_SECONDS = 0.5
RETRY_WRITE_TIMEOUT_SECONDS = 0.9


class Election:
    """Acquires, renews and releases the lease.

    :ivar write_finished: set when this daemon has written the lease row, or failed to because the
        store is unavailable; other daemons are then notified.
    :ivar extra_wait_seconds: how long a lease must have been free or expired before this daemon
        acquires it; not 0 on daemons that learn of renewals late.
    :ivar unreachable_wait_seconds: an additional wait while this daemon cannot reach the servers.
    """

    def __init__(
        self,
        store: Store,
        table: str,
        own: LeaseHolder,
        lease: Lease,
        health: StoreHealth,
    ) -> None:
        self._store = store
        self._table = table
        self._own = own
        self.lease = lease
        self._health = health
        self._was_leader = False
        self._stopping = False
        self._suspended = False
        self._unknown_write_sent_at: float | None = None
        self.write_finished = asyncio.Event()
        self.extra_wait_seconds = 0.0
        self.unreachable_wait_seconds = 0.0

    def record_row(self, row: StoredRow) -> None:
        """Apply the lease row as read from the store."""
        self.record_announced_row(row.version, _holder(row))

    def record_announced_row(self, version: int, holder: LeaseHolder | None) -> None:
        """Apply the lease row as announced by the daemon that wrote it."""
        self.lease.record_row(version, holder, self._now())
        self._log_role_change()

    async def read_row(self) -> None:
        """Read the lease row from the store and apply it."""
        try:
            snapshot = await self._store.read(self._table)
        except StoreUnavailable as error:
            self._health.record_failure(self._now(), str(error))
            return
        self._health.record_success(self._now())
        row = next((row for row in snapshot.rows if row.key == LEASE_KEY), None)
        if row is not None:
            self.record_row(row)
        else:
            self.lease.record_missing_row(snapshot.version, self._now())
            self._log_role_change()

    async def log_role_changes(self) -> None:
        """Log when a lease ends, also while a write is in progress; never returns."""
        while True:
            self._log_role_change()
            await asyncio.sleep(TICK_INTERVAL_SECONDS)

    async def run(self) -> None:
        """Take part in the election until the lease is released."""
        while not self._stopping:
            try:
                await self._step()
            except Exception as error:
                log_state("election", "failed", error=repr(error))
            self._log_role_change()
            await asyncio.sleep(TICK_INTERVAL_SECONDS)

    async def _step(self) -> None:
        now = self._now()
        if self._suspended:
            return
        extra_wait = self.extra_wait_seconds + self.unreachable_wait_seconds
        action = self.lease.action(now, self._health.available_seconds(now), extra_wait)
        if action is LeaseAction.WAIT:
            return
        holder = self.lease.row()
        write = Write(LEASE_KEY, msgspec.json.encode(holder), self.lease.expected_version)
        is_retry = self._unknown_write_sent_at is not None
        timeout = RETRY_WRITE_TIMEOUT_SECONDS if is_retry else FIRST_WRITE_TIMEOUT_SECONDS
        try:
            version = await self._store.write(self._table, write, timeout)
        except WriteConflict as conflict:
            self._on_conflict(conflict)
        except StoreUnavailable as error:
            self._health.record_failure(self._now(), str(error))
            if error.outcome_unknown and self._unknown_write_sent_at is None:
                self._unknown_write_sent_at = now
            self.write_finished.set()
            await asyncio.sleep(0.0 if error.outcome_unknown else RETRY_DELAY_SECONDS)
        else:
            self._health.record_success(self._now())
            self._unknown_write_sent_at = None
            self.lease.record_write(version, now, holder)
            self.write_finished.set()

    def _on_conflict(self, conflict: WriteConflict) -> None:
        """Apply the current row after a write conflict.

        If this process wrote the row, an earlier write of unknown outcome has succeeded.
        """
        for row in conflict.rows:
            if row.key != LEASE_KEY:
                continue
            holder = _holder(row)
            if (
                holder is not None
                and holder.incarnation == self._own.incarnation
                and self._unknown_write_sent_at
            ):
                self.lease.record_write(row.version, self._unknown_write_sent_at, holder)
                self.write_finished.set()
            else:
                self.record_row(row)
        self._unknown_write_sent_at = None

    def is_leader(self) -> bool:
        """Return whether this daemon may act as the leader: only while its lease is valid.

        After :meth:`release` it never may. A lease that can't be renewed ends, whoever else does
        not reach the store: that no listed daemon reaches it does not mean that none does.
        """
        if self._stopping or self._suspended:
            return False
        return self.lease.is_leader(self._now())

    def remaining_seconds(self, fence: int) -> float:
        """Return for how long this daemon may act under a fencing token; 0 if it may not."""
        if fence != self.lease.fence or not self.is_leader():
            return 0.0
        return self.lease.remaining_seconds(self._now())

    def _log_role_change(self) -> None:
        is_leader = self.is_leader()
        if is_leader == self._was_leader:
            return
        self._was_leader = is_leader
        state = "leader" if is_leader else "follower"
        holder = self.lease.holder.name if self.lease.holder else None
        log_state("election", state, fence=self.lease.fence, holder=holder)

    def release(self) -> bool:
        """Stop leading for good, and return whether this daemon was the leader.

        The lease row remains until :meth:`hand_over` deletes it.
        """
        is_leader = self.is_leader()
        self._stopping = True
        self.lease.release()
        self._log_role_change()
        return is_leader

    @contextlib.contextmanager
    def suspended(self) -> Iterator[None]:
        """Stop leading, and neither acquire nor renew the lease inside the context."""
        self._suspended = True
        self.lease.release()
        self._log_role_change()
        try:
            yield
        finally:
            self._suspended = False

    async def hand_over(self) -> None:
        """Delete the row of a released lease, so that others need not wait until it expires."""
        expected = self.lease.expected_version
        try:
            version = await self._store.write(self._table, Write(LEASE_KEY, None, expected))
            self.record_announced_row(version, None)
            self.write_finished.set()
        except (StoreUnavailable, WriteConflict) as error:
            log_state("election", "hand-over-failed", error=str(error))

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()


def _holder(row: StoredRow) -> LeaseHolder | None:
    if row.deleted or not row.value:
        return None
    try:
        return decode_holder(row.value)
    except MalformedDocument as error:
        log_state("election", "row-unreadable", version=row.version, error=str(error))
        return None


def decode_holder(value: bytes) -> LeaseHolder:
    """Decode the row of the lease.

    :raises MalformedDocument: the value does not name a holder.
    """
    try:
        return decode_json(value, LeaseHolder)
    except DecodeError as error:
        raise MalformedDocument(f"lease: {error}") from error
