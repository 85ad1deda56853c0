"""What weight store, load times and caches allow at best in a burst.

Two figures: a lower bound that no schedule can beat, and the p99 of a plain greedy schedule without
any overhead, which is what the product should come close to.
"""

from msgspec import Struct

from bench.statistics import quantiles
from loomwind.control.views import RELOAD_TIME_FACTORS
from loomwind.engines.protocol import CheckpointTier

DROPPED_SHARE = 0.01


class NeededLoad(Struct, frozen=True):
    """A load that a burst makes necessary.

    :param load_seconds: its time from the weight store at full speed.
    :param tier: the nearest tier that any engine has its weights in.
    :param arrivals: when its cold requests came, in seconds from the burst's start, in order.
    """

    model: str
    load_seconds: float
    tier: CheckpointTier
    arrivals: tuple[float, ...]

    @property
    def own_seconds(self) -> float:
        """Return how long the load takes where its weights are."""
        return self.load_seconds * RELOAD_TIME_FACTORS[self.tier]

    @property
    def remote(self) -> bool:
        """Whether the load takes the weight store."""
        return self.tier is CheckpointTier.REMOTE

    def waits(self, ready_at: float) -> list[float]:
        """Return how long its requests wait when it is ready at a time."""
        return [max(0.0, ready_at - arrival) for arrival in self.arrivals]


def p99_lower_bound(loads: list[NeededLoad], loads_per_second: float, parallel_loads: int) -> float:
    """Return a time that no schedule's p99 can be below, in seconds.

    Two bounds hold at once. Every request waits for its model's own load, which starts when the
    model is first asked for at the earliest. And the weight store starts so many loads a second and
    runs so many at once: even if the hundredth of the requests that is most easily left out is left
    out, the last of the remaining remote loads starts that late, and its first request came at
    ``latest`` at the latest. No overhead is counted, and memory is taken to suffice.
    """
    own = [wait for load in loads for wait in load.waits(load.arrivals[0] + load.own_seconds)]
    remote = sorted((load for load in loads if load.remote), key=lambda r: len(r.arrivals))
    dropped = 0
    while remote and dropped + len(remote[0].arrivals) <= DROPPED_SHARE * len(own):
        dropped += len(remote.pop(0).arrivals)
    by_own = quantiles(own).p99
    if not remote:
        return by_own
    times = [load.load_seconds for load in remote]
    first = min(load.arrivals[0] for load in remote)
    latest = max(load.arrivals[0] for load in remote)
    by_rate = first + (len(remote) - 1) / loads_per_second + min(times) - latest
    by_parallel = first + sum(times) / parallel_loads - latest
    return max(by_own, by_rate, by_parallel)


def greedy_p99(loads: list[NeededLoad], loads_per_second: float, parallel_loads: int) -> float:
    """Return the p99 of a schedule that starts, whenever it may, the longest load asked for."""
    waits = [
        wait
        for load in loads
        if not load.remote
        for wait in load.waits(load.arrivals[0] + load.own_seconds)
    ]
    open_loads = [load for load in loads if load.remote]
    running: list[float] = []
    now = 0.0
    while open_loads:
        running = [end for end in running if end > now]
        asked = [load for load in open_loads if load.arrivals[0] <= now]
        if not asked or len(running) >= parallel_loads:
            waiting_for = [load.arrivals[0] for load in open_loads if not asked]
            now = min([*waiting_for, *(running if asked else [])])
            continue
        chosen = max(asked, key=lambda load: load.load_seconds)
        open_loads.remove(chosen)
        waits += chosen.waits(now + chosen.load_seconds)
        running.append(now + chosen.load_seconds)
        now += 1.0 / loads_per_second
    return quantiles(waits).p99
