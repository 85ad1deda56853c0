"""What callers of this daemon ask for and wait for, by model; and waking those that wait."""

import asyncio
import math
from collections import Counter
from collections.abc import Mapping

from msgspec import Struct

from loomwind.serving.views import ModelKey

RATE_HALF_LIFE_SECONDS = 12.0
DECAY_PER_SECOND = math.log(2) / RATE_HALF_LIFE_SECONDS
MIN_RECENT_COUNT = 0.05


class TargetDemand(Struct, frozen=True, array_like=True):
    """Demand for a model or an adapter at one daemon.

    :param service: the service whose servers can hold it.
    :param waiting: requests that wait for it now.
    :param arrivals: requests for it since the report before; to a leader that has not heard of this
        daemon yet, those of the last while, older ones counted less.
    :param urgency_seconds: the smallest objective among those that wait; 0 when none does.
    :param slack_seconds: the most time that one of those that wait has left to its objective.
    :param returning: requests that were refused and told to come back for it.
    """

    service: str
    target: ModelKey
    waiting: int
    arrivals: float
    urgency_seconds: float = 0.0
    slack_seconds: float = 0.0
    expected_retries: int = 0


class WaitingRequest(Struct, frozen=True, order=True):
    """A request that waits.

    :param due: loop time at which its objective is missed.
    """

    due: float
    objective_seconds: float


class RunningCount(Struct, frozen=True, array_like=True):
    """How many requests of one daemon run at a server, by model."""

    instance: str
    target: ModelKey
    count: int


class DemandKey(Struct, frozen=True):
    """A target on the servers of a service."""

    service: str
    target: ModelKey


class DecayingCount(Struct):
    """A count of arrivals in which older ones count less."""

    count: float = 0.0
    updated: float = 0.0

    def at(self, now: float) -> float:
        """Return the count by now."""
        return self.count * math.exp(-DECAY_PER_SECOND * max(0.0, now - self.updated))

    def add(self, now: float) -> None:
        """Count one arrival."""
        self.count = self.at(now) + 1
        self.updated = now


class DemandTracker:
    """Counts demand and wakes waiting requests when something has changed."""

    def __init__(self) -> None:
        self._waiting: dict[DemandKey, list[WaitingRequest]] = {}
        self._expected_retries: dict[DemandKey, list[WaitingRequest]] = {}
        self._arrivals: Counter[DemandKey] = Counter()
        self._recent: dict[DemandKey, DecayingCount] = {}
        self._running: Counter[tuple[str, ModelKey]] = Counter()
        self._changed = asyncio.Event()
        self.new_demand = asyncio.Event()

    def record_arrival(self, key: DemandKey, now: float) -> None:
        """Count a request."""
        self._arrivals[key] += 1
        self._recent.setdefault(key, DecayingCount()).add(now)

    def begin_wait(self, key: DemandKey, request: WaitingRequest) -> None:
        """A request begins to wait."""
        self._waiting.setdefault(key, []).append(request)
        self.new_demand.set()

    def end_wait(self, key: DemandKey, request: WaitingRequest) -> None:
        """A request waits no longer."""
        self._waiting[key].remove(request)
        if not self._waiting[key]:
            del self._waiting[key]

    def add_expected_retry(self, key: DemandKey, request: WaitingRequest) -> None:
        """A request was refused and comes back; it counts until its objective is missed then."""
        self._expected_retries.setdefault(key, []).append(request)
        self.new_demand.set()

    def _forget_returns(self, now: float) -> None:
        """Drop returns whose time is over."""
        for key, requests in list(self._expected_retries.items()):
            self._expected_retries[key] = [request for request in requests if request.due > now]
            if not self._expected_retries[key]:
                del self._expected_retries[key]

    def begin_run(self, instance: str, target: ModelKey) -> None:
        """A request is sent to a server."""
        self._running[(instance, target)] += 1

    def end_run(self, instance: str, target: ModelKey) -> None:
        """A request has left a server."""
        self._running[(instance, target)] -= 1
        if self._running[(instance, target)] <= 0:
            del self._running[(instance, target)]

    @property
    def has_waiting_requests(self) -> bool:
        """Whether a request waits."""
        return bool(self._waiting)

    def take_report(self, now: float, to_new_leader: bool = False) -> tuple[TargetDemand, ...]:
        """Return the demand, and count arrivals anew.

        :param to_new_leader: tell the arrivals of the last while, not those since the last report.
        """
        recent = {key: recent.at(now) for key, recent in self._recent.items()}
        self._recent = {key: self._recent[key] for key in recent if recent[key] > MIN_RECENT_COUNT}
        arrivals: Mapping[DemandKey, float] = recent if to_new_leader else self._arrivals
        self._forget_returns(now)
        keys = set(self._waiting) | set(self._expected_retries) | set(arrivals)
        ordered = sorted(keys, key=lambda key: (key.service, key.target))
        report = tuple(self._demand_for(key, arrivals.get(key, 0.0), now) for key in ordered)
        self._arrivals.clear()
        return report

    def _demand_for(self, key: DemandKey, arrivals: float, now: float) -> TargetDemand:
        waiting = self._waiting.get(key, [])
        expected_retries = self._expected_retries.get(key, [])
        both = waiting + expected_retries
        return TargetDemand(
            key.service,
            key.target,
            len(waiting),
            arrivals,
            min((request.objective_seconds for request in both), default=0.0),
            max((request.due - now for request in both), default=0.0),
            len(expected_retries),
        )

    def running(self) -> tuple[RunningCount, ...]:
        """Return the requests that run at servers now."""
        return tuple(RunningCount(i, target, n) for (i, target), n in self._running.items())

    def wake(self) -> None:
        """Let all waiting requests look again."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, timeout: float) -> None:
        """Wait until something has changed, or for ``timeout`` seconds."""
        changed = self._changed
        try:
            async with asyncio.timeout(timeout):
                await changed.wait()
        except TimeoutError:
            return
