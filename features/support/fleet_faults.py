"""Faults of the store, the network and daemons, injected around a change in virtual time."""

import asyncio
import random
from collections.abc import Callable

from attrs import frozen

from features.support.simulated_fleet import Fleet

THIRD = 1 / 3
FOUR_FIFTHS = 0.8
FEED_STALL_SECONDS = 1.0
# A fault is active for a random time, at most this long, before the change.
MAX_FAULT_SECONDS = 3.0


def _no_fault(fleet: Fleet, rng: random.Random) -> set[str]:
    return set()


async def discard_history(fleet: Fleet) -> None:
    """Stall the feeds for a while, then discard the history of changes."""
    fleet.store.faults.feeds_stalled = True
    await asyncio.sleep(FEED_STALL_SECONDS)
    fleet.store.faults.feeds_stalled = False
    fleet.store.discard_history()
    fleet.configuration.discard_history()


def _refuse_a_third(fleet: Fleet, rng: random.Random) -> set[str]:
    fleet.store.faults.refused_daemons.update(_a_third(fleet, rng))
    return set()


def _unresponsive_to_a_third(fleet: Fleet, rng: random.Random) -> set[str]:
    fleet.store.faults.unanswered_daemons.update(_a_third(fleet, rng))
    return set()


def _unresponsive_to_four_fifths(fleet: Fleet, rng: random.Random) -> set[str]:
    affected = rng.sample(fleet.names, round(FOUR_FIFTHS * len(fleet.names)))
    fleet.store.faults.unanswered_daemons.update(affected)
    return set()


def _unresponsive_to_mirrors(fleet: Fleet, rng: random.Random) -> set[str]:
    fleet.store.faults.unanswered_daemons.update(fleet.mirrors)
    return set()


def _drop_pending_calls(fleet: Fleet, rng: random.Random) -> set[str]:
    for table in (fleet.store, fleet.configuration):
        table.drop_pending_calls()
    return set()


def _isolate_a_mirror(fleet: Fleet, rng: random.Random) -> set[str]:
    fleet.network.unreachable.add(rng.choice(fleet.mirrors))
    return set(fleet.network.unreachable)


def _drop_gossip(fleet: Fleet, rng: random.Random) -> set[str]:
    fleet.network.drops_gossip = True
    return set()


def _drop_gossip_and_refuse(fleet: Fleet, rng: random.Random) -> set[str]:
    fleet.network.drops_gossip = True
    return _refuse_a_third(fleet, rng)


def _drop_gossip_and_isolate_a_mirror(fleet: Fleet, rng: random.Random) -> set[str]:
    fleet.network.drops_gossip = True
    return _isolate_a_mirror(fleet, rng)


def _stop_a_third(fleet: Fleet, rng: random.Random) -> set[str]:
    unreachable = {*fleet.mirrors, *_a_third(fleet, rng)}
    fleet.network.unreachable.update(unreachable)
    fleet.store.faults.unanswered_daemons.update(unreachable)
    return unreachable


def _a_third(fleet: Fleet, rng: random.Random) -> list[str]:
    return rng.sample(fleet.names, round(THIRD * len(fleet.names)))


@frozen
class Fault:
    """A fault around a change.

    :param inject: injects the fault before the change; returns the daemons excluded from the check.
    :param loses_history: whether the feeds stall and lose their history at the change.
    """

    inject: Callable[[Fleet, random.Random], set[str]]
    loses_history: bool = False


FAULTS = {
    "nothing fails": Fault(_no_fault),
    "the feeds stall for 1 s and lose their history": Fault(_no_fault, True),
    "the store refuses the calls of a third of the daemons": Fault(_refuse_a_third),
    "the store does not respond to a third of the daemons": Fault(_unresponsive_to_a_third),
    "the store does not respond to four fifths of the daemons": Fault(_unresponsive_to_four_fifths),
    "the store does not respond to any mirror": Fault(_unresponsive_to_mirrors),
    "the store drops its pending calls": Fault(_drop_pending_calls),
    "a mirror is isolated, and the feeds lose their history": Fault(_isolate_a_mirror, True),
    "the mirrors and a third of the daemons are down": Fault(_stop_a_third),
    "gossip is lost": Fault(_drop_gossip),
    "gossip is lost, and the store refuses the calls of a third of the daemons": Fault(
        _drop_gossip_and_refuse
    ),
    "gossip is lost, and a mirror is isolated": Fault(_drop_gossip_and_isolate_a_mirror),
    "gossip is lost, and the feeds lose their history": Fault(_drop_gossip, True),
}
