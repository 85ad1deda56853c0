"""The inputs of a plan, and the plan under construction with its orders and reservations."""

import enum
from collections.abc import Iterable, Iterator, Mapping, Sequence

import attrs

from loomwind.placement.demand_view import DemandView
from loomwind.placement.index import PlacementIndex
from loomwind.placement.load_schedule import (
    RequestedLoad,
    combine_places,
    insert_by_weight,
    schedule_loads,
)
from loomwind.placement.server_tracker import (
    ADAPTER_LOAD_SECONDS,
    UNLOAD_SECONDS,
    ServerTracker,
)
from loomwind.placement.store_admission import StoreAdmission
from loomwind.serving.views import ModelKey, ModelProfile, OrderKind

ORDER_LATENCY_SECONDS = 0.2
# Until a server accepts an order, and until the daemons learn that it is done.
NOTICE_SECONDS = 0.15
DEFAULT_BUSY_SECONDS = 0.5
# The rest of a load that another leader ordered.
DEFAULT_LOAD_SECONDS = 3.0
UNLIMITED_STORE_LOADS = 1_000_000


class OrderPurpose(enum.Enum):
    """Why a load is ordered; the values appear in logs and metrics.

    WANTED: requests wait for it. FURTHER_COPY: another server holds the model already.
    AHEAD: an adapter loaded before it is requested. STAGED: a model loaded before it is requested.
    """

    WANTED = "wanted"
    FURTHER_COPY = "further-copy"
    AHEAD = "ahead"
    STAGED = "staged"


@attrs.frozen
class PlannedOrder:
    """An order to send to a server next.

    :ivar purpose: why the target is loaded; for an unload, the purpose of the load that follows.
    :ivar from_store: whether the load reads from the weight store.
    :ivar evicts_for: for an unload, the model that needs the memory; empty for an adapter.
    """

    instance: str
    kind: OrderKind
    target: ModelKey
    purpose: OrderPurpose
    from_store: bool = False
    evicts_for: str = ""

    def provides(self, target: ModelKey) -> bool:
        """Return whether this order loads a target or frees memory for it."""
        if self.kind is OrderKind.LOAD:
            return self.target == target
        return not target.adapter and self.evicts_for == target.model


@attrs.frozen
class PlanInput:
    """The state from which a plan is computed.

    :ivar servers: the model servers of one service that may receive orders.
    :ivar running: the number of running requests, by instance and target.
    :ivar now: event loop time in seconds.
    :ivar store_load_allowed: whether the rate limit of the weight store allows one more load.
    :ivar staging_allowed: whether models may be loaded before they are requested.
    :ivar store_loads_left: how many more concurrent loads the weight store may serve.
    :ivar promised_start_in: until when loads have to start that callers were promised, by model.
    """

    service: str
    servers: Sequence[ServerTracker]
    demand: DemandView
    running: dict[tuple[str, ModelKey], int]
    now: float
    store_load_allowed: bool
    staging_allowed: bool = False
    store_loads_left: int = UNLIMITED_STORE_LOADS
    promised_start_in: Mapping[str, float] = attrs.field(factory=dict)
    index: PlacementIndex = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        object.__setattr__(self, "index", PlacementIndex(self.servers, self.running, self.now))

    def rate(self, target: ModelKey) -> float:
        """Return the recent rate of requests for a target, per second."""
        return self.demand.rate(self.service, target, self.now)

    def of_version(self, software_version: str) -> "PlanInput":
        """Return the same input with only the servers of a software version."""
        servers = [server for server in self.servers if server.has_version(software_version)]
        return attrs.evolve(self, servers=servers)

    def known_servers(self) -> list[ServerTracker]:
        """Return the servers that have reported their state."""
        return [server for server in self.servers if server.report is not None]

    def models(self) -> Sequence[ModelProfile]:
        """Return the service's models; their order means nothing."""
        return self.servers[0].profile.models if self.servers else ()

    def model(self, name: str) -> ModelProfile | None:
        """Return a model of the service, or None if it is not configured."""
        return self.servers[0].profile.model(name) if self.servers else None

    def load_seconds(self, target: ModelKey) -> float:
        """Return the time in which some server can load a target, from the nearest copy."""
        model = self.model(target.model)
        if model is None:
            return 0.0
        if target.adapter and self.holders(target.model):
            return ADAPTER_LOAD_SECONDS
        copies = self.index.cached_copies[target.model]
        return min(
            (server.load_seconds(target.model) for server in copies), default=model.load_seconds
        )

    def remaining_load_seconds(self, server: ServerTracker) -> float:
        """Return the time until a server's load is done and known; a new load's time before it."""
        operation = server.operation
        if operation is None or operation.kind is not OrderKind.LOAD:
            unload_seconds = server.unload_remaining_seconds(self.now)
            if unload_seconds:
                return NOTICE_SECONDS + unload_seconds
            order = server.in_flight
            load_seconds = server.load_seconds(order.target.model) if order else 0.0
            return NOTICE_SECONDS + load_seconds
        return max(0.0, operation.done_at - self.now) + NOTICE_SECONDS

    def store_load_ends(self) -> list[float]:
        """Return the time until each current load from the weight store ends.

        Those count as well for which memory is being freed.
        """
        return [
            self._store_load_end(server) for server in self.servers if server.uses_store(self.now)
        ]

    def _store_load_end(self, server: ServerTracker) -> float:
        reserved = server.memory_reserved_for(self.now)
        if reserved is not None and not server.loads_from_store_now:
            unload_seconds = server.unload_remaining_seconds(self.now)
            return max(UNLOAD_SECONDS, unload_seconds) + server.load_seconds(reserved)
        return self.remaining_load_seconds(server) if server.operation else DEFAULT_LOAD_SECONDS

    def load_places(self) -> list[float]:
        """Return when each place for a load is free: it takes a server and a place at the store."""
        servers = self.known_servers()
        server_free_in = [0.0 if s.idle else self.remaining_load_seconds(s) for s in servers]
        free_places = min(self.store_loads_left, len(servers))
        return combine_places(server_free_in, [0.0] * free_places + self.store_load_ends())

    def holders(self, name: str) -> list[ServerTracker]:
        """Return the servers that hold a model."""
        return self.index.holders[name]

    def held_models(self, server: ServerTracker) -> Iterator[str]:
        """Yield the models that a server holds."""
        if server.report is not None:
            yield from (held.name for held in server.report.held)


