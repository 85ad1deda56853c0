"""Steps for how soon a fleet applies a configuration version, in virtual time."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from attrs import frozen
from behave import then, when

from features.support.fleet_faults import FAULTS, MAX_FAULT_SECONDS, discard_history
from features.support.simulated_fleet import Fleet
from features.support.virtual_time import run_in_virtual_time

SETTLE_SECONDS = 5.0
VERSIONS = 8
# Pauses between two versions, in seconds.
PACES: dict[str, Callable[[random.Random], float]] = {
    "every few seconds": lambda rng: rng.uniform(0.5, 4.0),
    "several a second": lambda rng: rng.uniform(0.06, 0.3),
}


@frozen
class LateVersion:
    """A version that some daemons did not apply in time.

    :param seed: seed of the run's random numbers.
    """

    seed: int
    version: int
    daemons: tuple[str, ...]


@when("{fault}, and configuration versions are written {pace}, in each of {count:d} runs")
def step_versions(context: Any, fault: str, pace: str, count: int) -> None:
    context.late = [
        late
        for seed in range(count)
        for late in run_in_virtual_time(_run(context, fault, pace, seed))
    ]


async def _run(context: Any, fault: str, pace: str, seed: int) -> list[LateVersion]:
    rng = random.Random(seed)
    random.seed(seed)
    fleet: Fleet = context.make_fleet()
    await fleet.start(rng)
    fleet.write_configuration()
    await asyncio.sleep(SETTLE_SECONDS)
    excluded = FAULTS[fault].inject(fleet, rng)
    await asyncio.sleep(rng.uniform(0.0, MAX_FAULT_SECONDS))
    if FAULTS[fault].loses_history:
        fleet.spawn(discard_history(fleet))
    checks = []
    for _ in range(VERSIONS):
        version = fleet.write_configuration()
        checks.append(asyncio.ensure_future(_check(context, fleet, excluded, seed, version)))
        await asyncio.sleep(PACES[pace](rng))
    found = await asyncio.gather(*checks)
    await fleet.stop()
    return [late for late in found if late.daemons]


async def _check(
    context: Any, fleet: Fleet, excluded: set[str], seed: int, version: int
) -> LateVersion:
    """Return the daemons that have not applied a version when the bound is over."""
    await asyncio.sleep(context.bound_seconds)
    late = tuple(
        daemon.name
        for daemon in fleet.daemons
        if daemon.name not in excluded and daemon.replicated_state.configuration_version < version
    )
    return LateVersion(seed, version, late)


@then("each daemon that can learn of a version has applied it, or a later one, within the bound")
def step_in_force(context: Any) -> None:
    assert not context.late, [
        (late.seed, late.version, len(late.daemons), late.daemons[:4]) for late in context.late
    ]
