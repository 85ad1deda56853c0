"""Dispatches messages between the daemons of a pool, and sends demand reports and holdings."""

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
    OriginNotice,
    OriginQuestion,
    PermitGrants,
    PermitQuestion,
    PermitReport,
    PoolDemand,
    PoolDigest,
    PoolExpectations,
    PoolHoldings,
    PromptCrashes,
    PromptsAnswered,
    RejectionLimitNotice,
    ServerDepartures,
    ServerListQuestion,
)
from loomwind.peering.transport import PeerTransport
from loomwind.serving.anti_entropy import AntiEntropy
from loomwind.serving.configuration_gossip import ConfigurationGossip
from loomwind.serving.follower import StoreHealth
from loomwind.serving.leader_watch import LeaderWatch
from loomwind.serving.peer_origins import PeerOrigins
from loomwind.serving.peers import PeerTable
from loomwind.serving.permit_owners import PermitOwners
from loomwind.serving.pool import ServerPool
from loomwind.serving.prompt_guard import PromptGuard
from loomwind.serving.rejection_limit_gossip import RejectionLimitGossip
from loomwind.serving.replicated_state import ReplicatedState
from loomwind.serving.residency import ServerHolding
from loomwind.serving.server_list import ServerListFollower
from loomwind.serving.views import ServerEntry, ServerReport

BROADCAST_DELAY_SECONDS = 0.02
MAX_BUFFERED_REPORTS = 4096
# A peer's report expires after this many report intervals.
REPORT_EXPIRY_INTERVALS = 4


@frozen
class UnreachableServices:
    """The services whose servers a peer reports as unreachable.

    :ivar expires_at: the loop time at which the report expires.
    """

    services: tuple[str, ...]
    expires_at: float


class DemandInbox:
    """Demand reports that the leader has not processed yet; a full buffer drops the oldest."""

    def __init__(self) -> None:
        self._reports: deque[PoolDemand] = deque(maxlen=MAX_BUFFERED_REPORTS)
        self.arrived = asyncio.Event()

    def put(self, report: PoolDemand) -> None:
        """Add a report, and wake the leader if it contains waiting requests."""
        self._reports.append(report)
        if any(demand.waiting for demand in report.demand):
            self.arrived.set()

    def drain(self) -> list[PoolDemand]:
        """Return and remove all reports, oldest first."""
        reports = list(self._reports)
        self._reports.clear()
        return reports


class PeerExchange:
    """This daemon's endpoint of the protocol between the daemons of a pool."""

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
        origins: PeerOrigins,
        permits: PermitOwners,
        rejection_limits: RejectionLimitGossip,
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
        self._origins = origins
        self._permits = permits
        self._rejection_limits = rejection_limits
        self._holdings_fence = 0
        self._pending_holdings: dict[str, ServerHolding] = {}
        self._broadcast_timer: asyncio.TimerHandle | None = None
        self.inbox = DemandInbox()
        self._unreachable_at_peers: dict[str, UnreachableServices] = {}

    async def on_message(self, message: AnyMessage) -> AnyMessage | None:
        """Handle a peer's message; returns the answer if the message expects one."""
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
                self._configurations.record_peer_version(message.sender, message.version)
            case ConfigurationQuestion():
                return self._configurations.answer(message)
            case OriginQuestion():
                return self._origins.answer(message)
            case PermitQuestion():
                return self._permits.answer(message)
            case PermitReport():
                self._permits.on_report(message)
            case PermitGrants():
                self._permits.on_grants(message)
            case RejectionLimitNotice():
                self._rejection_limits.on_notice(message)
            case OriginNotice():
                self._origins.on_notice(message)
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
        valid_seconds = REPORT_EXPIRY_INTERVALS * message.next_report_in_ms / MS_PER_SECOND
        self._unreachable_at_peers[message.sender] = UnreachableServices(
            message.unreachable_services, self._now() + valid_seconds
        )

    def is_reachable_by_peers(self, service: str) -> bool:
        """Whether any peer with an unexpired demand report reaches the servers of a service."""
        now = self._now()
        fresh = (each for each in self._unreachable_at_peers.values() if now < each.expires_at)
        return any(service not in each.services for each in fresh)

    def observe_report(self, entry: ServerEntry, report: ServerReport) -> None:
        """Record what a server's report says to all daemons."""
        self._rejection_limits.observe(entry, report.max_rejections_per_second)

    def _on_holdings(self, message: PoolHoldings) -> None:
        """Apply the servers' holdings; messages of an earlier leader are ignored."""
        if message.fence >= self._holdings_fence:
            self._holdings_fence = message.fence
            self._pool.residency.store_limits.update(
                {limit.service: limit for limit in message.store_limits}
            )
            self._pool.update_holdings(message.holdings)

    def _on_expectations(self, message: PoolExpectations) -> None:
        """Apply the expected load times; messages of an earlier leader are ignored."""
        if message.fence >= self._holdings_fence:
            self._pool.update_expectations(message.expected)

    def send_expectations(self, daemon: str, message: PoolExpectations) -> None:
        """Tell one daemon when the models that its requests wait for are expected."""
        if daemon == self._own.name:
            self._on_expectations(message)
            return
        peer = self._peers.get(daemon)
        if peer is not None:
            self._transport.send(peer.address, message)

    def broadcast_holdings(self, message: PoolHoldings) -> None:
        """Send the servers' holdings to all daemons; a large fleet gets changes in batches."""
        self._on_holdings(message)
        for holding in message.holdings:
            self._pending_holdings[holding.instance] = holding
        if self._broadcast_timer is None:
            delay = self._peers.scale_interval(BROADCAST_DELAY_SECONDS) - BROADCAST_DELAY_SECONDS
            loop = asyncio.get_running_loop()
            self._broadcast_timer = loop.call_later(delay, self._broadcast_pending, message.fence)

    def _broadcast_pending(self, fence: int) -> None:
        self._broadcast_timer = None
        store_limits = tuple(self._pool.residency.store_limits.values())
        message = PoolHoldings(fence, tuple(self._pending_holdings.values()), store_limits)
        self._pending_holdings.clear()
        for peer in self._peers.others():
            self._transport.send(peer.address, message)

    def scale_interval(self, seconds: float) -> float:
        """Return an interval scaled with the fleet size; see :meth:`PeerTable.scale_interval`."""
        return self._peers.scale_interval(seconds)

    async def send_demand(self) -> None:
        """Send demand reports to the leader, immediately when a request starts to wait."""
        reported_incarnation = ""
        while True:
            await self._next_report()
            holder = self._election.lease.holder
            if holder is None:
                continue
            report = self._report(holder.incarnation != reported_incarnation)
            reported_incarnation = holder.incarnation
            if holder.incarnation == self._own.incarnation:
                self.inbox.put(report)
            else:
                self._transport.send(holder.address, report)

    async def _next_report(self) -> None:
        """Wait for new demand, at most for the report interval."""
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
            demand.running_streams(self._pool.directory.entries()),
        )

    def _report_interval_seconds(self) -> float:
        return self._peers.scale_interval(constants.POOL_DEMAND_INTERVAL_SECONDS)

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
