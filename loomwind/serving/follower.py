"""Keeps a local reader of a store table up to date.

The table is read in full once, then followed through its change feed. It is read in full again when
the store has discarded the changes since the last known version.
"""

import asyncio
from collections.abc import Callable

from loomwind.logs import log_state
from loomwind.serving.ports import HistoryLost, Snapshot, Store, StoreUnavailable

LONG_POLL_SECONDS = 25.0
RETRY_SECONDS = 0.15
MAX_RETRY_SECONDS = 0.6
RECENT_FAILURE_SECONDS = 3.5
UNAVAILABLE_SECONDS = 2.0


class StoreHealth:
    """Tracks when the store last responded and last failed. Times are loop times."""

    def __init__(self) -> None:
        self.available_since: float | None = None
        self.last_failure: float | None = None

    def record_success(self, now: float) -> None:
        """Record a response."""
        if self.available_since is None:
            self.available_since = now
            log_state("store", "answers")

    def record_failure(self, now: float, reason: str) -> None:
        """Record a call that got no response or was refused."""
        if self.available_since is not None:
            log_state("store", "lost", reason=reason)
        self.available_since = None
        self.last_failure = now

    def is_unavailable(self, now: float) -> bool:
        """Return whether a call failed moments ago and none has succeeded since."""
        if self.available_since is not None or self.last_failure is None:
            return False
        return now - self.last_failure < UNAVAILABLE_SECONDS

    def recently_failed(self, now: float) -> bool:
        """Return whether a call failed recently, so that entries may lapse without a cause."""
        return self.last_failure is not None and now - self.last_failure < RECENT_FAILURE_SECONDS

    def available_seconds(self, now: float) -> float:
        """Return for how many seconds all calls have succeeded."""
        return 0.0 if self.available_since is None else now - self.available_since


class TableFollower:
    """Passes the rows of one table to a reader. The version never decreases.

    :param on_rows: called with rows and whether they are the full table.
    :param poll_interval_seconds: returns the pause before the next call; changes made meanwhile
        arrive in one response.
    :param long_poll_seconds: returns how long the store may hold a response until a change.
    :param max_retry_seconds: returns the longest pause after a failed call.
    """

    def __init__(
        self,
        store: Store,
        table: str,
        health: StoreHealth,
        on_rows: Callable[[Snapshot, bool], None],
        poll_interval_seconds: Callable[[], float] = lambda: 0.0,
        max_retry_seconds: Callable[[], float] = lambda: MAX_RETRY_SECONDS,
        long_poll_seconds: Callable[[], float] = lambda: LONG_POLL_SECONDS,
    ) -> None:
        self._store = store
        self._table = table
        self._health = health
        self._on_rows = on_rows
        self._poll_interval = poll_interval_seconds
        self._long_poll = long_poll_seconds
        self._max_retry = max_retry_seconds
        self._retry_delay = RETRY_SECONDS
        self.version = 0
        self.synchronised = False

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            if await self.poll_once(self._long_poll()):
                await asyncio.sleep(self._poll_interval())

    async def poll_once(self, long_poll_seconds: float) -> bool:
        """Make one call, pausing if it fails; returns whether the reader is up to date.

        :param long_poll_seconds: how long the store may hold its response until a change.
        """
        try:
            up_to_date = await self._poll(long_poll_seconds)
            self._retry_delay = RETRY_SECONDS
            return up_to_date
        except HistoryLost:
            log_state("feed", "history-lost", table=self._table, version=self.version)
            self.synchronised = False
        except StoreUnavailable as error:
            self._health.record_failure(self._now(), str(error))
            await asyncio.sleep(self._retry_delay)
            self._retry_delay = min(2 * self._retry_delay, self._max_retry())
        except Exception as error:
            log_state("feed", "failed", table=self._table, error=repr(error))
            await asyncio.sleep(self._retry_delay)
        return False

    def resume_from(self, version: int) -> None:
        """Continue from a newer version that was received from a peer."""
        if version > self.version:
            self.version = version
            self.synchronised = True

    async def _poll(self, long_poll_seconds: float) -> bool:
        """Make one call; returns False if the response is older than the known version."""
        if self._health.available_since is None:
            long_poll_seconds = 0.0  # detect at once that the store is back
        if self.synchronised:
            snapshot = await self._store.changes(self._table, self.version, long_poll_seconds)
        else:
            snapshot = await self._store.read(self._table)
        self._health.record_success(self._now())
        if snapshot.version < self.version:
            await asyncio.sleep(RETRY_SECONDS)
            return False
        self._on_rows(snapshot, not self.synchronised)
        # Rows that could not be applied are read again.
        self.version = snapshot.version
        self.synchronised = True
        return True

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
