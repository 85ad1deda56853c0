"""Demand over all daemons, as the leader has heard it. Pure; time is passed in."""

import math
from collections import Counter, defaultdict

from msgspec import Struct

from loomwind.messages.serving import PoolDemand
from loomwind.serving.demand import DECAY_PER_SECOND, DemandKey
from loomwind.serving.views import ModelKey

REPORT_LIFETIME_SECONDS = 2.0


class Want(Struct, frozen=True):
    """Requests that wait for a target now.

    :param urgency_seconds: the smallest objective among them.
    :param slack_seconds: the most time that one of them has left to its objective.
    """

    key: DemandKey
    waiting: int
    urgency_seconds: float
    slack_seconds: float


class Heat(Struct):
    """Recent use of a target: a rate that decays, and the last request."""

    rate: float = 0.0
    updated: float = 0.0
    last_used: float = -1e9
    objective_seconds: float = 0.0

    def at(self, now: float) -> float:
        """Return the rate by now, in requests a second."""
        return self.rate * math.exp(-DECAY_PER_SECOND * max(0.0, now - self.updated))


class DemandView:
    """What all daemons want.

    :ivar any_yet: whether anything was ever asked for.
    """

    def __init__(self) -> None:
        self.any_yet = False
        self._reports: dict[str, PoolDemand] = {}
        self._heard: dict[str, float] = {}
        self._heat: dict[DemandKey, Heat] = defaultdict(Heat)

    def note(self, report: PoolDemand, now: float) -> None:
        """Take in a daemon's report."""
        self._reports[report.sender] = report
        self._heard[report.sender] = now
        self.any_yet = self.any_yet or bool(report.demand)
        for demand in report.demand:
            if not demand.arrivals:
                continue
            for target in {demand.target, ModelKey(demand.target.model)}:
                heat = self._heat[DemandKey(demand.service, target)]
                heat.rate = heat.at(now) + demand.arrivals * DECAY_PER_SECOND
                heat.updated = now
                heat.last_used = now
                if demand.urgency_seconds:
                    heat.objective_seconds = demand.urgency_seconds

    def _fresh(self, now: float) -> list[PoolDemand]:
        return [
            report
            for sender, report in self._reports.items()
            if now - self._heard[sender] < REPORT_LIFETIME_SECONDS
        ]

    def wants(self, now: float) -> list[Want]:
        """Return what is waited for, the most urgent first."""
        waiting: dict[DemandKey, int] = defaultdict(int)
        urgency: dict[DemandKey, float] = {}
        slack: dict[DemandKey, float] = {}
        for report in self._fresh(now):
            for demand in report.demand:
                if demand.waiting:
                    key = DemandKey(demand.service, demand.target)
                    waiting[key] += demand.waiting
                    urgency[key] = min(urgency.get(key, 1e9), demand.urgency_seconds)
                    age = now - self._heard[report.sender]
                    slack[key] = max(slack.get(key, -1e9), demand.slack_seconds - age)
        wants = [Want(key, count, urgency[key], slack[key]) for key, count in waiting.items()]
        return sorted(wants, key=lambda want: (want.urgency_seconds, -want.waiting))

    def running(self, now: float) -> dict[tuple[str, ModelKey], int]:
        """Return the requests that run, by instance and target."""
        total: dict[tuple[str, ModelKey], int] = defaultdict(int)
        for report in self._fresh(now):
            for count in report.running:
                total[(count.instance, count.target)] += count.count
        return total

    def running_by_instance(self, now: float) -> Counter[str]:
        """Return the requests that run, by instance."""
        total: Counter[str] = Counter()
        for (instance, _), count in self.running(now).items():
            total[instance] += count
        return total

    def rate(self, service: str, target: ModelKey, now: float) -> float:
        """Return the recent rate of requests for a target, a second."""
        heat = self._heat.get(DemandKey(service, target))
        return heat.at(now) if heat else 0.0

    def last_used(self, service: str, target: ModelKey) -> float:
        """Return when a target was last asked for."""
        heat = self._heat.get(DemandKey(service, target))
        return heat.last_used if heat else -1e9
