"""Follows a table of the store: reads it whole, then its feed; reads again when history is lost."""

import asyncio
from collections.abc import Callable

from loomwind.logs import log_state
from loomwind.serving.ports import HistoryLost, Snapshot, Store, StoreUnavailable

FEED_WAIT_SECONDS = 25.0
RETRY_SECONDS = 0.15
LONGEST_RETRY_SECONDS = 0.6
TROUBLE_MEMORY_SECONDS = 3.5
AWAY_SECONDS = 2.0


class StoreHealth:
    """When the store last answered this daemon, and when it last did not. Times of the loop."""

    def __init__(self) -> None:
        self.available_since: float | None = None
        self.last_failure: float | None = None

    def record_success(self, now: float) -> None:
        """Note an answer."""
        if self.available_since is None:
            self.available_since = now
            log_state("store", "answers")

    def record_failure(self, now: float, reason: str) -> None:
        """Note a call without an answer, or refused."""
        if self.available_since is not None:
            log_state("store", "lost", reason=reason)
        self.available_since = None
        self.last_failure = now

    def is_unavailable(self, now: float) -> bool:
        """Whether a call has failed a moment ago, and none was answered since."""
        if self.available_since is not None or self.last_failure is None:
            return False
        return now - self.last_failure < AWAY_SECONDS

    def recently_failed(self, now: float) -> bool:
        """Whether a call failed lately, so that entries may be gone without a cause."""
        return self.last_failure is not None and now - self.last_failure < TROUBLE_MEMORY_SECONDS

    def available_seconds(self, now: float) -> float:
        """Return for how many seconds each call was answered."""
        return 0.0 if self.available_since is None else now - self.available_since


class TableFollower:
    """Keeps one table's reader up to date. The version never goes back within a life.

    :param on_rows: called with rows and whether they are the whole table.
    :param rest_seconds: returns the pause before the next call; changes of it come together.
    :param wait_seconds: returns how long the store may hold its answer until something changes.
    :param longest_retry_seconds: returns the longest pause after a call that failed.
    """

    def __init__(
        self,
        store: Store,
        table: str,
        health: StoreHealth,
        on_rows: Callable[[Snapshot, bool], None],
        pause_seconds: Callable[[], float] = lambda: 0.0,
        longest_retry_seconds: Callable[[], float] = lambda: LONGEST_RETRY_SECONDS,
        wait_seconds: Callable[[], float] = lambda: FEED_WAIT_SECONDS,
    ) -> None:
        self._store = store
        self._table = table
        self._health = health
        self._on_rows = on_rows
        self._rest = pause_seconds
        self._wait = wait_seconds
        self._longest_retry = longest_retry_seconds
        self._retry = RETRY_SECONDS
        self.version = 0
        self.synchronised = False

    async def run(self) -> None:
        """Follow for ever."""
        while True:
            if await self.follow_once(self._wait()):
                await asyncio.sleep(self._rest())

    async def follow_once(self, wait_seconds: float) -> bool:
        """Make one call, and pause after one that failed; returns whether the rows are the newest.

        :param wait_seconds: how long the store may hold its answer until something changes.
        """
        try:
            newest = await self._step(wait_seconds)
            self._retry = RETRY_SECONDS
            return newest
        except HistoryLost:
            log_state("feed", "history-lost", table=self._table, version=self.version)
            self.synchronised = False
        except StoreUnavailable as error:
            self._health.record_failure(self._now(), str(error))
            await asyncio.sleep(self._retry)
            self._retry = min(2 * self._retry, self._longest_retry())
        except Exception as error:
            log_state("feed", "failed", table=self._table, error=repr(error))
            await asyncio.sleep(self._retry)
        return False

    def adopt(self, version: int) -> None:
        """Go on from what a peer has told, which stands at a newer version."""
        if version > self.version:
            self.version = version
            self.synchronised = True

    async def _step(self, wait_seconds: float) -> bool:
        """Make one call; returns False when the store's answer was older than what is known."""
        if self._health.available_since is None:
            wait_seconds = 0.0  # so that the store's return is known at once
        if self.synchronised:
            snapshot = await self._store.changes(self._table, self.version, wait_seconds)
        else:
            snapshot = await self._store.read(self._table)
        self._health.record_success(self._now())
        if snapshot.version < self.version:
            await asyncio.sleep(RETRY_SECONDS)
            return False
        whole = not self.synchronised
        self.version = snapshot.version
        self.synchronised = True
        self._on_rows(snapshot, whole)
        return True

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
