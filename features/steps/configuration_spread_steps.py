"""Steps about how soon a fleet has a version of the configuration in force, in virtual time."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from attrs import frozen
from behave import then, when

from features.support.fleet_faults import FAULTS, MAX_FAULT_SECONDS, lose_history
from features.support.simulated_fleet import Fleet
from features.support.virtual_time import run_in_virtual_time

SETTLE_SECONDS = 5.0
VERSIONS = 8
# The pauses between two versions, in seconds.
PACES: dict[str, Callable[[random.Random], float]] = {
    "now and then": lambda draw: draw.uniform(0.5, 4.0),
    "several a second": lambda draw: draw.uniform(0.06, 0.3),
}


@frozen
class Late:
    """A version that was not in force in time at some daemons.

    :param seed: what the play was drawn from.
    """

    seed: int
    version: int
    daemons: tuple[str, ...]


@when("{trouble}, and versions of the configuration come {pace}, in each of {count:d} plays")
def step_versions(context: Any, trouble: str, pace: str, count: int) -> None:
    context.late = [
        late
        for seed in range(count)
        for late in run_in_virtual_time(_play(context, trouble, pace, seed))
    ]


async def _play(context: Any, trouble: str, pace: str, seed: int) -> list[Late]:
    draw = random.Random(seed)
    random.seed(seed)
    fleet: Fleet = context.make_fleet()
    await fleet.start(draw)
    fleet.write_configuration()
    await asyncio.sleep(SETTLE_SECONDS)
    out_of_reach = FAULTS[trouble].begin(fleet, draw)
    await asyncio.sleep(draw.uniform(0.0, MAX_FAULT_SECONDS))
    if FAULTS[trouble].loses_history:
        fleet.spawn(lose_history(fleet))
    checks = []
    for _ in range(VERSIONS):
        version = fleet.write_configuration()
        checks.append(asyncio.ensure_future(_check(context, fleet, out_of_reach, seed, version)))
        await asyncio.sleep(PACES[pace](draw))
    found = await asyncio.gather(*checks)
    await fleet.stop()
    return [late for late in found if late.daemons]


async def _check(
    context: Any, fleet: Fleet, out_of_reach: set[str], seed: int, version: int
) -> Late:
    """Return the daemons that lack a version when its time is over."""
    await asyncio.sleep(context.bound_seconds)
    late = tuple(
        daemon.name
        for daemon in fleet.daemons
        if daemon.name not in out_of_reach
        and daemon.replicated_state.configuration_version < version
    )
    return Late(seed, version, late)


@then("each daemon that has a way to know has each version, or a later one, in force in time")
def step_in_force(context: Any) -> None:
    assert not context.late, [
        (late.seed, late.version, len(late.daemons), late.daemons[:4]) for late in context.late
    ]
