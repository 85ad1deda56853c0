"""Tracks the demand of this daemon's callers by model, and wakes waiting requests."""

import asyncio
import math
from collections import Counter
from collections.abc import Iterable, Mapping

from msgspec import Struct

from loomwind.serving.views import ModelKey, ServerEntry

RATE_HALF_LIFE_SECONDS = 12.0
DECAY_PER_SECOND = math.log(2) / RATE_HALF_LIFE_SECONDS
MIN_RECENT_COUNT = 0.05


class TargetDemand(Struct, frozen=True, array_like=True):
    """Demand for a model or an adapter at one daemon.

    :param service: the service whose servers can hold it.
    :param waiting: requests waiting for it now.
    :param arrivals: requests for it since the previous report; in the first report to a new leader,
        a decaying count of recent requests.
    :param priority: the best priority of the requests that wait or are expected to be retried; 0 is
        the most urgent. A float, since earlier versions report fractions here.
    :param first_leaves_in_seconds: the time until the first of their callers leaves; 0 if there are
        none.
    :param expected_retries: refused requests whose responses named a time to retry.
    :param software_version: the version that the server must have; None for any.
    :param last_leaves_in_seconds: the time until the last of these callers leaves.
    """

    service: str
    target: ModelKey
    waiting: int
    arrivals: float
    priority: float = 0.0
    first_leaves_in_seconds: float = 0.0
    expected_retries: int = 0
    software_version: str | None = None
    last_leaves_in_seconds: float = 0.0

    @property
    def key(self) -> "DemandKey":
        """Return the key of this demand."""
        return DemandKey(self.service, self.target, self.software_version)


class WaitingRequest(Struct, frozen=True):
    """A request that waits for a target.

    :param leaves_at: loop time until which it can be served: its caller leaves then, and a retry
        cannot be served either.
    :param priority: of its route; 0 is the most urgent.
    """

    leaves_at: float
    priority: int


class ExpectedRetry(WaitingRequest, frozen=True):
    """A refused request whose caller was told when to come back.

    :param returns_by: loop time by which it should have come back, to any daemon.
    """

    returns_by: float


class RunningCount(Struct, frozen=True, array_like=True):
    """The number of a daemon's requests for a target that run on a server."""

    instance: str
    target: ModelKey
    count: int


class VersionedModel(Struct, frozen=True, array_like=True, order=True):
    """A model at servers of one software version."""

    service: str
    model: str
    software_version: str


class RunningStreams(Struct, frozen=True, array_like=True):
    """The number of a daemon's requests for a model that run at one software version."""

    key: VersionedModel
    count: int


class DemandKey(Struct, frozen=True):
    """A model or an adapter of a service.

    :param software_version: the version that the server must have; None for any.
    """

    service: str
    target: ModelKey
    software_version: str | None = None


class DecayingCount(Struct):
    """An exponentially decaying count of arrivals."""

    count: float = 0.0
    updated: float = 0.0

    def at(self, now: float) -> float:
        """Return the count decayed to a time."""
        return self.count * math.exp(-DECAY_PER_SECOND * max(0.0, now - self.updated))

    def add(self, now: float) -> None:
        """Count one arrival."""
        self.count = self.at(now) + 1
        self.updated = now


