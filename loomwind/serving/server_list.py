"""Keeps the server list fresh: a few daemons, the mirrors, poll the store; the others query them.

Each response states how long ago its sender's list matched the store. A daemon whose list gets too
old by that polls the store itself while it goes on querying mirrors, so that neither an
unresponsive peer nor an unresponsive store delays the other way.
"""

import asyncio
import random

from loomwind.clock import MS_PER_SECOND
from loomwind.leadership.lease import LeaseHolder
from loomwind.logs import log_state
from loomwind.messages.serving import ServerListAnswer, ServerListQuestion
from loomwind.peering.errors import PeerUnreachable
from loomwind.peering.transport import PeerTransport
from loomwind.serving.follower import TableFollower
from loomwind.serving.peers import PeerEntry, PeerTable
from loomwind.serving.replicated_state import ReplicatedState
from loomwind.settings import BoundSettings

# Fractions of the drain bound, within which every daemon must know of a departure.
POLL_PERIOD_FRACTION = 0.3
MAX_AGE_FRACTION = 0.7
RESPONSE_MARGIN_SECONDS = 0.25
# Bounds the messages that a daemon sends per period while the store is unavailable.
MAX_MIRRORS_PER_PERIOD = 3
MIN_PAUSE_SECONDS = 0.01
# Reported for a list that was never fresh, in place of infinity on the wire.
MAX_REPORTED_AGE_MS = 1e9


class ServerListFollower:
    """Keeps one daemon's server list up to date."""

    def __init__(
        self,
        own: LeaseHolder,
        table: TableFollower,
        transport: PeerTransport,
        peers: PeerTable,
        replicated_state: ReplicatedState,
        bounds: BoundSettings,
    ) -> None:
        self._own = own
        self._table = table
        self._transport = transport
        self._peers = peers
        self._replicated_state = replicated_state
        self._mirrors_queried = asyncio.Event()
        self.set_bounds(bounds)

    def set_bounds(self, bounds: BoundSettings) -> None:
        """Apply changed bounds."""
        self._period_seconds = POLL_PERIOD_FRACTION * bounds.drain_seconds
        self._max_age_seconds = MAX_AGE_FRACTION * bounds.drain_seconds

    async def run(self) -> None:
        """Poll the store and the mirrors until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._poll_store())
            tasks.create_task(self._poll_mirrors())

    def _age_seconds(self) -> float:
        """Return how many seconds ago the list last matched the store."""
        return self._now() - self._replicated_state.servers_fresh_at

    # Store polling.

    async def _poll_store(self) -> None:
        """Poll the store: always as a mirror, otherwise only while the list is too old."""
        await self._wait_for_first_query()
        while True:
            started_at = self._now()
            stale_at = self._replicated_state.servers_fresh_at + self._max_age_seconds
            if not self._peers.is_mirror() and started_at < stale_at:
                await asyncio.sleep(max(MIN_PAUSE_SECONDS, stale_at - started_at))
            elif await self._poll_store_once():
                await asyncio.sleep(max(0.0, started_at + self._period_seconds - self._now()))

    async def _wait_for_first_query(self) -> None:
        """Wait briefly for the first mirror queries, which may save a call to the store."""
        try:
            async with asyncio.timeout(RESPONSE_MARGIN_SECONDS):
                await self._mirrors_queried.wait()
        except TimeoutError:
            return

    async def _poll_store_once(self) -> bool:
        """Make one call; returns whether it refreshed the list."""
        started_at = self._now()
        self._table.resume_from(self._replicated_state.server_version)
        fresh = await self._table.poll_once(self._period_seconds)
        if fresh:
            self._replicated_state.servers_fresh_at = max(
                self._replicated_state.servers_fresh_at, started_at
            )
        return fresh

    # Mirror queries.

    async def _poll_mirrors(self) -> None:
        """Query one mirror per period, and further ones if the list is still too old."""
        while True:
            started_at = self._now()
            if not self._peers.is_mirror() or self._age_seconds() >= self._max_age_seconds:
                try:
                    await self._query_until_fresh()
                except Exception as error:
                    log_state("server-list", "failed", error=repr(error))
            self._mirrors_queried.set()
            await asyncio.sleep(max(0.0, started_at + self._period_seconds - self._now()))

    async def _query_until_fresh(self) -> None:
        """Query mirrors one after the other until the list is fresh."""
        mirrors = [
            mirror
            for mirror in self._peers.mirrors()
            if mirror.incarnation != self._own.incarnation
        ]
        for mirror in random.sample(mirrors, min(MAX_MIRRORS_PER_PERIOD, len(mirrors))):
            if await self._query_mirror(mirror) and self._age_seconds() < self._max_age_seconds:
                return

    async def _query_mirror(self, mirror: PeerEntry) -> bool:
        """Query a mirror; returns whether it responded."""
        sent_at = self._now()
        question = ServerListQuestion(
            self._replicated_state.server_version, round(self._period_seconds * MS_PER_SECOND)
        )
        timeout = self._period_seconds + RESPONSE_MARGIN_SECONDS
        try:
            answer = await self._transport.call(mirror.address, question, timeout)
        except PeerUnreachable as error:
            log_state("server-list", "mirror-silent", mirror=mirror.address, reason=str(error))
            return False
        if not isinstance(answer, ServerListAnswer):
            return False
        if answer.copy is not None:
            self._replicated_state.on_directory_copy(answer.copy, mirror.address)
        fresh_at = sent_at + (answer.held_ms - answer.age_ms) / MS_PER_SECOND
        self._replicated_state.servers_fresh_at = max(
            self._replicated_state.servers_fresh_at, fresh_at
        )
        return True

    async def answer(self, question: ServerListQuestion) -> ServerListAnswer:
        """Return the changes for a peer, once there are any or its waiting time is over.

        If this daemon's own list is too old it responds at once, so that the peer asks another.
        """
        started_at = self._now()
        can_wait = self._age_seconds() < self._max_age_seconds
        if can_wait and question.version >= self._replicated_state.server_version:
            wait = min(question.wait_ms / MS_PER_SECOND, self._period_seconds)
            await self._replicated_state.wait_for_server_change(wait)
        now = self._now()
        return ServerListAnswer(
            held_ms=(now - started_at) * MS_PER_SECOND,
            age_ms=min(MAX_REPORTED_AGE_MS, self._age_seconds() * MS_PER_SECOND),
            copy=self._replicated_state.directory_changes(question.version),
        )

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
