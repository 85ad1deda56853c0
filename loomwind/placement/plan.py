"""What a plan is made from, and the plan while it is made: orders, reserved turns, free servers."""

import enum
from collections.abc import Iterator, Mapping, Sequence

import attrs

from loomwind.placement.demand_view import DemandView
from loomwind.placement.index import PlacementIndex
from loomwind.placement.server_tracker import ServerTracker
from loomwind.placement.store_admission import StoreAdmission
from loomwind.serving.views import ModelKey, ModelProfile, OrderKind

NOTICE_SECONDS = 0.2
UNKNOWN_BUSY_SECONDS = 0.5
NO_LIMIT = 1_000_000


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
    makes_way_for: str = ""


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
    may_stage: bool = False
    store_loads_left: int = NO_LIMIT
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

    def held_by(self, server: ServerTracker) -> Iterator[str]:
        """Yield the models that a server holds."""
        if server.report is not None:
            yield from (held.name for held in server.report.held)


class DraftPlan:
    """The orders of one step, at most one for each server, and the turns that are reserved."""

    def __init__(
        self,
        given: PlanInput,
        callers: Mapping[str, float] | None = None,
        overloaded: Mapping[str, float] | None = None,
    ) -> None:
        """Begin a plan.

        :param callers: how many callers ask for each wanted model.
        :param overloaded: how many callers of a held model are beyond the places of its servers.
        """
        self.orders: list[PlannedOrder] = []
        self._given = given
        self._taken: set[str] = set()
        self._reserved: dict[str, float] = {}
        self._turns: dict[str, float] = {}
        self._ordered: set[ModelKey] = set()
        self._making_way: set[str] = set()
        missing = {
            name: count
            for name, count in (callers or {}).items()
            if not self.is_available(ModelKey(name))
        }
        missing |= {
            name: count
            for name, count in (overloaded or {}).items()
            if not given.index.arriving[name] and not self.has_reserved_room(name)
        }
        places = given.store_loads_left if given.store_load_allowed else 0
        self._admission = StoreAdmission(places, missing)

    def load(self, server: ServerTracker, target: ModelKey, purpose: OrderPurpose) -> None:
        """Order a model or an adapter to be loaded."""
        from_store = not target.adapter and server.loads_from_store(target.model)
        instance = server.entry.instance
        if from_store and server.memory_reserved_for(self._given.now) != target.model:
            self._admission.take_place()
        self._add(PlannedOrder(instance, OrderKind.LOAD, target, purpose, from_store))

    def unload(
        self,
        server: ServerTracker,
        target: ModelKey,
        purpose: OrderPurpose,
        makes_way_for: str = "",
    ) -> None:
        """Order a model or an adapter to be unloaded."""
        instance = server.entry.instance
        order = PlannedOrder(
            instance, OrderKind.UNLOAD, target, purpose, makes_way_for=makes_way_for
        )
        if makes_way_for and server.loads_from_store(makes_way_for):
            self._admission.take_place()
        self._add(order)

    def may_load_from_store(self, name: str) -> bool:
        """Whether one more load from the weight store may be planned."""
        return self._admission.admits(name)

    def pass_over(self, name: str) -> None:
        """Leave a model's place to the next one: no server can take it now."""
        self._admission.leave_out(name)

    def lacking(self) -> tuple[str, ...]:
        """Return the models that lack a copy; the one that is brought next comes first."""
        return self._admission.waiting()

    def may_use_room(self, server: ServerTracker, name: str) -> bool:
        """Whether a model may be loaded where another one has made way for it.

        Its place has been taken already. One that is on its way elsewhere does not need it.
        """
        if not server.loads_from_store(name):
            return True
        elsewhere = self._given.index.arriving[name] or ModelKey(name) in self._ordered
        return self._given.store_load_allowed and not elsewhere

    def _add(self, order: PlannedOrder) -> None:
        self._taken.add(order.instance)
        if order.kind is OrderKind.LOAD:
            self._ordered.add(order.target)
            self._admission.leave_out(order.target.model)
        if order.makes_way_for:
            self._making_way.add(order.makes_way_for)
            self._admission.leave_out(order.makes_way_for)
        self.orders.append(order)

    def reserve(self, server: ServerTracker, name: str) -> None:
        """Keep a turn of a busy server for a load of a model."""
        instance = server.entry.instance
        seconds = server.load_seconds(name)
        self._admission.leave_out(name)
        self._turns[name] = self.busy_seconds(server) + seconds
        self._reserved[instance] = self._reserved.get(instance, 0.0) + seconds

    def turn_in(self, name: str) -> float | None:
        """Return the time until a model is loaded for which a turn is kept; None without one."""
        return self._turns.get(name)

    def plans_load_of(self, name: str) -> bool:
        """Whether this plan orders a model to be loaded, or another one makes way for it."""
        return ModelKey(name) in self._ordered or self.has_reserved_room(name)

    def is_free(self, server: ServerTracker) -> bool:
        """Whether a server can take an order now."""
        if not server.idle or server.entry.instance in self._taken:
            return False
        return server.no_orders_until <= self._given.now

    def free_servers(self) -> list[ServerTracker]:
        """Return the servers that can take an order now."""
        return [server for server in self._given.servers if self.is_free(server)]

    def busy_seconds(self, server: ServerTracker) -> float:
        """Return the time until a server can begin another load."""
        reserved = self._reserved.get(server.entry.instance, 0.0)
        if self.is_free(server):
            return reserved
        operation = server.operation
        if operation is None or operation.kind is not OrderKind.LOAD:
            return reserved + UNKNOWN_BUSY_SECONDS
        return reserved + max(0.0, operation.done_at - self._given.now) + NOTICE_SECONDS

    def is_available(self, target: ModelKey) -> bool:
        """Whether a target is held somewhere, or on its way."""
        if target in self._given.index.available or target in self._ordered:
            return True
        return not target.adapter and self.has_reserved_room(target.model)

    def has_reserved_room(self, name: str) -> bool:
        """Whether another model makes way for one, or will by this plan."""
        return name in self._making_way or name in self._given.index.reserved
