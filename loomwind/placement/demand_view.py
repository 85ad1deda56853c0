"""The leader's view of demand, aggregated over all daemons. No I/O; time is passed in."""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable

import attrs
from msgspec import Struct

from loomwind.clock import MS_PER_SECOND
from loomwind.messages.serving import PoolDemand
from loomwind.serving.demand import DECAY_PER_SECOND, DemandKey, VersionedModel
from loomwind.serving.views import ModelKey

# How long a report stays valid after the next one is due: some are lost or late.
REPORT_GRACE_SECONDS = 1.75
MIN_UNSERVED_REQUESTS = 2.0
# The platform's clients give up a silent stream after two seconds at the earliest, and resume it.
STREAM_RETENTION_SECONDS = 2.0


class PendingDemand(Struct, frozen=True):
    """Requests for a target that wait or are expected to be retried.

    :param priority: the best one among them; 0 is the most urgent.
    :param first_leaves_in_seconds: the time until the first of their callers leaves; while nobody
        waits, until the next request for the target is expected.
    :param last_leaves_in_seconds: the time until the last of their callers leaves.
    :param expected_retries: refused requests whose responses named a time to retry.
    :param unserved: requests for the target's model since a server last held it.
    :param since: when the first of these came, or when the current wait for the target began.
    """

    key: DemandKey
    waiting: int
    priority: float
    first_leaves_in_seconds: float
    last_leaves_in_seconds: float
    expected_retries: int = 0
    unserved: float = 0.0
    since: float = 0.0

    @property
    def has_callers(self) -> bool:
        """Whether any caller waits or was told when to come back."""
        return self.waiting + self.expected_retries > 0

    def latest_start_in(self, load_seconds: float) -> float:
        """Return the time until which a load has to start for its callers.

        While some are too late already and others are not, it has to start now: requests keep
        coming, and each moment another caller runs out of time.
        """
        if self.last_leaves_in_seconds < load_seconds:
            return self.last_leaves_in_seconds - load_seconds
        return max(0.0, self.first_leaves_in_seconds - load_seconds)


@attrs.frozen
class UnservedModel:
    """A model that has been requested while no server held it.

    :ivar requests: requests since a server last held it.
    """

    key: DemandKey
    requests: float


class RequestRate(Struct):
    """Recent use of a target: an exponentially decaying request rate and the last request."""

    rate: float = 0.0
    updated: float = 0.0
    last_used: float = -1e9

    def at(self, now: float) -> float:
        """Return the rate decayed to a time, in requests per second."""
        return self.rate * math.exp(-DECAY_PER_SECOND * max(0.0, now - self.updated))


class LastCount(Struct, frozen=True):
    """The last count of running requests that was not zero, and when it was reported."""

    count: int
    at: float


