"""Decides which adapters are loaded and unloaded. Pure."""

from collections.abc import Sequence

from loomwind.placement.demand_view import PendingDemand
from loomwind.placement.plan import DraftPlan, OrderPurpose, PlanInput
from loomwind.placement.server_tracker import ServerTracker
from loomwind.placement.valuation import Valuation
from loomwind.serving.views import ModelKey, ModelProfile

ADAPTERS_AHEAD_RATE = 0.2
MAX_PENDING_ADAPTERS = 2
MOST_PRESSURE = 0.25
SERVERS_FOR_RARE = 2
EVICTION_SCALE = 100.0
RATE_TIE_BREAK = 1e-3


class AdapterPlanner:
    """Adds orders for adapters to a plan."""

    def __init__(
        self,
        given: PlanInput,
        wants: Sequence[PendingDemand],
        draft: DraftPlan,
        valuation: Valuation,
    ) -> None:
        self._given = given
        self._wants = wants
        self._draft = draft
        self._valuation = valuation
        self._pressures: dict[str, float] = {}
        self._missing: dict[str, list[ModelKey]] = {}

    def bring(self, target: ModelKey) -> None:
        """Bring an adapter to a server that holds its model."""
        best: tuple[float, ServerTracker] | None = None
        for server in self._draft.free_servers():
            if not server.holds(ModelKey(target.model)):
                continue
            cost = self._cost(server, target)
            if cost is not None and (best is None or cost < best[0]):
                best = (cost, server)
        if best is not None:
            self._bring_to(best[1], target)

    def _bring_to(self, server: ServerTracker, target: ModelKey) -> None:
        if self._has_room(server, target.model):
            self._draft.load(server, target, OrderPurpose.WANTED)
            return
        victim = self._victim(server)
        if victim is not None:
            self._draft.unload(server, victim, OrderPurpose.WANTED)

    def _has_room(self, server: ServerTracker, name: str) -> bool:
        model = server.profile.model(name)
        if model is None:
            return False
        return server.free_adapter_slots() > 0 and server.free_mb() >= model.adapter_mb

    def _cost(self, server: ServerTracker, target: ModelKey) -> float | None:
        """Return what it costs to bring an adapter to a server; None when it cannot be."""
        if server.profile.model(target.model) is None:
            return None
        if self._has_room(server, target.model):
            return -float(server.free_adapter_slots())
        victim = self._victim(server)
        return None if victim is None else 1.0 + EVICTION_SCALE * self._given.rate(victim)

    def _victim(self, server: ServerTracker) -> ModelKey | None:
        """Return the adapter used longest ago that nobody uses or waits for."""
        given = self._given
        waited = {want.key.target for want in self._wants}
        report = server.report
        assert report is not None
        loaded = [ModelKey(held.name, a) for held in report.held for a in held.adapters]
        idle = [
            key
            for key in loaded
            if key not in waited and not given.running.get((server.entry.instance, key))
        ]
        return min(idle, key=lambda k: given.demand.last_used(given.service, k), default=None)

    # Ahead of need.

    def is_waited_for(self) -> bool:
        """Whether a request waits for an adapter: others on their way would slow it down."""
        return any(
            want.key.target.adapter and self._draft.is_available(ModelKey(want.key.target.model))
            for want in self._wants
        )

    def fill_all(self) -> None:
        """Fill free adapter places with adapters of the models that are asked for."""
        if self.is_waited_for():
            return
        for server in self._draft.free_servers():
            self.fill(server)

    def fill(self, server: ServerTracker) -> bool:
        """Order one adapter ahead of need; returns whether there was one to order."""
        room = server.free_adapter_slots() > 0
        if not room or server.pending_adapters() >= MAX_PENDING_ADAPTERS:
            return False
        target = self._next(server)
        if target is not None:
            self._draft.load(server, target, OrderPurpose.AHEAD)
        return target is not None

    def _next(self, server: ServerTracker) -> ModelKey | None:
        """Return the adapter most asked for that no server has, of a model held here."""
        best: tuple[float, ModelKey] | None = None
        for name in self._given.held_by(server):
            model = server.profile.model(name)
            if model is None or not model.adapters or server.free_mb() < model.adapter_mb:
                continue
            rate = self._valuation.expected_rate(name)
            if rate < ADAPTERS_AHEAD_RATE:
                continue
            target = self._most_wanted(model)
            if target is None:
                continue
            heat = self._given.rate(target) + rate * RATE_TIE_BREAK
            if best is None or heat > best[0]:
                best = (heat, target)
        return best[1] if best else None

    def _most_wanted(self, model: ModelProfile) -> ModelKey | None:
        """Return the adapter of a model most asked for that no server has; None when all are."""
        missing = self._missing.get(model.name)
        if missing is None:
            targets = [ModelKey(model.name, f"a{n}") for n in range(1, model.adapters + 1)]
            absent = [target for target in targets if not self._draft.is_available(target)]
            missing = sorted(absent, key=self._given.rate, reverse=True)
            self._missing[model.name] = missing
        while missing and self._draft.is_available(missing[0]):
            missing.pop(0)
        return missing[0] if missing else None

    # What a load of weights would hold up.

    def needs(self, server: ServerTracker) -> bool:
        """Whether a load here would hold up adapters, while other servers can take it soon."""
        if self.pressure(server) < MOST_PRESSURE:
            return False
        others = [other for other in self._given.known_servers() if other is not server]
        fit = [other for other in others if self.pressure(other) < MOST_PRESSURE]
        return len(fit) >= SERVERS_FOR_RARE

    def pressure(self, server: ServerTracker) -> float:
        """Return the rate of requests whose adapter is missing and could come only here.

        A server that loads weights refuses orders for adapters meanwhile.
        """
        instance = server.entry.instance
        if instance not in self._pressures:
            self._pressures[instance] = self._pressure(server)
        return self._pressures[instance]

    def _pressure(self, server: ServerTracker) -> float:
        pressure = 0.0
        for name in self._given.held_by(server):
            model = server.profile.model(name)
            if model is None or not model.adapters:
                continue
            holders = self._given.holders(name)
            missing = 1.0 - min(1.0, len(self._given.index.adapters_of(name)) / model.adapters)
            idle = sum(1 for holder in holders if holder.idle)
            pressure += missing * self._valuation.expected_rate(name) / max(1, idle)
        return pressure
