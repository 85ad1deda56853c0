"""Decides the next orders from typed views. Pure: the same views give the same plan.

What is waited for comes first, the most urgent first. A model goes to the server where it costs
least: the time until it is loaded there, from the nearest copy, and the worth of what has to make
way. See :mod:`loomwind.placement.models` and :mod:`loomwind.placement.adapters`.
"""

from loomwind.clock import MS_PER_SECOND
from loomwind.placement.adapters import AdapterPlanner
from loomwind.placement.demand_view import PendingDemand
from loomwind.placement.models import ModelPlanner
from loomwind.placement.outlook import Outlook
from loomwind.placement.overload import callers_without_place
from loomwind.placement.plan import DraftPlan, PlanInput, PlannedOrder
from loomwind.placement.valuation import Valuation
from loomwind.serving.expectations import ExpectedTarget
from loomwind.serving.views import ModelKey

FREE_FOR_COPIES = 2
SPARE_SECONDS = 0.8


class Planner:
    """Makes the orders of one step."""

    def __init__(self, given: PlanInput) -> None:
        wants = [
            w for w in given.demand.pending_demand(given.now) if w.key.service == given.service
        ]
        self._given = given
        self._wants = wants
        self._overloaded = callers_without_place(given, given.index.running_models())
        callers = given.demand.callers_by_model(wants, given.now)
        self._draft = DraftPlan(given, callers, self._overloaded)
        valuation = Valuation(given, wants, self._draft)
        self._adapters = AdapterPlanner(given, wants, self._draft, valuation)
        self._models = ModelPlanner(given, self._draft, valuation, self._adapters)

    def plan(self) -> list[PlannedOrder]:
        """Return the orders, at most one for each server."""
        self._models.use_reserved_room()
        self._models.plan_copies_of(self._overloaded)
        for want in self._wants:
            if self._is_urgent(want):
                self._plan_want(want)
        if len(self._draft.free_servers()) >= FREE_FOR_COPIES:
            self._models.plan_second_copies()
        relaxed = [want for want in self._wants if not self._is_urgent(want)]
        for want in sorted(relaxed, key=self._relaxed_order):
            self._plan_want(want)
        self._models.bring_queued()
        self._models.plan_second_copies()
        self._adapters.fill_all()
        if self._given.may_stage:
            self._models.stage()
        return self._draft.orders

    def lacking(self) -> tuple[str, ...]:
        """Return the models that lack a copy; the one that is brought next comes first."""
        return self._draft.lacking()

    def expectations(self) -> tuple[ExpectedTarget, ...]:
        """Return when what requests wait for should be ready, by the plan that was made."""
        outlook = Outlook(self._given, self._draft, self._models.queue())
        expected = []
        for want in self._wants:
            ready_in = outlook.ready_in(want.key.target) if want.waiting else None
            if ready_in is not None:
                expected.append(ExpectedTarget(want.key, ready_in * MS_PER_SECOND))
        return tuple(expected)

    def _plan_want(self, want: PendingDemand) -> None:
        target = want.key.target
        if not self._draft.is_available(ModelKey(target.model)):
            self._models.bring(target.model, self._may_wait(want))
        elif target.adapter and not self._draft.is_available(target):
            self._adapters.bring(target)

    def _load_seconds(self, want: PendingDemand) -> float:
        """Return the longest time that a load for a want takes."""
        for server in self._given.servers:
            model = server.profile.model(want.key.target.model)
            if model is not None:
                return model.load_seconds
        return 0.0

    def _may_wait(self, want: PendingDemand) -> bool:
        """Whether a want's objective can be met by a load that begins a while later."""
        return want.slack_seconds >= self._load_seconds(want) + SPARE_SECONDS

    def _is_urgent(self, want: PendingDemand) -> bool:
        """Whether a load is longer than the objective: each moment of it counts."""
        return want.urgency_seconds < self._load_seconds(want)

    def _relaxed_order(self, want: PendingDemand) -> tuple[bool, float]:
        """Order wants whose objective can still be met before the others, the oldest first."""
        in_time = want.slack_seconds >= self._load_seconds(want)
        return (not in_time, want.slack_seconds)
