"""Reloads the settings file of a running daemon: on SIGHUP, and when its content changes.

If the file is unreadable or invalid, the current settings stay in effect and each fault is logged
once. The daemon decides which sections can change without a restart.
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
    """A daemon that can apply changed settings while it runs."""

    def apply_settings(self, settings: Settings, changed: tuple[str, ...]) -> tuple[str, ...]:
        """Apply the changed sections; returns those that need a restart."""


def changed_sections(before: Settings, after: Settings) -> tuple[str, ...]:
    """Return the names of the top-level sections that differ."""
    fields = msgspec.structs.fields(Settings)
    return tuple(f.name for f in fields if getattr(before, f.name) != getattr(after, f.name))


class SettingsReloader:
    """Watches a settings file and applies its changes to a daemon."""

    def __init__(
        self,
        path: Path,
        load: Callable[[], Settings],
        current: Settings,
        daemon: Reloadable,
        clock: Clock,
    ) -> None:
        """Create a reloader.

        :param load: reads and validates the file; raises :class:`SettingsError`.
        :param current: the settings in effect.
        """
        self._path = path
        self._load = load
        self._current = current
        self._daemon = daemon
        self._clock = clock
        self._content: bytes | None = None
        self._has_checked = False
        self._reload_requested = asyncio.Event()

    def install_signal_handler(self) -> None:
        """Check the file on each SIGHUP."""
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self._reload_requested.set)

    async def run(self) -> None:
        """Check the file periodically and on SIGHUP, until cancelled."""
        while True:
            await self._wait_for_trigger()
            signalled = self._reload_requested.is_set()
            self._reload_requested.clear()
            try:
                self.check_file(signalled)
            except Exception as error:
                log_state("settings", "failed", path=str(self._path), error=repr(error))

    async def _wait_for_trigger(self) -> None:
        tasks = [
            asyncio.ensure_future(self._reload_requested.wait()),
            asyncio.ensure_future(self._clock.sleep_ms(POLL_INTERVAL_MS)),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()

    def check_file(self, signalled: bool) -> None:
        """Reload the file if its content has changed.

        The first check always loads it, since it may have changed while the daemon started.

        :param signalled: whether SIGHUP was received; the file is then reloaded in any case.
        """
        content = _read_bytes(self._path)
        is_first, self._has_checked = not self._has_checked, True
        if content == self._content and not signalled and not is_first:
            return
        self._content = content
        try:
            settings = self._load()
        except SettingsError as error:
            faults = [str(fault) for fault in error.exceptions]
            log_state("settings", "rejected", path=str(self._path), faults=faults, told=signalled)
            return
        if signalled or not is_first or settings != self._current:
            self._apply(settings, signalled)

    def _apply(self, settings: Settings, signalled: bool) -> None:
        changed = changed_sections(self._current, settings)
        need_restart = self._daemon.apply_settings(settings, changed) if changed else ()
        self._current = settings
        log_state(
            "settings", "reloaded", changed=changed, need_restart=need_restart, told=signalled
        )


def _read_bytes(path: Path) -> bytes | None:
    """Return the content of a file; None if it cannot be read."""
    try:
        return path.read_bytes()
    except OSError:
        return None
