"""A daemon that serves a pool by a store: makes the parts, starts them, and stops them gently."""

import asyncio
import uuid
from collections.abc import Coroutine
from functools import singledispatchmethod

import msgspec
from msgspec import Struct

from loomwind import constants
from loomwind.admin import AdminServer
from loomwind.clock import MS_PER_SECOND, Clock
from loomwind.http.client import Connector, HttpClient
from loomwind.http.server import Exchange, HttpServer
from loomwind.leadership.election import Election
from loomwind.leadership.lease import Lease, LeaseHolder
from loomwind.logs import log_state
from loomwind.messages import AnyMessage
from loomwind.metrics import Metrics
from loomwind.peering.transport import PeerTransport
from loomwind.placement.controller import PlacementController
from loomwind.serving.anti_entropy import AntiEntropy
from loomwind.serving.configuration_gossip import ConfigurationGossip
from loomwind.serving.configuration_polling import ConfigurationPolling
from loomwind.serving.departure_gossip import DepartureGossip
from loomwind.serving.follower import StoreHealth, TableFollower
from loomwind.serving.forwarder import Forwarder
from loomwind.serving.handler import RequestHandler
from loomwind.serving.leader_reach import LeaderReach
from loomwind.serving.leader_watch import LeaderWatch
from loomwind.serving.metered import MeteredStore
from loomwind.serving.peer_exchange import PeerExchange
from loomwind.serving.peer_relay import PeerRelay
from loomwind.serving.peers import PeerTable
from loomwind.serving.pool import ServerPool
from loomwind.serving.ports import Dialect, DocumentParser, EngineControl, Store
from loomwind.serving.prompt_guard import PromptGuard
from loomwind.serving.reach_probe import ReachProbe
from loomwind.serving.relay_service import RelayService
from loomwind.serving.replicated_state import ReplicatedState
from loomwind.serving.server_list import ServerListFollower
from loomwind.settings import BoundSettings, ListenSettings, Settings, StoreSettings

OWN_TABLE = "loomwind"
LEASE_TABLE = "loomwind-lease"
LEASE_PART = 0.6
# A short lease is renewed sooner, so that it holds over two failed renewals.
LEASE_RENEW_PART = 0.25
LEASE_MARGIN_PART = 0.2
STOP_MARGIN_SECONDS = 0.6
LAST_ANSWERS_SECONDS = 0.3
WAITING_GRACE_PART = 0.55
DRAIN_POLL_SECONDS = 0.05
# What a peer adds to the head of a request.
RELAY_HEAD_BYTES = 1024


class Deployment(Struct, frozen=True):
    """The adapters that one deployment needs."""

    store: Store
    documents: DocumentParser
    dialect: Dialect
    engine_control: EngineControl


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def _lease_seconds(bounds: BoundSettings) -> float:
    """Return how long a lease lasts without a renewal."""
    return LEASE_PART * bounds.lease_ms / MS_PER_SECOND


def _relay_address(listen: ListenSettings) -> str:
    """Return where requests of peers are taken."""
    if listen.relay is not None:
        return listen.relay
    host, port = split_address(listen.peer)
    return f"{host}:{port + 1}"


