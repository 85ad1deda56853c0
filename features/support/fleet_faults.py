"""What goes wrong with a store, links and daemons around a change, for tests in virtual time."""

import asyncio
import random
from collections.abc import Callable

from attrs import frozen

from features.support.simulated_fleet import Fleet

LOST_PART = 1 / 3
MOST_PART = 0.8
DEAF_SECONDS = 1.0
# A trouble may stand for any time, up to this one, before the change.
MAX_FAULT_SECONDS = 3.0


def _all_is_well(fleet: Fleet, draw: random.Random) -> set[str]:
    return set()


async def lose_history(fleet: Fleet) -> None:
    """Let the feeds hear nothing for a while, and then lose the history of what was changed."""
    fleet.store.faults.deaf = True
    await asyncio.sleep(DEAF_SECONDS)
    fleet.store.faults.deaf = False
    fleet.store.discard_history()
    fleet.configuration.discard_history()


def _refuse_a_third(fleet: Fleet, draw: random.Random) -> set[str]:
    fleet.store.faults.refuses.update(_a_third(fleet, draw))
    return set()


def _silent_to_a_third(fleet: Fleet, draw: random.Random) -> set[str]:
    fleet.store.faults.silent_to.update(_a_third(fleet, draw))
    return set()


def _silent_to_four_fifths(fleet: Fleet, draw: random.Random) -> set[str]:
    unserved = draw.sample(fleet.names, round(MOST_PART * len(fleet.names)))
    fleet.store.faults.silent_to.update(unserved)
    return set()


def _silent_to_mirrors(fleet: Fleet, draw: random.Random) -> set[str]:
    fleet.store.faults.silent_to.update(fleet.mirrors)
    return set()


def _lose_questions(fleet: Fleet, draw: random.Random) -> set[str]:
    for table in (fleet.store, fleet.configuration):
        table.drop_pending_calls()
    return set()


def _cut_a_mirror_off(fleet: Fleet, draw: random.Random) -> set[str]:
    fleet.links.silent.add(draw.choice(fleet.mirrors))
    return set(fleet.links.silent)


def _lose_gossip(fleet: Fleet, draw: random.Random) -> set[str]:
    fleet.links.loses_gossip = True
    return set()


def _lose_gossip_and_refuse(fleet: Fleet, draw: random.Random) -> set[str]:
    fleet.links.loses_gossip = True
    return _refuse_a_third(fleet, draw)


def _lose_gossip_and_a_mirror(fleet: Fleet, draw: random.Random) -> set[str]:
    fleet.links.loses_gossip = True
    return _cut_a_mirror_off(fleet, draw)


def _lose_a_third(fleet: Fleet, draw: random.Random) -> set[str]:
    gone = {*fleet.mirrors, *_a_third(fleet, draw)}
    fleet.links.silent.update(gone)
    fleet.store.faults.silent_to.update(gone)
    return gone


def _a_third(fleet: Fleet, draw: random.Random) -> list[str]:
    return draw.sample(fleet.names, round(LOST_PART * len(fleet.names)))


@frozen
class Fault:
    """What goes wrong around a change.

    :param begin: sets faults a while before; returns the daemons that don't count.
    :param loses_history: whether the history of the feeds is lost at the change.
    """

    begin: Callable[[Fleet, random.Random], set[str]]
    loses_history: bool = False


FAULTS = {
    "all is well": Fault(_all_is_well),
    "the feeds hear nothing for 1 s and lose their history": Fault(_all_is_well, True),
    "the store refuses a third of the daemons": Fault(_refuse_a_third),
    "the store is silent to a third of the daemons": Fault(_silent_to_a_third),
    "the store is silent to four fifths of the daemons": Fault(_silent_to_four_fifths),
    "the store is silent to all mirrors": Fault(_silent_to_mirrors),
    "the store loses the questions that it holds": Fault(_lose_questions),
    "a mirror is cut off, and the feeds lose their history": Fault(_cut_a_mirror_off, True),
    "a third of the daemons is gone, the mirrors first": Fault(_lose_a_third),
    "gossip is lost": Fault(_lose_gossip),
    "gossip is lost, and the store refuses a third": Fault(_lose_gossip_and_refuse),
    "gossip is lost, and a mirror is cut off": Fault(_lose_gossip_and_a_mirror),
    "gossip is lost, and the feeds lose their history": Fault(_lose_gossip, True),
}