class DemandTracker:
    """Counts demand and wakes waiting requests on changes.

    :ivar new_demand: set when a request begins to wait or is expected to be retried.
    """

    def __init__(self) -> None:
        self._waiting: dict[DemandKey, list[WaitingRequest]] = {}
        self._expected_retries: dict[DemandKey, list[ExpectedRetry]] = {}
        self._arrivals: Counter[DemandKey] = Counter()
        self._recent: dict[DemandKey, DecayingCount] = {}
        self._running: Counter[tuple[str, ModelKey]] = Counter()
        self._entries_in_use: dict[str, ServerEntry] = {}
        self._changed = asyncio.Event()
        self.new_demand = asyncio.Event()

    def record_arrival(self, key: DemandKey, now: float) -> None:
        """Count the arrival of a request."""
        self._arrivals[key] += 1
        self._recent.setdefault(key, DecayingCount()).add(now)

    def begin_wait(self, key: DemandKey, request: WaitingRequest) -> None:
        """Register a waiting request."""
        self._waiting.setdefault(key, []).append(request)
        self.new_demand.set()

    def end_wait(self, key: DemandKey, request: WaitingRequest) -> None:
        """Remove a waiting request."""
        self._waiting[key].remove(request)
        if not self._waiting[key]:
            del self._waiting[key]

    def add_expected_retry(self, key: DemandKey, retry: ExpectedRetry) -> None:
        """Register a refused request that will be retried; it counts until it should be back."""
        self._expected_retries.setdefault(key, []).append(retry)
        self.new_demand.set()

    def _expire_retries(self, now: float) -> None:
        """Drop expected retries that should be back: a daemon reports them as waiting then."""
        for key, retries in list(self._expected_retries.items()):
            self._expected_retries[key] = [retry for retry in retries if retry.returns_by > now]
            if not self._expected_retries[key]:
                del self._expected_retries[key]

    def begin_run(self, instance: str, target: ModelKey) -> None:
        """Count a request that is sent to a server."""
        self._running[(instance, target)] += 1

    def end_run(self, instance: str, target: ModelKey) -> None:
        """Uncount a request that has ended on a server."""
        self._running[(instance, target)] -= 1
        if self._running[(instance, target)] <= 0:
            del self._running[(instance, target)]

    @property
    def has_waiting_requests(self) -> bool:
        """Whether any request is waiting."""
        return bool(self._waiting)

    def take_report(self, now: float, to_new_leader: bool = False) -> tuple[TargetDemand, ...]:
        """Return the current demand and reset the arrival counts.

        :param to_new_leader: report the decaying count of recent arrivals instead of the arrivals
            since the last report.
        """
        recent = {key: recent.at(now) for key, recent in self._recent.items()}
        self._recent = {key: self._recent[key] for key in recent if recent[key] > MIN_RECENT_COUNT}
        arrivals: Mapping[DemandKey, float] = recent if to_new_leader else self._arrivals
        self._expire_retries(now)
        keys = set(self._waiting) | set(self._expected_retries) | set(arrivals)
        ordered = sorted(keys, key=lambda k: (k.service, k.target, k.software_version or ""))
        report = tuple(self._demand_for(key, arrivals.get(key, 0.0), now) for key in ordered)
        self._arrivals.clear()
        return report

    def _demand_for(self, key: DemandKey, arrivals: float, now: float) -> TargetDemand:
        waiting = self._waiting.get(key, [])
        expected_retries = self._expected_retries.get(key, [])
        requests = [*waiting, *expected_retries]
        return TargetDemand(
            key.service,
            key.target,
            len(waiting),
            arrivals,
            min((request.priority for request in requests), default=0),
            min((request.leaves_at - now for request in requests), default=0.0),
            len(expected_retries),
            key.software_version,
            max((request.leaves_at - now for request in requests), default=0.0),
        )

    def running(self) -> tuple[RunningCount, ...]:
        """Return the number of running requests by server and target."""
        return tuple(RunningCount(i, target, n) for (i, target), n in self._running.items())

    def running_streams(self, entries: Iterable[ServerEntry]) -> tuple[RunningStreams, ...]:
        """Return the running requests at servers that publish a software version.

        A server that is no longer listed keeps the version of its last entry while requests run.

        :param entries: the known servers.
        """
        in_use = {instance for instance, _ in self._running}
        known = self._entries_in_use | {entry.instance: entry for entry in entries}
        self._entries_in_use = {name: known[name] for name in in_use if name in known}
        totals: Counter[VersionedModel] = Counter()
        for (instance, target), count in self._running.items():
            entry = self._entries_in_use.get(instance)
            if entry is not None and entry.software_version:
                key = VersionedModel(entry.service, target.model, entry.software_version)
                totals[key] += count
        return tuple(RunningStreams(key, totals[key]) for key in sorted(totals))

    def wake(self) -> None:
        """Wake all waiting requests."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, timeout: float) -> None:
        """Wait for a call of :meth:`wake`, at most ``timeout`` seconds."""
        changed = self._changed
        try:
            async with asyncio.timeout(timeout):
                await changed.wait()
        except TimeoutError:
            return
