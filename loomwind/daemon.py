"""The catalog daemon: creates its components, starts them and shuts them down gracefully."""

import asyncio
import uuid
from collections.abc import Coroutine

from grpclib.server import Server

from loomwind import constants
from loomwind.admin import AdminServer
from loomwind.catalog.changes import CatalogObject
from loomwind.catalog.service import CatalogService
from loomwind.catalog.store import CatalogStore
from loomwind.control.claim_service import ClaimService
from loomwind.control.claims import ClaimStore
from loomwind.control.controller import Controller
from loomwind.control.register_service import RegisterService
from loomwind.control.voter_changes import VoterChanges
from loomwind.engines.client import EngineClient
from loomwind.http.client import Connector, HttpClient
from loomwind.http.server import HttpServer, ServerLimits
from loomwind.logs import log_state
from loomwind.membership.backend_watch import BackendReporter, BackendWatch, WatchedBackend
from loomwind.membership.machines import MachineWatcher
from loomwind.membership.service import Membership
from loomwind.messages import (
    AnyMessage,
    Digest,
    MemberInfo,
    RoutingRequest,
    RoutingUpdate,
    VoterId,
)
from loomwind.metrics import Metrics
from loomwind.operator.server import OperatorService, create_operator_server
from loomwind.peer_dispatch import PeerDispatch
from loomwind.peering.errors import PeerUnreachable
from loomwind.peering.transport import PeerTransport
from loomwind.pipeline.router import Router
from loomwind.ports.base import MachineRole, MachineState, TableService
from loomwind.ports.http import HttpMachineList, HttpObjectStore, HttpTableService
from loomwind.ports.local import LocalTableService
from loomwind.settings import LimitSettings, Settings

CATALOG_RETRY_SECONDS = 0.2
# How much longer a stopping daemon waits to be removed from the voters.
VOTER_REMOVAL_TIMEOUT_SECONDS = 2.0
LAST_RESPONSES_SECONDS = 0.5
DRAIN_POLL_SECONDS = 0.05


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def _server_limits(limits: LimitSettings) -> ServerLimits:
    """Return the limits that the HTTP server enforces on callers."""
    return ServerLimits(
        max_head_bytes=limits.max_head_bytes,
        max_body_bytes=limits.max_body_bytes,
        max_header_count=limits.max_header_count,
        head_timeout_seconds=limits.head_timeout_seconds,
        body_timeout_seconds=limits.body_timeout_seconds,
    )


