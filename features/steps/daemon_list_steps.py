"""Steps about the rows that list the daemons in the store."""

import base64
import json
import signal
from typing import Any

from behave import given, then, when

from features.steps.pool_steps import pool
from features.support.caller import plain, send
from features.support.processes import wait_until

TABLE = "loomwind"


def lives(context: Any) -> dict[str, str]:
    """Return the process that each listed daemon's row names."""
    rows = {row["key"]: row["value"] for row in pool(context).rows(TABLE)}
    documents = {
        key.removeprefix("daemon/"): json.loads(base64.b64decode(value))
        for key, value in rows.items()
        if key.startswith("daemon/")
    }
    return {name: document["life"] for name, document in documents.items()}


def current_life(context: Any, name: str) -> str | None:
    """Return the life that the daemon's last process has logged at its start."""
    lines = pool(context).daemons[name].log_lines()
    starts = [line["life"] for line in lines if line.get("state") == "started"]
    return starts[-1] if starts else None


@given("the daemons {first:S} and {second:S} are listed")
def step_both_listed(context: Any, first: str, second: str) -> None:
    wait_until(lambda: {first, second} <= lives(context).keys(), "the daemons are listed")


@when("{name:S} stops")
def step_stop(context: Any, name: str) -> None:
    process = pool(context).daemons[name].process
    assert process is not None
    process.signal(signal.SIGTERM)
    wait_until(lambda: not process.alive, f"{name} has ended")


@when("{name:S} starts again and is listed")
def step_start(context: Any, name: str) -> None:
    earlier = current_life(context, name)
    pool(context).daemons[name].start()
    wait_until(lambda: current_life(context, name) != earlier, f"{name} has started")
    step_listed(context, name)


@when("the store has carried out all late writes")
def step_no_late_writes(context: Any) -> None:
    site = pool(context)

    def none_left() -> bool:
        reply = send(plain(site.store_address, "GET", "/_late"))
        return bool(json.loads(reply.body) == 0)

    wait_until(none_left, "no write is late")


@when("the row of {name:S} is removed")
def step_remove_row(context: Any, name: str) -> None:
    pool(context).apply(remove=[{"table": TABLE, "key": f"daemon/{name}"}])


@then("{name:S} is listed")
def step_listed(context: Any, name: str) -> None:
    """Wait until the row of the daemon names its running process."""
    life = current_life(context, name)
    wait_until(lambda: lives(context).get(name) == life, f"{name} is listed")
