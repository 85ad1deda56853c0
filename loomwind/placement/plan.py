"""What a plan is made from, and the plan while it is made: orders, reserved turns, free servers."""

import enum
from collections.abc import Iterator, Mapping, Sequence

import attrs

from loomwind.placement.demand_view import DemandView
from loomwind.placement.index import PlacementIndex
from loomwind.placement.server_tracker import ServerTracker
from loomwind.placement.store_admission import StoreAdmission
from loomwind.serving.views import ModelKey, ModelProfile, OrderKind

ORDER_LATENCY_SECONDS = 0.2
DEFAULT_BUSY_SECONDS = 0.5
UNLIMITED_STORE_LOADS = 1_000_000


class OrderPurpose(enum.Enum):
    """What an order is for."""

    WANTED = "wanted"
    FURTHER_COPY = "further-copy"
    AHEAD = "ahead"
    STAGED = "staged"


@attrs.frozen
class PlannedOrder:
    """An order that should be given next to a server.

    :ivar purpose: what the load is for; for an unload, the load that it makes way for.
    :ivar from_store: whether the load comes from the weight store.
    :ivar makes_way_for: for an unload: the model that the room is for.
    """

    instance: str
    kind: OrderKind
    target: ModelKey
    purpose: OrderPurpose
    from_store: bool = False
    evicts_for: str = ""


@attrs.frozen
class PlanInput:
    """Everything that a plan is made from.

    :ivar servers: the model servers of one service that may get work.
    :ivar running: requests that run, by instance and target.
    :ivar now: loop time in seconds.
    :ivar store_load_allowed: whether the weight store's rate allows one more load.
    :ivar store_loads_left: how many more may be under way at once.
    :ivar may_stage: whether there is time to load models that nobody has asked for.
    """

    service: str
    servers: Sequence[ServerTracker]
    demand: DemandView
    running: dict[tuple[str, ModelKey], int]
    now: float
    store_load_allowed: bool
    staging_allowed: bool = False
    store_loads_left: int = UNLIMITED_STORE_LOADS
    index: PlacementIndex = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        object.__setattr__(self, "index", PlacementIndex(self.servers, self.running, self.now))

    def rate(self, target: ModelKey) -> float:
        """Return the recent rate of requests for a target, a second."""
        return self.demand.rate(self.service, target, self.now)

    def known_servers(self) -> list[ServerTracker]:
        """Return the servers whose state is known."""
        return [server for server in self.servers if server.report is not None]

    def models(self) -> Sequence[ModelProfile]:
        """Return the service's models, in the configuration's order."""
        return self.servers[0].profile.models if self.servers else ()

    def model(self, name: str) -> ModelProfile | None:
        """Return a model of the service, or None."""
        return self.servers[0].profile.model(name) if self.servers else None

    def position(self, name: str) -> int | None:
        """Return a model's place in the configuration's order; None when it has none."""
        return self.servers[0].profile.positions.get(name) if self.servers else None

    def holders(self, name: str) -> list[ServerTracker]:
        """Return the servers that hold a model now."""
        return self.index.holders[name]

    def held_models(self, server: ServerTracker) -> Iterator[str]:
        """Yield the models that a server holds."""
        if server.report is not None:
            yield from (held.name for held in server.report.held)


