"""How daemons know of the lease without following its row: the leader tells them, or is asked.

The leader's word is as good as the row that it names: it carries the version that the leader wrote,
so whoever has heard it waits out the lease from then on. Only when the leader is silent, does not
lead any more or cannot reach the store itself is the row read.
"""

import asyncio
import random

from loomwind import constants
from loomwind.leadership.election import Election
from loomwind.leadership.lease import LeaseHolder
from loomwind.logs import log_state
from loomwind.messages.serving import LeaderAnswer, LeaderQuestion, LeaseNotice
from loomwind.peering.errors import PeerUnreachable
from loomwind.peering.transport import PeerTransport
from loomwind.serving.demand import DemandTracker
from loomwind.serving.follower import StoreHealth
from loomwind.serving.peers import PeerTable

QUESTION_TIMEOUT_SECONDS = 0.4
ROW_READ_PAUSE_SECONDS = 0.4
# Daemons that start together would all ask the leader at the same moment for ever.
QUESTION_JITTER = 0.2


class LeaderWatch:
    """One daemon's eye on the leader, and the leader's word to the others."""

    def __init__(
        self,
        own: LeaseHolder,
        transport: PeerTransport,
        peers: PeerTable,
        election: Election,
        health: StoreHealth,
        demand: DemandTracker,
    ) -> None:
        self._own = own
        self._transport = transport
        self._peers = peers
        self._election = election
        self._health = health
        self._demand = demand
        self._doubted = asyncio.Event()
        self._told_fence: int | None = None
        self._told_store_answers = True

    # What this daemon says.

    def answer(self) -> LeaderAnswer:
        """Return what this daemon says when it is asked whether it leads."""
        version = self._election.lease.expected_version if self._election.leads() else 0
        return LeaderAnswer(self._own.life, version, self._store_answers())

    def _store_answers(self) -> bool:
        return self._health.available_since is not None

    async def tell(self) -> None:
        """Tell standbys of each renewal for ever, and all daemons of each change of the leader."""
        while True:
            await self._election.wrote.wait()
            self._election.wrote.clear()
            lease = self._election.lease
            holder = lease.holder
            if holder is not None and holder.life != self._own.life:
                continue
            notice = LeaseNotice(holder, lease.version, self._store_answers())
            news = (lease.fence, notice.store_answers) != (
                self._told_fence,
                self._told_store_answers,
            )
            self._told_fence, self._told_store_answers = lease.fence, notice.store_answers
            for peer in self._peers.others() if news else self._peers.standbys():
                self._transport.cast(peer.address, notice)

    # What this daemon hears.

    def on_notice(self, notice: LeaseNotice) -> None:
        """Take in the word of the daemon that wrote the lease's row."""
        known = self._election.lease.holder
        self._election.note_heard(notice.version, notice.holder)
        if notice.holder is not None and notice.holder != known:
            self._demand.new_demand.set()
        if not notice.store_answers:
            self._doubted.set()

    async def watch(self) -> None:
        """See for ever who leads."""
        while True:
            try:
                await self._look()
            except Exception as error:
                log_state("election", "watch-failed", error=repr(error))
            try:
                async with asyncio.timeout(self._pause_seconds()):
                    await self._doubted.wait()
            except TimeoutError:
                pass

    def _pause_seconds(self) -> float:
        """Return the time until the leader is asked again."""
        jitter = random.uniform(1 - QUESTION_JITTER, 1 + QUESTION_JITTER)
        return jitter * self._peers.paced(constants.LEADER_QUESTION_SECONDS)

    async def _look(self) -> None:
        """Ask the holder, and read the row when that does not settle who leads."""
        holder = self._election.lease.holder
        if holder is not None and holder.life == self._own.life:
            self._doubted.clear()
            return
        doubted = self._doubted.is_set()
        self._doubted.clear()
        if not doubted and holder is not None and await self._leads(holder):
            return
        before = self._election.lease.holder
        await self._election.read_row()
        if self._election.lease.holder != before:
            self._demand.new_demand.set()
        await asyncio.sleep(ROW_READ_PAUSE_SECONDS)

    async def _leads(self, holder: LeaseHolder) -> bool:
        """Whether the holder says that it leads and reaches the store."""
        try:
            answer = await self._transport.call(
                holder.address, LeaderQuestion(), QUESTION_TIMEOUT_SECONDS
            )
        except PeerUnreachable as error:
            if error.refused:
                self._note_dead(holder)
            return False
        if not isinstance(answer, LeaderAnswer):
            return False
        if answer.life != holder.life:
            self._note_dead(holder)
            return False
        if answer.lease_version:
            self._election.note_heard(answer.lease_version, holder)
        return answer.lease_version > 0 and answer.store_answers

    def _note_dead(self, holder: LeaseHolder) -> None:
        log_state("election", "holder-ended", holder=holder.name, life=holder.life)
        self._election.lease.note_dead(holder.life, asyncio.get_running_loop().time())
