"""The pool daemon: creates its components, starts them and shuts them down gracefully."""

import asyncio
import uuid
from collections.abc import Coroutine
from functools import singledispatchmethod

import msgspec
from msgspec import Struct

from loomwind import constants
from loomwind.admin import AdminServer
from loomwind.clock import MS_PER_SECOND, Clock
from loomwind.http.client import Connector
from loomwind.http.close_log import CloseLog
from loomwind.http.server import Exchange, HttpServer
from loomwind.leadership.election import Election
from loomwind.leadership.lease import Lease, LeaseHolder
from loomwind.logs import log_state
from loomwind.messages import AnyMessage
from loomwind.metrics import Metrics
from loomwind.peering.transport import PeerTransport
from loomwind.placement.controller import PlacementController
from loomwind.serving.admission import Admission
from loomwind.serving.anti_entropy import AntiEntropy
from loomwind.serving.ban_records import BanRecords
from loomwind.serving.clients import PoolClients
from loomwind.serving.configuration_gossip import ConfigurationGossip
from loomwind.serving.configuration_polling import ConfigurationPolling
from loomwind.serving.connectivity_probe import ConnectivityProbe
from loomwind.serving.daemon_row import DaemonRow
from loomwind.serving.departure_gossip import DepartureGossip
from loomwind.serving.follower import StoreHealth, TableFollower
from loomwind.serving.forwarder import Forwarder
from loomwind.serving.handler import RequestHandler
from loomwind.serving.leader_stepdown import LeaderStepDown
from loomwind.serving.leader_watch import LeaderWatch
from loomwind.serving.metered_store import MeteredStore
from loomwind.serving.origin_log import OriginLog
from loomwind.serving.peer_exchange import PeerExchange
from loomwind.serving.peer_origins import PeerOrigins
from loomwind.serving.peer_relay import PeerRelay
from loomwind.serving.peers import PeerTable
from loomwind.serving.permit_owners import PermitOwners
from loomwind.serving.pool import ServerPool
from loomwind.serving.ports import Dialect, DocumentParser, EngineControl, Snapshot, Store
from loomwind.serving.prompt_guard import PromptGuard
from loomwind.serving.rejection_limit_gossip import RejectionLimitGossip
from loomwind.serving.rejection_limit_records import RejectionLimitRecords
from loomwind.serving.relay_service import RelayService
from loomwind.serving.replicated_state import ReplicatedState
from loomwind.serving.resumption import Resumption
from loomwind.serving.server_list import ServerListFollower
from loomwind.serving.surplus_log import SurplusLog
from loomwind.serving.version_registrar import VersionRegistrar
from loomwind.settings import BoundSettings, ListenSettings, Settings, StoreSettings

PEER_TABLE = "loomwind"
LEASE_TABLE = "loomwind-lease"
ORIGIN_TABLE = "loomwind-origins"
LEASE_FRACTION = 0.6
# A short lease is renewed early enough to survive two failed renewals.
LEASE_RENEW_FRACTION = 0.25
LEASE_MARGIN_FRACTION = 0.2
STOP_MARGIN_SECONDS = 0.6
LAST_RESPONSES_SECONDS = 0.3
WAITING_GRACE_FRACTION = 0.55
DRAIN_POLL_SECONDS = 0.05
# Extra head size allowed for the headers that a peer adds to a relayed request.
RELAY_HEAD_BYTES = 1024


class Deployment(Struct, frozen=True):
    """The adapters to one deployment."""

    store: Store
    documents: DocumentParser
    dialect: Dialect
    engine_control: EngineControl


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def _lease_seconds(bounds: BoundSettings) -> float:
    """Return the duration of a lease without renewals."""
    return LEASE_FRACTION * bounds.lease_ms / MS_PER_SECOND


def _relay_address(listen: ListenSettings) -> str:
    """Return the address for requests relayed by peers."""
    if listen.relay is not None:
        return listen.relay
    host, port = split_address(listen.peer)
    return f"{host}:{port + 1}"


