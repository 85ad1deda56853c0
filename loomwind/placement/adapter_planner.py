"""Plans which adapters are loaded and unloaded. Pure."""

from collections.abc import Sequence

from loomwind.placement.demand_view import PendingDemand
from loomwind.placement.plan import DraftPlan, OrderPurpose, PlanInput
from loomwind.placement.server_tracker import ServerTracker
from loomwind.serving.views import ModelKey, ModelProfile

PREFETCH_MIN_RATE = 0.2
MAX_PENDING_PREFETCHES = 2
MAX_MISSING_ADAPTER_RATE = 0.25
MIN_ALTERNATIVE_SERVERS = 2
EVICTION_COST_PER_RATE = 100.0
MODEL_RATE_TIE_BREAK_WEIGHT = 1e-3


class AdapterPlanner:
    """Adds orders for adapters to a plan."""

    def __init__(
        self,
        inputs: PlanInput,
        pending_demand: Sequence[PendingDemand],
        draft: DraftPlan,
    ) -> None:
        self._inputs = inputs
        self._pending_demand = pending_demand
        self._draft = draft
        self._missing_adapter_rates: dict[str, float] = {}
        self._missing: dict[str, list[ModelKey]] = {}

    def plan_load(self, target: ModelKey, software_version: str | None = None) -> None:
        """Plan the load of an adapter on a free server that holds its model.

        :param software_version: the version that the server must have; None for any.
        """
        best: tuple[float, ServerTracker] | None = None
        for server in self._draft.free_servers():
            if not server.has_version(software_version):
                continue
            if not server.holds(ModelKey(target.model)):
                continue
            cost = self._cost(server, target)
            if cost is not None and (best is None or cost < best[0]):
                best = (cost, server)
        if best is not None:
            self._order_load(best[1], target)

    def _order_load(self, server: ServerTracker, target: ModelKey) -> None:
        if self._has_capacity(server, target.model):
            self._draft.load(server, target, OrderPurpose.WANTED)
            return
        victim = self._victim(server)
        if victim is not None:
            self._draft.unload(server, victim, OrderPurpose.WANTED)

    def _has_capacity(self, server: ServerTracker, name: str) -> bool:
        model = server.profile.model(name)
        if model is None:
            return False
        return server.free_adapter_slots() > 0 and server.free_mb() >= model.adapter_mb

    def _cost(self, server: ServerTracker, target: ModelKey) -> float | None:
        """Return the cost of loading an adapter on a server, or None if it cannot be loaded."""
        if server.profile.model(target.model) is None:
            return None
        if self._has_capacity(server, target.model):
            return -float(server.free_adapter_slots())
        victim = self._victim(server)
        return None if victim is None else 1.0 + EVICTION_COST_PER_RATE * self._inputs.rate(victim)

    def _victim(self, server: ServerTracker) -> ModelKey | None:
        """Return the least recently used adapter without running or waiting requests."""
        inputs = self._inputs
        pending_targets = {pending.key.target for pending in self._pending_demand}
        report = server.report
        assert report is not None
        loaded = [ModelKey(held.name, a) for held in report.held for a in held.adapters]
        idle = [
            key
            for key in loaded
            if key not in pending_targets and not inputs.running.get((server.entry.instance, key))
        ]
        return min(idle, key=lambda k: inputs.demand.last_used(inputs.service, k), default=None)

    # Prefetching.

    def has_pending(self) -> bool:
        """Return whether a request waits for an adapter, which prefetching would delay."""
        return any(
            pending.key.target.adapter
            and self._draft.is_available(ModelKey(pending.key.target.model))
            for pending in self._pending_demand
        )

    def prefetch_all(self) -> None:
        """Prefetch adapters of requested models into free adapter slots."""
        if self.has_pending():
            return
        for server in self._draft.free_servers():
            self.prefetch(server)

    def prefetch(self, server: ServerTracker) -> bool:
        """Order the prefetch of one adapter. Return whether there was one to prefetch."""
        has_free_slot = server.free_adapter_slots() > 0
        if not has_free_slot or server.pending_adapters() >= MAX_PENDING_PREFETCHES:
            return False
        target = self._next_prefetch(server)
        if target is not None:
            self._draft.load(server, target, OrderPurpose.AHEAD)
        return target is not None

    def _next_prefetch(self, server: ServerTracker) -> ModelKey | None:
        """Return the most requested adapter that no server has, of the models held here."""
        best: tuple[float, ModelKey] | None = None
        for name in self._inputs.held_models(server):
            model = server.profile.model(name)
            if model is None or not model.adapters or server.free_mb() < model.adapter_mb:
                continue
            rate = self._inputs.rate(ModelKey(name))
            if rate < PREFETCH_MIN_RATE:
                continue
            target = self._most_requested_missing(model)
            if target is None:
                continue
            score = self._inputs.rate(target) + rate * MODEL_RATE_TIE_BREAK_WEIGHT
            if best is None or score > best[0]:
                best = (score, target)
        return best[1] if best else None

    def _most_requested_missing(self, model: ModelProfile) -> ModelKey | None:
        """Return the most requested adapter of a model that no server has, or None."""
        missing = self._missing.get(model.name)
        if missing is None:
            targets = [ModelKey(model.name, f"a{n}") for n in range(1, model.adapters + 1)]
            absent = [target for target in targets if not self._draft.is_available(target)]
            missing = sorted(absent, key=self._inputs.rate, reverse=True)
            self._missing[model.name] = missing
        while missing and self._draft.is_available(missing[0]):
            missing.pop(0)
        return missing[0] if missing else None

    # Adapter loads that a load of weights would delay.

    def must_stay_free(self, server: ServerTracker) -> bool:
        """Return whether a load here would delay adapters while enough other servers would not."""
        if self.missing_adapter_rate(server) < MAX_MISSING_ADAPTER_RATE:
            return False
        others = [other for other in self._inputs.known_servers() if other is not server]
        fit = [
            other for other in others if self.missing_adapter_rate(other) < MAX_MISSING_ADAPTER_RATE
        ]
        return len(fit) >= MIN_ALTERNATIVE_SERVERS

    def missing_adapter_rate(self, server: ServerTracker) -> float:
        """Return the rate of requests for missing adapters that this server would have to load.

        A server that loads weights refuses adapter orders until it is done.
        """
        instance = server.entry.instance
        if instance not in self._missing_adapter_rates:
            self._missing_adapter_rates[instance] = self._compute_missing_adapter_rate(server)
        return self._missing_adapter_rates[instance]

    def _compute_missing_adapter_rate(self, server: ServerTracker) -> float:
        missing_adapter_rate = 0.0
        for name in self._inputs.held_models(server):
            model = server.profile.model(name)
            if model is None or not model.adapters:
                continue
            holders = self._inputs.holders(name)
            missing = 1.0 - min(1.0, len(self._inputs.index.loaded_adapters(name)) / model.adapters)
            idle = sum(1 for holder in holders if holder.idle)
            missing_adapter_rate += missing * self._inputs.rate(ModelKey(name)) / max(1, idle)
        return missing_adapter_rate
