"""Steps about reloading the settings of a running daemon."""

import re
import signal
from typing import Any

from behave import then, when

from features.steps.pool_steps import first_daemon
from features.support.processes import wait_until


def settings_lines(context: Any, state: str) -> list[dict[str, Any]]:
    """Return the log lines of the first daemon that report this state of its settings."""
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
    wait_until(lambda: bool(settings_lines(context, state)), f"settings {state}")


@then("the first daemon applies {changed}, and needs a restart for {restart}")
def step_applies(context: Any, changed: str, restart: str) -> None:
    expected = (changed.split(" and "), [] if restart == "nothing" else [restart])

    def is_applied() -> bool:
        lines = settings_lines(context, "reloaded")
        return expected in [(line["changed"], line["need_restart"]) for line in lines]

    wait_until(is_applied, f"{changed} applied")


@when("daemon-1 gets SIGHUP")
def step_sighup(context: Any) -> None:
    context.site.daemons["daemon-1"].process.signal(signal.SIGHUP)


@then("daemon-1 still answers")
def step_still_answers(context: Any) -> None:
    daemon = context.site.daemons["daemon-1"]
    for _ in range(20):
        assert daemon.admin("/healthz") == "alive\n"