class PoolDaemon:
    """One daemon. Call :meth:`start`, and later :meth:`stop`.

    :ivar replicated_state: the configuration and server list known to this daemon.
    :ivar callers: the HTTP server for callers.
    """

    def __init__(self, settings: Settings, deployment: Deployment, clients: PoolClients) -> None:
        """Create a daemon.

        :param clients: closed when the daemon stops.
        """
        self.settings = settings
        self.metrics = Metrics()
        self.stopping = False
        self._clients = clients
        self._tasks: set[asyncio.Task[None]] = set()
        self._create_store_access(deployment)
        self._create_peer_protocols()
        self._create_placement(deployment)
        self._create_servers(deployment)

    def _create_store_access(self, deployment: Deployment) -> None:
        """Create the components that follow the store."""
        settings = self.settings
        self._own = LeaseHolder(settings.name, uuid.uuid4().hex[:12], settings.listen.peer)
        store = MeteredStore(deployment.store, self.metrics, Clock(), self._own.incarnation)
        self._store = store
        self._health = StoreHealth()
        self._pool = ServerPool(settings.bounds)
        self.metrics.cut_from_servers.set_function(
            lambda: float(bool(self._pool.unreachable_services()))
        )
        self.replicated_state = ReplicatedState(
            deployment.documents, store.configuration_key, self._pool, self._health, self.metrics
        )
        duration = _lease_seconds(settings.bounds)
        lease = Lease(
            self._own,
            duration,
            min(constants.LEASE_RENEWAL_INTERVAL_SECONDS, LEASE_RENEW_FRACTION * duration),
            min(constants.LEASE_MARGIN_SECONDS, LEASE_MARGIN_FRACTION * duration),
            settings.bounds.lease_ms / MS_PER_SECOND,
        )
        self._election = Election(store, LEASE_TABLE, self._own, lease, self._health)
        self._peers = PeerTable(self._own, self._election, self._pool)
        self._daemon_row = DaemonRow(
            store, PEER_TABLE, self._own, settings.zone, _relay_address(settings.listen)
        )
        self._create_followers()

    def _create_followers(self) -> None:
        """Create the components that follow tables of the store, or keep rows in them."""
        store, settings = self._store, self.settings
        self._registrar = VersionRegistrar(
            store, PEER_TABLE, self._pool.versions, self.replicated_state, self._peers, self._health
        )
        self._origins = OriginLog(
            store, ORIGIN_TABLE, settings.name, self._pool.versions, self._peers
        )
        polling = ConfigurationPolling(self._peers, lambda: self.settings.bounds)
        self._followers = (
            TableFollower(
                store,
                store.configuration_table,
                self._health,
                self.replicated_state.on_configuration_rows,
                polling.poll_interval_seconds,
                self._peers.max_retry_seconds,
                polling.long_poll_seconds,
            ),
            TableFollower(
                store,
                PEER_TABLE,
                self._health,
                self._on_peer_rows,
                self._peers.poll_interval_seconds,
                self._peers.max_retry_seconds,
            ),
        )
        self._server_follower = TableFollower(
            store,
            store.server_table,
            self._health,
            self.replicated_state.on_server_rows,
            max_retry_seconds=self._peers.max_retry_seconds,
        )

    def _on_peer_rows(self, snapshot: Snapshot, is_full: bool) -> None:
        self._peers.on_rows(snapshot, is_full)
        self._daemon_row.on_rows(snapshot, is_full)
        self._registrar.on_rows(snapshot, is_full)
        self._ban_records.on_rows(snapshot, is_full)
        self._limit_records.on_rows(snapshot, is_full)

    def _create_peer_protocols(self) -> None:
        """Create the components that communicate with peers."""
        self._transport = PeerTransport(
            self._on_message,
            Connector(
                self.settings.address_overrides, user_timeout_ms=constants.TCP_USER_TIMEOUT_MS
            ),
            self.metrics,
        )
        self._leader_watch = LeaderWatch(
            self._own,
            self._transport,
            self._peers,
            self._election,
            self._health,
            self._pool.demand,
        )
        self._server_list_follower = ServerListFollower(
            self._own,
            self._server_follower,
            self._transport,
            self._peers,
            self.replicated_state,
            self.settings.bounds,
        )
        self._prompt_guard = PromptGuard(
            self._own.address, self._transport, self._peers, self._pool.is_heard_since
        )
        self._ban_records = BanRecords(self._store, PEER_TABLE, self._prompt_guard, self._peers)
        self._configuration_gossip = ConfigurationGossip(
            self._own.address, self._transport, self._peers, self.replicated_state
        )
        self._create_permits()
        self._anti_entropy = AntiEntropy(
            self._own.address,
            self._transport,
            self._peers,
            self.replicated_state,
            self._health,
            self._prompt_guard,
            self._configuration_gossip,
            self._rejection_limits,
        )
        self._departure_gossip = DepartureGossip(
            self._own.address, self._transport, self._peers, self.replicated_state
        )
        self._peer_origins = PeerOrigins(self._transport, self._peers, self._origins)
        self._exchange = PeerExchange(
            self._own,
            self._transport,
            self._peers,
            self._election,
            self._pool,
            self.replicated_state,
            self._health,
            self._leader_watch,
            self._server_list_follower,
            self._anti_entropy,
            self._prompt_guard,
            self._configuration_gossip,
            self._peer_origins,
            self._permit_owners,
            self._rejection_limits,
        )

    def _create_permits(self) -> None:
        """Create the components that limit requests to servers that must not reject many."""
        clock = Clock()
        self._rejection_limits = RejectionLimitGossip(
            self._transport, self._peers, self._pool.rejection_limits, clock
        )
        self._limit_records = RejectionLimitRecords(
            self._store, PEER_TABLE, self._pool.rejection_limits, self._peers, clock
        )
        self._permit_owners = PermitOwners(
            self._own, self._transport, self._peers, self.metrics, clock
        )
        self._admission = Admission(self._pool, self._permit_owners, self.metrics, clock)
        self._permit_owners.on_grant = self._admission.on_grant
        self._prompt_guard.on_ban = self._admission.end_waits

    def _create_placement(self, deployment: Deployment) -> None:
        """Create the components that run while this daemon is the leader."""
        self._controller = PlacementController(
            self.settings.name,
            self._election,
            self._pool,
            self.replicated_state,
            deployment.engine_control,
            self._exchange,
            self.settings.bounds,
            self.metrics,
        )

        self._leader_stepdown = LeaderStepDown(
            self._election,
            self._pool,
            self.replicated_state,
            self._exchange,
            self._controller.finish_orders,
        )

    async def _on_message(self, message: AnyMessage) -> AnyMessage | None:
        return await self._exchange.on_message(message)

    def _create_servers(self, deployment: Deployment) -> None:
        """Create request handling and the HTTP servers."""
        forwarder = Forwarder(
            self._clients.requests,
            deployment.dialect,
            self._pool.connectivity_of,
            self._pool.accepts_requests,
            self._rejection_limits.observe_response,
        )
        self._clients.watch_idle_server_connections(self._pool.record_broken_connection)
        surplus_log = SurplusLog(self.metrics.surplus_responses)
        self._clients.requests.on_surplus_response = surplus_log.record
        self._probe = ConnectivityProbe(self._pool, forwarder)
        self._handler = RequestHandler(
            self.settings.zone,
            self._pool,
            forwarder,
            deployment.dialect,
            self.metrics,
            self.replicated_state,
            PeerRelay(
                self.settings.zone,
                self._peers,
                self._clients.peers,
                deployment.dialect,
                self.metrics,
                self._configuration_gossip.record_peer_version,
            ),
            self._prompt_guard,
            self._origins,
            Resumption(
                self._pool.versions,
                self._origins,
                self._peer_origins,
                self._registrar.confirm,
                lambda: self.replicated_state.list_age_ms,
            ),
            self._admission,
        )
        self._relay_service = RelayService(self._handler)
        self._relay_server = HttpServer(self._on_relayed_request)
        self._close_log = CloseLog(
            self.metrics.connections_closed, Clock(), deployment.dialect.request_id
        )
        self.callers = HttpServer(self._on_request, close_observer=self._close_log)
        self._readiness_server = HttpServer(self._on_readiness_check)
        self._admin_server = AdminServer(self.metrics, self.is_ready)
        self.replicated_state.configuration_listeners += [
            self._apply_limits,
            self._handler.forget_removed_routes,
        ]

    async def start(self) -> None:
        """Start listening; requests are served once a configuration and servers are known."""
        listen = self.settings.listen
        await self._transport.start(*split_address(listen.peer))
        await self.callers.start(*split_address(listen.caller))
        await self._relay_server.start(*split_address(_relay_address(listen)))
        await self._readiness_server.start(*split_address(listen.ready or "127.0.0.1:0"))
        await self._admin_server.server.start(*split_address(listen.admin))
        for follower in self._followers:
            self._spawn(follower.run())
        self._spawn(self._election.run())
        self._spawn(self._election.log_role_changes())
        self._spawn(self._controller.run())
        self._spawn(self._daemon_row.run())
        self._spawn(self._registrar.run())
        self._spawn(self._ban_records.run())
        self._spawn(self._limit_records.run())
        self._spawn(self._origins.run())
        self._spawn(self._peer_origins.run())
        self._spawn(self._permit_owners.run())
        self._spawn(self._admission.run())
        self._spawn(self._probe.run())
        self._spawn(self._leader_stepdown.run())
        self._spawn(self._exchange.send_demand())
        self._spawn(self._anti_entropy.run())
        self._spawn(self._configuration_gossip.run())
        self._spawn(self._server_list_follower.run())
        self._spawn(self._leader_watch.watch())
        self._spawn(self._leader_watch.announce())
        self._spawn(self._store.log_calls())
        log_state("daemon", "started", name=self.settings.name, life=self._own.incarnation)

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_state("daemon", "task-failed", error=repr(task.exception()))

    def is_ready(self) -> bool:
        """Return whether this daemon can serve callers."""
        known = self.replicated_state.routes is not None and bool(self._pool.directory.entries())
        return known and not self.stopping

    async def _on_request(self, exchange: Exchange) -> None:
        await self._handler.handle(exchange)

    async def _on_relayed_request(self, exchange: Exchange) -> None:
        await self._relay_service.handle(exchange)

    def _apply_limits(self) -> None:
        """Apply the active configuration's limits, also to open connections."""
        limits = self.replicated_state.limits
        self.callers.limits = limits
        self._relay_server.limits = msgspec.structs.replace(
            limits, max_head_bytes=limits.max_head_bytes + RELAY_HEAD_BYTES
        )

    async def _on_readiness_check(self, exchange: Exchange) -> None:
        await exchange.respond(200 if self.is_ready() else 503, (), b"")

    # Settings changes.

    def apply_settings(self, settings: Settings, changed: tuple[str, ...]) -> tuple[str, ...]:
        """Apply changed sections; returns those that need a restart."""
        self.settings = settings
        return tuple(name for name in changed if not self._apply_section(getattr(settings, name)))

    @singledispatchmethod
    def _apply_section(self, section: object) -> bool:
        """Apply one section; returns False if that needs a restart."""
        return False

    @_apply_section.register
    def _(self, section: BoundSettings) -> bool:
        self._pool.set_bounds(section)
        self._controller.set_bounds(section)
        self._server_list_follower.set_bounds(section)
        self._election.lease.set_duration(_lease_seconds(section), section.lease_ms / MS_PER_SECOND)
        return True

    @_apply_section.register
    def _(self, section: StoreSettings) -> bool:
        self._store.set_address(section.address, section.timeout_seconds)
        return True

    async def stop(self) -> None:
        """Shut down: release the lease, serve until callers have noticed, finish open requests."""
        self.stopping = True
        stop_started_at = self._now()
        log_state("daemon", "leaving", name=self.settings.name)
        grace = self.settings.bounds.grace_seconds
        self._handler.begin_stop(stop_started_at + grace - STOP_MARGIN_SECONDS)
        self.callers.start_draining()
        self._spawn(self._release_leadership())
        await asyncio.sleep(self.settings.bounds.notice_seconds)
        self.callers.stop_listening()
        self._relay_server.stop_listening()
        await self._finish_requests(stop_started_at + grace * WAITING_GRACE_FRACTION)
        self._handler.reject_waiting()
        await self._finish_requests(stop_started_at + grace - STOP_MARGIN_SECONDS)
        self._handler.end_all_requests()
        await self._finish_requests(
            stop_started_at + grace - STOP_MARGIN_SECONDS + LAST_RESPONSES_SECONDS
        )
        log_state("daemon", "stopped", open=self._handler.open_requests)
        await self.callers.end_exchanges(LAST_RESPONSES_SECONDS / 2)
        self.close()

    async def _finish_requests(self, deadline: float) -> None:
        """Wait until no request is in progress or the deadline has passed."""
        while self._has_open_requests() and self._now() < deadline:
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    def _has_open_requests(self) -> bool:
        """Return whether a request is in progress, or has arrived in part and is about to be."""
        open_exchanges = self.callers.open_exchanges + self._relay_server.open_exchanges
        is_serving = bool(self._handler.open_requests or open_exchanges)
        return is_serving or self.callers.is_receiving or self._relay_server.is_receiving

    async def _release_leadership(self) -> None:
        """Release the lease once no order of this daemon can arrive after the next leader's."""
        if self._election.release():
            await self._controller.finish_orders()
            await self._election.hand_over()
        await self._daemon_row.remove()

    def close(self) -> None:
        """Cancel all tasks and close all connections."""
        for task in list(self._tasks):
            task.cancel()
        self.callers.close()
        self._close_log.flush()
        self._relay_server.close()
        self._readiness_server.close()
        self._admin_server.server.close()
        self._transport.close()
        self._clients.close()

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
