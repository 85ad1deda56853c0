"""Slots: how a replica's concurrency is lent to routers. Pure functions.

Within one engine each group gets places in proportion to its share, as far as it asks for them;
each router gets its part of every group's places, in proportion to what the group asks for there.
So the groups' shares hold over the cell, with no message per request.
"""

from msgspec import Struct


class SlotDemand(Struct, frozen=True):
    """Requests of one group at one router for one engine; ``active`` is waiting and running."""

    router: str
    group: str
    active: int


def max_min_fair(
    total: int, weights: dict[str, float], requested: dict[str, int]
) -> dict[str, float]:
    """Divide places by weight, none getting more than it wants (max-min fair).

    :param total: places to divide.
    :param weights: weight of each taker, above 0.
    :param wanted: how many places each asks for.
    :returns: places of each taker, as fractions.
    """
    allocated = dict.fromkeys(weights, 0.0)
    unsatisfied = {claimant for claimant in weights if requested.get(claimant, 0) > 0}
    remaining = float(total)
    while unsatisfied and remaining > 1e-9:
        weight_sum = sum(weights[claimant] for claimant in unsatisfied)
        offer = {claimant: remaining * weights[claimant] / weight_sum for claimant in unsatisfied}
        satisfied = {t for t in unsatisfied if allocated[t] + offer[t] >= requested[t]}
        if not satisfied:
            for claimant in unsatisfied:
                allocated[claimant] += offer[claimant]
            break
        for claimant in satisfied:
            remaining -= requested[claimant] - allocated[claimant]
            allocated[claimant] = float(requested[claimant])
        unsatisfied -= satisfied
    return allocated


class SlotAllocation(Struct, frozen=True):
    """What one router is lent of an engine.

    :param slots: requests that it may run there at once.
    :param places: how much of that is for each group, as fractions.
    """

    slots: int
    group_slots: dict[str, float] = {}


def allocate_slots(
    concurrency: int,
    demands: list[SlotDemand],
    shares: dict[str, float],
    routers: list[str],
) -> dict[str, SlotAllocation]:
    """Return what each router is lent of an engine's places.

    Every router keeps at least one, so that a first request need not wait for a loan; places that
    nobody asks for are lent evenly.
    """
    if not routers:
        return {}
    requested: dict[str, int] = {}
    for demand in demands:
        requested[demand.group] = requested.get(demand.group, 0) + demand.active
    weights = {group: shares.get(group, 1.0) for group in requested}
    group_totals = max_min_fair(concurrency, weights, requested)
    group_slots: dict[str, dict[str, float]] = {router: {} for router in routers}
    for demand in demands:
        if demand.router in group_slots and requested[demand.group]:
            share = group_totals[demand.group] * demand.active / requested[demand.group]
            router_slots = group_slots[demand.router]
            router_slots[demand.group] = router_slots.get(demand.group, 0.0) + share
    fractional = {
        router: sum(router_slots.values()) for router, router_slots in group_slots.items()
    }
    spare = max(0.0, concurrency - sum(fractional.values()))
    slots = _round(
        {r: value + spare / len(routers) for r, value in fractional.items()}, concurrency
    )
    return {router: SlotAllocation(slots[router], group_slots[router]) for router in routers}


def _round(fractional: dict[str, float], total: int) -> dict[str, int]:
    """Round places down, then give the rest to the largest remainders; at least one to each."""
    rounded = {router: max(1, int(value)) for router, value in fractional.items()}
    order = sorted(
        fractional, key=lambda router: (int(fractional[router]) - fractional[router], router)
    )
    for router in order:
        if sum(rounded.values()) >= total:
            break
        rounded[router] += 1
    return rounded
