"""The loads that requests need, from the leader's view of demand. Pure."""

import math
from collections.abc import Iterable, Mapping

from loomwind.placement.demand_view import PendingDemand
from loomwind.placement.load_schedule import RequestedLoad
from loomwind.placement.plan import PlanInput
from loomwind.serving.views import ModelKey


def requested_loads(
    inputs: PlanInput, pending_demand: Iterable[PendingDemand]
) -> list[RequestedLoad]:
    """Return one load for each requested model, for its callers if it has any."""
    loads: dict[str, RequestedLoad] = {}
    for pending in sorted(pending_demand, key=lambda pending: not pending.has_callers):
        name = pending.key.target.model
        if name in loads and not pending.has_callers:
            continue
        load = _requested_load(inputs, pending)
        if load is not None:
            loads[name] = loads[name].merge(load) if name in loads else load
    return list(loads.values())


def latest_start_in(inputs: PlanInput, pending: PendingDemand) -> float:
    """Return the time until which a load has to start for its callers; negative if that is past.

    It is now while callers keep coming that cannot wait so long: each moment another one is
    refused. It is minus infinity if none waits and none is expected during the load.
    """
    load_seconds = inputs.load_seconds(pending.key.target)
    latest = pending.latest_start_in(load_seconds) if pending.has_callers else -math.inf
    expected = inputs.rate(ModelKey(pending.key.target.model)) * load_seconds
    return 0.0 if latest < 0 and expected >= 1 else latest


def _requested_load(inputs: PlanInput, pending: PendingDemand) -> RequestedLoad | None:
    name = pending.key.target.model
    load_seconds = inputs.load_seconds(ModelKey(name))
    if not load_seconds:
        return None
    missing_seconds = max(0.0, inputs.now - pending.since)
    expected = inputs.rate(ModelKey(name)) * load_seconds
    return RequestedLoad(
        name,
        latest_start_in(inputs, pending),
        load_seconds,
        pending.waiting + pending.expected_retries + expected,
        pending.priority,
        missing_seconds,
        from_store=not inputs.index.cached_copies[name],
        last_start_in=(
            pending.last_leaves_in_seconds - load_seconds if pending.has_callers else -math.inf
        ),
        has_callers=pending.has_callers,
        promised_start_in=inputs.promised_start_in.get(name),
    )


def overload_loads(inputs: PlanInput, overloaded: Mapping[str, float]) -> list[RequestedLoad]:
    """Return a load for each model whose servers are full; its callers queue there already.

    :param overloaded: the number of requests beyond the slots of each model's servers.
    """
    loads = []
    for name in sorted(overloaded, key=lambda name: (-overloaded[name], name)):
        load_seconds = inputs.load_seconds(ModelKey(name))
        if load_seconds:
            loads.append(RequestedLoad(name, math.inf, load_seconds, overloaded[name], 0.0, 0.0))
    return loads
