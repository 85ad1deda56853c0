"""The order in which models without a loaded copy are loaded. Pure; times are in seconds."""

import heapq
import math
from bisect import insort
from collections.abc import Iterable, Sequence

import attrs

# By so much the expected ends of loads in progress move.
PROMISE_TOLERANCE_SECONDS = 0.5
# Sums of times are rounded.
ROUNDING_SECONDS = 1e-6


@attrs.frozen
class RequestedLoad:
    """A model that has to be loaded.

    :ivar latest_start_in: until when the load has to start for its callers; negative if that is
        past, or if there are none.
    :ivar callers: callers that wait for it or were told when to come back, and those that should
        come during its load.
    :ivar priority: the best one among them; 0 is the most urgent.
    :ivar missing_seconds: for how long it has been requested without being loaded.
    :ivar from_store: whether no server has a cached copy.
    :ivar last_start_in: until when it has to start for the last of its callers.
    :ivar has_callers: whether any caller waits for it or was told when to come back.
    :ivar promised_start_in: until when it has to start for callers that were told that they can be
        served; None if there are none.
    :ivar is_deferred: whether it is scheduled for those of its callers that can wait.
    :ivar in_time: whether it is scheduled to start in time.
    """

    name: str
    latest_start_in: float
    load_seconds: float
    callers: float
    priority: float
    missing_seconds: float
    from_store: bool = True
    last_start_in: float = -math.inf
    has_callers: bool = False
    promised_start_in: float | None = None
    is_deferred: bool = False
    in_time: bool = False

    @property
    def start_order(self) -> tuple[float, float, float, str]:
        """Sort key: by latest start, then priority, then highest weight, then name."""
        return (self.latest_start_in, self.priority, -self.weight, self.name)

    @property
    def weight(self) -> float:
        """Return its callers, times its response ratio: (wait + load time) / load time.

        A model with a single caller gains weight while others are loaded, so its turn comes.
        """
        return self.callers * (1.0 + self.missing_seconds / self.load_seconds)

    @property
    def removal_order(self) -> tuple[bool, float, float, str]:
        """Sort key of loads that cannot all start in time: the first one gives way.

        Those that callers were promised come last, then by weight, then lowest priority. Between
        equal numbers of callers the one that was requested first keeps its place.
        """
        return (self.keeps_promise, self.weight, -self.priority, self.name)

    @property
    def keeps_promise(self) -> bool:
        """Whether it is scheduled by the time that callers were promised."""
        return self.is_deferred and self.has_promise

    @property
    def has_promise(self) -> bool:
        """Whether it can still start by the time that callers were promised."""
        return self.promised_start_in is not None and self.promised_start_in >= 0

    def defer(self) -> "RequestedLoad | None":
        """Return the load for those of its callers that can wait, or None if there are none.

        Those that were promised a start go before the others.
        """
        later = self.promised_start_in if self.has_promise else self.last_start_in
        if self.is_deferred or later is None or later < 0:
            return None
        latest = max(later, self.latest_start_in)
        return attrs.evolve(self, latest_start_in=latest, is_deferred=True)

    def merge(self, other: "RequestedLoad") -> "RequestedLoad":
        """Return one load for two groups of callers of the same model.

        If one group is too late already and the other is not, it has to start now.
        """
        first, last = sorted((self.latest_start_in, other.latest_start_in))
        return attrs.evolve(
            self,
            latest_start_in=last if last < 0 else max(0.0, first),
            callers=self.callers + other.callers,
            priority=min(self.priority, other.priority),
            missing_seconds=max(self.missing_seconds, other.missing_seconds),
            last_start_in=max(self.last_start_in, other.last_start_in),
            has_callers=self.has_callers or other.has_callers,
        )


