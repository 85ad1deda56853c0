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


def divide(total: int, weights: dict[str, float], wanted: dict[str, int]) -> dict[str, float]:
    """Divide places by weight, none getting more than it wants (max-min fair).

    :param total: places to divide.
    :param weights: weight of each taker, above 0.
    :param wanted: how many places each asks for.
    :returns: places of each taker, as fractions.
    """
    given = dict.fromkeys(weights, 0.0)
    open_takers = {taker for taker in weights if wanted.get(taker, 0) > 0}
    left = float(total)
    while open_takers and left > 1e-9:
        weight_sum = sum(weights[taker] for taker in open_takers)
        offer = {taker: left * weights[taker] / weight_sum for taker in open_takers}
        full = {t for t in open_takers if given[t] + offer[t] >= wanted[t]}
        if not full:
            for taker in open_takers:
                given[taker] += offer[taker]
            break
        for taker in full:
            left -= wanted[taker] - given[taker]
            given[taker] = float(wanted[taker])
        open_takers -= full
    return given


class SlotAllocation(Struct, frozen=True):
    """What one router is lent of an engine.

    :param slots: requests that it may run there at once.
    :param places: how much of that is for each group, as fractions.
    """

    slots: int
    places: dict[str, float] = {}


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
    asked: dict[str, int] = {}
    for demand in demands:
        asked[demand.group] = asked.get(demand.group, 0) + demand.active
    weights = {group: shares.get(group, 1.0) for group in asked}
    by_group = divide(concurrency, weights, asked)
    places: dict[str, dict[str, float]] = {router: {} for router in routers}
    for demand in demands:
        if demand.router in places and asked[demand.group]:
            part = by_group[demand.group] * demand.active / asked[demand.group]
            held = places[demand.router]
            held[demand.group] = held.get(demand.group, 0.0) + part
    exact = {router: sum(held.values()) for router, held in places.items()}
    spare = max(0.0, concurrency - sum(exact.values()))
    slots = _round({r: value + spare / len(routers) for r, value in exact.items()}, concurrency)
    return {router: SlotAllocation(slots[router], places[router]) for router in routers}


def _round(exact: dict[str, float], total: int) -> dict[str, int]:
    """Round places down, then give the rest to the largest remainders; at least one to each."""
    places = {router: max(1, int(value)) for router, value in exact.items()}
    order = sorted(exact, key=lambda router: (int(exact[router]) - exact[router], router))
    for router in order:
        if sum(places.values()) >= total:
            break
        places[router] += 1
    return places
