"""Plans the next orders for the model servers. Pure: equal inputs give equal plans.

Models that callers wait for are planned first, by the latest start of their load: the time until
the callers leave, less the load time. A model is loaded on the server with the least cost: the load
time from the fastest copy plus the time that callers of the evicted models would wait. See
:mod:`loomwind.placement.model_planner` and :mod:`loomwind.placement.adapter_planner`.
"""

from collections.abc import Mapping, Sequence

from loomwind.clock import MS_PER_SECOND
from loomwind.placement.adapter_planner import AdapterPlanner
from loomwind.placement.cost_model import CostModel
from loomwind.placement.demand_view import PendingDemand
from loomwind.placement.load_schedule import RequestedLoad
from loomwind.placement.model_planner import ModelPlanner
from loomwind.placement.overload import excess_callers
from loomwind.placement.plan import DraftPlan, PlanInput, PlannedOrder
from loomwind.placement.readiness import ReadinessEstimator
from loomwind.placement.requested_loads import latest_start_in, overload_loads, requested_loads
from loomwind.placement.version_demand import version_copies, version_demand
from loomwind.serving.expectations import ExpectedTarget
from loomwind.serving.views import ModelKey

# One server is left for the loads of callers that can wait.
MIN_FREE_SERVERS_FOR_COPIES = 2


class Planner:
    """Computes the orders of one step.

    :ivar version_demand: the streams by model and software version while several versions serve.
    """

    def __init__(self, inputs: PlanInput) -> None:
        pending_demand = [
            pending
            for pending in inputs.demand.pending_demand(inputs.now)
            if pending.key.service == inputs.service
        ]
        self._inputs = inputs
        self._overloaded = excess_callers(inputs, inputs.index.running_models())
        self._draft = DraftPlan(
            inputs,
            requested_loads(inputs, pending_demand),
            overload_loads(inputs, self._overloaded),
            requested_loads(inputs, _missing_at_version(inputs, pending_demand)),
        )
        positions = {name: i for i, name in enumerate(self._draft.models_needing_copy())}
        pending_demand = sorted(pending_demand, key=lambda each: self._order(each, positions))
        self._pending_demand = pending_demand
        self.version_demand = version_demand(inputs, pending_demand)
        copies = version_copies(inputs, self.version_demand)
        cost_model = CostModel(inputs, pending_demand, self._draft, copies)
        self._adapters = AdapterPlanner(inputs, pending_demand, self._draft)
        self._models = ModelPlanner(inputs, self._draft, cost_model, self._adapters, copies)

    def plan(self) -> list[PlannedOrder]:
        """Return the orders, at most one per server."""
        self._models.load_into_reserved_memory()
        self._models.plan_overload_copies(self._overloaded)
        deferrable = []
        for pending in self._pending_demand:
            if self._is_urgent(pending):
                self._plan_pending(pending)
            else:
                deferrable.append(pending)
        self._models.plan_version_copies()
        if len(self._draft.free_servers()) >= MIN_FREE_SERVERS_FOR_COPIES:
            self._models.plan_second_copies(cached_only=True)
        for pending in deferrable:
            self._plan_pending(pending)
        self._models.retry_queued()
        self._models.plan_second_copies()
        self._adapters.prefetch_all()
        if self._inputs.staging_allowed:
            self._models.plan_staging()
        return self._draft.orders

    def scheduled_loads(self) -> Sequence[RequestedLoad]:
        """Return the loads of requested models, in the order in which they should start."""
        return self._draft.scheduled

    def models_needing_copy(self) -> tuple[str, ...]:
        """Return the models that need a copy, in the order in which they should be loaded."""
        return self._draft.models_needing_copy()

    def expectations(self) -> tuple[ExpectedTarget, ...]:
        """Return when the targets of waiting requests should be ready under this plan."""
        readiness = ReadinessEstimator(self._inputs, self._draft, self._models.queue())
        expected = []
        for pending in self._pending_demand:
            if not pending.waiting:
                continue
            ready_in = readiness.ready_in(pending.key.target, pending.key.software_version)
            if ready_in is not None:
                expected.append(ExpectedTarget(pending.key, ready_in * MS_PER_SECOND))
        return tuple(expected)

    def _plan_pending(self, pending: PendingDemand) -> None:
        target, version = pending.key.target, pending.key.software_version
        if not self._is_available(ModelKey(target.model), version):
            self._models.plan_load(target.model, self._can_wait(pending), version)
        elif target.adapter and not self._is_available(target, version):
            self._adapters.plan_load(target, version)

    def _is_available(self, target: ModelKey, software_version: str | None) -> bool:
        if software_version is None:
            return self._draft.is_available(target)
        return self._draft.is_available_at(target, software_version)

    def _order(
        self, pending: PendingDemand, positions: Mapping[str, int]
    ) -> tuple[int, bool, float, float, float, str]:
        """Sort key: in the order of scheduled loads, after the targets that need none.

        Those are adapters of loaded models, by latest start, priority, age, and target.
        """
        target = pending.key.target
        return (
            positions.get(target.model, -1),
            not pending.has_callers,
            latest_start_in(self._inputs, pending),
            pending.priority,
            pending.since,
            str(target),
        )

    def _is_urgent(self, pending: PendingDemand) -> bool:
        """Return whether callers can be served, but not if another load goes first."""
        load_seconds = self._inputs.load_seconds(pending.key.target)
        return 0 <= latest_start_in(self._inputs, pending) < load_seconds

    def _can_wait(self, pending: PendingDemand) -> bool:
        """Return whether its callers stay long enough for another load before this one."""
        load_seconds = self._inputs.load_seconds(pending.key.target)
        return latest_start_in(self._inputs, pending) >= load_seconds


def _missing_at_version(
    inputs: PlanInput, pending_demand: Sequence[PendingDemand]
) -> list[PendingDemand]:
    """Return the demand for models that no server of a required version has or is loading."""
    missing = []
    for pending in pending_demand:
        version, name = pending.key.software_version, pending.key.target.model
        if version is None:
            continue
        index = inputs.of_version(version).index
        if ModelKey(name) not in index.available and name not in index.reserved:
            missing.append(pending)
    return missing
