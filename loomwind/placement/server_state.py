"""What a model server's report says of its memory, its copies and how long loads take. Pure."""

from loomwind.serving.views import EngineProfile, ServerReport


def used_mb(profile: EngineProfile, report: ServerReport) -> float:
    """Return the memory of all that a server holds or is getting, in MB."""
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
    """Whether a copy of a model's weights lies in host memory or on disk."""
    return name in report.in_memory or name in report.on_disk


def load_seconds(profile: EngineProfile, report: ServerReport, name: str) -> float:
    """Return the seconds that a load of a model takes, from the nearest copy in a report."""
    model = profile.model(name)
    if model is None:
        return 0.0
    if name in report.in_memory:
        return model.memory_load_seconds
    return model.disk_load_seconds if name in report.on_disk else model.load_seconds
