"""Takes up a changed settings file while a daemon runs: at SIGHUP, and when its bytes differ.

A file that cannot be read or has faults changes nothing: what is in force stays, and each fault is
logged once. Which sections can change without a restart is the daemon's to say.
"""

import asyncio
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

import msgspec

from loomwind.clock import Clock
from loomwind.logs import log_state
from loomwind.settings import Settings, SettingsError

POLL_INTERVAL_MS = 1000.0


class Reloadable(Protocol):
    """A daemon that can take up new settings."""

    def apply_settings(self, settings: Settings, changed: tuple[str, ...]) -> tuple[str, ...]:
        """Put changed sections in force; returns those that need a restart."""


def changed_sections(before: Settings, after: Settings) -> tuple[str, ...]:
    """Return the names of the top-level settings that differ."""
    fields = msgspec.structs.fields(Settings)
    return tuple(f.name for f in fields if getattr(before, f.name) != getattr(after, f.name))


class SettingsReloader:
    """Follows one settings file."""

    def __init__(
        self,
        path: Path,
        load: Callable[[], Settings],
        current: Settings,
        daemon: Reloadable,
        clock: Clock,
    ) -> None:
        """Make a reloader.

        :param load: reads and checks the file; raises :class:`SettingsError`.
        :param current: the settings in force.
        """
        self._path = path
        self._load = load
        self._current = current
        self._daemon = daemon
        self._clock = clock
        self._content = _content(path)
        self._requested = asyncio.Event()

    def install_signal_handler(self) -> None:
        """Look at the file at each SIGHUP."""
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self._requested.set)

    async def run(self) -> None:
        """Follow for ever."""
        while True:
            await self._wait_for_next_look()
            told = self._requested.is_set()
            self._requested.clear()
            self.look(told)

    async def _wait_for_next_look(self) -> None:
        waits = [
            asyncio.ensure_future(self._requested.wait()),
            asyncio.ensure_future(self._clock.sleep_ms(POLL_INTERVAL_MS)),
        ]
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()

    def look(self, told: bool) -> None:
        """Read the file if it has changed, or if an operator said so.

        :param told: whether a signal asked for it.
        """
        content = _content(self._path)
        if content == self._content and not told:
            return
        self._content = content
        try:
            settings = self._load()
        except SettingsError as error:
            faults = [str(fault) for fault in error.exceptions]
            log_state("settings", "rejected", path=str(self._path), faults=faults, told=told)
            return
        self._put_in_force(settings, told)

    def _put_in_force(self, settings: Settings, told: bool) -> None:
        changed = changed_sections(self._current, settings)
        need_restart = self._daemon.apply_settings(settings, changed) if changed else ()
        self._current = settings
        log_state("settings", "reloaded", changed=changed, need_restart=need_restart, told=told)


def _content(path: Path) -> bytes | None:
    """Return a file's bytes; None when it cannot be read."""
    try:
        return path.read_bytes()
    except OSError:
        return None
