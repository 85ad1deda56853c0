"""Tracks request gaps and idle times of artifacts, for the keep-alive policy."""

from msgspec import Struct

from loomwind.control.keep_alive import (
    FixedKeepAlive,
    GapHistogram,
    HistogramKeepAlive,
    KeepAlive,
    KeepAliveDecision,
    NeverUnload,
)
from loomwind.control.views import UsageView
from loomwind.schema import Artifact
from loomwind.settings import KeepAlivePolicy

NO_GAPS = GapHistogram()


def create_policy(settings: KeepAlivePolicy) -> KeepAlive:
    """Return the configured keep-alive policy."""
    if settings.policy == "fixed":
        return FixedKeepAlive(settings.fixed_seconds)
    if settings.policy == "never":
        return NeverUnload()
    return HistogramKeepAlive(settings.idle_hour_cost, settings.fixed_seconds)


class _CachedDecision(Struct, frozen=True):
    """A keep-alive decision and the inputs that it was computed from."""

    gap_count: int
    reload_seconds: float
    decision: KeepAliveDecision


class UsageTracker:
    """Usage of each artifact; times are monotonic, in seconds."""

    def __init__(self, policy: KeepAlive) -> None:
        self._policy = policy
        self._gaps: dict[Artifact, GapHistogram] = {}
        self._last_active: dict[Artifact, float] = {}
        self._decisions: dict[Artifact, _CachedDecision] = {}

    def record(self, artifact: Artifact, arrivals: int, active: int, now: float) -> None:
        """Record requests for an artifact, which also count as usage of its base model."""
        for used in {artifact, artifact.base}:
            if arrivals:
                if used not in self._gaps:
                    self._gaps[used] = GapHistogram()
                self._gaps[used].record_arrival(now)
            if arrivals or active:
                self._last_active[used] = now

    def start_idle(self, artifact: Artifact, now: float) -> None:
        """Start the idle time of an artifact that has not been used yet."""
        self._last_active.setdefault(artifact, now)

    def view(self, artifact: Artifact, reload_seconds: float, now: float) -> UsageView:
        """Return the idle time of an artifact and the keep-alive decision for it.

        :param reload_seconds: the duration of the artifact's next load.
        """
        idle_seconds = now - self._last_active.get(artifact, now)
        decision = self._decide(artifact, reload_seconds)
        preload_after = decision.preload_after_seconds
        preload = preload_after is not None and self._is_preload_due(
            idle_seconds, preload_after, artifact
        )
        return UsageView(idle_seconds, decision.keep_seconds, preload)

    def _decide(self, artifact: Artifact, reload_seconds: float) -> KeepAliveDecision:
        """Return the policy's decision, computed again only if its inputs have changed."""
        gaps = self._gaps.get(artifact) or NO_GAPS
        cached = self._decisions.get(artifact)
        if cached is None or (cached.gap_count, cached.reload_seconds) != (
            gaps.count,
            reload_seconds,
        ):
            decision = self._policy.decide(gaps, reload_seconds)
            cached = _CachedDecision(gaps.count, reload_seconds, decision)
            self._decisions[artifact] = cached
        return cached.decision

    def _is_preload_due(
        self, idle_seconds: float, preload_after: float, artifact: Artifact
    ) -> bool:
        gap_p99 = self._gaps[artifact].percentile(99)
        return preload_after <= idle_seconds <= 1.1 * gap_p99

    def artifacts(self) -> list[Artifact]:
        """Return all artifacts with recorded usage."""
        return list(self._last_active)
