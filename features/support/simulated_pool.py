"""Simulates a pool of model servers, its weight store and its leader without processes or a clock.

The leader uses the real planner, server state, concurrency limit and rate limiter, connected as in
the controller.
"""

import random
from collections.abc import Mapping

from attrs import define, field, frozen

from loomwind.clock import MS_PER_SECOND
from loomwind.messages.serving import PoolDemand
from loomwind.placement.demand_view import DemandView
from loomwind.placement.load_rate_limiter import LoadRateLimiter
from loomwind.placement.plan import PlanInput, PlannedOrder
from loomwind.placement.planner import Planner
from loomwind.placement.server_tracker import ServerTracker
from loomwind.placement.store_concurrency import StoreConcurrencyLimit
from loomwind.serving.demand import RunningStreams, TargetDemand, VersionedModel
from loomwind.serving.residency import AnnouncedLoad, LearnedConcurrencyLimit
from loomwind.serving.views import (
    EngineProfile,
    HeldModel,
    ModelKey,
    ModelProfile,
    Order,
    OrderAnswer,
    OrderKind,
    ServerEntry,
    ServerReport,
    ServerState,
)

SERVICE = "tutor"
STEP_SECONDS = 0.1
STORE_LOAD_SECONDS = 4.0
DISK_LOAD_SECONDS = 1.5
MODEL_MB = 48_000.0
LOADS_PER_SECOND = 34.0
WINDOW_SECONDS = 5.0
STORE_CONCURRENCY = 2


@define
class SimulatedServer:
    """A simulated model server.

    :ivar loading: the model being loaded, or empty.
    :ivar remaining_seconds: remaining load time at full speed.
    """

    name: str
    software_version: str = ""
    held: list[str] = field(factory=list)
    on_disk: set[str] = field(factory=set)
    loading: str = ""
    from_store: bool = False
    remaining_seconds: float = 0.0
    revision: int = 0

    def report(self) -> ServerReport:
        """Return the server's report."""
        held = tuple(HeldModel(name) for name in self.held)
        return ServerReport(
            self.revision, bool(self.loading), held, on_disk=frozenset(self.on_disk)
        )

    def execute(self, order: PlannedOrder) -> None:
        """Execute an order."""
        self.revision += 1
        if order.kind is OrderKind.UNLOAD:
            self.held.remove(order.target.model)
            return
        self.loading = order.target.model
        self.from_store = self.loading not in self.on_disk
        self.remaining_seconds = STORE_LOAD_SECONDS if self.from_store else DISK_LOAD_SECONDS

    def advance(self, store_speed: float) -> None:
        """Advance the current load by one step."""
        if not self.loading:
            return
        self.remaining_seconds -= STEP_SECONDS * (store_speed if self.from_store else 1.0)
        if self.remaining_seconds <= 0:
            self.held.append(self.loading)
            self.on_disk.add(self.loading)
            self.loading = ""


@frozen
class StoreAdmissionRecord:
    """An ordered load from the weight store, or an eviction for one.

    :ivar in_progress: loads in progress and memory reservations for loads before this order.
    :ivar limit: the concurrency limit at that time.
    :ivar already_admitted: whether the model was held, loading or admitted elsewhere.
    :ivar not_admitted: other requested models that were not admitted.
    """

    model: str
    in_progress: int
    limit: int
    already_admitted: bool
    not_admitted: tuple[str, ...]


