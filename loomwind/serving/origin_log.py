"""Replicates the origins of resumable streams through the store.

A caller may resume its stream at any daemon, also after the one that relayed it has died. While
servers of several software versions may have begun streams, each daemon keeps the origins of its
streams in a row of its own and looks up others in the rows of all daemons. A row is written only
under the version that its daemon wrote last, so a delayed write never replaces a newer one.
"""

import asyncio

from loomwind.clock import MS_PER_SECOND, Clock
from loomwind.coalescing import CoalescedCall
from loomwind.logs import log_state
from loomwind.serving.errors import MalformedOrigins
from loomwind.serving.peers import PeerTable
from loomwind.serving.ports import Store, StoredRow, StoreUnavailable, Write, WriteConflict
from loomwind.serving.stream_origins import (
    OriginTable,
    StreamOrigin,
    decode_origins,
    encode_origins,
    hash_request_id,
)
from loomwind.serving.version_registry import VersionRegistry

MIN_WRITE_INTERVAL_MS = 200.0
IDLE_CHECK_MS = 1000.0
# The store answers in milliseconds; a write whose answer is lost is repeated early, but only once,
# since a slow store answers later.
SHORT_WRITE_TIMEOUT_SECONDS = 0.25
# A row of an earlier process does not tell when its streams began.
INHERITED_LIFETIME_MS = 60_000.0
EXPIRY_MARGIN_MS = 5000.0
LOOKUP_RETRY_MS = 100.0


