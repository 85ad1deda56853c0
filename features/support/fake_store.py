"""A store in memory for tests in virtual time: one table with its feed, and faults to switch on."""

import asyncio

import msgspec
from attrs import define, field

from loomwind.serving.ports import HistoryLost, Snapshot, StoredRow, StoreUnavailable

SERVICE = "tutor"
CALL_SECONDS = 0.004
# As the adapter of the store waits: for a feed longer than it asked, for a table so long.
FEED_MARGIN_SECONDS = 0.6
READ_TIMEOUT_SECONDS = 1.5


def server_document(state: str, held: int = 0) -> bytes:
    """Return a server's entry as it stands in the store."""
    entry = {"service": SERVICE, "address": "a:1", "zone": "z", "state": state}
    return msgspec.json.encode(entry | {"models": [{"name": f"m{held}"}]})


def configuration_document(version: int, idle_timeout_ms: int = 15_000) -> bytes:
    """Return a configuration as it stands in the store."""
    limits = {"idle-timeout-ms": idle_timeout_ms}
    return msgspec.json.encode({"version": version, "routes": [], "services": [], "limits": limits})


@define
class StoreFaults:
    """What is wrong with the store now.

    :ivar silent_to: daemons whose calls get no answer.
    :ivar refuses: daemons whose calls are refused at once.
    :ivar deaf: whether feeds hear of no change.
    """

    silent_to: set[str] = field(factory=set)
    refuses: set[str] = field(factory=set)
    deaf: bool = False


class FakeStore:
    """One table with its feed; it begins with the entries of some servers."""

    def __init__(self, servers: int, faults: StoreFaults | None = None) -> None:
        self.faults = faults or StoreFaults()
        self._version = 1
        self._rows = {f"s{number}": (1, server_document("ready")) for number in range(servers)}
        self._changed = asyncio.Event()
        self._oldest_kept = 1
        self._epoch = 0

    @property
    def version(self) -> int:
        """Return the version of the newest write."""
        return self._version

    def put(self, name: str, document: bytes) -> None:
        """Write a row."""
        self._version += 1
        self._rows[name] = (self._version, document)
        self.wake()

    def wake(self) -> None:
        """Let the feeds look again."""
        self._changed.set()
        self._changed = asyncio.Event()

    def drop_pending_calls(self) -> None:
        """Never answer what is asked by now and held."""
        self._epoch += 1
        self.wake()

    def discard_history(self) -> None:
        """Drop what feeds could tell of earlier changes, and cut them."""
        self._oldest_kept = self._version + 1
        self.wake()

    async def read(self, daemon: str) -> Snapshot:
        """Return the whole table."""
        await self._reach(daemon, READ_TIMEOUT_SECONDS)
        return self._since(0)

    async def changes(self, daemon: str, after: int, wait_seconds: float) -> Snapshot:
        """Return what has changed, as soon as something has."""
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_seconds
        await self._reach(daemon, wait_seconds + FEED_MARGIN_SECONDS)
        epoch = self._epoch
        while True:
            if epoch != self._epoch:
                await asyncio.sleep(until + FEED_MARGIN_SECONDS - loop.time())
                raise StoreUnavailable("no answer")
            if after < self._oldest_kept - 1:
                raise HistoryLost("the history is gone")
            found = self._since(after)
            if (found.rows and not self.faults.deaf) or loop.time() >= until:
                return Snapshot((), after) if self.faults.deaf else found
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

    async def _reach(self, daemon: str, timeout: float) -> None:
        if daemon in self.faults.silent_to:
            await asyncio.sleep(timeout)
            raise StoreUnavailable("no answer")
        await asyncio.sleep(CALL_SECONDS)
        if daemon in self.faults.refuses:
            raise StoreUnavailable("status 503")


class DaemonStoreClient:
    """The store as one daemon calls it, whatever the table.

    :ivar calls: how many calls it has made.
    """

    def __init__(self, store: FakeStore, daemon: str) -> None:
        self._store = store
        self._daemon = daemon
        self.calls = 0

    async def read(self, table: str) -> Snapshot:
        """Return the whole table."""
        self.calls += 1
        return await self._store.read(self._daemon)

    async def changes(self, table: str, after: int, wait_seconds: float) -> Snapshot:
        """Return what has changed."""
        self.calls += 1
        return await self._store.changes(self._daemon, after, wait_seconds)
