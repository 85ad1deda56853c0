"""Allocates the concurrency of each engine to the routers; pure functions.

Each group gets slots of an engine in proportion to its share, up to its demand. Each router gets a
part of every group's slots, in proportion to the group's demand at that router. This enforces the
shares over the whole cell without a message per request.
"""

from msgspec import Struct


class SlotDemand(Struct, frozen=True):
    """Requests of one group at one router for one engine.

    :param active: the number of queued and running requests.
    """

    router: str
    group: str
    active: int


def max_min_fair(
    total: int, weights: dict[str, float], requested: dict[str, int]
) -> dict[str, float]:
    """Divide slots among claimants by weighted max-min fairness.

    :param total: the number of slots to divide.
    :param weights: the weight of each claimant, above 0.
    :param requested: the number of slots that each claimant can use.
    :returns: the slots of each claimant; may be fractional.
    """
    allocated = dict.fromkeys(weights, 0.0)
    unsatisfied = {claimant for claimant in weights if requested.get(claimant, 0) > 0}
    remaining = float(total)
    while unsatisfied and remaining > 1e-9:
        weight_sum = sum(weights[claimant] for claimant in unsatisfied)
        offer = {claimant: remaining * weights[claimant] / weight_sum for claimant in unsatisfied}
        satisfied = {c for c in unsatisfied if allocated[c] + offer[c] >= requested[c]}
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
    """Slots of one engine that are allocated to one router.

    :param slots: the number of requests that the router may run on the engine concurrently.
    :param group_slots: the part of the slots for each group; may be fractional.
    """

    slots: int
    group_slots: dict[str, float] = {}


def allocate_slots(
    concurrency: int,
    demands: list[SlotDemand],
    shares: dict[str, float],
    routers: list[str],
) -> dict[str, SlotAllocation]:
    """Return the allocation of an engine's slots to each router.

    Every router gets at least one slot, so that its first request does not have to wait for an
    allocation. Slots without demand are divided evenly.
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
    """Round by the largest remainder method, with at least one slot for each router."""
    rounded = {router: max(1, int(value)) for router, value in fractional.items()}
    order = sorted(
        fractional, key=lambda router: (int(fractional[router]) - fractional[router], router)
    )
    for router in order:
        if sum(rounded.values()) >= total:
            break
        rounded[router] += 1
    return rounded
