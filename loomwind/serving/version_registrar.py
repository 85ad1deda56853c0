"""Keeps the registry of software versions in the store up to date.

Every daemon registers versions that it finds in the server list, and opens them once their first
streams may begin; the leader also removes versions whose servers have left long ago. All writes are
conditional on the row's version.
"""

import random

from loomwind.clock import MS_PER_SECOND, Clock
from loomwind.coalescing import CoalescedCall
from loomwind.logs import log_state
from loomwind.serving.errors import MalformedVersions
from loomwind.serving.follower import StoreHealth
from loomwind.serving.peers import PeerTable
from loomwind.serving.ports import (
    HistoryLost,
    Snapshot,
    Store,
    StoreUnavailable,
    Write,
    WriteConflict,
)
from loomwind.serving.replicated_state import ReplicatedState
from loomwind.serving.version_registry import (
    ServiceVersions,
    VersionRegistry,
    decode_versions,
    encode_versions,
)

ROW_KEY = "software-versions"
CHECK_INTERVAL_MS = 500.0
# Lets the leader register a version first, so that the other daemons have nothing to write.
MAX_FOLLOWER_DELAY_MS = 300.0
# Streams begin without this write; it only spares daemons that start later the wait.
FOLLOWER_OPENING_DELAY_MS = 3000.0
# Longer than the streams of a version can last, with the resumptions of their callers.
RETENTION_MS = 120_000.0


class VersionRegistrar:
    """Reads and writes the row of the registry."""

    def __init__(
        self,
        store: Store,
        table: str,
        registry: VersionRegistry,
        replicated_state: ReplicatedState,
        peers: PeerTable,
        health: StoreHealth,
    ) -> None:
        self._store = store
        self._table = table
        self._registry = registry
        self._replicated_state = replicated_state
        self._peers = peers
        self._health = health
        self._clock = Clock()
        self._unlisted_since_ms: dict[tuple[str, str], float] = {}
        self._read_version = 0
        self._unreadable_version = -1
        self.confirm = CoalescedCall(self._read)

    def on_rows(self, snapshot: Snapshot, is_full: bool) -> None:
        """Apply the row of the registry, if it is among the changed rows or ``is_full``.

        The feed has each change of a row; the last one counts.
        """
        changes = (row for row in snapshot.rows if row.key == ROW_KEY)
        row = max(changes, key=lambda row: row.version, default=None)
        if row is not None and not row.deleted:
            self._apply(row.value, row.version)
        elif row is not None or is_full:
            row_version = row.version if row is not None else 0
            self._registry.replace((), row_version, self._clock.now_ms())

    def _apply(self, value: bytes, row_version: int) -> None:
        """Adopt a row, and let requests that wait for its versions go on.

        A row that is unreadable leaves the last copy in force; the next write replaces the row.
        """
        try:
            services = decode_versions(value)
        except MalformedVersions as error:
            log_state("software-versions", "unreadable", version=row_version, error=str(error))
            self._unreadable_version = max(self._unreadable_version, row_version)
            if not self._registry.is_known:
                return
            services = self._registry.services()
        self._registry.replace(services, row_version, self._clock.now_ms())
        self._registry.is_writable = True
        self._replicated_state.pool.demand.wake()

    async def _read(self) -> None:
        """Read what has changed of the row, so that this copy is as of now.

        :raises StoreUnavailable: the store did not respond, or the row is unreadable.
        """
        began_ms = self._clock.now_ms()
        after = max(self._read_version, self._registry.row_version)
        is_full = not self._registry.is_known or not after
        if not is_full:
            try:
                snapshot = await self._store.changes(self._table, after, 0.0)
            except HistoryLost:
                is_full = True
        if is_full:
            snapshot = await self._store.read(self._table)
        if snapshot.version < after:
            raise StoreUnavailable("the response is older than what is known")
        self.on_rows(snapshot, is_full)
        self._read_version = snapshot.version
        if not self._is_readable:
            raise StoreUnavailable("the row of the registry is unreadable")
        self._registry.confirm(began_ms)

    async def run(self) -> None:
        """Register, open and retire versions until cancelled."""
        while True:
            try:
                await self._update()
            except Exception as error:
                log_state("software-versions", "failed", error=repr(error))
            await self._replicated_state.wait_for_server_change(CHECK_INTERVAL_MS / MS_PER_SECOND)

    async def _update(self) -> None:
        if not self._registry.is_known:
            return
        if not self._registry.is_complete and self._health.available_since is not None:
            await self._close_gap()
        if self._must_register:
            await self._register()
        elif self._registry.waited(self._clock.now_ms()):
            self._replicated_state.pool.demand.wake()
            await self._open()
        elif self._peers.leads:
            await self._retire()

    async def _close_gap(self) -> None:
        """Read the versions of servers that were listed unnoticed, at the start or after a gap."""
        try:
            await self.confirm()
        except StoreUnavailable as error:
            log_state("software-versions", "not-read", error=str(error))

    @property
    def _is_readable(self) -> bool:
        """Whether this copy is newer than the last row that could not be read."""
        return self._registry.row_version > self._unreadable_version

    @property
    def _must_register(self) -> bool:
        return self._registry.has_unregistered or not self._is_readable

    async def _register(self) -> None:
        await self._leave_to_leader()
        if self._must_register:
            await self._write(self._registry.with_listed())

    async def _open(self) -> None:
        """Let streams begin at versions that every daemon knows by now, also after restarts."""
        waited_by_ms = self._clock.now_ms()
        if not self._peers.leads:
            waited_by_ms -= self._peers.scale_interval(FOLLOWER_OPENING_DELAY_MS)
        if self._registry.waited(waited_by_ms):
            await self._write(self._registry.with_opened(waited_by_ms))

    async def _leave_to_leader(self) -> None:
        if not self._peers.leads:
            delay_ms = self._peers.scale_interval(random.uniform(0.3, 1.0) * MAX_FOLLOWER_DELAY_MS)
            await self._clock.sleep_ms(delay_ms)

    async def _retire(self) -> None:
        """Remove versions that no listed server has had for the retention time."""
        now_ms = self._clock.now_ms()
        # Entries lapse while the store is unavailable, although their servers run.
        is_reliable = self._health.available_since is not None
        unlisted = self._registry.unlisted() if is_reliable else frozenset()
        self._unlisted_since_ms = {
            key: self._unlisted_since_ms.get(key, now_ms) for key in unlisted
        }
        retired = {
            key
            for key, since_ms in self._unlisted_since_ms.items()
            if now_ms - since_ms >= RETENTION_MS
        }
        services = self._registry.without(retired)
        if services != self._registry.services():
            await self._write(services)

    async def _write(self, services: tuple[ServiceVersions, ...]) -> None:
        write = Write(ROW_KEY, encode_versions(services), self._registry.row_version)
        try:
            version = await self._store.write(self._table, write)
        except WriteConflict as conflict:
            row = next(iter(conflict.rows), None)
            if row is None:
                self._registry.reset(self._clock.now_ms())
            else:
                self._apply(row.value, row.version)
            return
        except StoreUnavailable as error:
            log_state("software-versions", "not-written", error=str(error))
            self._registry.is_writable = False
            return
        self._registry.is_writable = True
        self._registry.replace(services, version, self._clock.now_ms())
        self._replicated_state.pool.demand.wake()
        log_state("software-versions", "written", version=version, services=services)
