"""Which models have more callers than the servers that hold them have places. Pure."""

from collections.abc import Iterable

from loomwind.placement.plan import PlanInput


def excess_callers(inputs: PlanInput, names: Iterable[str]) -> dict[str, float]:
    """Return, of some models, those whose servers are all full, with the callers beyond the places.

    Models of one server share its places, and so what it has too few of.
    """
    excess_by_model: dict[str, float] = {}
    for name in names:
        holders = inputs.holders(name)
        shares = [_excess_requests(inputs, server.entry.instance, name) for server in holders]
        if shares and min(shares) > 0:
            excess_by_model[name] = sum(shares)
    return excess_by_model


def _excess_requests(inputs: PlanInput, instance: str, name: str) -> float:
    """Return how many of a model's requests at a server are beyond its places."""
    server = inputs.index.server(instance)
    running = inputs.index.total_requests(instance)
    excess = running - server.profile.slots
    if excess <= 0:
        return 0.0
    return excess * inputs.index.running_requests(instance, name) / running
