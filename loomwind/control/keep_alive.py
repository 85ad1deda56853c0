"""Keep-alive policies: how long to keep an idle replica, based on the gaps between its requests.

Keeping a replica for T seconds costs idle accelerator time; unloading it costs a reload that the
next request waits for. One setting weighs the two: the cost of an idle accelerator hour, expressed
in seconds of tail cold-start latency. Policies are pure; gaps are in seconds.
"""

from abc import ABC, abstractmethod

from hdrh.histogram import HdrHistogram
from msgspec import Struct

MIN_GAP_SECONDS = 0.1
MAX_GAP_SECONDS = 14 * 86_400
GAP_UNITS_PER_SECOND = 10
MIN_SAMPLES = 3
HISTOGRAM_DIGITS = 2
HISTOGRAM_RESOLUTION = 0.02
PRELOAD_SPREAD_LIMIT = 0.1
PRELOAD_MIN_SAMPLES = 5
KEEP_FOREVER_SECONDS = float("inf")


class GapHistogram:
    """Histogram of the gaps between the requests for an artifact."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_GAP_SECONDS * GAP_UNITS_PER_SECOND, HISTOGRAM_DIGITS)
        self._recorded: set[int] = set()
        self.last_arrival: float | None = None

    def record_arrival(self, now: float) -> None:
        """Record a request.

        :param now: the time of the request, monotonic, in seconds.
        """
        if self.last_arrival is not None:
            gap = now - self.last_arrival
            if gap >= MIN_GAP_SECONDS:
                self._record(max(1, round(gap * GAP_UNITS_PER_SECOND)))
        self.last_arrival = now

    def _record(self, value: int) -> None:
        self._histogram.record_value(value)
        # Iterating over the whole histogram takes milliseconds, although few buckets are in use.
        self._recorded.add(self._histogram.get_highest_equivalent_value(value))

    @property
    def count(self) -> int:
        """The number of recorded gaps."""
        return int(self._histogram.get_total_count())

    def percentile(self, percent: float) -> float:
        """Return a percentile of the gaps in seconds."""
        value: int = self._histogram.get_value_at_percentile(percent)
        return value / GAP_UNITS_PER_SECOND

    def values(self) -> list["GapCount"]:
        """Return each recorded gap with its count, shortest first."""
        return [
            GapCount(value / GAP_UNITS_PER_SECOND, self._histogram.get_count_at_value(value))
            for value in sorted(self._recorded)
        ]


class GapCount(Struct, frozen=True):
    """A gap and the number of times that it was recorded."""

    seconds: float
    count: int


class KeepAliveDecision(Struct, frozen=True):
    """When to unload an idle replica, and when to load it ahead of its next request.

    :param keep_seconds: the idle time after which to unload the replica.
    :param preload_after_seconds: the idle time after which to load it again; None for never.
    """

    keep_seconds: float
    preload_after_seconds: float | None = None


class KeepAlive(ABC):
    """Base class of keep-alive policies."""

    @abstractmethod
    def decide(self, gaps: GapHistogram, reload_seconds: float) -> KeepAliveDecision:
        """Return when to unload and preload an idle replica.

        :param reload_seconds: the duration of the next load.
        """


class FixedKeepAlive(KeepAlive):
    """Baseline policy: keep replicas for a fixed time."""

    def __init__(self, seconds: float) -> None:
        self._decision = KeepAliveDecision(seconds)

    def decide(self, gaps: GapHistogram, reload_seconds: float) -> KeepAliveDecision:
        """Return the fixed decision."""
        return self._decision


class NeverUnload(KeepAlive):
    """Baseline policy: keep replicas until their memory is needed."""

    def decide(self, gaps: GapHistogram, reload_seconds: float) -> KeepAliveDecision:
        """Return a decision to keep the replica forever."""
        return KeepAliveDecision(KEEP_FOREVER_SECONDS)


class HistogramKeepAlive(KeepAlive):
    """Keep replicas for the time that has the lowest cost over the recorded gaps.

    :param idle_hour_cost: the cost of an idle hour, in seconds of tail cold-start latency.
    :param default_seconds: the maximum time to keep a replica until enough gaps are recorded.
    """

    def __init__(self, idle_hour_cost: float, default_seconds: float) -> None:
        self._idle_second_cost = idle_hour_cost / 3600
        self._default_seconds = default_seconds

    def decide(self, gaps: GapHistogram, reload_seconds: float) -> KeepAliveDecision:
        """Return the keep time with the lowest cost, and a preload if the gaps are regular."""
        break_even = reload_seconds / self._idle_second_cost
        if gaps.count < MIN_SAMPLES:
            return KeepAliveDecision(min(self._default_seconds, break_even))
        keep_seconds = self._cheapest_keep_seconds(gaps.values(), reload_seconds)
        return KeepAliveDecision(
            keep_seconds, self._preload_after_seconds(gaps, keep_seconds, reload_seconds)
        )

    def _cheapest_keep_seconds(self, gaps: list[GapCount], reload_seconds: float) -> float:
        total = sum(gap.count for gap in gaps)
        best_seconds, best_cost = 0.0, total * reload_seconds
        idle_so_far = 0.0
        seen = 0
        for gap in gaps:
            idle_so_far += gap.seconds * gap.count
            seen += gap.count
            idle = idle_so_far + gap.seconds * (total - seen)
            cost = idle * self._idle_second_cost + (total - seen) * reload_seconds
            if cost < best_cost:
                best_seconds, best_cost = gap.seconds * 1.05, cost
        return best_seconds

    def _preload_after_seconds(
        self, gaps: GapHistogram, keep_seconds: float, reload_seconds: float
    ) -> float | None:
        """Return the idle time after which to preload; None if the gaps are short or irregular."""
        if gaps.count < PRELOAD_MIN_SAMPLES:
            return None
        early, late = gaps.percentile(5), gaps.percentile(95)
        window = late - early + reload_seconds
        affordable = window * self._idle_second_cost < reload_seconds
        predictable = late - early < PRELOAD_SPREAD_LIMIT * late
        if not (affordable and predictable) or early <= keep_seconds:
            return None
        return max(0.0, early * (1 - HISTOGRAM_RESOLUTION) - 2 * reload_seconds)
