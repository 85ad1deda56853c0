"""Steps for signals to a daemon that has not finished starting.

Its settings file is a named pipe at first, so that the daemon waits for its content.
"""

import os
import signal
from pathlib import Path
from typing import Any

from behave import given, then, when

from features.steps.pool_steps import pool
from features.support.caller import plain, send
from features.support.pool_site import LOCALHOST
from features.support.processes import Process, free_port, wait_until


class StartingDaemon:
    """A daemon that waits for the content of its settings."""

    def __init__(self, folder: Path, store_address: str) -> None:
        self.admin_address = f"{LOCALHOST}:{free_port()}"
        self._settings = _settings(store_address, self.admin_address)
        self._path = folder / "starting.toml"
        os.mkfifo(self._path)
        self._log_path = folder / "starting.log"
        environment = {**os.environ, "LOOMWIND_SETTINGS": str(self._path)}
        self.process = Process("loomwind", ["serve"], self._log_path, environment)
        self._pipe = -1
        wait_until(self._open_pipe, "the daemon reads its settings")

    def _open_pipe(self) -> bool:
        """Open the pipe for writing; False while nobody reads it."""
        try:
            self._pipe = os.open(self._path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError:
            return False
        return True

    def log(self) -> str:
        """Return the log of the daemon."""
        return self._log_path.read_text()

    def finish_settings(self, new_settings: str = "") -> None:
        """Replace the pipe by a regular file, and give the daemon its settings.

        :param new_settings: lines that the file has in addition.
        """
        regular = self._path.with_suffix(".regular")
        regular.write_text(self._settings + new_settings)
        regular.replace(self._path)
        if self.process.alive:
            os.write(self._pipe, self._settings.encode())
        os.close(self._pipe)


def _settings(store_address: str, admin_address: str) -> str:
    ports = {name: free_port() for name in ("caller", "peer", "ready", "relay")}
    listen = "\n".join(f'{name} = "{LOCALHOST}:{port}"' for name, port in ports.items())
    return f"""
name = "starting"
zone = "zone-a"
[listen]
{listen}
admin = "{admin_address}"
[store]
address = "{store_address}"
"""


@given("a daemon that is still reading its settings")
def step_starting(context: Any) -> None:
    site = pool(context)
    context.starting = StartingDaemon(site.folder, site.store_address)
    context.add_cleanup(context.starting.process.close)


@when("the starting daemon gets SIGHUP")
def step_early_signal(context: Any) -> None:
    context.starting.process.signal(signal.SIGHUP)


@when("its settings have been read")
def step_settings_read(context: Any) -> None:
    context.starting.finish_settings()


@then("the started daemon answers")
def step_answers(context: Any) -> None:
    starting: StartingDaemon = context.starting

    def answers_or_ended() -> bool:
        return not starting.process.alive or _status(starting) == 200

    wait_until(answers_or_ended, "the daemon answers or has ended")
    assert starting.process.exit_status is None, starting.process.exit_status


def _status(starting: StartingDaemon) -> int:
    return send(plain(starting.admin_address, "GET", "/healthz")).status


@when("its settings are changed as soon as they have been read")
def step_settings_changed(context: Any) -> None:
    context.starting.finish_settings("[bounds]\nlease_ms = 1234\n")


@then("the started daemon applies bounds")
def step_applies_bounds(context: Any) -> None:
    starting: StartingDaemon = context.starting
    wait_until(lambda: '"changed":["bounds"]' in starting.log(), "changed bounds are applied")
