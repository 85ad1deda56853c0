"""Steps for a daemon that restarts while the store refuses its calls, in virtual time."""

import asyncio
import random
from typing import Any

from behave import then, when

from features.support.simulated_fleet import Fleet
from features.support.virtual_time import run_in_virtual_time

SETTLE_SECONDS = 5.0
REFUSED = "d8"
SERVER = "s0"


@when("the store permanently refuses the calls of one daemon, which restarts and knows no peers")
def step_starts_again(context: Any) -> None:
    context.run_restart = _run


async def _run(context: Any, within_seconds: float) -> None:
    rng = random.Random(0)
    random.seed(0)
    fleet: Fleet = context.make_fleet()
    await fleet.start(rng)
    fleet.write_configuration()
    await asyncio.sleep(SETTLE_SECONDS)
    fleet.store.faults.refused_daemons.add(REFUSED)
    daemon = fleet.restart(REFUSED)
    await asyncio.sleep(within_seconds)
    assert daemon.replicated_state.configuration_version == 1, (
        daemon.replicated_state.configuration_version
    )
    assert daemon.uses(SERVER)
    await fleet.stop()


@then("it has the configuration and a server of the newest list within {seconds:f} s")
def step_knows_all(context: Any, seconds: float) -> None:
    run_in_virtual_time(_run(context, seconds))