class PoolDaemon:
    """One daemon. Call :meth:`start`, and later :meth:`stop`.

    :ivar replicated_state: the configuration and the servers, as this daemon knows them.
    :ivar callers: what callers reach.
    """

    def __init__(self, settings: Settings, deployment: Deployment, client: HttpClient) -> None:
        """Make a daemon.

        :param client: what requests are sent with; closed at the stop.
        """
        self.settings = settings
        self.metrics = Metrics()
        self.stopping = False
        self._client = client
        self._tasks: set[asyncio.Task[None]] = set()
        self._make_knowledge(deployment)
        self._make_exchange()
        self._make_control(deployment)
        self._make_servers(deployment)

    def _make_knowledge(self, deployment: Deployment) -> None:
        """Make what follows the store."""
        settings = self.settings
        self._own = LeaseHolder(settings.name, uuid.uuid4().hex[:12], settings.listen.peer)
        store = MeteredStore(deployment.store, self.metrics, Clock(), self._own.life)
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
            min(constants.LEASE_RENEW_SECONDS, LEASE_RENEW_PART * duration),
            min(constants.LEASE_MARGIN_SECONDS, LEASE_MARGIN_PART * duration),
        )
        self._election = Election(store, LEASE_TABLE, self._own, lease, self._health)
        self._peers = PeerTable(
            store,
            OWN_TABLE,
            self._own,
            settings.zone,
            self._election,
            self._pool,
            _relay_address(settings.listen),
        )
        polling = ConfigurationPolling(self._peers, lambda: self.settings.bounds)
        self._followers = (
            TableFollower(
                store,
                store.configuration_table,
                self._health,
                self.replicated_state.on_configuration_rows,
                polling.poll_interval_seconds,
                self._peers.retry_seconds,
                polling.long_poll_seconds,
            ),
            TableFollower(
                store,
                OWN_TABLE,
                self._health,
                self._peers.on_rows,
                self._peers.rest_seconds,
                self._peers.retry_seconds,
            ),
        )
        self._servers = TableFollower(
            store,
            store.server_table,
            self._health,
            self.replicated_state.on_server_rows,
            max_retry_seconds=self._peers.retry_seconds,
        )

    def _make_exchange(self) -> None:
        """Make what speaks to peers."""
        self._transport = PeerTransport(
            self._on_message,
            Connector(silence_ms=constants.POOL_SILENCE_MS),
            self.metrics,
        )
        self._watch = LeaderWatch(
            self._own,
            self._transport,
            self._peers,
            self._election,
            self._health,
            self._pool.demand,
        )
        self._server_list = ServerListFollower(
            self._own,
            self._servers,
            self._transport,
            self._peers,
            self.replicated_state,
            self.settings.bounds,
        )
        self._prompts = PromptGuard(self._own.address, self._transport, self._peers)
        self._configurations = ConfigurationGossip(
            self._own.address, self._transport, self._peers, self.replicated_state
        )
        self._anti_entropy = AntiEntropy(
            self._own.address,
            self._transport,
            self._peers,
            self.replicated_state,
            self._health,
            self._prompts,
            self._configurations,
        )
        self._gossip = DepartureGossip(
            self._own.address, self._transport, self._peers, self.replicated_state
        )
        self._exchange = PeerExchange(
            self._own,
            self._transport,
            self._peers,
            self._election,
            self._pool,
            self.replicated_state,
            self._health,
            self._watch,
            self._server_list,
            self._anti_entropy,
            self._prompts,
            self._configurations,
        )

    def _make_control(self, deployment: Deployment) -> None:
        """Make what works while this daemon leads."""
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

        self._leader_reach = LeaderReach(
            self._election,
            self._pool,
            self.replicated_state,
            self._exchange,
            self._controller.finish_orders,
        )

    async def _on_message(self, message: AnyMessage) -> AnyMessage | None:
        return await self._exchange.on_message(message)

    def _make_servers(self, deployment: Deployment) -> None:
        """Make what callers and questioners reach."""
        forwarder = Forwarder(
            self._client,
            deployment.dialect,
            self._pool.connectivity_of,
            self._pool.accepts_requests,
        )
        self._client.on_idle_broken = self._pool.record_broken_connection
        self._probe = ReachProbe(self._pool, forwarder)
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
                self._client,
                deployment.dialect,
                self.metrics,
                self._configurations.note_version,
            ),
            self._prompts,
        )
        self._relay_service = RelayService(self._handler)
        self._relayed = HttpServer(self._on_relayed)
        self.callers = HttpServer(self._on_request)
        self._ready = HttpServer(self._on_ready_question)
        self._admin = AdminServer(self.metrics, self.is_ready)
        self.replicated_state.configuration_listeners.append(self._limit_callers)

    async def start(self) -> None:
        """Listen, and serve as soon as a configuration and servers are known."""
        listen = self.settings.listen
        await self._transport.start(*split_address(listen.peer))
        await self.callers.start(*split_address(listen.caller))
        await self._relayed.start(*split_address(_relay_address(listen)))
        await self._ready.start(*split_address(listen.ready or "127.0.0.1:0"))
        await self._admin.server.start(*split_address(listen.admin))
        for follower in self._followers:
            self._spawn(follower.run())
        self._spawn(self._election.run())
        self._spawn(self._election.run_ticks())
        self._spawn(self._controller.run())
        self._spawn(self._peers.register())
        self._spawn(self._probe.run())
        self._spawn(self._leader_reach.run())
        self._spawn(self._exchange.send_demand())
        self._spawn(self._anti_entropy.run())
        self._spawn(self._configurations.run())
        self._spawn(self._server_list.run())
        self._spawn(self._watch.watch())
        self._spawn(self._watch.tell())
        self._spawn(self._store.log_calls())
        log_state("daemon", "started", name=self.settings.name, life=self._own.life)

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_state("daemon", "task-failed", error=repr(task.exception()))

    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        known = self.replicated_state.routes is not None and bool(self._pool.directory.entries())
        return known and not self.stopping

    async def _on_request(self, exchange: Exchange) -> None:
        await self._handler.handle(exchange)

    async def _on_relayed(self, exchange: Exchange) -> None:
        await self._relay_service.handle(exchange)

    def _limit_callers(self) -> None:
        """Hold open connections, too, to the limits of the configuration that is in force now."""
        limits = self.replicated_state.limits
        self.callers.limits = limits
        self._relayed.limits = msgspec.structs.replace(
            limits, max_head_bytes=limits.max_head_bytes + RELAY_HEAD_BYTES
        )

    async def _on_ready_question(self, exchange: Exchange) -> None:
        await exchange.respond(200 if self.is_ready() else 503, (), b"")

    # Changed settings.

    def take_up(self, settings: Settings, changed: tuple[str, ...]) -> tuple[str, ...]:
        """Put changed sections in force; returns those that need a restart."""
        self.settings = settings
        return tuple(name for name in changed if not self._take_up(getattr(settings, name)))

    @singledispatchmethod
    def _take_up(self, section: object) -> bool:
        """Put one section in force; returns False when that takes a restart."""
        return False

    @_take_up.register
    def _(self, section: BoundSettings) -> bool:
        self._pool.set_bounds(section)
        self._controller.set_bounds(section)
        self._server_list.set_bounds(section)
        self._election.lease.set_duration(_lease_seconds(section))
        return True

    @_take_up.register
    def _(self, section: StoreSettings) -> bool:
        self._store.set_address(section.address, section.timeout_seconds)
        return True

    async def stop(self) -> None:
        """Leave: hand the lease over, serve until callers have noticed, end what is in progress."""
        self.stopping = True
        began = self._now()
        log_state("daemon", "leaving", name=self.settings.name)
        self.callers.start_draining()
        self._spawn(self._hand_over())
        await asyncio.sleep(self.settings.bounds.notice_seconds)
        self.callers.stop_listening()
        self._relayed.stop_listening()
        grace = self.settings.bounds.grace_seconds
        await self._finish_requests(began + grace * WAITING_GRACE_PART)
        self._handler.reject_waiting()
        await self._finish_requests(began + grace - STOP_MARGIN_SECONDS)
        self._handler.end_all_requests()
        await self._finish_requests(began + grace - STOP_MARGIN_SECONDS + LAST_ANSWERS_SECONDS)
        log_state("daemon", "stopped", open=self._handler.open_requests)
        self.close()

    async def _finish_requests(self, until: float) -> None:
        """Wait until no request is in progress, or until a time."""
        while self._handler.open_requests and self._now() < until:
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def _hand_over(self) -> None:
        """Give the lease up, once no order of this daemon can arrive after the next leader's."""
        if self._election.release():
            await self._controller.finish_orders()
            await self._election.hand_over()
        await self._peers.unregister()

    def close(self) -> None:
        """End everything at once."""
        for task in list(self._tasks):
            task.cancel()
        self.callers.close()
        self._relayed.close()
        self._ready.close()
        self._admin.server.close()
        self._transport.close()
        self._client.close()

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
