"""Estimates when targets will be ready under a plan. Pure; times are in seconds."""

from collections.abc import Sequence

from loomwind.placement.load_schedule import combine_places, queue_ends
from loomwind.placement.plan import (
    DEFAULT_LOAD_SECONDS,
    NOTICE_SECONDS,
    DraftPlan,
    PlanInput,
    PlannedOrder,
)
from loomwind.placement.server_tracker import UNLOAD_SECONDS
from loomwind.serving.views import ModelKey, OrderKind

ADAPTER_LOAD_SECONDS = 0.1


class ReadinessEstimator:
    """Estimates the time until targets are ready.

    :param queued: models that wait for the weight store, in queue order.
    """

    def __init__(self, inputs: PlanInput, draft: DraftPlan, queued: Sequence[str]) -> None:
        self._inputs = inputs
        self._draft = draft
        self._queue_ends = self._estimate_queue_ends(queued)

    def ready_in(self, target: ModelKey, software_version: str | None = None) -> float | None:
        """Return the time until a target is ready, or None if it is unknown.

        :param software_version: the version that the server must have; None for any.
        """
        inputs = self._inputs
        if software_version is not None:
            inputs = inputs.of_version(software_version)
        model_ready_in = self._model_ready_in(target.model, inputs)
        if model_ready_in is None or not target.adapter:
            return model_ready_in
        if target in inputs.index.available:
            return model_ready_in + ADAPTER_LOAD_SECONDS
        holders = inputs.holders(target.model)
        server_free_in = min((self._draft.busy_seconds(s) for s in holders), default=0.0)
        return model_ready_in + server_free_in + ADAPTER_LOAD_SECONDS

    def _model_ready_in(self, name: str, inputs: PlanInput) -> float | None:
        """Return the time until one of the servers of ``inputs`` holds a model."""
        index = inputs.index
        if index.holders[name]:
            return 0.0
        instances = {server.entry.instance for server in inputs.servers}
        times = [inputs.remaining_load_seconds(server) for server in index.loading[name]]
        times += [
            self._ordered_load_ready_in(order.instance, name)
            for order in self._orders_for(name)
            if order.instance in instances
        ]
        times += [
            server.load_seconds(name)
            + max(UNLOAD_SECONDS, server.unload_remaining_seconds(inputs.now))
            for server in inputs.servers
            if server.memory_reserved_for(inputs.now) == name
        ]
        reserved_ready_in = self._draft.reserved_load_ready_in(name)
        if reserved_ready_in is not None:
            times.append(reserved_ready_in + NOTICE_SECONDS)
        if name in self._queue_ends:
            times.append(self._queue_ends[name])
        return min(times, default=None)

    def _orders_for(self, name: str) -> list[PlannedOrder]:
        key = ModelKey(name)
        return [o for o in self._draft.orders if o.evicts_for == name or _loads(o, key)]

    def _ordered_load_ready_in(self, instance: str, name: str) -> float:
        server = self._inputs.index.server(instance)
        unload_seconds = UNLOAD_SECONDS if server.free_mb() <= 0 else 0.0
        return server.load_seconds(name) + unload_seconds + NOTICE_SECONDS

    # The queue for the weight store.

    def _estimate_queue_ends(self, queued: Sequence[str]) -> dict[str, float]:
        """Return the time until each queued load is done, after the loads before it."""
        ordered = {order.instance: order for order in self._draft.orders}
        server_free_in = [
            self._ordered_load_ready_in(instance, ordered[instance].target.model)
            if (instance := server.entry.instance) in ordered
            else self._draft.busy_seconds(server)
            for server in self._inputs.known_servers()
        ]
        planned = [order for order in self._draft.orders if order.from_store]
        store_free_in = self._inputs.store_load_ends() + [
            self._ordered_load_ready_in(order.instance, order.target.model) for order in planned
        ]
        free_slots = max(0, self._draft.store_slots)
        store_free_in += [0.0] * min(free_slots, len(server_free_in))
        places = combine_places(server_free_in, store_free_in)
        seconds = [self._store_load_seconds(name) for name in queued]
        ends = queue_ends(seconds, places or [DEFAULT_LOAD_SECONDS])
        return {name: end + NOTICE_SECONDS for name, end in zip(queued, ends, strict=True)}

    def _store_load_seconds(self, name: str) -> float:
        model = self._inputs.model(name)
        return DEFAULT_LOAD_SECONDS if model is None else model.load_seconds


def _loads(order: PlannedOrder, key: ModelKey) -> bool:
    return order.kind is OrderKind.LOAD and order.target == key
