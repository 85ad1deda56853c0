"""Which servers hold which models and adapters, from three sources of different age. No I/O.

The directory lags behind; the leader polls the servers and broadcasts changes at once; and after a
server answers that it does not hold the target of a request, it is skipped for a short time.
"""

from collections import deque

from msgspec import Struct

from loomwind.serving.views import HeldModel, ModelKey, ServerEntry

MISSING_BACKOFF_SECONDS = 0.15
REFUSED_BACKOFF_SECONDS = 0.25
MISSING_ADAPTER_BACKOFF_SECONDS = 0.12
MAX_BACKOFF_DOUBLINGS = 3
LEADER_PRECEDENCE_SECONDS = 8.0
BACKOFF_RESET_SECONDS = 6.0
MAX_LOADS_REMEMBERED = 4096


class RefusalBackoff(Struct, frozen=True):
    """Backoff after a server has refused a target.

    :param until: loop time from which requests for it may be sent again.
    :param refusals: the number of recent refusals in a row.
    """

    until: float
    refusals: int


class ServerHolding(Struct, frozen=True, array_like=True):
    """What a server held when the leader read it.

    :param revision: the number of orders that the server has accepted.
    :param loading: the model that it is loading; empty for none.
    :param unloading: the model that it was ordered to unload at this revision; empty for none.
    """

    instance: str
    revision: int
    held: tuple[HeldModel, ...]
    loading: str = ""
    unloading: str = ""


class LearnedConcurrencyLimit(Struct, frozen=True, array_like=True):
    """The weight store's limit on concurrent loads for a service, as learned by a leader.

    :param was_slow: whether loads were seen to be slow beyond this limit.
    """

    service: str
    loads_at_once: int
    was_slow: bool


class AnnouncedLoad(Struct, frozen=True):
    """A load of a model's weights that a leader has announced.

    :param since: loop time at which it was first announced.
    """

    model: str
    since: float


class AnnouncedUnload(Struct, frozen=True):
    """An unload of a model's weights that a leader has announced.

    :param revision: the server's revision since it accepted the order.
    """

    model: str
    revision: int


def holds(held: tuple[HeldModel, ...], target: ModelKey) -> bool:
    """Whether the held models include the target."""
    for model in held:
        if model.name == target.model:
            return not target.adapter or target.adapter in model.adapters
    return False


class Residency:
    """Tracks which servers can run which targets.

    :ivar store_limits: the learned limits on concurrent weight store loads, by service.
    """

    def __init__(self) -> None:
        self._holdings: dict[str, ServerHolding] = {}
        self._holdings_received_at: dict[str, float] = {}
        self.store_limits: dict[str, LearnedConcurrencyLimit] = {}
        self._load_times: deque[float] = deque(maxlen=MAX_LOADS_REMEMBERED)
        self._loads: dict[str, AnnouncedLoad] = {}
        self._backoffs: dict[tuple[str, ModelKey], RefusalBackoff] = {}

    def loads_since(self, time: float) -> list[float]:
        """Return the times since a given one at which loads were announced."""
        return [at for at in self._load_times if at >= time]

    def update(self, holding: ServerHolding, now: float) -> None:
        """Process what the leader has read from a server."""
        known = self._holdings.get(holding.instance)
        if holding.loading and (known is None or known.loading != holding.loading):
            self._load_times.append(now)
            self._loads[holding.instance] = AnnouncedLoad(holding.loading, now)
        if known is not None and known.revision > holding.revision:
            return
        self._holdings_received_at[holding.instance] = now
        if known != holding:
            self._holdings[holding.instance] = holding
            for key in [key for key in self._backoffs if key[0] == holding.instance]:
                del self._backoffs[key]

    def record_missing(self, instance: str, target: ModelKey, now: float) -> None:
        """Record that a server answered that it does not hold the target."""
        seconds = MISSING_ADAPTER_BACKOFF_SECONDS if target.adapter else MISSING_BACKOFF_SECONDS
        self._back_off(instance, target, now, seconds)

    def record_refusal(self, instance: str, target: ModelKey, now: float) -> None:
        """Record that a server refused a request without running it.

        The server is full or unloads the target.
        """
        self._back_off(instance, target, now, REFUSED_BACKOFF_SECONDS)

    def _back_off(self, instance: str, target: ModelKey, now: float, seconds: float) -> None:
        """Skip a server for a target; the pause doubles with each repeated refusal."""
        known = self._backoffs.get((instance, target))
        refusals = known.refusals if known and now < known.until + BACKOFF_RESET_SECONDS else 0
        pause = seconds * 2 ** min(refusals, MAX_BACKOFF_DOUBLINGS)
        self._backoffs[(instance, target)] = RefusalBackoff(now + pause, refusals + 1)

    def is_loading(self, model: str) -> bool:
        """Whether a server is loading a model, according to the leader."""
        return any(holding.loading == model for holding in self._holdings.values())

    def announced_load(self, instance: str) -> AnnouncedLoad | None:
        """Return the load in progress on a server, according to the leader."""
        holding = self._holdings.get(instance)
        return self._loads.get(instance) if holding is not None and holding.loading else None

    def announced_unload(self, instance: str) -> AnnouncedUnload | None:
        """Return the last order to a server if it is an unload, according to the leader."""
        holding = self._holdings.get(instance)
        if holding is None or not holding.unloading:
            return None
        return AnnouncedUnload(holding.unloading, holding.revision)

    def held_by(self, entry: ServerEntry, now: float) -> tuple[HeldModel, ...]:
        """Return what a server holds, according to the most recent source.

        Recent data from the leader takes precedence: a directory entry may be older even if its
        revision is higher, since loaded adapters increase the revision too.
        """
        holding = self._holdings.get(entry.instance)
        if holding is None:
            return entry.held
        fresh = now - self._holdings_received_at[entry.instance] <= LEADER_PRECEDENCE_SECONDS
        return holding.held if fresh or holding.revision >= entry.revision else entry.held

    def can_run(self, entry: ServerEntry, target: ModelKey, now: float) -> bool:
        """Whether requests for the target may be sent to a server."""
        backoff = self._backoffs.get((entry.instance, target))
        if backoff is not None and now < backoff.until:
            return False
        return holds(self.held_by(entry, now), target)

    def retain_only(self, instances: set[str]) -> None:
        """Drop the data of all servers but the given ones."""
        self._holdings = {
            name: holding for name, holding in self._holdings.items() if name in instances
        }
        self._holdings_received_at = {
            name: at for name, at in self._holdings_received_at.items() if name in instances
        }
        self._loads = {name: load for name, load in self._loads.items() if name in instances}
        self._backoffs = {
            key: backoff for key, backoff in self._backoffs.items() if key[0] in instances
        }
