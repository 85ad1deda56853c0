"""What daemons tell each other: demand, holdings, and newer contents for those that lack them."""

import asyncio
from collections import deque

from attrs import frozen

from loomwind import constants
from loomwind.clock import MS_PER_SECOND
from loomwind.leadership.election import Election
from loomwind.leadership.lease import LeaseHolder
from loomwind.messages import (
    AnyMessage,
    ConfigurationNotice,
    ConfigurationQuestion,
    DirectoryCopy,
    LeaderQuestion,
    LeaseNotice,
    PoolDemand,
    PoolDigest,
    PoolExpectations,
    PoolHoldings,
    PromptCrashes,
    PromptsAnswered,
    ServerDepartures,
    ServerListQuestion,
)
from loomwind.peering.transport import PeerTransport
from loomwind.serving.anti_entropy import AntiEntropy
from loomwind.serving.configuration_gossip import ConfigurationGossip
from loomwind.serving.follower import StoreHealth
from loomwind.serving.leader_watch import LeaderWatch
from loomwind.serving.peers import PeerTable
from loomwind.serving.pool import ServerPool
from loomwind.serving.prompt_guard import PromptGuard
from loomwind.serving.replicated_state import ReplicatedState
from loomwind.serving.residency import ServerHolding
from loomwind.serving.server_list import ServerListFollower

TELL_DELAY_SECONDS = 0.02
MOST_REPORTS_KEPT = 4096
# A peer whose reports are missing for so many intervals says nothing any more.
REPORTS_KEPT = 4


@frozen
class CutServices:
    """The services whose servers a peer does not reach.

    :ivar good_until: loop time until which its report counts.
    """

    services: tuple[str, ...]
    good_until: float


class DemandInbox:
    """Reports of demand that the leader has not looked at yet."""

    def __init__(self) -> None:
        self._reports: deque[PoolDemand] = deque(maxlen=MOST_REPORTS_KEPT)
        self.arrived = asyncio.Event()

    def put(self, report: PoolDemand) -> None:
        """Take in a report; it wakes the leader when a request waits."""
        self._reports.append(report)
        if any(demand.waiting for demand in report.demand):
            self.arrived.set()

    def take(self) -> list[PoolDemand]:
        """Return the reports, oldest first, and forget them."""
        reports = list(self._reports)
        self._reports.clear()
        return reports


