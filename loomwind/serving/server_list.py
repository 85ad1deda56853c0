"""Keeps the list of servers fresh: a few daemons read the store, and the others ask one of them.

Each answer says how old the store's word behind it is; a daemon whose list gets too old by that
asks the store itself, so that nobody depends on a peer.
"""

import asyncio
import random

from loomwind.clock import MS_PER_SECOND
from loomwind.leadership.lease import LeaseHolder
from loomwind.logs import log_state
from loomwind.messages.serving import ServerListAnswer, ServerListQuestion
from loomwind.peering.errors import PeerUnreachable
from loomwind.peering.transport import PeerTransport
from loomwind.serving.beliefs import Beliefs
from loomwind.serving.follower import TableFollower
from loomwind.serving.peers import PeerEntry, PeerTable
from loomwind.settings import BoundSettings

# Parts of the time in which a leaving server must be known to leave.
PERIOD_PART = 0.3
STALE_PART = 0.7
ANSWER_MARGIN_SECONDS = 0.25
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
        beliefs: Beliefs,
        bounds: BoundSettings,
    ) -> None:
        self._own = own
        self._table = table
        self._transport = transport
        self._peers = peers
        self._beliefs = beliefs
        self.set_bounds(bounds)

    def set_bounds(self, bounds: BoundSettings) -> None:
        """Hold to other bounds from now on."""
        self._period = PERIOD_PART * bounds.drain_seconds
        self._longest_age = STALE_PART * bounds.drain_seconds

    async def run(self) -> None:
        """Follow for ever, with at most one call of the store in each period."""
        while True:
            began = self._now()
            mirror = self._mirror()
            if mirror is None or not await self._ask(mirror):
                await self._read_store()
            await asyncio.sleep(max(0.0, began + self._period - self._now()))

    def _mirror(self) -> PeerEntry | None:
        """Return a daemon to ask; None when this one reads the store itself."""
        mirrors = self._peers.mirrors()
        if not mirrors or any(mirror.life == self._own.life for mirror in mirrors):
            return None
        return random.choice(mirrors)

    async def _read_store(self) -> None:
        began = self._now()
        self._table.adopt(self._beliefs.server_version)
        if await self._table.follow_once(self._period):
            self._beliefs.servers_fresh_at = began

    async def _ask(self, mirror: PeerEntry) -> bool:
        """Ask a daemon that reads the store; returns whether the list is fresh by that."""
        sent = self._now()
        question = ServerListQuestion(
            self._beliefs.server_version, round(self._period * MS_PER_SECOND)
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
            self._beliefs.on_directory_copy(answer.copy, mirror.address)
        told_at = sent + (answer.held_ms - answer.age_ms) / MS_PER_SECOND
        self._beliefs.servers_fresh_at = max(self._beliefs.servers_fresh_at, told_at)
        return self._now() - self._beliefs.servers_fresh_at < self._longest_age

    async def answer(self, question: ServerListQuestion) -> ServerListAnswer:
        """Return what changed for a peer, as soon as something has, or after its waiting time."""
        began = self._now()
        if question.version >= self._beliefs.server_version:
            wait = min(question.wait_ms / MS_PER_SECOND, self._period)
            await self._beliefs.wait_for_server_change(wait)
        now = self._now()
        return ServerListAnswer(
            held_ms=(now - began) * MS_PER_SECOND,
            age_ms=min(LONGEST_AGE_MS, (now - self._beliefs.servers_fresh_at) * MS_PER_SECOND),
            copy=self._beliefs.directory_changes(question.version),
        )

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
