"""Steps for how soon a fleet learns of a departing server, in virtual time."""

import asyncio
import random
from typing import Any

from attrs import frozen
from behave import given, then, when

from features.support.fake_store import server_document
from features.support.fleet_faults import FAULTS, MAX_FAULT_SECONDS, discard_history
from features.support.simulated_fleet import Fleet
from features.support.virtual_time import run_in_virtual_time

SERVERS = 20
DRAINING_SERVER = "s0"
SETTLE_SECONDS = 5.0


@frozen
class RunResult:
    """Result of one run.

    :param seed: seed of the run's random numbers.
    :param late: daemons that still used the server after the bound.
    """

    seed: int
    late: tuple[str, ...]


@given("a fleet of {daemons:d} daemons with {mirrors:d} mirrors and a bound of {bound:f} s")
def step_fleet(context: Any, daemons: int, mirrors: int, bound: float) -> None:
    context.bound_seconds = bound
    context.make_fleet = lambda: Fleet(daemons, mirrors, SERVERS, bound * 1000)


@given("server entries that change twice a second")
def step_changes(context: Any) -> None:
    context.change_seconds = 0.5


@when("{fault}, and a server starts draining, in each of {count:d} runs")
def step_server_drains(context: Any, fault: str, count: int) -> None:
    context.runs = [run_in_virtual_time(_run(context, fault, seed)) for seed in range(count)]


async def _run(context: Any, fault: str, seed: int) -> RunResult:
    rng = random.Random(seed)
    random.seed(seed)
    fleet = context.make_fleet()
    await fleet.start(rng)
    fleet.spawn(_change_entries(fleet, rng, context.change_seconds))
    await asyncio.sleep(SETTLE_SECONDS)
    excluded = FAULTS[fault].inject(fleet, rng)
    await asyncio.sleep(rng.uniform(0.0, MAX_FAULT_SECONDS))
    if FAULTS[fault].loses_history:
        fleet.spawn(discard_history(fleet))
    fleet.store.put(DRAINING_SERVER, server_document("draining"))
    await asyncio.sleep(context.bound_seconds)
    late = tuple(
        daemon.name
        for daemon in fleet.daemons
        if daemon.name not in excluded and daemon.uses(DRAINING_SERVER)
    )
    await fleet.stop()
    return RunResult(seed, late)


async def _change_entries(fleet: Fleet, rng: random.Random, mean_seconds: float) -> None:
    """Change the models that servers hold, so that entries also change for other reasons."""
    held = 0
    while True:
        await asyncio.sleep(rng.uniform(0.3, 1.7) * mean_seconds)
        held += 1
        name = f"s{rng.randrange(1, SERVERS)}"
        fleet.store.put(name, server_document("ready", held))


@then("each daemon that can learn of it stops using the server within the bound")
def step_within_bound(context: Any) -> None:
    late = [result for result in context.runs if result.late]
    assert not late, [(result.seed, len(result.late), result.late[:5]) for result in late]
