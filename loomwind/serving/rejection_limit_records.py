"""Keeps in the store which services have servers that must not reject many requests.

Daemons that all start at once have no peer to learn it from. The leader writes a row when it learns
a limit or a limit changes, and removes it when servers state none any more.
"""

import time

import msgspec
from msgspec import Struct

from loomwind.clock import MS_PER_SECOND, Clock
from loomwind.decoding import DecodeError, decode_json
from loomwind.logs import log_state
from loomwind.serving.peers import PeerTable
from loomwind.serving.ports import (
    Snapshot,
    Store,
    StoredRow,
    StoreUnavailable,
    Write,
    WriteConflict,
)
from loomwind.serving.rejection_limits import RejectionLimits, ServiceRejectionLimit

LIMIT_KEY_PREFIX = "rejection-limit/"
REVIEW_INTERVAL_MS = 500.0


class LimitRow(Struct, frozen=True):
    """A limit as stored.

    :param since_unix_ms: when it was first known.
    """

    max_per_second: int
    since_unix_ms: float


class RejectionLimitRecords:
    """Writes limits to the store, and adopts those of services that nothing is known of."""

    def __init__(
        self, store: Store, table: str, limits: RejectionLimits, peers: PeerTable, clock: Clock
    ) -> None:
        self._store = store
        self._table = table
        self._limits = limits
        self._peers = peers
        self._clock = clock
        self._stored: dict[str, LimitRow] = {}

    def on_rows(self, snapshot: Snapshot, is_full: bool) -> None:
        """Adopt the limits among the changed rows, or all of them."""
        if is_full:
            self._stored.clear()
        for row in snapshot.rows:
            if row.key.startswith(LIMIT_KEY_PREFIX):
                self._apply(row.key.removeprefix(LIMIT_KEY_PREFIX), row)

    def _apply(self, service: str, row: StoredRow) -> None:
        if row.deleted:
            self._stored.pop(service, None)
            return
        try:
            stored = decode_json(row.value, LimitRow)
        except DecodeError as error:
            log_state("rejection-limit", "unreadable", service=service, error=str(error))
            return
        self._stored[service] = stored
        if self._limits.is_known(service):
            return
        known_for_ms = max(0.0, _unix_ms() - stored.since_unix_ms)
        limit = ServiceRejectionLimit(service, stored.max_per_second, known_for_ms, age_ms=0.0)
        self._limits.adopt([limit], self._clock.now_ms())
        log_state(
            "rejection-limit",
            "known",
            service=service,
            max_per_second=stored.max_per_second,
            teller="the store",
        )

    async def run(self) -> None:
        """Bring the rows up to date while this daemon leads, until cancelled."""
        while True:
            await self._clock.sleep_ms(self._peers.scale_interval(REVIEW_INTERVAL_MS))
            if not self._peers.leads:
                continue
            try:
                await self._write_changes()
            except (StoreUnavailable, WriteConflict) as error:
                log_state("rejection-limit", "not-written", error=str(error))

    async def _write_changes(self) -> None:
        """Write the rows that differ from what this daemon knows.

        :raises StoreUnavailable: the store did not confirm a write; it is repeated later.
        :raises WriteConflict: another daemon leads by now.
        """
        now_ms = self._clock.now_ms()
        for service in [each for each in self._stored if self._limits.is_withdrawn(each)]:
            await self._store.write(self._table, Write(LIMIT_KEY_PREFIX + service, None))
            self._stored.pop(service, None)
        for limit in self._limits.active(now_ms):
            known = self._stored.get(limit.service)
            if known is not None and known.max_per_second == limit.max_per_second:
                continue
            row = LimitRow(limit.max_per_second, _unix_ms() - limit.known_for_ms)
            value = msgspec.json.encode(row)
            await self._store.write(self._table, Write(LIMIT_KEY_PREFIX + limit.service, value))
            self._stored[limit.service] = row
            log_state("rejection-limit", "stored", service=limit.service)


def _unix_ms() -> float:
    return time.time() * MS_PER_SECOND
