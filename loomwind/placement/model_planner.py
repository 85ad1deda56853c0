"""Plans which models are loaded on which servers and which are evicted. Pure."""

from collections.abc import Callable, Iterable, Mapping

import attrs

from loomwind.placement.adapter_planner import AdapterPlanner
from loomwind.placement.cost_model import CostModel, LoadOption
from loomwind.placement.plan import DraftPlan, OrderPurpose, PlanInput
from loomwind.placement.server_tracker import ServerTracker
from loomwind.placement.version_demand import MIN_COPIES, VersionCopies, staying_servers
from loomwind.serving.views import ModelKey, ModelProfile

SECOND_COPY_MIN_RATE = 0.25
MAX_EVICTED_VALUE_RATIO = 0.2
MAX_STAGED_PER_SERVER = 2
ADAPTER_DELAY_COST_SECONDS = 4.0


@attrs.frozen
class QueuedLoad:
    """A load that waits for the weight store.

    :ivar software_version: the version that the server must have; None for any.
    """

    name: str
    software_version: str | None


class ModelPlanner:
    """Adds orders for models to a plan.

    :ivar queued: loads that wait for the weight store, in planning order.
    """

    def __init__(
        self,
        inputs: PlanInput,
        draft: DraftPlan,
        cost_model: CostModel,
        adapters: AdapterPlanner,
        version_copies: VersionCopies,
    ) -> None:
        self._version_copies = version_copies
        self._inputs = inputs
        self._draft = draft
        self._cost_model = cost_model
        self._adapters = adapters
        self.queued: list[QueuedLoad] = []

    def load_into_reserved_memory(self) -> None:
        """Load models into the memory that evictions free for them, or evict the next one."""
        for server in self._draft.free_servers():
            name = server.memory_reserved_for(self._inputs.now)
            model = server.profile.model(name) if name is not None else None
            if name is None or model is None:
                continue
            is_further_copy = (server.entry.instance, name) in self._version_copies.kept
            if not self._draft.can_use_reserved_memory(server, name, is_further_copy):
                continue
            purpose = (
                OrderPurpose.FURTHER_COPY if self._inputs.holders(name) else OrderPurpose.WANTED
            )
            victims = self._cost_model.victims(server, model.memory_mb)
            if victims:
                self._draft.unload(server, ModelKey(victims[0]), purpose, evicts_for=name)
            elif victims is not None:
                self._draft.load(server, ModelKey(name), purpose)

    # Loads for pending requests.

    def plan_load(self, name: str, can_wait: bool, software_version: str | None = None) -> None:
        """Plan the load of a model on the server with the least cost, including the wait for it.

        A busy server with a cached copy may still be the best one. Its next load is then reserved,
        and the order follows when the server is free.

        :param can_wait: whether its callers stay long enough for a load that starts later.
        :param software_version: the version that the server must have; None for any.
        """
        options = [
            self._load_option(server, name)
            for server in self._candidates(name, can_wait)
            if server.has_version(software_version)
        ]
        best = _cheapest(options, self._cost_with_wait)
        if best is None:
            if self._draft.can_load_from_store(name):
                self._draft.skip(name)
            else:
                self.queued.append(QueuedLoad(name, software_version))
            return
        if self._draft.is_free(best.server):
            self._order_load(best, name, OrderPurpose.WANTED)
        else:
            self._draft.reserve(best.server, name)

    def _candidates(self, name: str, can_wait: bool) -> list[ServerTracker]:
        """Return the servers on which a model may be loaded."""
        if not self._draft.can_load_from_store(name):
            return self._inputs.index.cached_copies[name]
        servers = self._inputs.known_servers()
        if not can_wait:
            return servers
        return [s for s in servers if s.has_copy(name) or not self._adapters.must_stay_free(s)]

    def _load_option(self, server: ServerTracker, name: str) -> LoadOption | None:
        return self._cost_model.load_option(server, name)

    def _cost(self, option: LoadOption) -> float:
        """Return the cost of an option, including the delay of adapter loads."""
        adapter_delay = ADAPTER_DELAY_COST_SECONDS * self._adapters.missing_adapter_rate(
            option.server
        )
        return option.cost_seconds + adapter_delay

    def _cost_with_wait(self, option: LoadOption) -> float:
        return self._cost(option) + self._draft.busy_seconds(option.server)

    def _order_load(self, option: LoadOption, name: str, purpose: OrderPurpose) -> None:
        """Order a load or the eviction before it.

        An adapter is prefetched first, since a server that loads weights takes no other order.
        """
        server = option.server
        if not self._adapters.has_pending() and self._adapters.prefetch(server):
            return
        if option.victims:
            victim = ModelKey(option.victims[0])
            self._draft.unload(server, victim, purpose, evicts_for=name)
        else:
            self._draft.load(server, ModelKey(name), purpose)

    # Loads before they are requested.

    def plan_version_copies(self) -> None:
        """Plan the copies that running streams need at their software version.

        A first copy may evict models that are worth less than the streams that cannot be resumed
        without it, each further one only models of much lower value.
        """
        for copy in self._version_copies.missing:
            name, version = copy.key.model, copy.key.software_version
            if self._draft.plans_load_at(name, version):
                continue
            max_evicted_value = copy.streams * MAX_EVICTED_VALUE_RATIO**copy.copies
            self._plan_copy(name, max_evicted_value, self._inputs.of_version(version).servers)

    def plan_second_copies(self, cached_only: bool = False) -> None:
        """Plan second copies of frequently requested models, since a server may fail.

        During a release, copies at servers that are about to leave do not count, and those at
        the others load in turn.

        :param cached_only: load them from cached copies only, not from the weight store.
        """
        staying = staying_servers(self._inputs)
        is_release = len(staying) < len(self._inputs.servers)
        for name, rate in self._frequently_requested():
            if self._draft.plans_load(name):
                continue
            index = self._inputs.index
            if is_release and any(server in staying for server in index.loading[name]):
                continue
            copies = index.holders[name] + index.loading[name]
            if copies and sum(server in staying for server in copies) < MIN_COPIES:
                servers = [s for s in staying if not (cached_only and s.loads_from_store(name))]
                self._plan_copy(name, MAX_EVICTED_VALUE_RATIO * rate, servers)

    def _frequently_requested(self) -> list[tuple[str, float]]:
        """Return the models to keep two copies of, with their request rates, highest first."""
        rates = [(m.name, self._inputs.rate(ModelKey(m.name))) for m in self._inputs.models()]
        frequent = [(name, rate) for name, rate in rates if rate >= SECOND_COPY_MIN_RATE]
        return sorted(frequent, key=lambda each: (-each[1], each[0]))

    def plan_overload_copies(self, overloaded: Mapping[str, float]) -> None:
        """Plan one more copy of each model whose servers are full, largest excess first.

        :param overloaded: the number of requests beyond the slots of each model's servers.
        """
        for name in sorted(overloaded, key=lambda name: (-overloaded[name], name)):
            if not self._inputs.index.loading[name] and not self._draft.plans_load(name):
                rate = self._inputs.rate(ModelKey(name))
                self._plan_copy(name, MAX_EVICTED_VALUE_RATIO * rate, self._inputs.servers)
            if not self._draft.plans_load(name):
                self._draft.skip(name)

    def retry_queued(self) -> None:
        """Retry queued models, since models that no server could take have released their slots."""
        queued, self.queued = self.queued, []
        for load in queued:
            self.plan_load(load.name, can_wait=True, software_version=load.software_version)

    def queue(self) -> list[str]:
        """Return the models that wait for the weight store, in the order of the schedule."""
        queued = {load.name for load in self.queued}
        return [name for name in self._draft.models_needing_copy() if name in queued]

    def _plan_copy(
        self, name: str, max_evicted_value: float, candidates: Iterable[ServerTracker]
    ) -> None:
        """Plan one more copy of a model if the evicted models have a lower value."""
        servers = [
            server
            for server in candidates
            if self._draft.is_free(server) and not server.holds(ModelKey(name))
        ]
        options = [self._load_option(server, name) for server in servers]
        worthwhile = [
            option
            for option in options
            if option is not None
            and not self._cost_model.evicts_kept_copy(option)
            and self._cost_model.total_copy_value(option.server, option.victims) < max_evicted_value
        ]
        best = _cheapest(worthwhile, self._cost)
        if best is not None:
            self._order_load(best, name, OrderPurpose.FURTHER_COPY)

    def plan_staging(self) -> None:
        """Load models without any copy once, so that later loads use the cached copy."""
        for server in self._draft.free_servers():
            if server.staged >= MAX_STAGED_PER_SERVER:
                continue
            name = self._next_to_stage()
            option = self._load_option(server, name) if name is not None else None
            if name is None or option is None or self._cost_model.evicts_kept_copy(option):
                continue
            if all(self._can_evict_for_staging(server, victim, name) for victim in option.victims):
                self._order_load(option, name, OrderPurpose.STAGED)

    def _can_evict_for_staging(self, server: ServerTracker, victim: str, name: str) -> bool:
        """Return whether a model may be evicted to stage another one.

        It can be reloaded from a cached copy here, is requested no more often, and has no further
        copies: servers hold several copies of busy models before traffic starts.
        """
        rate = self._inputs.rate(ModelKey(victim))
        return (
            server.has_copy(victim)
            and len(self._inputs.holders(victim)) <= 1
            and rate <= self._inputs.rate(ModelKey(name))
        )

    def _next_to_stage(self) -> str | None:
        """Return the model that gains most from a cached copy, of those without any copy."""
        candidates = [
            model
            for model in self._inputs.models()
            if not self._draft.is_available(ModelKey(model.name))
            and not self._inputs.index.cached_copies[model.name]
        ]
        best = min(candidates, key=_staging_order, default=None)
        return None if best is None else best.name


def _staging_order(model: ModelProfile) -> tuple[float, str]:
    """Sort key for staging: by the load time that a cached copy saves, then by name."""
    return (model.disk_load_seconds - model.load_seconds, model.name)


def _cheapest(
    options: Iterable[LoadOption | None], cost: Callable[[LoadOption], float]
) -> LoadOption | None:
    """Return the option of least cost, or None if there is none."""
    possible = [option for option in options if option is not None]
    return min(possible, key=cost, default=None)
