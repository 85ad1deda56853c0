"""Demand over all daemons, as the leader has heard it. Pure; time is passed in."""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable

import attrs
from msgspec import Struct

from loomwind.clock import MS_PER_SECOND
from loomwind.messages.serving import PoolDemand
from loomwind.serving.demand import DECAY_PER_SECOND, DemandKey
from loomwind.serving.views import ModelKey

# How long a report counts once the next one is due: some are lost or late.
REPORT_GRACE_SECONDS = 1.75
MIN_UNSERVED_REQUESTS = 2.0


class PendingDemand(Struct, frozen=True):
    """Requests that wait for a target now.

    :param urgency_seconds: the smallest objective among them.
    :param slack_seconds: the most time that one of them has left to its objective.
    :param returning: requests that were told to come back for it.
    :param unserved: requests for its model since that was last held by any server.
    :param since: when it was first waited for, without a break.
    """

    key: DemandKey
    waiting: int
    urgency_seconds: float
    slack_seconds: float
    expected_retries: int = 0
    unserved: float = 0.0
    since: float = 0.0

    @property
    def rank(self) -> tuple[float, bool, float, float]:
        """Order wants: the most urgent first; then those promised, those most often in vain."""
        return (self.urgency_seconds, self.expected_retries == 0, -self.unserved, self.since)


@attrs.frozen
class UnservedModel:
    """A model that no server has held since it was first asked for.

    :ivar requests: requests for it since then.
    """

    key: DemandKey
    requests: float


class RequestRate(Struct):
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
        self.has_seen_requests = False
        self._reports: dict[str, PoolDemand] = {}
        self._received_at: dict[str, float] = {}
        self._rates: dict[DemandKey, RequestRate] = defaultdict(RequestRate)
        self._unserved: dict[DemandKey, float] = defaultdict(float)
        self._waiting_since: dict[DemandKey, float] = {}

    def add_report(self, report: PoolDemand, now: float) -> None:
        """Take in a daemon's report."""
        self._reports[report.sender] = report
        self._received_at[report.sender] = now
        self.has_seen_requests = self.has_seen_requests or bool(report.demand)
        for demand in report.demand:
            if not demand.arrivals:
                continue
            self._unserved[DemandKey(demand.service, ModelKey(demand.target.model))] += (
                demand.arrivals
            )
            for target in {demand.target, ModelKey(demand.target.model)}:
                rate = self._rates[DemandKey(demand.service, target)]
                rate.rate = rate.at(now) + demand.arrivals * DECAY_PER_SECOND
                rate.updated = now
                rate.last_used = now
                if demand.urgency_seconds:
                    rate.objective_seconds = demand.urgency_seconds

    def _current_reports(self, now: float) -> list[PoolDemand]:
        """Return the reports that no newer one should have replaced by now."""
        return [
            report
            for sender, report in self._reports.items()
            if now - self._received_at[sender]
            < REPORT_GRACE_SECONDS + report.next_in_ms / MS_PER_SECOND
        ]

    def waiting_by_daemon(self, now: float) -> dict[str, list[DemandKey]]:
        """Return what requests wait for, by the name of their daemon."""
        return {
            report.sender: [DemandKey(d.service, d.target) for d in report.demand if d.waiting]
            for report in self._current_reports(now)
        }

    def pending_demand(self, now: float) -> list[PendingDemand]:
        """Return what is waited for or was promised, in the order in which it is taken on.

        A model that was asked for more than once in vain is wanted also when nobody waits.
        """
        waiting: dict[DemandKey, int] = defaultdict(int)
        expected_retries: dict[DemandKey, int] = defaultdict(int)
        urgency: dict[DemandKey, float] = {}
        slack: dict[DemandKey, float] = {}
        for report in self._current_reports(now):
            for demand in report.demand:
                if demand.waiting or demand.expected_retries:
                    key = DemandKey(demand.service, demand.target)
                    waiting[key] += demand.waiting
                    expected_retries[key] += demand.expected_retries
                    urgency[key] = min(urgency.get(key, 1e9), demand.urgency_seconds)
                    age = now - self._received_at[report.sender]
                    slack[key] = max(slack.get(key, -1e9), demand.slack_seconds - age)
        self._waiting_since = {key: self._waiting_since.get(key, now) for key in waiting}
        pending_demand = [
            PendingDemand(
                key,
                count,
                urgency[key],
                slack[key],
                expected_retries[key],
                self._unserved.get(DemandKey(key.service, ModelKey(key.target.model)), 0.0),
                self._waiting_since[key],
            )
            for key, count in waiting.items()
        ]
        pending_demand += [
            PendingDemand(
                each.key, 0, self._rates[each.key].objective_seconds, 0.0, 0, each.requests, now
            )
            for each in self.unserved_models()
            if each.key not in waiting
        ]
        return sorted(pending_demand, key=lambda pending: pending.rank)

    def callers_by_model(
        self, pending_demand: Iterable[PendingDemand], now: float
    ) -> dict[str, float]:
        """Return how many callers ask for each wanted model.

        These are the ones that wait or were told to come back, as many as come in the time over
        which a rate is taken, and those that were refused since it was last held.
        """
        callers: dict[str, float] = {}
        for pending in pending_demand:
            name = pending.key.target.model
            if name not in callers:
                rate = self.rate(pending.key.service, ModelKey(name), now)
                callers[name] = rate / DECAY_PER_SECOND + pending.unserved
            callers[name] += pending.waiting + pending.expected_retries
        return callers

    def unserved_models(self) -> list[UnservedModel]:
        """Return the models asked for more than once in vain, the most asked for first."""
        found = [
            UnservedModel(key, n) for key, n in self._unserved.items() if n >= MIN_UNSERVED_REQUESTS
        ]
        return sorted(found, key=lambda each: -each.requests)

    def reset_unserved(self, service: str, names: Iterable[str]) -> None:
        """Begin to count anew for models that a server holds."""
        for name in names:
            self._unserved.pop(DemandKey(service, ModelKey(name)), None)

    def running(self, now: float) -> dict[tuple[str, ModelKey], int]:
        """Return the requests that run, by instance and target."""
        total: dict[tuple[str, ModelKey], int] = defaultdict(int)
        for report in self._current_reports(now):
            for count in report.running:
                total[(count.instance, count.target)] += count.count
        return total

    def running_by_instance(self, now: float) -> Counter[str]:
        """Return the requests that run, by instance."""
        total: Counter[str] = Counter()
        for (instance, _), count in self.running(now).items():
            total[instance] += count
        return total

    def has_running_requests(self, instance: str, model: str, now: float) -> bool:
        """Whether requests run at an instance for a model or its adapters, as far as is known."""
        return any(
            known == instance and target.model == model for known, target in self.running(now)
        )

    def rate(self, service: str, target: ModelKey, now: float) -> float:
        """Return the recent rate of requests for a target, a second."""
        rate = self._rates.get(DemandKey(service, target))
        return rate.at(now) if rate else 0.0

    def last_used(self, service: str, target: ModelKey) -> float:
        """Return when a target was last asked for."""
        rate = self._rates.get(DemandKey(service, target))
        return rate.last_used if rate else -1e9
