"""Decides which models are loaded where, and what makes way for them. Pure."""

from collections.abc import Callable, Iterable, Mapping

from loomwind.placement.adapters import AdapterPlanner
from loomwind.placement.plan import DraftPlan, OrderPurpose, PlanInput
from loomwind.placement.server_tracker import ServerTracker
from loomwind.placement.valuation import LoadChoice, Valuation
from loomwind.serving.views import ModelKey

COPIES_WANTED_RATE = 0.25
COPIES_WANTED = 2
EVICTED_PART = 0.2
MOST_STAGED = 2
STAGING_KEEPS_RATE = 0.025
BLOCKED_ADAPTER_SECONDS = 4.0


class ModelPlanner:
    """Adds orders for models to a plan.

    :ivar queued: models that wait for the weight store, in the order in which they were asked for.
    """

    def __init__(
        self,
        given: PlanInput,
        draft: DraftPlan,
        valuation: Valuation,
        adapters: AdapterPlanner,
    ) -> None:
        self._given = given
        self._draft = draft
        self._valuation = valuation
        self._adapters = adapters
        self.queued: list[str] = []

    def use_reserved_room(self) -> None:
        """Load what other models have made way for."""
        for server in self._draft.free_servers():
            name = server.memory_reserved_for(self._given.now)
            model = server.profile.model(name) if name is not None else None
            if name is None or model is None or server.free_mb() < model.memory_mb:
                continue
            if self._draft.may_use_room(server, name):
                purpose = (
                    OrderPurpose.FURTHER_COPY if self._given.holders(name) else OrderPurpose.WANTED
                )
                self._draft.load(server, ModelKey(name), purpose)

    # What requests wait for.

    def bring(self, name: str, may_wait: bool) -> None:
        """Bring a model to the server where it is ready soonest at the least cost.

        A server that is busy may still be the best, since it has a copy nearby: then its turn is
        reserved, and the order is given when it is free.

        :param may_wait: whether its objective can be met by a load that begins later.
        """
        choices = [self._choice(server, name) for server in self._candidates(name, may_wait)]
        best = _cheapest(choices, self._cost_with_wait)
        if best is None:
            if self._draft.may_load_from_store(name):
                self._draft.pass_over(name)
            else:
                self.queued.append(name)
            return
        if self._draft.is_free(best.server):
            self._carry_out(best, name, OrderPurpose.WANTED)
        else:
            self._draft.reserve(best.server, name)

    def _candidates(self, name: str, may_wait: bool) -> list[ServerTracker]:
        """Return the servers that a model may be brought to."""
        servers = self._given.known_servers()
        if not may_wait:
            return servers
        return [s for s in servers if s.has_copy(name) or not self._adapters.needs(s)]

    def _choice(self, server: ServerTracker, name: str) -> LoadChoice | None:
        return self._valuation.load_choice(server, name)

    def _cost(self, choice: LoadChoice) -> float:
        """Return what a choice costs, with what it holds up."""
        held_up = BLOCKED_ADAPTER_SECONDS * self._adapters.pressure(choice.server)
        return choice.cost_seconds + held_up

    def _cost_with_wait(self, choice: LoadChoice) -> float:
        return self._cost(choice) + self._draft.busy_seconds(choice.server)

    def _carry_out(self, choice: LoadChoice, name: str, purpose: OrderPurpose) -> None:
        """Load a model; adapters first, since a server that loads weights takes no other order."""
        server = choice.server
        if not self._adapters.is_waited_for() and self._adapters.fill(server):
            return
        if choice.victims:
            victim = ModelKey(choice.victims[0])
            self._draft.unload(server, victim, purpose, makes_way_for=name)
        else:
            self._draft.load(server, ModelKey(name), purpose)

    # Ahead of need.

    def plan_second_copies(self) -> None:
        """Keep two copies of what is asked for often: servers fail, and one copy is none then."""
        for model in self._given.models():
            key = ModelKey(model.name)
            rate = self._given.rate(key)
            if rate < COPIES_WANTED_RATE or self._draft.plans_load_of(model.name):
                continue
            index = self._given.index
            copies = len(index.holders[model.name]) + len(index.arriving[model.name])
            if 0 < copies < COPIES_WANTED:
                self._plan_copy(model.name, rate)

    def plan_copies_of(self, overloaded: Mapping[str, float]) -> None:
        """Bring one more copy of each model whose servers are full, most callers first.

        :param overloaded: how many callers of each are beyond the places of its servers.
        """
        for name in sorted(overloaded, key=lambda name: -overloaded[name]):
            if not self._given.index.arriving[name] and not self._draft.plans_load_of(name):
                self._plan_copy(name, self._given.rate(ModelKey(name)))
            if not self._draft.plans_load_of(name):
                self._draft.pass_over(name)

    def bring_queued(self) -> None:
        """Try once more what was behind models that no server could take."""
        queued, self.queued = self.queued, []
        for name in queued:
            self.bring(name, may_wait=True)

    def queue(self) -> list[str]:
        """Return the models that wait for the weight store; the one that is next comes first."""
        queued = set(self.queued)
        return [name for name in self._draft.lacking() if name in queued]

    def _plan_copy(self, name: str, rate: float) -> None:
        """Bring one more copy of a model, if what makes way is asked for much less."""
        servers = [s for s in self._draft.free_servers() if not s.holds(ModelKey(name))]
        choices = [self._choice(server, name) for server in servers]
        worthwhile = [
            choice
            for choice in choices
            if choice is not None
            and self._valuation.worth_of(choice.server, choice.victims) < EVICTED_PART * rate
        ]
        best = _cheapest(worthwhile, self._cost)
        if best is not None:
            self._carry_out(best, name, OrderPurpose.FURTHER_COPY)

    def stage(self) -> None:
        """Load models that no server has a copy of, once: later loads come from that copy."""
        for server in self._draft.free_servers():
            if server.staged >= MOST_STAGED:
                continue
            name = self._next_to_stage()
            choice = self._choice(server, name) if name is not None else None
            if name is None or choice is None:
                continue
            if all(self._may_be_staged_over(server, victim) for victim in choice.victims):
                self._carry_out(choice, name, OrderPurpose.STAGED)

    def _may_be_staged_over(self, server: ServerTracker, name: str) -> bool:
        """Whether a model may make way before anyone has asked: it comes back fast, and is rare."""
        return server.has_copy(name) and self._valuation.expected_rate(name) < STAGING_KEEPS_RATE

    def _next_to_stage(self) -> str | None:
        """Return the first model of the list that no server holds, has a copy of, or is getting."""
        for model in self._given.models():
            if self._draft.is_available(ModelKey(model.name)):
                continue
            if not self._given.index.copies[model.name]:
                return model.name
        return None


def _cheapest(
    choices: Iterable[LoadChoice | None], cost: Callable[[LoadChoice], float]
) -> LoadChoice | None:
    """Return the choice of least cost; None when there is none."""
    possible = [choice for choice in choices if choice is not None]
    return min(possible, key=cost, default=None)
