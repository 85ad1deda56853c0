"""Steps about settings that change while a daemon runs."""

import re
import signal
from typing import Any

from behave import then, when

from features.steps.pool_steps import first_daemon
from features.support.processes import wait_until


def settings_lines(context: Any, state: str) -> list[dict[str, Any]]:
    """Return what the first daemon has logged about its settings in a state."""
    lines = first_daemon(context).log_lines()
    return [
        line
        for line in lines
        if line["message_type"] == "loomwind:settings" and line["state"] == state
    ]


@when("the first daemon's settings get lease_ms = {lease} and zone = {zone}")
def step_change_settings(context: Any, lease: str, zone: str) -> None:
    path = first_daemon(context).settings_path
    text = re.sub(r"lease_ms = .*", f"lease_ms = {lease}", path.read_text())
    path.write_text(re.sub(r'zone = ".*"', f'zone = "{zone}"', text))


@then("the first daemon has logged settings {state}")
def step_logged(context: Any, state: str) -> None:
    wait_until(lambda: bool(settings_lines(context, state)), f"settings are {state}")


@then("the first daemon takes up {changed}, and needs a restart for {restart}")
def step_takes_up(context: Any, changed: str, restart: str) -> None:
    wanted = (changed.split(" and "), [] if restart == "nothing" else [restart])

    def taken_up() -> bool:
        lines = settings_lines(context, "reloaded")
        return wanted in [(line["changed"], line["need_restart"]) for line in lines]

    wait_until(taken_up, f"{changed} taken up")


@when("daemon-1 gets SIGHUP")
def step_hangup(context: Any) -> None:
    context.site.daemons["daemon-1"].process.signal(signal.SIGHUP)


@then("daemon-1 still answers")
def step_still_answers(context: Any) -> None:
    daemon = context.site.daemons["daemon-1"]
    for _ in range(20):
        assert daemon.admin("/healthz") == "alive\n"
