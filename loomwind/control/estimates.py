"""Estimates when requested artifacts will be ready; pure functions, times in seconds."""

from loomwind.catalog.model import Catalog
from loomwind.control.remote_load_limiter import RemoteLoadLimiter
from loomwind.control.views import ClusterView, Plan
from loomwind.engines.protocol import CheckpointTier
from loomwind.messages import LoadEstimate
from loomwind.schema import Artifact

ROUNDING_SECONDS = 0.25


def estimate_loads(
    view: ClusterView, plan: Plan, limiter: RemoteLoadLimiter, in_flight: int, now: float
) -> tuple[LoadEstimate, ...]:
    """Return the expected time until each loading or waiting artifact is ready."""
    estimates = {}
    ready = {artifact for engine in view.engines for artifact in engine.ready}
    for engine in view.engines:
        for artifact in engine.in_transition - ready:
            seconds = engine.reload_seconds(artifact, view.catalog.load_seconds(artifact))
            estimates[artifact] = seconds
    position = 0
    for artifact in plan.waiting:
        load_seconds, remote = _load_time(view, artifact)
        wait = limiter.expected_wait(position, in_flight, load_seconds, now) if remote else 0.0
        position += remote
        estimates[artifact] = wait + load_seconds
    _add_base_loads(view.catalog, estimates)
    return tuple(
        LoadEstimate(artifact, _round(seconds)) for artifact, seconds in sorted(estimates.items())
    )


def _load_time(view: ClusterView, artifact: Artifact) -> tuple[float, bool]:
    """Return the shortest load time of an artifact, and whether it needs the weight store."""
    load_seconds = view.catalog.load_seconds(artifact)
    tiers = [e.tiers.get(artifact, CheckpointTier.REMOTE) for e in view.engines if e.usable]
    remote = all(tier is CheckpointTier.REMOTE for tier in tiers)
    times = [e.reload_seconds(artifact, load_seconds) for e in view.engines if e.usable]
    return min(times, default=load_seconds), remote


def _add_base_loads(catalog: Catalog, estimates: dict[Artifact, float]) -> None:
    for artifact in list(estimates):
        if artifact.adapter and artifact.base in estimates:
            estimates[artifact] = estimates[artifact.base] + catalog.load_seconds(artifact)


def _round(seconds: float) -> float:
    """Round up, so that an estimate does not change on every controller step."""
    steps = -(-seconds // ROUNDING_SECONDS)
    return steps * ROUNDING_SECONDS
