"""Random faults of daemons, servers and the store, which follow each other quickly and overlap."""

import random
import signal
import time
from collections.abc import Callable

from features.support.pool_site import MODEL_SERVICE, PoolDaemonProcess, PoolSite
from features.support.processes import wait_until

MIN_PAUSE_SECONDS = 0.2
MAX_PAUSE_SECONDS = 1.5
MAX_SERVERS = 5
VERSIONS = ("v1", "v2", "v3")
STORE_FAULTS: tuple[dict[str, object], ...] = (
    {"mode": "silent"},
    {"mode": "throttle"},
    {"mode": "reset"},
    {"lose_answers": True, "late_seconds": 1.0},
    {"delay_seconds": 0.15},
)


class SoakFaults:
    """Strikes a site with one random fault after the other, and starts ended daemons again.

    :ivar own_ends: names of daemons that ended without a signal.
    """

    def __init__(self, site: PoolSite, source: random.Random, event_seconds: float) -> None:
        """Create the faults.

        :param event_seconds: time between the events of servers that are added.
        """
        self._site = site
        self._source = source
        self._event_seconds = event_seconds
        self._servers_added = 0
        self._restart_at: dict[str, float] = {}
        self._reloaded: set[str] = set()
        self.own_ends: list[str] = []

    def strike(self) -> float:
        """Inject one fault, start what is due again, and return the pause in seconds."""
        self._source.choice(self._faults())()
        self._restart_due()
        return self._source.uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS)

    def _faults(self) -> tuple[Callable[[], None], ...]:
        """Return the faults to choose from; the frequent ones stand in it several times."""
        return (
            self._kill_daemon,
            self._kill_daemon,
            self._kill_all_daemons,
            self._stop_daemon,
            self._reload_daemon,
            self._add_server,
            self._add_server,
            self._remove_server,
            self._change_store,
            self._change_store,
        )

    def end(self) -> None:
        """End all faults."""
        self._site.set_store_faults()
        wait_until(self._all_restarted, "all daemons have ended and were started again")
        self._site.wait_ready()

    def _all_restarted(self) -> bool:
        self._restart_due()
        return not self._restart_at

    def _restart_due(self) -> None:
        """Start the daemons that have ended and are due again; stopping one may take seconds.

        SIGHUP ends a process that has not set its handlers yet.
        """
        for daemon in self._site.daemons.values():
            if daemon.name not in self._restart_at and daemon not in self._running():
                if daemon.name not in self._reloaded:
                    self.own_ends.append(daemon.name)
                self._restart_at[daemon.name] = time.monotonic()
        for name, due in list(self._restart_at.items()):
            daemon = self._site.daemons[name]
            has_ended = daemon.process is None or not daemon.process.alive
            if has_ended and time.monotonic() >= due:
                del self._restart_at[name]
                self._reloaded.discard(name)
                self._start_daemon(daemon)

    def _start_daemon(self, daemon: PoolDaemonProcess) -> None:
        daemon.start()

    def _running(self) -> list[PoolDaemonProcess]:
        daemons = self._site.daemons.values()
        return [d for d in daemons if d.process is not None and d.process.alive]

    def _end_daemon(self, daemon: PoolDaemonProcess, number: signal.Signals) -> None:
        assert daemon.process is not None
        daemon.process.signal(number)
        self._restart_at[daemon.name] = time.monotonic() + self._source.uniform(0.0, 1.0)

    def _kill_daemon(self) -> None:
        if running := self._running():
            self._end_daemon(self._source.choice(running), signal.SIGKILL)

    def _kill_all_daemons(self) -> None:
        for daemon in self._running():
            self._end_daemon(daemon, signal.SIGKILL)

    def _stop_daemon(self) -> None:
        if running := self._running():
            self._end_daemon(self._source.choice(running), signal.SIGTERM)

    def _reload_daemon(self) -> None:
        running = [daemon for daemon in self._running() if daemon.name not in self._restart_at]
        if running:
            daemon = self._source.choice(running)
            assert daemon.process is not None
            self._reloaded.add(daemon.name)
            daemon.process.signal(signal.SIGHUP)

    def _model_servers(self) -> list[str]:
        servers = self._site.servers.items()
        return sorted(name for name, server in servers if server.service == MODEL_SERVICE)

    def _add_server(self) -> None:
        if len(self._model_servers()) >= MAX_SERVERS:
            return
        self._start_server(self._source.choice(VERSIONS))

    def _start_server(self, software_version: str) -> None:
        self._servers_added += 1
        name = f"added-{self._servers_added}"
        self._site.add_model_server(name, "m1", software_version=software_version)
        self._site.servers[name].fault(event_seconds=self._event_seconds)

    def _remove_server(self) -> None:
        names = self._model_servers()
        if len(names) <= 1:
            return
        self._end_server(self._source.choice(names))

    def _end_server(self, name: str) -> None:
        server = self._site.servers.pop(name)
        instance = server.state()["instance"]
        server.process.kill()
        self._site.apply(remove=[{"table": "servers", "key": instance}])

    def _change_store(self) -> None:
        self._site.set_store_faults(**self._source.choice((*STORE_FAULTS, {}, {})))
