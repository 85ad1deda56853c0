"""Which server holds which model and adapter, from three sources of different age. Pure.

The directory lists it late; the leader reads it from the servers and tells it at once; and a
server that answers that it does not hold what a request needs is believed for a while.
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
    """A server has refused a target.

    :param until: when it may be asked again.
    :param refusals: how often it has refused lately.
    """

    until: float
    refusals: int


class ServerHolding(Struct, frozen=True, array_like=True):
    """What a server held when the leader read it.

    :param revision: the server's count of orders taken.
    :param coming: the model that it loads; empty for none.
    """

    instance: str
    revision: int
    held: tuple[HeldModel, ...]
    loading: str = ""


class LearnedConcurrencyLimit(Struct, frozen=True, array_like=True):
    """How many loads at once the weight store of a service serves, as a leader has learned.

    :param was_slow: whether more than that were seen to be slow.
    """

    service: str
    loads_at_once: int
    was_slow: bool


class AnnouncedLoad(Struct, frozen=True):
    """A load of a model's weights that a leader has told of.

    :param since: loop time at which it was first told.
    """

    model: str
    since: float


def holds(held: tuple[HeldModel, ...], target: ModelKey) -> bool:
    """Whether a list of models has the target."""
    for model in held:
        if model.name == target.model:
            return not target.adapter or target.adapter in model.adapters
    return False


class Residency:
    """Tells where a model can run now.

    :ivar store_limits: what a leader has learned of the weight store, by service.
    """

    def __init__(self) -> None:
        self._holdings: dict[str, ServerHolding] = {}
        self._holdings_received_at: dict[str, float] = {}
        self.store_limits: dict[str, LearnedConcurrencyLimit] = {}
        self._load_times: deque[float] = deque(maxlen=MAX_LOADS_REMEMBERED)
        self._loads: dict[str, AnnouncedLoad] = {}
        self._backoffs: dict[tuple[str, ModelKey], RefusalBackoff] = {}

    def loads_since(self, time: float) -> list[float]:
        """Return when loads were told of, since a time."""
        return [seen for seen in self._load_times if seen >= time]

    def update(self, holding: ServerHolding, now: float) -> None:
        """Take in what the leader has read."""
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
        """A server said that it does not hold the target."""
        seconds = MISSING_ADAPTER_BACKOFF_SECONDS if target.adapter else MISSING_BACKOFF_SECONDS
        self._back_off(instance, target, now, seconds)

    def record_refusal(self, instance: str, target: ModelKey, now: float) -> None:
        """A server refused the target unstarted: it is full, or the target is on its way out."""
        self._back_off(instance, target, now, REFUSED_BACKOFF_SECONDS)

    def _back_off(self, instance: str, target: ModelKey, now: float, seconds: float) -> None:
        """Ask a server no more for a while, longer each time that it refuses again."""
        known = self._backoffs.get((instance, target))
        refusals = known.refusals if known and now < known.until + BACKOFF_RESET_SECONDS else 0
        pause = seconds * 2 ** min(refusals, MAX_BACKOFF_DOUBLINGS)
        self._backoffs[(instance, target)] = RefusalBackoff(now + pause, refusals + 1)

    def is_loading(self, model: str) -> bool:
        """Whether a server loads a model, as far as the leader has told."""
        return any(holding.loading == model for holding in self._holdings.values())

    def announced_load(self, instance: str) -> AnnouncedLoad | None:
        """Return the load that a server carries out, as far as the leader has told."""
        holding = self._holdings.get(instance)
        return self._loads.get(instance) if holding is not None and holding.loading else None

    def held_by(self, entry: ServerEntry, now: float) -> tuple[HeldModel, ...]:
        """Return what a server holds, by the newest source.

        While a leader tells, its word goes first: an entry may stand at a later revision, since
        adapters that come move that too, and be older all the same.
        """
        holding = self._holdings.get(entry.instance)
        if holding is None:
            return entry.held
        fresh = now - self._holdings_received_at[entry.instance] <= LEADER_PRECEDENCE_SECONDS
        return holding.held if fresh or holding.revision >= entry.revision else entry.held

    def can_run(self, entry: ServerEntry, target: ModelKey, now: float) -> bool:
        """Whether a request for the target may be sent to a server."""
        backoff = self._backoffs.get((entry.instance, target))
        if backoff is not None and now < backoff.until:
            return False
        return holds(self.held_by(entry, now), target)

    def retain_only(self, instances: set[str]) -> None:
        """Drop what is known of servers that are not among those."""
        self._holdings = {name: held for name, held in self._holdings.items() if name in instances}
        self._holdings_received_at = {
            name: at for name, at in self._holdings_received_at.items() if name in instances
        }
        self._loads = {name: load for name, load in self._loads.items() if name in instances}
        self._backoffs = {
            key: known for key, known in self._backoffs.items() if key[0] in instances
        }
