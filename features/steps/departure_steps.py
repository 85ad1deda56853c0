"""Steps about how soon a fleet learns that a server leaves, in virtual time."""

import asyncio
import random
from typing import Any

from attrs import frozen
from behave import given, then, when

from features.support.fake_store import server_document
from features.support.fleet_faults import FAULTS, MAX_FAULT_SECONDS, lose_history
from features.support.simulated_fleet import Fleet
from features.support.virtual_time import run_in_virtual_time

SERVERS = 20
LEAVING = "s0"
SETTLE_SECONDS = 5.0


@frozen
class Play:
    """How one play ended.

    :param seed: what the play was drawn from.
    :param late: the daemons that still used the server when the bound was over.
    """

    seed: int
    late: tuple[str, ...]


@given("a fleet of {daemons:d} daemons, {mirrors:d} of them mirrors, under a bound of {bound:f} s")
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
    out_of_reach = FAULTS[trouble].begin(fleet, draw)
    await asyncio.sleep(draw.uniform(0.0, MAX_FAULT_SECONDS))
    if FAULTS[trouble].loses_history:
        fleet.spawn(lose_history(fleet))
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
