"""Steps about reloading the settings of a running daemon."""

import asyncio
import re
import signal
import tempfile
from pathlib import Path
from typing import Any

from behave import given, then, when

from features.steps.pool_steps import first_daemon
from features.support.local_daemon import captured_log
from features.support.processes import wait_until
from features.support.virtual_time import run_in_virtual_time
from loomwind.clock import Clock
from loomwind.reload import POLL_INTERVAL_MS, SettingsReloader
from loomwind.settings import Settings


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


class FailingSettings:
    """Loads of settings that fail once, and the daemon that they are applied to."""

    def __init__(self) -> None:
        self.loads = 0
        self.applied: list[Settings] = []

    def load(self) -> Settings:
        """Return settings of a new name; the first call fails."""
        self.loads += 1
        if self.loads == 1:
            raise RecursionError("nested too deeply")
        return Settings(f"daemon-{self.loads}")

    def apply_settings(self, settings: Settings, changed: tuple[str, ...]) -> tuple[str, ...]:
        """Record the settings."""
        self.applied.append(settings)
        return ()


@given("a daemon whose settings fail once with an error that nothing expects")
def step_failing_settings(context: Any) -> None:
    context.settings = FailingSettings()


@when("they are changed again")
def step_change_again(context: Any) -> None:
    with captured_log() as context.lines, tempfile.TemporaryDirectory() as folder:
        run_in_virtual_time(_reload_twice(context.settings, Path(folder) / "settings.toml"))


def _change(path: Path, content: str) -> None:
    path.write_text(content)


async def _reload_twice(settings: FailingSettings, path: Path) -> None:
    reloader = SettingsReloader(path, settings.load, Settings("daemon-0"), settings, Clock())
    task = asyncio.ensure_future(reloader.run())
    for content in ("first", "second"):
        _change(path, content)
        await Clock().sleep_ms(2 * POLL_INTERVAL_MS)
    task.cancel()


@then("they are applied, and the failure is logged once")
def step_applied_after_failure(context: Any) -> None:
    assert [each.name for each in context.settings.applied] == ["daemon-2"], context.lines
    assert [line["state"] for line in context.lines] == ["failed", "reloaded"], context.lines
