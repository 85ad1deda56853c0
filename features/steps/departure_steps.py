"""Steps about how soon a fleet learns that a server leaves, in virtual time."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from attrs import frozen
from behave import given, then, when

from features.support.made_store import server_document
from features.support.server_list_fleet import Fleet
from features.support.virtual_time import run_in_virtual_time

SERVERS = 20
LEAVING = "s0"
LOST_PART = 1 / 3
SETTLE_SECONDS = 5.0
# A trouble may stand for any time, up to this one, before the server leaves.
LONGEST_TROUBLE_SECONDS = 3.0
DEAF_SECONDS = 1.0


@frozen
class Play:
    """How one play ended.

    :param seed: what the play was drawn from.
    :param late: the daemons that still used the server when the bound was over.
    """

    seed: int
    late: tuple[str, ...]


def _all_is_well(fleet: Fleet, draw: random.Random) -> set[str]:
    return set()


async def _end_of_history(fleet: Fleet) -> None:
    await asyncio.sleep(DEAF_SECONDS)
    fleet.store.faults.deaf = False
    fleet.store.forget_history()


def _refuse_a_third(fleet: Fleet, draw: random.Random) -> set[str]:
    fleet.store.faults.refuses.update(_a_third(fleet, draw))
    return set()


def _silent_to_a_third(fleet: Fleet, draw: random.Random) -> set[str]:
    fleet.store.faults.silent_to.update(_a_third(fleet, draw))
    return set()


def _silent_to_mirrors(fleet: Fleet, draw: random.Random) -> set[str]:
    fleet.store.faults.silent_to.update(fleet.mirrors)
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
class Trouble:
    """What goes wrong around a server's leaving.

    :param begin: sets faults a while before; returns the daemons that don't count.
    :param loses_history: whether the history of the feeds is lost as the server leaves.
    """

    begin: Callable[[Fleet, random.Random], set[str]]
    loses_history: bool = False


TROUBLES = {
    "all is well": Trouble(_all_is_well),
    "the feeds hear nothing for 1 s and lose their history": Trouble(_all_is_well, True),
    "the store refuses a third of the daemons": Trouble(_refuse_a_third),
    "the store is silent to a third of the daemons": Trouble(_silent_to_a_third),
    "the store is silent to all mirrors": Trouble(_silent_to_mirrors),
    "a mirror is cut off, and the feeds lose their history": Trouble(_cut_a_mirror_off, True),
    "a third of the daemons is gone, the mirrors first": Trouble(_lose_a_third),
    "gossip is lost": Trouble(_lose_gossip),
    "gossip is lost, and the store refuses a third": Trouble(_lose_gossip_and_refuse),
    "gossip is lost, and a mirror is cut off": Trouble(_lose_gossip_and_a_mirror),
    "gossip is lost, and the feeds lose their history": Trouble(_lose_gossip, True),
}


@given(
    "a fleet of {daemons:d} daemons, {mirrors:d} of them mirrors, "
    "under a drain bound of {bound:f} s"
)
def step_fleet(context: Any, daemons: int, mirrors: int, bound: float) -> None:
    context.bound_seconds = bound
    context.make_fleet = lambda: Fleet(daemons, mirrors, SERVERS, bound * 1000)


@given("entries of servers that change twice a second")
def step_changes(context: Any) -> None:
    context.change_seconds = 0.5


@when("{trouble}, and a server says that it leaves, in each of {count:d} plays")
def step_leaves(context: Any, trouble: str, count: int) -> None:
    context.plays = [run_in_virtual_time(_play(context, trouble, seed)) for seed in range(count)]


async def _play(context: Any, trouble: str, seed: int) -> Play:
    draw = random.Random(seed)
    random.seed(seed)
    fleet = context.make_fleet()
    await fleet.start(draw)
    fleet.spawn(_change_entries(fleet, draw, context.change_seconds))
    await asyncio.sleep(SETTLE_SECONDS)
    out_of_reach = TROUBLES[trouble].begin(fleet, draw)
    await asyncio.sleep(draw.uniform(0.0, LONGEST_TROUBLE_SECONDS))
    if TROUBLES[trouble].loses_history:
        fleet.store.faults.deaf = True
        fleet.spawn(_end_of_history(fleet))
    fleet.store.put(LEAVING, server_document("draining"))
    await asyncio.sleep(context.bound_seconds)
    late = tuple(
        daemon.name
        for daemon in fleet.daemons
        if daemon.name not in out_of_reach and daemon.uses(LEAVING)
    )
    await fleet.stop()
    return Play(seed, late)


async def _change_entries(fleet: Fleet, draw: random.Random, mean_seconds: float) -> None:
    """Change what servers hold, so that entries change for other reasons than leaving."""
    held = 0
    while True:
        await asyncio.sleep(draw.uniform(0.3, 1.7) * mean_seconds)
        held += 1
        name = f"s{draw.randrange(1, SERVERS)}"
        fleet.store.put(name, server_document("ready", held))


@then("each daemon that has a way to know stops using it within the bound")
def step_within_bound(context: Any) -> None:
    late = [play for play in context.plays if play.late]
    assert not late, [(play.seed, len(play.late), play.late[:5]) for play in late]
