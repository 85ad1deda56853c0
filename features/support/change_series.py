"""Signals and changes of the configuration in quick series, while callers keep connections open."""

import signal
from collections.abc import Callable

from features.support.pause_faults import PauseFaults
from features.support.pool_site import PoolDaemonProcess
from features.support.soak_changes import Change, random_change

PAUSES_BETWEEN_ACTIONS_SECONDS = (0.02, 0.2)
LEASES_MS = (900, 1100, 1300)
SHORT_IDLE_LIMITS_MS = (1300, 2000)


class ChangeSeries(PauseFaults):
    """Reloads and terminates daemons beside changes; signals go on while a daemon stops."""

    def strike(self) -> float:
        """Take one action, start ended daemons again, and return the pause in seconds."""
        self._source.choice(self._faults())()
        self._restart_due()
        return self._source.uniform(*PAUSES_BETWEEN_ACTIONS_SECONDS)

    def _faults(self) -> tuple[Callable[[], None], ...]:
        return (
            *[self._change_once] * 6,
            *[self._lower_idle_limit] * 2,
            *[self._reload_any] * 5,
            self._change_settings,
            *[self._terminate] * 3,
        )

    def _change_once(self) -> None:
        self._apply_change(random_change(self._source, self._routes))

    def _lower_idle_limit(self) -> None:
        self._apply_change(Change("", "idle-timeout-ms", self._source.choice(SHORT_IDLE_LIMITS_MS)))

    def _apply_change(self, change: Change) -> None:
        change.apply(self._site)
        self._record_configuration()
        self._note(f"configuration {self._site.version}: {change}")

    def _with_handlers(self) -> list[PoolDaemonProcess]:
        """Return the daemons that have set their signal handlers: ready ones, and stopping ones."""
        return [each for each in self._running() if self._is_stopping(each) or _is_ready(each)]

    def _is_stopping(self, daemon: PoolDaemonProcess) -> bool:
        return self._record.lives[daemon.name][-1].terminated_at_s is not None

    def _reload_any(self) -> None:
        if daemons := self._with_handlers():
            daemon = self._source.choice(daemons)
            assert daemon.process is not None
            daemon.process.signal(signal.SIGHUP)
            self._note(f"{daemon.name} gets SIGHUP")

    def _change_settings(self) -> None:
        """Change the settings file of a daemon without a signal."""
        self._site.lease_ms = self._source.choice(LEASES_MS)
        daemon = self._source.choice(list(self._site.daemons.values()))
        daemon.write_settings()
        self._note(f"{daemon.name} has other settings")

    def _terminate(self) -> None:
        """Terminate a daemon, or once more one that stops already, but never all."""
        running = self._with_handlers()
        serving = [each for each in running if not self._is_stopping(each)]
        daemon = self._source.choice(running) if running else None
        if daemon is not None and (self._is_stopping(daemon) or len(serving) > 1):
            self._end_daemon(daemon, signal.SIGTERM)


def _is_ready(daemon: PoolDaemonProcess) -> bool:
    return daemon.ready_status() == 200