class DemandView:
    """Aggregates the demand reports of all daemons.

    :ivar has_seen_requests: whether any report contained demand.
    """

    def __init__(self) -> None:
        self.has_seen_requests = False
        self._reports: dict[str, PoolDemand] = {}
        self._received_at: dict[str, float] = {}
        self._rates: dict[DemandKey, RequestRate] = defaultdict(RequestRate)
        self._unserved: dict[DemandKey, float] = defaultdict(float)
        self._unserved_since: dict[DemandKey, float] = {}
        self._waiting_since: dict[DemandKey, float] = {}
        self._streams: dict[VersionedModel, LastCount] = {}

    def add_report(self, report: PoolDemand, now: float) -> None:
        """Process a daemon's report."""
        self._reports[report.sender] = report
        self._received_at[report.sender] = now
        self.has_seen_requests = self.has_seen_requests or bool(report.demand)
        for demand in report.demand:
            if not demand.arrivals:
                continue
            model = DemandKey(demand.service, ModelKey(demand.target.model))
            self._unserved[model] += demand.arrivals
            self._unserved_since.setdefault(model, now)
            for target in {demand.target, ModelKey(demand.target.model)}:
                recent = self._rates[DemandKey(demand.service, target)]
                recent.rate = recent.at(now) + demand.arrivals * DECAY_PER_SECOND
                recent.updated = now
                recent.last_used = now

    def _current_reports(self, now: float) -> list[PoolDemand]:
        """Return the reports that are still valid."""
        return [
            report
            for sender, report in self._reports.items()
            if now - self._received_at[sender]
            < REPORT_GRACE_SECONDS + report.next_report_in_ms / MS_PER_SECOND
        ]

    def waiting_by_daemon(self, now: float) -> dict[str, list[DemandKey]]:
        """Return the targets that requests wait for, by daemon name."""
        return {
            report.sender: [demand.key for demand in report.demand if demand.waiting]
            for report in self._current_reports(now)
        }

    def pending_demand(self, now: float) -> list[PendingDemand]:
        """Return the targets with waiting requests or expected retries.

        Models that were requested more than once while unserved are included even if nobody waits.
        """
        waiting: dict[DemandKey, int] = defaultdict(int)
        expected_retries: dict[DemandKey, int] = defaultdict(int)
        priority: dict[DemandKey, float] = {}
        first_leaves: dict[DemandKey, float] = {}
        last_leaves: dict[DemandKey, float] = {}
        for report in self._current_reports(now):
            for demand in report.demand:
                if demand.waiting or demand.expected_retries:
                    key = demand.key
                    waiting[key] += demand.waiting
                    expected_retries[key] += demand.expected_retries
                    priority[key] = min(priority.get(key, math.inf), demand.priority)
                    age = now - self._received_at[report.sender]
                    first = demand.first_leaves_in_seconds - age
                    last = max(demand.last_leaves_in_seconds - age, first)
                    first_leaves[key] = min(first_leaves.get(key, math.inf), first)
                    last_leaves[key] = max(last_leaves.get(key, -math.inf), last)
        self._waiting_since = {key: self._waiting_since.get(key, now) for key in waiting}
        pending_demand = []
        for key, count in waiting.items():
            model = DemandKey(key.service, ModelKey(key.target.model))
            pending_demand.append(
                PendingDemand(
                    key,
                    count,
                    priority[key],
                    first_leaves[key],
                    last_leaves[key],
                    expected_retries[key],
                    self._unserved.get(model, 0.0),
                    self._unserved_since.get(model, self._waiting_since[key]),
                )
            )
        return pending_demand + [
            self._pending_without_callers(each, now)
            for each in self.unserved_models()
            if each.key not in waiting
        ]

    def _pending_without_callers(self, model: UnservedModel, now: float) -> PendingDemand:
        """Return the demand for a model that was requested in vain and that nobody waits for."""
        rate = self.rate(model.key.service, model.key.target, now)
        next_request_in = 1.0 / rate if rate > 0 else math.inf
        since = self._unserved_since[model.key]
        return PendingDemand(
            model.key, 0, math.inf, next_request_in, next_request_in, 0, model.requests, since
        )

    def unserved_models(self) -> list[UnservedModel]:
        """Return the models requested more than once while unserved, most requested first."""
        found = [
            UnservedModel(key, n) for key, n in self._unserved.items() if n >= MIN_UNSERVED_REQUESTS
        ]
        return sorted(found, key=lambda each: -each.requests)

    def reset_unserved(self, service: str, names: Iterable[str]) -> None:
        """Reset the count of unserved requests for models that a server holds."""
        for name in names:
            self._unserved.pop(DemandKey(service, ModelKey(name)), None)
            self._unserved_since.pop(DemandKey(service, ModelKey(name)), None)

    def running(self, now: float) -> dict[tuple[str, ModelKey], int]:
        """Return the number of running requests by instance and target."""
        total: dict[tuple[str, ModelKey], int] = defaultdict(int)
        for report in self._current_reports(now):
            for count in report.running:
                total[(count.instance, count.target)] += count.count
        return total

    def running_by_instance(self, now: float) -> Counter[str]:
        """Return the number of running requests by instance."""
        total: Counter[str] = Counter()
        for (instance, _), count in self.running(now).items():
            total[instance] += count
        return total

    def has_running_requests(self, instance: str, model: str, now: float) -> bool:
        """Whether requests for a model or its adapters are known to run on an instance."""
        return any(
            known == instance and target.model == model for known, target in self.running(now)
        )

    def streams(self, service: str, now: float) -> dict[VersionedModel, int]:
        """Return the running requests of a service by model and software version.

        Interrupted ones are included until their callers should have resumed them.
        """
        totals: Counter[VersionedModel] = Counter()
        for report in self._current_reports(now):
            for running in report.streams:
                totals[running.key] += running.count
        self._streams |= {key: LastCount(count, now) for key, count in totals.items()}
        self._streams = {
            key: last
            for key, last in self._streams.items()
            if now - last.at <= STREAM_RETENTION_SECONDS
        }
        return {key: last.count for key, last in self._streams.items() if key.service == service}

    def rate(self, service: str, target: ModelKey, now: float) -> float:
        """Return the recent request rate for a target, in requests per second."""
        recent = self._rates.get(DemandKey(service, target))
        return recent.at(now) if recent else 0.0

    def last_used(self, service: str, target: ModelKey) -> float:
        """Return when a target was last requested."""
        recent = self._rates.get(DemandKey(service, target))
        return recent.last_used if recent else -1e9
