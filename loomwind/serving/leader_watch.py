"""Tracks the lease without following its row: the leader announces renewals, or is asked.

A leader's message is equivalent to reading the row: it carries the version that the leader wrote,
and the receiver waits for the lease to expire from then on. The row itself is read only if the
leader does not answer, no longer leads or cannot reach the store.
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
# Without jitter, daemons that start together would always ask the leader at the same time.
QUESTION_JITTER = 0.2


class LeaderWatch:
    """Monitors the leader, and announces lease changes while this daemon leads."""

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
        self._row_read_requested = asyncio.Event()
        self._announced_fence: int | None = None
        self._announced_store_answers = True

    # Outgoing notices and answers.

    def answer(self) -> LeaderAnswer:
        """Return the answer to a :class:`LeaderQuestion`."""
        version = self._election.lease.expected_version if self._election.is_leader() else 0
        return LeaderAnswer(self._own.incarnation, version, self._store_answers())

    def _store_answers(self) -> bool:
        return self._health.available_since is not None

    async def announce(self) -> None:
        """Notify standbys of each renewal, and all daemons of changes; never returns.

        Changes are a new fencing token and a change of the leader's access to the store.
        """
        while True:
            await self._election.write_finished.wait()
            self._election.write_finished.clear()
            lease = self._election.lease
            holder = lease.holder
            if holder is not None and holder.incarnation != self._own.incarnation:
                continue
            notice = LeaseNotice(holder, lease.version, self._store_answers())
            changed = (lease.fence, notice.store_answers) != (
                self._announced_fence,
                self._announced_store_answers,
            )
            self._announced_fence, self._announced_store_answers = lease.fence, notice.store_answers
            for peer in self._peers.others() if changed else self._peers.standbys():
                self._transport.send(peer.address, notice)

    # Monitoring the leader.

    def on_notice(self, notice: LeaseNotice) -> None:
        """Apply a notice of the daemon that wrote the lease row."""
        known = self._election.lease.holder
        self._election.record_announced_row(notice.version, notice.holder)
        if notice.holder is not None and notice.holder != known:
            self._demand.new_demand.set()
        if not notice.store_answers:
            self._row_read_requested.set()

    async def watch(self) -> None:
        """Check periodically who leads; never returns."""
        while True:
            try:
                await self._check_leader()
            except Exception as error:
                log_state("election", "watch-failed", error=repr(error))
            try:
                async with asyncio.timeout(self._check_interval_seconds()):
                    await self._row_read_requested.wait()
            except TimeoutError:
                pass

    def _check_interval_seconds(self) -> float:
        """Return the time until the next check, with jitter."""
        jitter = random.uniform(1 - QUESTION_JITTER, 1 + QUESTION_JITTER)
        return jitter * self._peers.scale_interval(constants.LEADER_CHECK_INTERVAL_SECONDS)

    async def _check_leader(self) -> None:
        """Ask the holder whether it leads, and read the lease row if it does not confirm."""
        holder = self._election.lease.holder
        if holder is not None and holder.incarnation == self._own.incarnation:
            self._row_read_requested.clear()
            return
        read_requested = self._row_read_requested.is_set()
        self._row_read_requested.clear()
        if not read_requested and holder is not None and await self._confirms_leadership(holder):
            return
        before = self._election.lease.holder
        await self._election.read_row()
        if self._election.lease.holder != before:
            self._demand.new_demand.set()
        await asyncio.sleep(ROW_READ_PAUSE_SECONDS)

    async def _confirms_leadership(self, holder: LeaseHolder) -> bool:
        """Whether the holder confirms that it leads and reaches the store."""
        try:
            answer = await self._transport.call(
                holder.address, LeaderQuestion(), QUESTION_TIMEOUT_SECONDS
            )
        except PeerUnreachable:
            return False
        if not isinstance(answer, LeaderAnswer):
            return False
        if answer.incarnation != holder.incarnation:
            self._record_dead(holder)
            return False
        if answer.lease_version:
            self._election.record_announced_row(answer.lease_version, holder)
        return answer.lease_version > 0 and answer.store_answers

    def _record_dead(self, holder: LeaseHolder) -> None:
        log_state("election", "holder-ended", holder=holder.name, life=holder.incarnation)
        self._election.lease.record_ended_process(
            holder.incarnation, asyncio.get_running_loop().time()
        )
