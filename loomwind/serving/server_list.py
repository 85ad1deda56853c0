"""Keeps the list of servers fresh: a few daemons read the store, and the others ask one of them.

Each answer says how old the store's word behind it is. A daemon whose list gets too old by that
asks the store itself, beside the peers that it goes on asking, so that neither a silent peer nor a
silent store holds up the other way.
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

# Parts of the time in which a leaving server must be known to leave.
PERIOD_PART = 0.3
STALE_PART = 0.7
ANSWER_MARGIN_SECONDS = 0.25
# Mirrors that a daemon asks in one period, so that a store that is away costs few messages.
MOST_ASKED = 3
LEAST_PAUSE_SECONDS = 0.01
# Told of a list that was never fresh; a number, since it goes over the wire.
LONGEST_AGE_MS = 1e9


class ServerListFollower:
    """One daemon's way to a fresh list."""

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
        self._asked = asyncio.Event()
        self.set_bounds(bounds)

    def set_bounds(self, bounds: BoundSettings) -> None:
        """Hold to other bounds from now on."""
        self._period = PERIOD_PART * bounds.drain_seconds
        self._longest_age = STALE_PART * bounds.drain_seconds

    async def run(self) -> None:
        """Follow for ever."""
        async with asyncio.TaskGroup() as ways:
            ways.create_task(self._follow_store())
            ways.create_task(self._follow_mirrors())

    def _age(self) -> float:
        """Return how many seconds ago the list was as the store has it."""
        return self._now() - self._replicated_state.servers_fresh_at

    # The store.

    async def _follow_store(self) -> None:
        """Read the store for ever: as a mirror, or while the list is too old."""
        await self._let_mirrors_answer()
        while True:
            began = self._now()
            due = self._replicated_state.servers_fresh_at + self._longest_age
            if not self._peers.is_mirror() and began < due:
                await asyncio.sleep(max(LEAST_PAUSE_SECONDS, due - began))
            elif await self._read_store():
                await asyncio.sleep(max(0.0, began + self._period - self._now()))

    async def _let_mirrors_answer(self) -> None:
        """Wait a moment for the first mirror that is asked, which may spare a call of the store."""
        try:
            async with asyncio.timeout(ANSWER_MARGIN_SECONDS):
                await self._asked.wait()
        except TimeoutError:
            return

    async def _read_store(self) -> bool:
        """Make one call; returns whether the list is fresh by it."""
        began = self._now()
        self._table.adopt(self._replicated_state.server_version)
        fresh = await self._table.follow_once(self._period)
        if fresh:
            self._replicated_state.servers_fresh_at = max(
                self._replicated_state.servers_fresh_at, began
            )
        return fresh

    # The mirrors.

    async def _follow_mirrors(self) -> None:
        """Ask mirrors for ever: one in each period, and others when that one does not help."""
        while True:
            began = self._now()
            if not self._peers.is_mirror() or self._age() >= self._longest_age:
                await self._ask_until_fresh()
            self._asked.set()
            await asyncio.sleep(max(0.0, began + self._period - self._now()))

    async def _ask_until_fresh(self) -> None:
        """Ask one mirror after the other until the list is fresh by what they say."""
        mirrors = [mirror for mirror in self._peers.mirrors() if mirror.life != self._own.life]
        for mirror in random.sample(mirrors, min(MOST_ASKED, len(mirrors))):
            if await self._ask(mirror) and self._age() < self._longest_age:
                return

    async def _ask(self, mirror: PeerEntry) -> bool:
        """Ask a daemon that reads the store; returns whether it answered."""
        sent = self._now()
        question = ServerListQuestion(
            self._replicated_state.server_version, round(self._period * MS_PER_SECOND)
        )
        timeout = self._period + ANSWER_MARGIN_SECONDS
        try:
            answer = await self._transport.call(mirror.address, question, timeout)
        except PeerUnreachable as error:
            log_state("server-list", "mirror-silent", mirror=mirror.address, reason=str(error))
            return False
        if not isinstance(answer, ServerListAnswer):
            return False
        if answer.copy is not None:
            self._replicated_state.on_directory_copy(answer.copy, mirror.address)
        told_at = sent + (answer.held_ms - answer.age_ms) / MS_PER_SECOND
        self._replicated_state.servers_fresh_at = max(
            self._replicated_state.servers_fresh_at, told_at
        )
        return True

    async def answer(self, question: ServerListQuestion) -> ServerListAnswer:
        """Return what changed for a peer, as soon as something has, or after its waiting time.

        A daemon whose own list is too old answers at once, so that the peer asks another.
        """
        began = self._now()
        may_wait = self._age() < self._longest_age
        if may_wait and question.version >= self._replicated_state.server_version:
            wait = min(question.wait_ms / MS_PER_SECOND, self._period)
            await self._replicated_state.wait_for_server_change(wait)
        now = self._now()
        return ServerListAnswer(
            held_ms=(now - began) * MS_PER_SECOND,
            age_ms=min(LONGEST_AGE_MS, self._age() * MS_PER_SECOND),
            copy=self._replicated_state.directory_changes(question.version),
        )

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