class SimulatedPool:
    """Servers and their leader. :meth:`step` simulates STEP_SECONDS."""

    def __init__(self, servers: int, models: int, seed: int) -> None:
        self._random = random.Random(seed)
        self._models = [f"m{number}" for number in range(models)]
        profiles = tuple(
            ModelProfile(name, MODEL_MB, STORE_LOAD_SECONDS, DISK_LOAD_SECONDS, DISK_LOAD_SECONDS)
            for name in self._models
        )
        self._profile = EngineProfile(2 * MODEL_MB + 1, 8, LOADS_PER_SECOND, profiles)
        self._servers: dict[str, SimulatedServer] = {}
        self._servers_added = 0
        for _ in range(servers):
            self.add_server()
        self.now = 10.0
        self.admissions: list[StoreAdmissionRecord] = []
        self.orders: list[PlannedOrder] = []
        self._running: dict[tuple[str, ModelKey], int] = {}
        self.staging_allowed = False
        self._concurrency_limit = StoreConcurrencyLimit()
        self.change_leader()

    # Events.

    def add_server(self, software_version: str = "") -> str:
        """Add an empty server and return its name."""
        name = f"s{self._servers_added}"
        self._servers_added += 1
        self._servers[name] = SimulatedServer(name, software_version)
        return name

    def preload(self, name: str, models: list[str]) -> None:
        """Put models on a server, without a copy on its disk."""
        self._servers[name].held = list(models)

    def cache_held_models(self) -> None:
        """Put a copy of each held model on the disk of its server."""
        for server in self._servers.values():
            server.on_disk.update(server.held)

    def drain_server(self, name: str) -> None:
        """Let a server accept no new requests and no orders; its streams are still reported."""
        del self._servers[name]
        self._trackers.pop(name, None)

    def remove_server(self) -> None:
        """Remove a random server, even while it is loading."""
        if len(self._servers) > 1:
            removed = self._random.choice(sorted(self._servers))
            del self._servers[removed]
            self._trackers.pop(removed, None)

    def change_leader(self) -> None:
        """Replace the leader by one that knows only what the previous one announced."""
        announced = {
            name: AnnouncedLoad(server.loading, self.now)
            for name, server in self._servers.items()
            if server.loading
        }
        learned: LearnedConcurrencyLimit = self._concurrency_limit.snapshot(SERVICE)
        self._concurrency_limit = StoreConcurrencyLimit(learned, self.now * MS_PER_SECOND)
        self._rate_limiter = LoadRateLimiter(LOADS_PER_SECOND, WINDOW_SECONDS, self.now)
        self._demand = DemandView()
        self._trackers: dict[str, ServerTracker] = {}
        self._announced_loads = announced

    def add_requests(self, model: int, count: int, waiting: bool) -> None:
        """Add requests for a model, optionally with one that waits for it."""
        requested = TargetDemand(
            SERVICE,
            ModelKey(self._models[model % len(self._models)]),
            int(waiting),
            count,
            1,
            8.0,
        )
        sender = f"daemon-{self._random.randrange(4)}"
        self._demand.add_report(PoolDemand(sender, (requested,), ()), self.now)

    def run_streams(self, running: Mapping[tuple[str, str], int]) -> None:
        """Report the running streams by model and software version, instead of earlier ones."""
        streams = tuple(
            RunningStreams(VersionedModel(SERVICE, *key), count) for key, count in running.items()
        )
        self._demand.add_report(PoolDemand("daemon-streams", (), (), streams=streams), self.now)

    def run_requests(self, server: str, model: str, count: int) -> None:
        """Let requests for a model run at a server."""
        self._running[(server, ModelKey(model))] = count

    def holders(self, model: str, software_version: str) -> list[str]:
        """Return the servers of a version that hold a model and do not drain."""
        return [
            server.name
            for server in self._servers.values()
            if server.software_version == software_version and model in server.held
        ]

    def loading(self, model: str, software_version: str) -> list[str]:
        """Return the servers of a version that load a model and do not drain."""
        return [
            server.name
            for server in self._servers.values()
            if server.software_version == software_version and server.loading == model
        ]

    # Simulation step.

    def step(self, plans: bool = True) -> None:
        """Advance the loads, then let the leader read the servers and plan."""
        self.now += STEP_SECONDS
        loading = sum(1 for s in self._servers.values() if s.loading and s.from_store)
        for server in self._servers.values():
            server.advance(min(1.0, STORE_CONCURRENCY / max(1, loading)))
        self._read_servers()
        if plans:
            self._plan()

    def _read_servers(self) -> None:
        for name, server in self._servers.items():
            tracker = self._trackers.get(name)
            if tracker is None:
                entry = ServerEntry(
                    name,
                    SERVICE,
                    "a:1",
                    "zone-a",
                    8,
                    ServerState.READY,
                    software_version=server.software_version,
                )
                announced_load = self._announced_loads.get(name)
                tracker = ServerTracker(entry, self._profile, announced_load, self.now)
                self._trackers[name] = tracker
            elif self._random.random() < 0.5:
                tracker.record_report(server.report(), self.now)
            finished = tracker.pop_finished_load()
            if finished is not None:
                self._concurrency_limit.record_finished(finished, self.now * MS_PER_SECOND)

    def _plan(self) -> None:
        servers = list(self._trackers.values())
        in_progress = sum(server.uses_store(self.now) for server in servers)
        self._concurrency_limit.observe(in_progress, self.now * MS_PER_SECOND)
        inputs = PlanInput(
            SERVICE,
            servers,
            self._demand,
            self._running,
            self.now,
            self._rate_limiter.allows(self.now),
            self.staging_allowed,
            max(0, self._concurrency_limit.limit - in_progress),
        )
        requested = {pending.key.target.model for pending in self._demand.pending_demand(self.now)}
        for order in Planner(inputs).plan():
            self.orders.append(order)
            self._record_admission(order, requested)
            if order.from_store:
                self._rate_limiter.record(self.now)
            if self.staging_allowed and order.kind is OrderKind.LOAD:
                self._trackers[order.instance].staged += 1
            self._send_order(order)
        self._demand.reset_unserved(SERVICE, inputs.index.holders)

    def _record_admission(self, order: PlannedOrder, requested: set[str]) -> None:
        """Record a load from the weight store when it or an eviction for it is ordered."""
        name = order.evicts_for or order.target.model
        loads = order.kind is OrderKind.LOAD or bool(order.evicts_for)
        from_store = name not in self._servers[order.instance].on_disk
        if not loads or not from_store or self._reserved_model(order.instance) == name:
            return
        others = [server for server in self._servers if server != order.instance]
        admitted = {self._servers[server].loading for server in self._servers}
        admitted |= {self._reserved_model(server) for server in others}
        admitted |= {held for server in self._servers.values() for held in server.held}
        admission = StoreAdmissionRecord(
            name,
            self._in_progress(),
            self._concurrency_limit.limit,
            name in admitted,
            tuple(sorted(requested - admitted - {name})),
        )
        self.admissions.append(admission)

    def _in_progress(self) -> int:
        """Return the number of servers that load from the store or have memory reserved for it."""
        return sum(self._uses_store(name) for name in self._servers)

    def _uses_store(self, name: str) -> bool:
        server, reserved_model = self._servers[name], self._reserved_model(name)
        if server.loading:
            return server.from_store
        return bool(reserved_model) and reserved_model not in server.on_disk

    def _reserved_model(self, server: str) -> str:
        """Return the model for which memory is reserved at a server, or empty."""
        return self._trackers[server].memory_reserved_for(self.now) or ""

    def _send_order(self, order: PlannedOrder) -> None:
        tracker = self._trackers[order.instance]
        report = tracker.report
        assert report is not None
        if order.evicts_for:
            tracker.reserve_memory(order.evicts_for, self.now)
        sent = Order(order.kind, order.target, order.instance, "daemon", 7, report.revision)
        server = self._servers[order.instance]
        if server.loading or server.revision != report.revision:
            tracker.record_answer(sent, OrderAnswer.CONFLICT, self.now)
            return
        server.execute(order)
        tracker.record_answer(sent, OrderAnswer.ACCEPTED, self.now, in_use=False)
