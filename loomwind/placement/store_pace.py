"""The pace of weight store loads of one service: how many a second, and how many at once."""

from collections.abc import Sequence

from loomwind.clock import MS_PER_SECOND
from loomwind.logs import log_state
from loomwind.placement.load_rate_limiter import LoadRateLimiter
from loomwind.placement.server_tracker import ServerTracker
from loomwind.placement.store_concurrency import (
    FinishedLoad,
    LoadInProgress,
    StoreConcurrencyLimit,
)
from loomwind.serving.residency import LearnedConcurrencyLimit


class StorePace:
    """Combines the rate that the configuration allows with the concurrency that was learned."""

    def __init__(self, rate: LoadRateLimiter, concurrency: StoreConcurrencyLimit) -> None:
        self._rate = rate
        self._concurrency = concurrency
        self._in_progress = 0

    def observe(self, servers: Sequence[ServerTracker], now: float) -> None:
        """Count the loads in progress, and learn from those that take longer than expected."""
        self._in_progress = sum(server.uses_store(now) for server in servers)
        in_progress = sum(server.may_load_from_store(now) for server in servers)
        self._concurrency.observe(in_progress, now * MS_PER_SECOND)
        before = self._concurrency.limit
        loads = [load for server in servers if (load := server.store_load) is not None]
        self._concurrency.check_overdue(loads, now * MS_PER_SECOND)
        self._log_change(before, "overdue", _max_slowdown(loads, now * MS_PER_SECOND))

    def allows(self, now: float) -> bool:
        """Whether the rate allows one more load to start now."""
        return self._rate.allows(now)

    @property
    def limit(self) -> int:
        """Return how many loads may be in progress at once."""
        return self._concurrency.limit

    @property
    def free_loads(self) -> int:
        """Return how many more loads may be in progress, as of the last observation."""
        return max(0, self._concurrency.limit - self._in_progress)

    def record_start(self, now: float) -> None:
        """Record that a load is ordered."""
        self._rate.record(now)

    def record_finished(self, load: FinishedLoad, now: float) -> None:
        """Learn from a finished load."""
        before = self._concurrency.limit
        self._concurrency.record_finished(load, now * MS_PER_SECOND)
        self._log_change(before, "finished", load.slowdown)

    def _log_change(self, before: int, reason: str, slowness: float) -> None:
        """Log a change of the limit.

        :param reason: whether a finished load or overdue ones have changed it.
        """
        if self._concurrency.limit != before:
            log_state(
                "weight-store",
                "paced",
                loads_at_once=self._concurrency.limit,
                before=before,
                reason=reason,
                slowness=round(slowness, 2),
                in_progress=self._in_progress,
            )

    def learned(self, service: str) -> LearnedConcurrencyLimit:
        """Return what was learned, for the next leader."""
        return self._concurrency.snapshot(service)


def _max_slowdown(loads: Sequence[LoadInProgress], now_ms: float) -> float:
    """Return the largest slowdown of loads in progress, or 0 without any."""
    return max((load.slowdown(now_ms) for load in loads), default=0.0)
