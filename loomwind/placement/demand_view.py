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
ASKED_IN_VAIN = 2.0


class Want(Struct, frozen=True):
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
    returning: int = 0
    unserved: float = 0.0
    since: float = 0.0

    @property
    def rank(self) -> tuple[float, bool, float, float]:
        """Order wants: the most urgent first; then those promised, those most often in vain."""
        return (self.urgency_seconds, self.returning == 0, -self.unserved, self.since)


@attrs.frozen
class UnservedModel:
    """A model that no server has held since it was first asked for.

    :ivar requests: requests for it since then.
    """

    key: DemandKey
    requests: float


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
        self._unserved: dict[DemandKey, float] = defaultdict(float)
        self._since: dict[DemandKey, float] = {}

    def note(self, report: PoolDemand, now: float) -> None:
        """Take in a daemon's report."""
        self._reports[report.sender] = report
        self._heard[report.sender] = now
        self.any_yet = self.any_yet or bool(report.demand)
        for demand in report.demand:
            if not demand.arrivals:
                continue
            self._unserved[DemandKey(demand.service, ModelKey(demand.target.model))] += (
                demand.arrivals
            )
            for target in {demand.target, ModelKey(demand.target.model)}:
                heat = self._heat[DemandKey(demand.service, target)]
                heat.rate = heat.at(now) + demand.arrivals * DECAY_PER_SECOND
                heat.updated = now
                heat.last_used = now
                if demand.urgency_seconds:
                    heat.objective_seconds = demand.urgency_seconds

    def _fresh(self, now: float) -> list[PoolDemand]:
        """Return the reports that no newer one should have replaced by now."""
        return [
            report
            for sender, report in self._reports.items()
            if now - self._heard[sender]
            < REPORT_GRACE_SECONDS + report.next_report_in_ms / MS_PER_SECOND
        ]

    def waiting_by_daemon(self, now: float) -> dict[str, list[DemandKey]]:
        """Return what requests wait for, by the name of their daemon."""
        return {
            report.sender: [DemandKey(d.service, d.target) for d in report.demand if d.waiting]
            for report in self._fresh(now)
        }

    def wants(self, now: float) -> list[Want]:
        """Return what is waited for or was promised, in the order in which it is taken on.

        A model that was asked for more than once in vain is wanted also when nobody waits.
        """
        waiting: dict[DemandKey, int] = defaultdict(int)
        returning: dict[DemandKey, int] = defaultdict(int)
        urgency: dict[DemandKey, float] = {}
        slack: dict[DemandKey, float] = {}
        for report in self._fresh(now):
            for demand in report.demand:
                if demand.waiting or demand.returning:
                    key = DemandKey(demand.service, demand.target)
                    waiting[key] += demand.waiting
                    returning[key] += demand.returning
                    urgency[key] = min(urgency.get(key, 1e9), demand.urgency_seconds)
                    age = now - self._heard[report.sender]
                    slack[key] = max(slack.get(key, -1e9), demand.slack_seconds - age)
        self._since = {key: self._since.get(key, now) for key in waiting}
        wants = [
            Want(
                key,
                count,
                urgency[key],
                slack[key],
                returning[key],
                self._unserved.get(DemandKey(key.service, ModelKey(key.target.model)), 0.0),
                self._since[key],
            )
            for key, count in waiting.items()
        ]
        wants += [
            Want(each.key, 0, self._heat[each.key].objective_seconds, 0.0, 0, each.requests, now)
            for each in self.asked_in_vain()
            if each.key not in waiting
        ]
        return sorted(wants, key=lambda want: want.rank)

    def callers(self, wants: Iterable[Want], now: float) -> dict[str, float]:
        """Return how many callers ask for each wanted model.

        These are the ones that wait or were told to come back, as many as come in the time over
        which a rate is taken, and those that were refused since it was last held.
        """
        callers: dict[str, float] = {}
        for want in wants:
            name = want.key.target.model
            if name not in callers:
                rate = self.rate(want.key.service, ModelKey(name), now)
                callers[name] = rate / DECAY_PER_SECOND + want.unserved
            callers[name] += want.waiting + want.returning
        return callers

    def asked_in_vain(self) -> list[UnservedModel]:
        """Return the models asked for more than once in vain, the most asked for first."""
        found = [UnservedModel(key, n) for key, n in self._unserved.items() if n >= ASKED_IN_VAIN]
        return sorted(found, key=lambda each: -each.requests)

    def note_available(self, service: str, names: Iterable[str]) -> None:
        """Begin to count anew for models that a server holds."""
        for name in names:
            self._unserved.pop(DemandKey(service, ModelKey(name)), None)

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

    def runs_at(self, instance: str, model: str, now: float) -> bool:
        """Whether requests run at an instance for a model or its adapters, as far as is known."""
        return any(
            known == instance and target.model == model for known, target in self.running(now)
        )

    def rate(self, service: str, target: ModelKey, now: float) -> float:
        """Return the recent rate of requests for a target, a second."""
        heat = self._heat.get(DemandKey(service, target))
        return heat.at(now) if heat else 0.0

    def last_used(self, service: str, target: ModelKey) -> float:
        """Return when a target was last asked for."""
        heat = self._heat.get(DemandKey(service, target))
        return heat.last_used if heat else -1e9
