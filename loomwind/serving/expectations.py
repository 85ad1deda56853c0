"""When the leader expects a model or an adapter to be there, as a daemon was told. Pure."""

from collections.abc import Iterable

from msgspec import Struct

from loomwind.serving.demand import DemandKey

# The leader repeats its word within this time while requests wait.
VALID_MS = 1500.0
OVERDUE_READY_IN_MS = 100.0


class ExpectedTarget(Struct, frozen=True, array_like=True):
    """When a target should be there.

    :param ready_in_ms: from when this was said.
    """

    key: DemandKey
    ready_in_ms: float


class _ReadyTime(Struct, frozen=True):
    ready_at_ms: float
    received_at_ms: float

    def is_valid(self, now_ms: float) -> bool:
        """Whether this is to be believed: told lately, or the time it names is not over.

        A leader that is gone tells no more, while the load that it ordered goes on.
        """
        return now_ms - max(self.received_at_ms, self.ready_at_ms) <= VALID_MS


class Expectations:
    """What the leader has said lately."""

    def __init__(self) -> None:
        self._ready_times: dict[DemandKey, _ReadyTime] = {}

    def update(self, expected: Iterable[ExpectedTarget], now_ms: float) -> None:
        """Take in what the leader says."""
        self._ready_times = {
            key: ready_time
            for key, ready_time in self._ready_times.items()
            if ready_time.is_valid(now_ms)
        }
        for each in expected:
            self._ready_times[each.key] = _ReadyTime(now_ms + each.ready_in_ms, now_ms)

    def ready_in_ms(self, key: DemandKey, now_ms: float) -> float | None:
        """Return the time until a target should be there; None when nobody has said."""
        ready_time = self._ready_times.get(key)
        if ready_time is None or not ready_time.is_valid(now_ms):
            return None
        return max(OVERDUE_READY_IN_MS, ready_time.ready_at_ms - now_ms)
