"""Updates a server's report with events that happened after it was made. No I/O."""

from msgspec.structs import replace

from loomwind.serving.residency import holds
from loomwind.serving.views import HeldModel, ModelKey, Order, OrderKind, ServerReport


def with_loaded(report: ServerReport, target: ModelKey) -> ServerReport:
    """Return the report after a load of weights: held, with copies in host memory and on disk."""
    held = report.held
    if not holds(held, target):
        held = (*held, HeldModel(target.model))
    in_memory = report.in_memory | {target.model}
    on_disk = report.on_disk | {target.model}
    return replace(report, busy=False, held=held, in_memory=in_memory, on_disk=on_disk)


def with_adapter_order(report: ServerReport, order: Order) -> ServerReport:
    """Return the report after an order for an adapter was accepted."""
    target = order.target
    if order.kind is OrderKind.LOAD:
        return replace(report, pending_adapters=(*report.pending_adapters, target))
    held = tuple(_without_adapter(model, target) for model in report.held)
    return replace(report, held=held)


def with_loaded_adapter(report: ServerReport, target: ModelKey) -> ServerReport:
    """Return the report after a pending adapter was loaded."""
    pending = tuple(key for key in report.pending_adapters if key != target)
    held = tuple(
        HeldModel(model.name, (*model.adapters, target.adapter))
        if model.name == target.model
        else model
        for model in report.held
    )
    return replace(report, pending_adapters=pending, held=held)


def _without_adapter(model: HeldModel, target: ModelKey) -> HeldModel:
    if model.name != target.model:
        return model
    return HeldModel(model.name, tuple(a for a in model.adapters if a != target.adapter))
