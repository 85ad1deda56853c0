"""An in-memory store for tests in virtual time: one table with a change feed, and faults."""

import asyncio

import msgspec
from attrs import define, field

from loomwind.serving.ports import HistoryLost, Snapshot, StoredRow, StoreUnavailable

SERVICE = "tutor"
CALL_LATENCY_SECONDS = 0.004
# Timeouts of the store adapter: margin on top of the wait of a feed call, and for a full read.
FEED_MARGIN_SECONDS = 0.6
READ_TIMEOUT_SECONDS = 1.5


def server_document(state: str, held: int = 0) -> bytes:
    """Return an encoded server entry."""
    entry = {"service": SERVICE, "address": "a:1", "zone": "z", "state": state}
    return msgspec.json.encode(entry | {"models": [{"name": f"m{held}"}]})


def configuration_document(version: int, idle_timeout_ms: int = 15_000) -> bytes:
    """Return an encoded configuration."""
    limits = {"idle-timeout-ms": idle_timeout_ms}
    return msgspec.json.encode({"version": version, "routes": [], "services": [], "limits": limits})


@define
class StoreFaults:
    """The active faults of the store.

    :ivar unanswered_daemons: daemons whose calls get no response.
    :ivar refused_daemons: daemons whose calls are refused at once.
    :ivar feeds_stalled: whether feeds report no changes.
    """

    unanswered_daemons: set[str] = field(factory=set)
    refused_daemons: set[str] = field(factory=set)
    feeds_stalled: bool = False


class FakeStore:
    """One table with its change feed, created with the entries of some servers."""

    def __init__(self, servers: int, faults: StoreFaults | None = None) -> None:
        self.faults = faults or StoreFaults()
        self._version = 1
        self._rows = {f"s{number}": (1, server_document("ready")) for number in range(servers)}
        self._changed = asyncio.Event()
        self._oldest_version = 1
        self._epoch = 0

    @property
    def version(self) -> int:
        """Return the version of the newest write."""
        return self._version

    def put(self, name: str, document: bytes) -> None:
        """Write a row."""
        self._version += 1
        self._rows[name] = (self._version, document)
        self.notify()

    def notify(self) -> None:
        """Make waiting feed calls check for changes again."""
        self._changed.set()
        self._changed = asyncio.Event()

    def drop_pending_calls(self) -> None:
        """Never respond to the feed calls that are waiting now."""
        self._epoch += 1
        self.notify()

    def discard_history(self) -> None:
        """Discard all earlier changes, and fail the feeds that need them."""
        self._oldest_version = self._version + 1
        self.notify()

    async def read(self, daemon: str) -> Snapshot:
        """Return the full table."""
        await self._connect(daemon, READ_TIMEOUT_SECONDS)
        return self._since(0)

    async def changes(self, daemon: str, after: int, wait_seconds: float) -> Snapshot:
        """Return the changes after a version, once there are any."""
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_seconds
        await self._connect(daemon, wait_seconds + FEED_MARGIN_SECONDS)
        epoch = self._epoch
        while True:
            if epoch != self._epoch:
                await asyncio.sleep(until + FEED_MARGIN_SECONDS - loop.time())
                raise StoreUnavailable("no response")
            if after < self._oldest_version - 1:
                raise HistoryLost("the history was discarded")
            snapshot = self._since(after)
            if (snapshot.rows and not self.faults.feeds_stalled) or loop.time() >= until:
                return Snapshot((), after) if self.faults.feeds_stalled else snapshot
            changed = self._changed
            try:
                async with asyncio.timeout_at(until):
                    await changed.wait()
            except TimeoutError:
                pass

    def _since(self, version: int) -> Snapshot:
        rows = [
            StoredRow(name, changed, document)
            for name, (changed, document) in self._rows.items()
            if changed > version
        ]
        return Snapshot(tuple(rows), self._version)

    async def _connect(self, daemon: str, timeout: float) -> None:
        if daemon in self.faults.unanswered_daemons:
            await asyncio.sleep(timeout)
            raise StoreUnavailable("no response")
        await asyncio.sleep(CALL_LATENCY_SECONDS)
        if daemon in self.faults.refused_daemons:
            raise StoreUnavailable("status 503")


class DaemonStoreClient:
    """One daemon's access to the store; the table name is ignored.

    :ivar calls: the number of calls made.
    """

    def __init__(self, store: FakeStore, daemon: str) -> None:
        self._store = store
        self._daemon = daemon
        self.calls = 0

    async def read(self, table: str) -> Snapshot:
        """Return the full table."""
        self.calls += 1
        return await self._store.read(self._daemon)

    async def changes(self, table: str, after: int, wait_seconds: float) -> Snapshot:
        """Return the changes after a version."""
        self.calls += 1
        return await self._store.changes(self._daemon, after, wait_seconds)
