"""Memory use, cached copies and load times derived from a model server's report. Pure."""

from loomwind.serving.views import EngineProfile, ServerReport


def used_mb(profile: EngineProfile, report: ServerReport) -> float:
    """Return the memory used by held models, their adapters and pending adapters, in MB."""
    total = 0.0
    for held in report.held:
        model = profile.model(held.name)
        if model is not None:
            total += model.memory_mb + len(held.adapters) * model.adapter_mb
    for pending in report.pending_adapters:
        model = profile.model(pending.model)
        total += model.adapter_mb if model is not None else 0.0
    return total


def has_copy(report: ServerReport, name: str) -> bool:
    """Return whether a model's weights are cached in host memory or on disk."""
    return name in report.in_memory or name in report.on_disk


def load_seconds(profile: EngineProfile, report: ServerReport, name: str) -> float:
    """Return the load time of a model in seconds, from its fastest cached copy or the store."""
    model = profile.model(name)
    if model is None:
        return 0.0
    if name in report.in_memory:
        return model.memory_load_seconds
    return model.disk_load_seconds if name in report.on_disk else model.load_seconds