def schedule_loads(loads: Sequence[RequestedLoad], free_in: Sequence[float]) -> list[RequestedLoad]:
    """Return loads in the order in which they should start.

    A variant of the Moore-Hodgson algorithm: by their latest start, and whenever one from the
    store would start too late, the one of the lowest weight gives way, at first to those of its
    callers that can wait. A load gives way no further than to the start that callers were promised.
    Those that have given way come last, highest weight first, as do those that no caller can wait
    for.

    :param free_in: when each place for a concurrent load is free.
    """
    cached: list[RequestedLoad] = []
    in_time: list[RequestedLoad] = []
    too_late: list[RequestedLoad] = []
    remaining = [(load.start_order, load) for load in loads]
    heapq.heapify(remaining)
    while remaining:
        _, load = heapq.heappop(remaining)
        if not load.from_store and load.latest_start_in >= 0:
            cached.append(load)
            continue
        removed = [load]
        if load.latest_start_in >= 0:
            insort(in_time, load, key=lambda load: load.start_order)
            removed = _remove_until_in_time(in_time, free_in)
        for each in removed:
            deferred = each.defer()
            if deferred is None:
                too_late.append(each)
            else:
                heapq.heappush(remaining, (deferred.start_order, deferred))
    too_late.sort(key=lambda load: load.removal_order, reverse=True)
    starting = sorted(cached + in_time, key=lambda load: load.start_order)
    return [attrs.evolve(load, in_time=True) for load in starting] + too_late


def _remove_until_in_time(
    loads: list[RequestedLoad], free_in: Sequence[float]
) -> list[RequestedLoad]:
    """Remove loads until the others start in time; return those removed.

    Promised loads that are hardly late stay: the next estimate may be better.
    """
    removed: list[RequestedLoad] = []
    while loads and not start_in_time(loads, free_in):
        first = min(loads, key=lambda load: load.removal_order)
        if first.keeps_promise and start_in_time(loads, free_in, PROMISE_TOLERANCE_SECONDS):
            break
        removed.append(first)
        loads.remove(first)
    return removed


def combine_places(server_free_in: Iterable[float], store_free_in: Iterable[float]) -> list[float]:
    """Return when each place for a load is free, as it takes a server and a place at the store."""
    pairs = zip(sorted(server_free_in), sorted(store_free_in), strict=False)
    return [max(pair) for pair in pairs]


def queue_ends(load_seconds: Iterable[float], free_in: Sequence[float]) -> list[float]:
    """Return when each of a queue of loads ends, if it begins at the next free place."""
    places = list(free_in) or [0.0]
    heapq.heapify(places)
    ends = []
    for seconds in load_seconds:
        ends.append(places[0] + seconds)
        heapq.heapreplace(places, ends[-1])
    return ends


def insert_by_weight(
    scheduled: list[RequestedLoad], load: RequestedLoad, free_in: Sequence[float]
) -> None:
    """Insert a load without a latest start before the first one of a lower weight.

    It comes after the loads that callers were promised if these would start too late otherwise.
    """
    lighter = (i for i, other in enumerate(scheduled) if other.weight < load.weight)
    position = next(lighter, len(scheduled))
    promised = [i for i, other in enumerate(scheduled) if other.in_time and other.has_promise]
    after_promised = max(promised, default=-1) + 1
    if position < after_promised:
        delayed = [*scheduled[:position], load, *scheduled[position:after_promised]]
        if not start_in_time([each for each in delayed if each.from_store], free_in):
            position = after_promised
    scheduled.insert(position, load)


def start_in_time(
    loads: Sequence[RequestedLoad],
    free_in: Sequence[float],
    tolerance_seconds: float = ROUNDING_SECONDS,
) -> bool:
    """Return whether all loads start in time, one after the other at the next free place."""
    if not free_in:
        return False
    ends = queue_ends((load.load_seconds for load in loads), free_in)
    return all(
        end - load.load_seconds <= load.latest_start_in + tolerance_seconds
        for load, end in zip(loads, ends, strict=True)
    )