class PeerExchange:
    """One daemon's side of the internal protocol."""

    def __init__(
        self,
        own: LeaseHolder,
        transport: PeerTransport,
        peers: PeerTable,
        election: Election,
        pool: ServerPool,
        replicated_state: ReplicatedState,
        health: StoreHealth,
        watch: LeaderWatch,
        server_list: ServerListFollower,
        anti_entropy: AntiEntropy,
        prompts: PromptGuard,
        configurations: ConfigurationGossip,
    ) -> None:
        self._own = own
        self._transport = transport
        self._peers = peers
        self._election = election
        self._pool = pool
        self._replicated_state = replicated_state
        self._health = health
        self._watch = watch
        self._server_list = server_list
        self._anti_entropy = anti_entropy
        self._prompts = prompts
        self._configurations = configurations
        self._holdings_fence = 0
        self._untold: dict[str, ServerHolding] = {}
        self._telling: asyncio.TimerHandle | None = None
        self.inbox = DemandInbox()
        self._cut_at_peers: dict[str, CutServices] = {}

    async def on_message(self, message: AnyMessage) -> AnyMessage | None:
        """Act on a peer's message; returns the answer of one that wants one."""
        match message:
            case PoolDemand():
                self._on_demand(message)
            case LeaderQuestion():
                return self._watch.answer()
            case ServerListQuestion():
                return await self._server_list.answer(message)
            case LeaseNotice():
                self._watch.on_notice(message)
            case PoolHoldings():
                self._on_holdings(message)
            case PoolExpectations():
                self._on_expectations(message)
            case PoolDigest():
                self._anti_entropy.on_digest(message)
            case ConfigurationNotice():
                self._configurations.note_version(message.teller, message.version)
            case ConfigurationQuestion():
                return self._configurations.answer(message)
            case DirectoryCopy():
                self._replicated_state.on_directory_copy(message)
            case ServerDepartures():
                self._replicated_state.on_departure_notice(message)
            case PromptCrashes():
                self._prompts.on_crashes(message)
            case PromptsAnswered():
                self._prompts.on_answered(message)
        return None

    def _on_demand(self, message: PoolDemand) -> None:
        self.inbox.put(message)
        good_for = REPORTS_KEPT * message.next_in_ms / MS_PER_SECOND
        self._cut_at_peers[message.sender] = CutServices(
            message.cut_services, self._now() + good_for
        )
        confirmations = self._election.confirmations
        if message.store_answers:
            confirmations.forget(message.sender)
        else:
            confirmations.note(message.sender, self._now())

    def is_reached_by_peers(self, service: str) -> bool:
        """Whether a peer that reports its demand here reaches the servers of a service."""
        now = self._now()
        fresh = (each for each in self._cut_at_peers.values() if now < each.good_until)
        return any(service not in each.services for each in fresh)

    def _on_holdings(self, message: PoolHoldings) -> None:
        """Take in what servers hold; that of an earlier leader is ignored."""
        if message.fence >= self._holdings_fence:
            self._holdings_fence = message.fence
            self._pool.residency.store_limits.update({pace.service: pace for pace in message.paces})
            self._pool.update_holdings(message.holdings)

    def _on_expectations(self, message: PoolExpectations) -> None:
        """Take in when models should be there; the word of an earlier leader is ignored."""
        if message.fence >= self._holdings_fence:
            self._pool.update_expectations(message.expected)

    def tell_expectations(self, daemon: str, message: PoolExpectations) -> None:
        """Tell one daemon when what its requests wait for should be there."""
        if daemon == self._own.name:
            self._on_expectations(message)
            return
        peer = self._peers.named(daemon)
        if peer is not None:
            self._transport.cast(peer.address, message)

    def tell_holdings(self, message: PoolHoldings) -> None:
        """Tell all daemons what servers hold; in a large fleet several changes at once."""
        self._on_holdings(message)
        for holding in message.holdings:
            self._untold[holding.instance] = holding
        if self._telling is None:
            delay = self._peers.paced(TELL_DELAY_SECONDS) - TELL_DELAY_SECONDS
            loop = asyncio.get_running_loop()
            self._telling = loop.call_later(delay, self._tell_all, message.fence)

    def _tell_all(self, fence: int) -> None:
        self._telling = None
        paces = tuple(self._pool.residency.store_limits.values())
        message = PoolHoldings(fence, tuple(self._untold.values()), paces)
        self._untold.clear()
        for peer in self._peers.others():
            self._transport.cast(peer.address, message)

    def paced(self, seconds: float) -> float:
        """Return an interval, longer in a large fleet; see :meth:`PeerTable.paced`."""
        return self._peers.paced(seconds)

    async def send_demand(self) -> None:
        """Tell the leader what callers want: at once when a request begins to wait."""
        told_life = ""
        while True:
            await self._next_report()
            holder = self._election.lease.holder
            if holder is None:
                continue
            report = self._report(holder.life != told_life)
            told_life = holder.life
            if holder.life == self._own.life:
                self.inbox.put(report)
            else:
                self._transport.cast(holder.address, report)

    async def _next_report(self) -> None:
        """Wait until a request begins to wait, or the interval is over."""
        new_demand = self._pool.demand.new_demand
        try:
            async with asyncio.timeout(self._report_interval_seconds()):
                await new_demand.wait()
        except TimeoutError:
            pass
        new_demand.clear()

    def _report(self, to_new_leader: bool) -> PoolDemand:
        demand = self._pool.demand
        return PoolDemand(
            self._own.name,
            demand.take_report(self._now(), to_new_leader),
            demand.running(),
            not self._health.is_unavailable(self._now()),
            self._report_interval_seconds() * MS_PER_SECOND,
            self._pool.unreachable_services(),
        )

    def _report_interval_seconds(self) -> float:
        return self._peers.paced(constants.POOL_DEMAND_INTERVAL_SECONDS)

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