class OriginLog:
    """The origins of this daemon's streams, and those that other daemons have stored.

    :ivar replication_due: set when there are origins of mixed services to replicate.
    """

    def __init__(
        self, store: Store, table: str, name: str, registry: VersionRegistry, peers: PeerTable
    ) -> None:
        """Create a log.

        :param name: this daemon's name, the key of its row.
        """
        self._store = store
        self._table = table
        self._key = name
        self._registry = registry
        self._peers = peers
        self._clock = Clock()
        self._own = OriginTable()
        self._stored: dict[int, StreamOrigin] = {}
        self._row_version = 0
        self._written: frozenset[int] = frozenset()
        self._was_answered = True
        self._recorded = asyncio.Event()
        self._refresh = CoalescedCall(self._read)
        self._replicas = OriginTable()
        self._mixed = frozenset(self._mixed_services())
        self._unreplicated: dict[int, StreamOrigin] = {}
        self.replication_due = asyncio.Event()
        registry.on_new_version = self._on_new_version

    def record(self, request_id: str, origin: StreamOrigin, lifetime_ms: float) -> None:
        """Record the origin of a stream.

        :param request_id: the ID of the caller's attempt that brings the first event.
        :param lifetime_ms: how long its caller may still resume the stream.
        """
        expires_at_ms = self._clock.now_ms() + lifetime_ms + EXPIRY_MARGIN_MS
        request_hash = hash_request_id(request_id)
        self._own.record(request_hash, origin, expires_at_ms)
        self._recorded.set()
        self._unreplicated[request_hash] = origin
        if origin.service in self._mixed:
            self.replication_due.set()

    def record_replicas(self, origins: dict[int, StreamOrigin]) -> None:
        """Record origins of a peer's streams, for when it cannot be asked any more."""
        now_ms = self._clock.now_ms()
        self._replicas.expire(now_ms)
        for request_hash, origin in origins.items():
            self._replicas.record(request_hash, origin, now_ms + INHERITED_LIFETIME_MS)

    def take_unreplicated(self) -> dict[int, StreamOrigin]:
        """Return the origins that were recorded since the last call, or became needed."""
        taken, self._unreplicated = self._unreplicated, {}
        self.replication_due.clear()
        return taken

    def _on_new_version(self) -> None:
        self._update_mixed()
        self._recorded.set()

    def _update_mixed(self) -> None:
        """Find the mixed services; all origins of those that are new are replicated."""
        mixed = frozenset(self._mixed_services())
        if origins := self._own.newest(mixed - self._mixed):
            self._unreplicated |= origins
            self.replication_due.set()
        self._mixed = mixed

    def find(self, request_id: str) -> StreamOrigin | None:
        """Return the origin of a stream, as far as this daemon knows it."""
        return self.find_hash(hash_request_id(request_id))

    def find_hash(self, request_hash: int) -> StreamOrigin | None:
        """Return the origin of the stream whose request ID has a hash."""
        return (
            self._own.find(request_hash)
            or self._stored.get(request_hash)
            or self._replicas.find(request_hash)
        )

    async def look_up(self, request_id: str, timeout_ms: float) -> StreamOrigin | None:
        """Return the origin of a stream, from the store if this daemon does not know it.

        A daemon stores the origins of a moment together, so the store is read again after that
        moment before an origin counts as unknown.

        :raises StoreUnavailable: the store did not respond in time.
        """
        deadline_ms = self._clock.now_ms() + timeout_ms
        for pause_ms in (0.0, 2 * self._write_interval_ms()):
            if (origin := self.find(request_id)) is not None:
                return origin
            await self._clock.sleep_ms(min(pause_ms, deadline_ms - self._clock.now_ms()))
            await self._refresh_until(deadline_ms)
        return self.find(request_id)

    async def _refresh_until(self, deadline_ms: float) -> None:
        while True:
            try:
                await self._refresh()
                return
            except StoreUnavailable:
                if self._clock.now_ms() + LOOKUP_RETRY_MS >= deadline_ms:
                    raise
            await self._clock.sleep_ms(LOOKUP_RETRY_MS)

    async def _read(self) -> None:
        """Read the rows of all daemons."""
        snapshot = await self._store.read(self._table)
        self._stored = {}
        for row in snapshot.rows:
            self._stored.update(_decode_row(row))

    async def run(self) -> None:
        """Write the row of this daemon whenever it has changed, until cancelled."""
        while True:
            await self._wait_for_record()
            try:
                await self._write_changes()
            except Exception as error:
                log_state("stream-origins", "failed", error=repr(error))
            await self._clock.sleep_ms(self._write_interval_ms())

    async def _write_changes(self) -> None:
        self._own.expire(self._clock.now_ms())
        self._update_mixed()
        origins = self._own.newest(self._mixed)
        if origins.keys() != self._written:
            await self._write(origins)

    async def _wait_for_record(self) -> None:
        """Wait for a new origin; now and then the row is checked for expired ones."""
        try:
            async with asyncio.timeout(IDLE_CHECK_MS / MS_PER_SECOND):
                await self._recorded.wait()
        except TimeoutError:
            pass
        self._recorded.clear()

    def _mixed_services(self) -> list[str]:
        """Return the services whose streams may have begun at several versions."""
        return [
            service
            for service in self._registry.service_names()
            if self._registry.sole_version(service) is None
        ]

    async def _write(self, origins: dict[int, StreamOrigin]) -> None:
        value = encode_origins(origins) if origins else None
        write = Write(self._key, value, self._row_version)
        timeout_seconds = SHORT_WRITE_TIMEOUT_SECONDS if self._was_answered else None
        self._was_answered = False
        try:
            self._row_version = await self._store.write(self._table, write, timeout_seconds)
            self._was_answered = True
        except WriteConflict as conflict:
            self._was_answered = True
            self._inherit(next(iter(conflict.rows), None))
            self._recorded.set()
            return
        except StoreUnavailable as error:
            log_state("stream-origins", "not-written", error=str(error), origins=len(origins))
            self._recorded.set()
            return
        if value is None:
            self._row_version = 0
        self._written = frozenset(origins)

    def _inherit(self, row: StoredRow | None) -> None:
        """Take over the row of an earlier process, or of a write whose response was lost."""
        self._row_version = row.version if row is not None else 0
        stored = _decode_row(row) if row is not None else {}
        self._written = frozenset(stored)
        expires_at_ms = self._clock.now_ms() + INHERITED_LIFETIME_MS
        for request_hash, origin in stored.items():
            if self._own.find(request_hash) is None:
                self._own.record(request_hash, origin, expires_at_ms)

    def _write_interval_ms(self) -> float:
        return self._peers.scale_interval(MIN_WRITE_INTERVAL_MS)


def _decode_row(row: StoredRow) -> dict[int, StreamOrigin]:
    if row.deleted:
        return {}
    try:
        return decode_origins(row.value)
    except MalformedOrigins as error:
        log_state("stream-origins", "unreadable", daemon_row=row.key, error=str(error))
        return {}
