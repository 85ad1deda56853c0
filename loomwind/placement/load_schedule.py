"""The order in which models without a loaded copy are loaded. Pure; times are in seconds."""

import heapq
from collections.abc import Iterable, Sequence

import attrs


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
    """

    name: str
    latest_start_in: float
    load_seconds: float
    callers: float
    priority: float
    missing_seconds: float
    from_store: bool = True

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
    def removal_order(self) -> tuple[float, float, str]:
        """Sort key of loads that cannot all start in time: the first one gives way.

        By weight, then lowest priority. Between equal numbers of callers the one that was requested
        first keeps its place.
        """
        return (self.weight, -self.priority, self.name)

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
        )


def schedule_loads(loads: Sequence[RequestedLoad], free_in: Sequence[float]) -> list[RequestedLoad]:
    """Return loads in the order in which they should start.

    A variant of the Moore-Hodgson algorithm: by their latest start, and whenever one from the
    store would start too late, the one of the lowest weight gives way. Those that have given
    way come last, highest weight first, as do those that no caller can wait for.

    :param free_in: when each place for a concurrent load is free.
    """
    cached: list[RequestedLoad] = []
    in_time: list[RequestedLoad] = []
    too_late: list[RequestedLoad] = []
    for load in sorted(loads, key=lambda load: load.start_order):
        if load.latest_start_in < 0:
            too_late.append(load)
            continue
        if not load.from_store:
            cached.append(load)
            continue
        in_time.append(load)
        if not _start_in_time(in_time, free_in):
            removed = min(in_time, key=lambda load: load.removal_order)
            in_time.remove(removed)
            too_late.append(removed)
    too_late.sort(key=lambda load: load.removal_order, reverse=True)
    return sorted(cached + in_time, key=lambda load: load.start_order) + too_late


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


def insert_by_weight(scheduled: list[RequestedLoad], load: RequestedLoad) -> None:
    """Insert a load without a latest start before the first one of a lower weight."""
    lighter = (i for i, other in enumerate(scheduled) if other.weight < load.weight)
    scheduled.insert(next(lighter, len(scheduled)), load)


def _start_in_time(loads: Sequence[RequestedLoad], free_in: Sequence[float]) -> bool:
    """Return whether all loads start in time, one after the other at the next free place."""
    ends = queue_ends((load.load_seconds for load in loads), free_in)
    return all(
        end - load.load_seconds <= load.latest_start_in
        for load, end in zip(loads, ends, strict=True)
    )