class DraftPlan:
    """The orders of one step, at most one per server, and reservations of busy servers.

    :ivar scheduled: the loads of requested models, in the order in which they should start.
    """

    def __init__(
        self,
        inputs: PlanInput,
        requested: Iterable[RequestedLoad] = (),
        overloaded: Iterable[RequestedLoad] = (),
        missing_at_version: Iterable[RequestedLoad] = (),
    ) -> None:
        """Start an empty plan.

        :param requested: loads of models that are requested.
        :param overloaded: loads of models whose servers are all full, most excess first.
        :param missing_at_version: loads of models that requests wait for at a software version of
            which no server has or loads them.
        """
        self.orders: list[PlannedOrder] = []
        self._inputs = inputs
        self._assigned: set[str] = set()
        self._reserved_seconds: dict[str, float] = {}
        self._reserved_ready_in: dict[str, float] = {}
        self._ordered_loads: set[ModelKey] = set()
        self._evicted_for: set[str] = set()
        missing = {
            load.name: load for load in requested if not self.is_available(ModelKey(load.name))
        }
        missing |= {load.name: load for load in missing_at_version}
        slots = inputs.store_loads_left if inputs.store_load_allowed else 0
        places = inputs.load_places()
        self.scheduled = schedule_loads(list(missing.values()), places)
        scheduled = list(self.scheduled)
        for load in overloaded:
            if not inputs.index.loading[load.name] and not self.has_reserved_memory(load.name):
                insert_by_weight(scheduled, load, places)
        self._admission = StoreAdmission(slots, [load.name for load in scheduled])

    def load(self, server: ServerTracker, target: ModelKey, purpose: OrderPurpose) -> None:
        """Add an order to load a model or an adapter."""
        from_store = not target.adapter and server.loads_from_store(target.model)
        instance = server.entry.instance
        if from_store and server.memory_reserved_for(self._inputs.now) != target.model:
            self._admission.acquire_slot()
        self._add(PlannedOrder(instance, OrderKind.LOAD, target, purpose, from_store))

    def unload(
        self, server: ServerTracker, target: ModelKey, purpose: OrderPurpose, evicts_for: str = ""
    ) -> None:
        """Add an order to unload a model or an adapter."""
        instance = server.entry.instance
        order = PlannedOrder(instance, OrderKind.UNLOAD, target, purpose, evicts_for=evicts_for)
        if evicts_for and server.loads_from_store(evicts_for):
            self._admission.acquire_slot()
        self._add(order)

    @property
    def store_slots(self) -> int:
        """Return how many more loads from the weight store may start."""
        return self._admission.slots

    def can_load_from_store(self, name: str) -> bool:
        """Return whether the plan may load a model from the weight store."""
        return self._admission.admits(name)

    def skip(self, name: str) -> None:
        """Release a model's store slot, since no server can take the model now."""
        self._admission.discard(name)

    def models_needing_copy(self) -> tuple[str, ...]:
        """Return the models that need a copy, in the order in which they should be loaded."""
        return self._admission.models_needing_copy()

    def can_use_reserved_memory(
        self, server: ServerTracker, name: str, is_further_copy: bool
    ) -> bool:
        """Return whether a model may be loaded into the memory reserved for it.

        Its store slot was taken by the unload. A model that is loading at another server of the
        same software version no longer needs the memory, unless the version needs more copies.

        :param is_further_copy: whether the version needs this copy beside those at other servers.
        """
        if not server.loads_from_store(name):
            return True
        if is_further_copy:
            return self._inputs.store_load_allowed
        version = server.entry.software_version
        elsewhere = any(other.has_version(version) for other in self._inputs.index.loading[name])
        return (
            self._inputs.store_load_allowed
            and not elsewhere
            and not self.plans_load_at(name, version)
        )

    def _add(self, order: PlannedOrder) -> None:
        self._assigned.add(order.instance)
        if order.kind is OrderKind.LOAD:
            self._ordered_loads.add(order.target)
            self._admission.discard(order.target.model)
        if order.evicts_for:
            self._evicted_for.add(order.evicts_for)
            self._admission.discard(order.evicts_for)
        self.orders.append(order)

    def reserve(self, server: ServerTracker, name: str) -> None:
        """Reserve the next load of a busy server for a model."""
        instance = server.entry.instance
        seconds = server.load_seconds(name)
        self._admission.discard(name)
        self._reserved_ready_in[name] = self.busy_seconds(server) + seconds
        self._reserved_seconds[instance] = self._reserved_seconds.get(instance, 0.0) + seconds

    def reserved_load_ready_in(self, name: str) -> float | None:
        """Return the time until a reserved load is done, or None without a reservation."""
        return self._reserved_ready_in.get(name)

    def plans_load(self, name: str) -> bool:
        """Return whether a model is loaded by this plan or has memory reserved for it."""
        return ModelKey(name) in self._ordered_loads or self.has_reserved_memory(name)

    def is_free(self, server: ServerTracker) -> bool:
        """Return whether a server can take an order now."""
        if not server.idle or server.entry.instance in self._assigned:
            return False
        return server.no_orders_until <= self._inputs.now

    def free_servers(self) -> list[ServerTracker]:
        """Return the servers that can take an order now."""
        return [server for server in self._inputs.servers if self.is_free(server)]

    def busy_seconds(self, server: ServerTracker) -> float:
        """Return the time until a server can start another load."""
        reserved = self._reserved_seconds.get(server.entry.instance, 0.0)
        if self.is_free(server):
            return reserved
        operation = server.operation
        if operation is None or operation.kind is not OrderKind.LOAD:
            unload_seconds = server.unload_remaining_seconds(self._inputs.now)
            return reserved + max(DEFAULT_BUSY_SECONDS, unload_seconds)
        return reserved + max(0.0, operation.done_at - self._inputs.now) + ORDER_LATENCY_SECONDS

    def is_available(self, target: ModelKey) -> bool:
        """Return whether a target is loaded on any server or being loaded."""
        if target in self._inputs.index.available or target in self._ordered_loads:
            return True
        return not target.adapter and self.has_reserved_memory(target.model)

    def is_available_at(self, target: ModelKey, software_version: str) -> bool:
        """Return whether a target is or will be available at a server of a software version."""
        inputs = self._inputs.of_version(software_version)
        if target in inputs.index.available:
            return True
        if not target.adapter and target.model in inputs.index.reserved:
            return True
        return self._plans_at(target, software_version)

    def plans_load_at(self, name: str, software_version: str) -> bool:
        """Return whether this plan loads a model at a server of a software version."""
        return self._plans_at(ModelKey(name), software_version)

    def _plans_at(self, target: ModelKey, software_version: str) -> bool:
        planned = (order for order in self.orders if order.provides(target))
        servers = (self._inputs.index.server(order.instance) for order in planned)
        return any(server.has_version(software_version) for server in servers)

    def unloads(self, server: ServerTracker, target: ModelKey) -> bool:
        """Return whether a target is unloaded by this plan or by an order that is in flight."""
        if server.is_unloading(target):
            return True
        instance = server.entry.instance
        return any(
            order.instance == instance and order.kind is OrderKind.UNLOAD and order.target == target
            for order in self.orders
        )

    def has_reserved_memory(self, name: str) -> bool:
        """Return whether another model is evicted for a model, already or by this plan."""
        return name in self._evicted_for or name in self._inputs.index.reserved