class Daemon:
    """A daemon that serves the objects of the catalog.

    Call :meth:`start`, and :meth:`stop` or :meth:`close` at the end.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.metrics = Metrics()
        self.stopping = False
        self._connector = Connector(settings.address_overrides)
        self._clients: list[HttpClient] = []
        unpooled = HttpClient(self._connector, max_idle_per_address=0)
        self._engines = EngineClient(self._new_client(), unpooled)
        self._dispatch: PeerDispatch | None = None
        self._controller: Controller | None = None
        self._controller_task: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.transport = PeerTransport(self._on_message, self._connector, self.metrics)

    def _new_client(self) -> HttpClient:
        """Return a client that reuses no connection of another; closed with the daemon.

        A back end may repeat a response later, where the next one on that connection is due.
        """
        client = HttpClient(self._connector)
        self._clients.append(client)
        return client

    async def _on_message(self, message: AnyMessage) -> AnyMessage | None:
        return None if self._dispatch is None else await self._dispatch.handle(message)

    # Startup.

    async def start(self) -> None:
        """Open the listeners and join the cell; requests are served once the catalog is loaded."""
        settings = self.settings
        await self.transport.start(*split_address(settings.listen.peer))
        self.membership = self._make_membership()
        self._make_control()
        self._make_router()
        self._dispatch = PeerDispatch(
            self.membership,
            self.register,
            self.voter_changes,
            self.claims,
            self.catalog,
            self.router,
            lambda: self._controller,
            self.transport,
        )
        self._register_callbacks()
        await self._listen()
        self._spawn_loops()
        log_state("daemon", "started", name=settings.name, peer=self.membership.own.address)

    def _make_membership(self) -> Membership:
        settings = self.settings
        host, _ = split_address(settings.listen.peer)
        identity = VoterId(settings.name, uuid.uuid4().hex[:16])
        address = settings.advertise_peer or f"{host}:{self.transport.port}"
        own = MemberInfo(identity, settings.cell, settings.zone, address)
        seeds = tuple(peer.address for peer in settings.peers)
        return Membership(own, seeds, settings.control, self.transport, self.metrics)

    def _table_service(self) -> TableService:
        platform = self.settings.platform
        if platform.table is None:
            log_state("platform", "no-table-service", warning="state is lost when the process ends")
            return LocalTableService()
        return HttpTableService(self._new_client(), platform.table, platform.timeout_seconds)

    def _make_control(self) -> None:
        settings = self.settings
        platform = settings.platform
        timeout = platform.timeout_seconds
        table = self._table_service()
        objects = platform.objects and HttpObjectStore(
            self._new_client(), platform.objects, timeout
        )
        machines = platform.machines and HttpMachineList(
            self._new_client(), platform.machines, timeout
        )
        retention = settings.limits.idempotency_retention_seconds
        self.claims = ClaimStore(self.membership.own.identity, retention)
        self.register = RegisterService(
            self.membership,
            self.transport,
            table,
            settings.control.voters,
            self.claims,
            self.metrics,
        )
        self.voter_changes = VoterChanges(
            self.register, self.membership, self.transport, self.claims, settings.control.voters
        )
        self.machines = MachineWatcher(
            machines or None, settings.backends, settings.cell, self._should_poll_machine_list
        )
        self.catalog = CatalogService(
            CatalogStore(table, objects or None), self.membership, self.transport, self.metrics
        )

    def _should_poll_machine_list(self) -> bool:
        """Whether to poll the machine list: the controller does, others only without a leader."""
        return self.register.leading or self.membership.leader is None

    def _make_router(self) -> None:
        self.router = Router(
            self.settings.limits,
            lambda: self.catalog.catalog,
            self.membership,
            self.transport,
            self._new_client(),
            lambda router: ClaimService(
                self.membership, self.transport, self.claims, lambda: router.table.update
            ),
            self.metrics,
        )
        self.watch = BackendWatch(
            self.membership,
            self._engines,
            self._backends_to_watch,
            BackendReporter(self.router.report),
        )

    def _backends_to_watch(self) -> list[WatchedBackend]:
        return [WatchedBackend(b.name, b.address) for b in self.router.table.all_backends()]

    def _register_callbacks(self) -> None:
        self.membership.digest = self._digest
        self.membership.is_leader = lambda: self.register.leading
        self.membership.on_digest = self._on_digest
        self.membership.on_change = self._wake_controller
        self.register.on_lead = self._begin_term
        self.register.on_step_down = self._end_term
        self.catalog.voters = self.register.voter_infos
        self.catalog.on_change = self._on_catalog_change
        self.machines.on_change = self._on_machines_change

    async def _listen(self) -> None:
        settings = self.settings
        self.callers = HttpServer(self.router.handler.handle, _server_limits(settings.limits))
        self.admin = AdminServer(self.metrics, self.is_ready)
        self._operator = await self._start_operator()
        await self.callers.start(*split_address(settings.listen.caller))
        await self.admin.server.start(*split_address(settings.listen.admin))

    async def _start_operator(self) -> Server | None:
        """Start the operator endpoint, if the settings have a token for it."""
        token = self.settings.operator_token
        if token is None:
            log_state("operator", "closed", reason="no operator_token in the settings")
            return None
        service = OperatorService(self.catalog, self.membership, self.router)
        server = create_operator_server(service, token)
        await server.start(*split_address(self.settings.listen.operator))
        return server

    def _spawn_loops(self) -> None:
        self._spawn(self.membership.run())
        self._spawn(self.machines.run())
        self._spawn(self.register.run())
        self._spawn(self.router.run())
        self._spawn(self.router.reporter.run())
        self._spawn(self.watch.run())
        self._spawn(self._load_catalog())
        self._spawn(self.catalog.poll_store(self._should_poll_catalog))

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_state("daemon", "task-failed", error=repr(task.exception()))

    async def _load_catalog(self) -> None:
        """Accept requests once the catalog is loaded and the settings' objects are added to it."""
        while not await self.catalog.load_at_start():
            await asyncio.sleep(CATALOG_RETRY_SECONDS)
        settings = self.settings
        objects: list[CatalogObject] = [*settings.groups, *settings.models]
        objects += [*settings.adapters, *settings.routes]
        await self.catalog.seed(objects)
        self.router.handler.ready = True
        log_state("daemon", "ready", catalog_version=self.catalog.catalog.version)

    def _should_poll_catalog(self) -> bool:
        """Whether to poll the durable log: the controller does, and daemons that hear no leader."""
        return self.register.leading or not self.membership.hears_leader()

    def is_ready(self) -> bool:
        """Return whether to accept traffic: the catalog and the routing table are loaded."""
        loaded = self.router.handler.ready and self.router.table.update is not None
        return loaded and not self.stopping

    # Events that concern several components.

    def _digest(self) -> Digest:
        return Digest(
            catalog_version=self.catalog.catalog.version,
            routing=self.router.table.stamp,
            routing_sequence=self.router.table.sequence,
            register=self.register.newest_stamp,
            hears_leader=self.membership.hears_leader(),
        )

    def _on_digest(self, member: MemberInfo, digest: Digest) -> None:
        self.catalog.on_digest(member, digest.catalog_version)
        if member.cell != self.membership.own.cell:
            return
        self.register.record_peer_stamp(member.identity, digest.register)
        if self._should_fetch_routing(digest):
            self._spawn(self._fetch_routing(member))
        if self._controller is not None:
            self._controller.on_digest(member, digest)

    def _should_fetch_routing(self, digest: Digest) -> bool:
        """Whether a peer has a newer routing table that the controller will not send itself."""
        own, peer = self.router.table.stamp, digest.routing
        newer_term = (peer.generation, peer.ballot) > (own.generation, own.ballot)
        newer = newer_term or digest.routing_sequence > self.router.table.sequence
        return newer_term or (newer and not self.membership.hears_leader())

    async def _fetch_routing(self, member: MemberInfo) -> None:
        try:
            response = await self.transport.call(member.address, RoutingRequest(member.cell))
        except PeerUnreachable:
            return
        if isinstance(response, RoutingUpdate) and self._dispatch is not None:
            self._dispatch.on_routing(response)

    def _on_catalog_change(self) -> None:
        self.router.recheck_waiting()
        self._wake_controller()

    def _wake_controller(self) -> None:
        if self._controller is not None:
            self._controller.wake()

    def _on_machines_change(self) -> None:
        for machine in self.machines.in_role(MachineRole.DAEMON):
            if machine.state is MachineState.GONE:
                self.membership.detector.mark_gone(machine.name)
        self._wake_controller()

    def _send_routing(self, member: MemberInfo, update: RoutingUpdate) -> None:
        if member.identity == self.membership.own.identity:
            if self._dispatch is not None:
                self._dispatch.on_routing(update)
        else:
            self.transport.send(member.address, update)

    def redirect(self, overrides: dict[str, str]) -> None:
        """Connect to other addresses instead of the given ones, and drop open connections."""
        self._connector.redirect({**self.settings.address_overrides, **overrides})
        for address in overrides:
            self.transport.disconnect(address)

    def apply_settings(self, settings: Settings, changed: tuple[str, ...]) -> tuple[str, ...]:
        """Apply changed limits on callers; returns the sections that need a restart."""
        self.settings = settings
        if "limits" in changed:
            self.callers.limits = _server_limits(settings.limits)
        return tuple(name for name in changed if name != "limits")

    # Controller terms.

    def _begin_term(self) -> None:
        self.metrics.leading.set(1)
        self._controller = Controller(
            self.settings,
            self.register,
            self.voter_changes,
            self.membership,
            self.machines,
            self._engines,
            lambda: self.catalog.catalog,
            self._send_routing,
            self.metrics,
        )
        self._controller_task = self._spawn(self._controller.run())
        self._controller_task.add_done_callback(self._on_controller_done)

    def _on_controller_done(self, task: asyncio.Task[None]) -> None:
        """Step down when the controller ended for any reason, so that a new term can begin."""
        if task is self._controller_task:
            self.register.step_down()

    def _end_term(self) -> None:
        self.metrics.leading.set(0)
        if self.membership.leader == self.membership.own:
            self.membership.leader = None
        if self._controller_task is not None:
            self._controller_task.cancel()
        self._controller_task = None
        self._controller = None

    # Shutdown.

    async def stop(self, grace_seconds: float = constants.SHUTDOWN_GRACE_SECONDS) -> None:
        """Shut down: hand over the controller role, stop accepting, finish open requests.

        :param grace_seconds: how long open requests may take; then they are cancelled, and those
            without a response get one.
        """
        self.stopping = True
        log_state("daemon", "leaving", name=self.settings.name)
        self.membership.announce_leaving()
        self.register.retire()
        await self._wait_before_draining()
        self.callers.stop_listening()
        try:
            async with asyncio.timeout(grace_seconds):
                while any(not connection.is_idle for connection in self.callers.connections):
                    await asyncio.sleep(DRAIN_POLL_SECONDS)
        except TimeoutError:
            log_state("daemon", "grace-over", open=len(self.callers.connections))
            await self.callers.end_exchanges(LAST_RESPONSES_SECONDS)
        self.close()
        log_state("daemon", "stopped", name=self.settings.name)

    async def _wait_before_draining(self) -> None:
        """Serve on until peers and load balancers have noticed and another voter has taken over.

        Without other daemons, none can take over as a voter.
        """
        earliest_end = self.membership.now + constants.SHUTDOWN_DELAY_SECONDS
        peers = [info for info in self.membership.alive() if info != self.membership.own]
        latest_end = earliest_end + (VOTER_REMOVAL_TIMEOUT_SECONDS if peers else 0.0)
        own = self.membership.own.identity
        while self.membership.now < earliest_end or (
            own in self.register.voters and self.membership.now < latest_end
        ):
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    def close(self) -> None:
        """Cancel all tasks and close all connections at once."""
        self._end_term()
        for task in list(self._tasks):
            task.cancel()
        if self._operator is not None:
            self._operator.close()
        self.callers.close()
        self.admin.server.close()
        self.transport.close()
        for client in self._clients:
            client.close()
