"""When what is waited for should be ready, by the plan of a moment. Pure; times are in seconds."""

from collections.abc import Sequence

from loomwind.placement.plan import DraftPlan, PlanInput, PlannedOrder
from loomwind.placement.server_tracker import ServerTracker
from loomwind.serving.views import ModelKey, OrderKind

# Until an order is taken, and until the daemons know that it is done.
NOTICE_SECONDS = 0.15
UNLOAD_SECONDS = 0.25
ADAPTER_SECONDS = 0.1
UNKNOWN_LOAD_SECONDS = 3.0


class Outlook:
    """Tells the time until targets are ready.

    :param queued: models whose loads wait for the weight store, in their order.
    """

    def __init__(self, given: PlanInput, draft: DraftPlan, queued: Sequence[str]) -> None:
        self._given = given
        self._draft = draft
        self._queued = {name: place for place, name in enumerate(queued)}
        self._loads_end = sorted(self._store_loads())

    def ready_in(self, target: ModelKey) -> float | None:
        """Return the time until a target is ready; None when that is not known."""
        model_in = self._model_in(target.model)
        if model_in is None or not target.adapter:
            return model_in
        if target in self._given.index.available:
            return model_in + ADAPTER_SECONDS
        holders = self._given.holders(target.model)
        turn_in = min((self._draft.busy_seconds(s) for s in holders), default=0.0)
        return model_in + turn_in + ADAPTER_SECONDS

    def _model_in(self, name: str) -> float | None:
        index = self._given.index
        if index.holders[name]:
            return 0.0
        times = [self._until_done(server) for server in index.arriving[name]]
        times += [self._ordered_in(order.instance, name) for order in self._orders_for(name)]
        times += [
            server.load_seconds(name) + UNLOAD_SECONDS
            for server in self._given.servers
            if server.memory_reserved_for(self._given.now) == name
        ]
        turn_in = self._draft.turn_in(name)
        if turn_in is not None:
            times.append(turn_in + NOTICE_SECONDS)
        if name in self._queued:
            times.append(self._queue_in(name))
        return min(times, default=None)

    def _orders_for(self, name: str) -> list[PlannedOrder]:
        key = ModelKey(name)
        return [o for o in self._draft.orders if o.makes_way_for == name or _loads(o, key)]

    def _ordered_in(self, instance: str, name: str) -> float:
        server = self._given.index.server(instance)
        making_way = UNLOAD_SECONDS if server.free_mb() <= 0 else 0.0
        return server.load_seconds(name) + making_way + NOTICE_SECONDS

    def _until_done(self, server: ServerTracker) -> float:
        operation = server.operation
        if operation is None or operation.kind is not OrderKind.LOAD:
            order = server.in_flight
            return NOTICE_SECONDS + (server.load_seconds(order.target.model) if order else 0.0)
        return max(0.0, operation.done_at - self._given.now) + NOTICE_SECONDS

    # The weight store's queue.

    def _store_loads(self) -> list[float]:
        """Return when each load of the weight store should end, planned ones included."""
        ends = [
            self._until_done(server) if server.operation else UNKNOWN_LOAD_SECONDS
            for server in self._given.servers
            if server.loads_from_store_now
        ]
        planned = [order for order in self._draft.orders if order.from_store]
        ends += [self._ordered_in(order.instance, order.target.model) for order in planned]
        return ends

    def _queue_in(self, name: str) -> float:
        """Return when a queued load should be done: after as many as stand before it."""
        place = self._queued[name]
        load = self._store_load_seconds(name)
        at_once = max(1, len(self._loads_end))
        begins = self._loads_end[place % at_once] if self._loads_end else load
        return begins + (place // at_once) * load + load + NOTICE_SECONDS

    def _store_load_seconds(self, name: str) -> float:
        model = self._given.model(name)
        return UNKNOWN_LOAD_SECONDS if model is None else model.load_seconds


def _loads(order: PlannedOrder, key: ModelKey) -> bool:
    return order.kind is OrderKind.LOAD and order.target == key
