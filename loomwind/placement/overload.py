"""Finds models with more requests than their servers have slots. Pure."""

from collections.abc import Iterable

from loomwind.placement.plan import PlanInput


def excess_callers(inputs: PlanInput, names: Iterable[str]) -> dict[str, float]:
    """Return the models whose servers are all full, with the number of requests beyond capacity.

    The models of a server share its slots, so its excess is split by their running requests.
    """
    excess_by_model: dict[str, float] = {}
    for name in names:
        holders = inputs.holders(name)
        shares = [_excess_requests(inputs, server.entry.instance, name) for server in holders]
        if shares and min(shares) > 0:
            excess_by_model[name] = sum(shares)
    return excess_by_model


def _excess_requests(inputs: PlanInput, instance: str, name: str) -> float:
    """Return a model's share of the requests that exceed a server's slots."""
    server = inputs.index.server(instance)
    running = inputs.index.total_requests(instance)
    excess = running - server.profile.slots
    if excess <= 0:
        return 0.0
    return excess * inputs.index.running_requests(instance, name) / running
