"""Expected ready times of models and adapters, as received from the leader. No I/O."""

from collections.abc import Iterable

from msgspec import Struct

from loomwind.serving.demand import DemandKey

# While requests wait, the leader sends a new estimate within this time.
VALID_MS = 1500.0
OVERDUE_READY_IN_MS = 100.0


class ExpectedTarget(Struct, frozen=True, array_like=True):
    """The expected ready time of a target.

    :param ready_in_ms: time until it is ready, counted from when the leader sent it.
    """

    key: DemandKey
    ready_in_ms: float


class _ReadyTime(Struct, frozen=True):
    ready_at_ms: float
    received_at_ms: float

    def is_valid(self, now_ms: float) -> bool:
        """Whether this was received recently or its ready time was at most VALID_MS ago.

        If the leader fails it sends no more updates, but a load that it ordered continues.
        """
        return now_ms - max(self.received_at_ms, self.ready_at_ms) <= VALID_MS


class Expectations:
    """The leader's most recent estimates."""

    def __init__(self) -> None:
        self._ready_times: dict[DemandKey, _ReadyTime] = {}

    def update(self, expected: Iterable[ExpectedTarget], now_ms: float) -> None:
        """Store new estimates and drop expired ones."""
        self._ready_times = {
            key: ready_time
            for key, ready_time in self._ready_times.items()
            if ready_time.is_valid(now_ms)
        }
        for each in expected:
            self._ready_times[each.key] = _ReadyTime(now_ms + each.ready_in_ms, now_ms)

    def ready_in_ms(self, key: DemandKey, now_ms: float) -> float | None:
        """Return the time until a target should be ready; None without a valid estimate."""
        ready_time = self._ready_times.get(key)
        if ready_time is None or not ready_time.is_valid(now_ms):
            return None
        return max(OVERDUE_READY_IN_MS, ready_time.ready_at_ms - now_ms)
