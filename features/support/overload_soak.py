"""Runs overload beside restarts, pauses and crashes, and judges how often servers fell over."""

import random
import signal
import threading
import time
from collections import Counter
from collections.abc import Callable
from functools import partial

from attrs import define, field

from features.support.open_loop import Outcome, send_at_rate
from features.support.overload import MODEL, PLACES, STREAM_SECONDS, OverloadRig
from features.support.pool_site import PoolDaemonProcess, PoolSite
from features.support.processes import wait_until
from features.support.soak import SoakOptions, strike_for
from features.support.soak_faults import SoakFaults

SERVERS = 5
TOLERANCES = (2, 5, 10)
LOADS = (0.5, 1.0, 2.0, 3.0)
PHASE_SECONDS = 1.5
NOTICE_SECONDS = 3.0
NOTICE_LOAD = 0.2
PAUSES_SECONDS = (0.5, 3.0)
# What the deployments allow: 2 falls and a tenth of the servers.
ALLOWED_FALLS = 2 + SERVERS // 10


@define
class OverloadResult:
    """What came of a soak.

    :ivar falls: how often servers fell over.
    :ivar own_ends: daemons that ended without a signal.
    """

    options: SoakOptions
    max_rejections: int
    falls: int
    events: list[str]
    outcomes: list[Outcome]
    own_ends: list[str]

    def summary(self) -> str:
        """Return the figures in a line."""
        statuses = dict(Counter(each.status for each in self.outcomes))
        return (
            f"seed {self.options.seed}, {self.options.daemons} daemons, more than "
            f"{self.max_rejections} rejections: {self.falls} falls, {statuses}, {self.events}"
        )


@define(slots=False)
class OverloadFaults(SoakFaults):
    """Restarts, pauses and crashes of daemons and servers."""

    rig: OverloadRig
    max_rejections: int
    random_source: random.Random
    events: list[str] = field(factory=list)
    timers: list[threading.Timer] = field(factory=list)
    lost_falls: int = 0

    def __attrs_post_init__(self) -> None:
        super().__init__(self.rig.site, self.random_source, 0.0)

    def _faults(self) -> tuple[Callable[[], None], ...]:
        named: dict[str, Callable[[], None]] = {
            "kill": self._kill_daemon,
            "stop": self._stop_daemon,
            "reload": self._reload_daemon,
            "pause": self._pause_daemon,
            "crash": self._restart_server,
            "store": self._change_store,
            "kill all": self._kill_all_daemons,
        }
        weights = {"kill": 2, "pause": 2, "crash": 2}
        return tuple(
            partial(self._strike, name, fault)
            for name, fault in named.items()
            for _ in range(weights.get(name, 1))
        )

    def _strike(self, name: str, fault: Callable[[], None]) -> None:
        self.events.append(name)
        fault()

    def _pause_daemon(self) -> None:
        running = self._running()
        if not running:
            return
        daemon = self.random_source.choice(running)
        assert daemon.process is not None
        daemon.process.signal(signal.SIGSTOP)
        timer = threading.Timer(
            self.random_source.uniform(*PAUSES_SECONDS), self._resume, (daemon, daemon.process)
        )
        self.timers.append(timer)
        timer.start()

    @staticmethod
    def _resume(daemon: PoolDaemonProcess, process: object) -> None:
        if daemon.process is process and daemon.process is not None and daemon.process.alive:
            daemon.process.signal(signal.SIGCONT)

    def _restart_server(self) -> None:
        """Kill a server and start it again at another address."""
        name = self.random_source.choice(self.rig.names)
        server = self.rig.site.servers[name]
        self.lost_falls += len(server.last_known_state()["fall_times_s"])
        server.process.kill()
        self.rig.site.add_model_server(name, MODEL, slots=PLACES)
        self.rig.set_faults_of(name, self.max_rejections)

    def end(self) -> None:
        """End all faults, and wait until everything runs."""
        for timer in self.timers:
            timer.join()
        super().end()


def run_overload_soak(options: SoakOptions) -> OverloadResult:
    """Run a soak with a site of its own, and judge it."""
    site = PoolSite()
    try:
        return _play(site, options)
    finally:
        site.end_processes()
        site.close()


def _play(site: PoolSite, options: SoakOptions) -> OverloadResult:
    source = random.Random(options.seed)
    rig = OverloadRig(site, options.seed)
    rig.add_servers(SERVERS)
    site.configure()
    for number in range(options.daemons):
        site.add_daemon(f"daemon-{number + 1}")
    site.wait_ready()
    max_rejections = source.choice(TOLERANCES)
    rig.set_faults(max_rejections)
    rig.play(NOTICE_LOAD, NOTICE_SECONDS)
    faults = OverloadFaults(rig, max_rejections, source)
    outcomes: list[Outcome] = []
    ends = time.monotonic() + options.seconds
    load = threading.Thread(target=_offer, args=(rig, options.seed, ends, outcomes))
    load.start()
    strike_for(options.seconds, faults)
    load.join()
    faults.end()
    servers = [site.servers[name] for name in rig.names]
    wait_until(lambda: all(each.is_up() for each in servers), "the servers are back")
    falls = sum(len(each.state()["fall_times_s"]) for each in servers) + faults.lost_falls
    return OverloadResult(options, max_rejections, falls, faults.events, outcomes, faults.own_ends)


def _offer(rig: OverloadRig, seed: int, ends: float, outcomes: list[Outcome]) -> None:
    """Offer loads in phases; callers keep their connections within each."""
    source = random.Random(f"{seed}-load")
    rate_per_s = SERVERS * PLACES / STREAM_SECONDS
    while time.monotonic() < ends:
        load = source.choice(LOADS)
        requests = rig.requests()
        outcomes += send_at_rate(requests, load * rate_per_s, PHASE_SECONDS, source.randrange(999))