class DraftPlan:
    """The orders of one step, at most one for each server, and the turns that are reserved."""

    def __init__(
        self,
        inputs: PlanInput,
        callers: Mapping[str, float] | None = None,
        overloaded: Mapping[str, float] | None = None,
    ) -> None:
        """Begin a plan.

        :param callers: how many callers ask for each wanted model.
        :param overloaded: how many callers of a held model are beyond the places of its servers.
        """
        self.orders: list[PlannedOrder] = []
        self._inputs = inputs
        self._assigned: set[str] = set()
        self._reserved_seconds: dict[str, float] = {}
        self._reserved_ready_in: dict[str, float] = {}
        self._ordered_loads: set[ModelKey] = set()
        self._evicted_for: set[str] = set()
        missing = {
            name: count
            for name, count in (callers or {}).items()
            if not self.is_available(ModelKey(name))
        }
        missing |= {
            name: count
            for name, count in (overloaded or {}).items()
            if not inputs.index.loading[name] and not self.has_reserved_memory(name)
        }
        slots = inputs.store_loads_left if inputs.store_load_allowed else 0
        self._admission = StoreAdmission(slots, missing)

    def load(self, server: ServerTracker, target: ModelKey, purpose: OrderPurpose) -> None:
        """Order a model or an adapter to be loaded."""
        from_store = not target.adapter and server.loads_from_store(target.model)
        instance = server.entry.instance
        if from_store and server.memory_reserved_for(self._inputs.now) != target.model:
            self._admission.acquire_slot()
        self._add(PlannedOrder(instance, OrderKind.LOAD, target, purpose, from_store))

    def unload(
        self, server: ServerTracker, target: ModelKey, purpose: OrderPurpose, evicts_for: str = ""
    ) -> None:
        """Order a model or an adapter to be unloaded."""
        instance = server.entry.instance
        order = PlannedOrder(instance, OrderKind.UNLOAD, target, purpose, evicts_for=evicts_for)
        if evicts_for and server.loads_from_store(evicts_for):
            self._admission.acquire_slot()
        self._add(order)

    def can_load_from_store(self, name: str) -> bool:
        """Whether one more load from the weight store may be planned."""
        return self._admission.admits(name)

    def skip(self, name: str) -> None:
        """Leave a model's place to the next one: no server can take it now."""
        self._admission.discard(name)

    def models_needing_copy(self) -> tuple[str, ...]:
        """Return the models that lack a copy; the one that is brought next comes first."""
        return self._admission.models_needing_copy()

    def can_use_reserved_memory(self, server: ServerTracker, name: str) -> bool:
        """Whether a model may be loaded where another one has made way for it.

        Its place has been taken already. One that is on its way elsewhere does not need it.
        """
        if not server.loads_from_store(name):
            return True
        elsewhere = self._inputs.index.loading[name] or ModelKey(name) in self._ordered_loads
        return self._inputs.store_load_allowed and not elsewhere

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
        """Keep a turn of a busy server for a load of a model."""
        instance = server.entry.instance
        seconds = server.load_seconds(name)
        self._admission.discard(name)
        self._reserved_ready_in[name] = self.busy_seconds(server) + seconds
        self._reserved_seconds[instance] = self._reserved_seconds.get(instance, 0.0) + seconds

    def reserved_load_ready_in(self, name: str) -> float | None:
        """Return the time until a model is loaded for which a turn is kept; None without one."""
        return self._reserved_ready_in.get(name)

    def plans_load(self, name: str) -> bool:
        """Whether this plan orders a model to be loaded, or another one makes way for it."""
        return ModelKey(name) in self._ordered_loads or self.has_reserved_memory(name)

    def is_free(self, server: ServerTracker) -> bool:
        """Whether a server can take an order now."""
        if not server.idle or server.entry.instance in self._assigned:
            return False
        return server.no_orders_until <= self._inputs.now

    def free_servers(self) -> list[ServerTracker]:
        """Return the servers that can take an order now."""
        return [server for server in self._inputs.servers if self.is_free(server)]

    def busy_seconds(self, server: ServerTracker) -> float:
        """Return the time until a server can begin another load."""
        reserved = self._reserved_seconds.get(server.entry.instance, 0.0)
        if self.is_free(server):
            return reserved
        operation = server.operation
        if operation is None or operation.kind is not OrderKind.LOAD:
            return reserved + DEFAULT_BUSY_SECONDS
        return reserved + max(0.0, operation.done_at - self._inputs.now) + ORDER_LATENCY_SECONDS

    def is_available(self, target: ModelKey) -> bool:
        """Whether a target is held somewhere, or on its way."""
        if target in self._inputs.index.available or target in self._ordered_loads:
            return True
        return not target.adapter and self.has_reserved_memory(target.model)

    def has_reserved_memory(self, name: str) -> bool:
        """Whether another model makes way for one, or will by this plan."""
        return name in self._evicted_for or name in self._inputs.index.reserved
