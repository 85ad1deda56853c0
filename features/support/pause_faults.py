"""Pauses of sound servers and of daemons, beside configuration changes, restarts and releases."""

import functools
import math
import random
import signal
import threading
import time
from collections.abc import Callable

from features.support.pool_site import PoolDaemonProcess, PoolSite
from features.support.processes import Process
from features.support.soak_changes import Change, random_change
from features.support.soak_faults import MAX_SERVERS, SoakFaults
from features.support.soak_record import DaemonLife, Interval, SoakRecord

SERVER_PAUSES_SECONDS = (0.5, 1.5)
DAEMON_PAUSES_SECONDS = (1.0, 4.0)
STORE_RESET_SECONDS = 0.3
JOIN_DELAY_SECONDS = 0.8
KILL_DELAYS_SECONDS = (0.7, 1.0)
# Longer than a server takes to start, to serve streams and to lose some of their daemons.
RELEASE_PAUSES_SECONDS = (3.2, 4.0)
OPENING_POLL_SECONDS = 0.05
# How new streams fail at one server while another one is suspended.
LATE_FAILURES = ("errors", "close", "reset", "shed", "mute", "trickle")
LATE_SECONDS = (0.3, 0.8)
# Long enough that requests are moved away from the server that is suspended.
FAILURE_PAUSES_SECONDS = (1.5, 2.2)
# The share of the faults beside which this is begun.
FAILURES_SHARE = 0.3
FAILURE_OUTLASTS_SECONDS = (0.0, 0.5)
# A server that pauses again at once would be silent for longer than a sound one.
MIN_SOUND_SECONDS = 1.0
PAUSES_BETWEEN_FAULTS_SECONDS = (0.1, 0.6)
CHANGES_IN_SERIES = (2, 5)
PAUSES_BETWEEN_CHANGES_SECONDS = (0.05, 0.4)
MS_PER_SECOND = 1000


class PauseFaults(SoakFaults):
    """Strikes a site with pauses, changes and restarts, and records each of them."""

    def __init__(
        self,
        site: PoolSite,
        source: random.Random,
        failure_source: random.Random,
        event_seconds: float,
        record: SoakRecord,
    ) -> None:
        """Create the faults; the daemons of the site run already.

        :param failure_source: of the servers that fail while others are suspended.
        """
        super().__init__(site, source, event_seconds)
        self._failure_source = failure_source
        self._failing: set[str] = set()
        self._record = record
        self._routes = [fields["name"] for fields in site.routes]
        self._sound_from: dict[str, float] = {}
        self._suspended: dict[str, threading.Timer] = {}
        self._releases = 0
        self._is_opening = True
        self._due: list[tuple[float, Callable[[], None]]] = []
        self._series: threading.Thread | None = None
        for daemon in site.daemons:
            record.lives[daemon].append(DaemonLife(time.time()))
        self._record_configuration()

    def strike(self) -> float:
        """Inject one fault, run what is due, and return the pause in seconds.

        A soak begins with a release, without other faults until streams of the new version have
        been interrupted.
        """
        if not self._record.events:
            self._release()
        self._run_due()
        if not self._is_opening:
            super().strike()
            if self._failure_source.random() < FAILURES_SHARE:
                self._suspend_beside_failures()
            return self._source.uniform(*PAUSES_BETWEEN_FAULTS_SECONDS)
        self._is_opening = bool(self._due)
        return OPENING_POLL_SECONDS

    def _run_due(self) -> None:
        now = time.monotonic()
        due = [action for at, action in self._due if at <= now]
        self._due = [(at, action) for at, action in self._due if at > now]
        for action in due:
            action()

    def end(self) -> None:
        """End all faults."""
        for timer in list(self._suspended.values()):
            timer.join()
        if self._series is not None:
            self._series.join()
        for name in sorted(self._failing):
            self._end_failures(name)
        super().end()

    def _faults(self) -> tuple[Callable[[], None], ...]:
        return (
            *[self._suspend_servers] * 8,
            *[self._change_configuration] * 5,
            self._suspend_daemons,
            self._release,
            self._kill_daemon,
            self._stop_daemon,
            *[self._reload_daemon] * 2,
            self._add_server,
            self._remove_server,
            *[self._change_store] * 2,
            self._discard_history,
        )

    def _note(self, text: str) -> None:
        self._record.events.append((time.time(), text))

    # Pauses.

    def _suspend_servers(self) -> None:
        """Suspend one or several servers, plain ones and those in the middle of streams."""
        now = time.monotonic()
        names = sorted(self._site.servers)
        chosen = self._source.sample(names, self._source.randint(1, len(names)))
        seconds = self._source.uniform(*SERVER_PAUSES_SECONDS)
        for name in chosen:
            if now >= self._sound_from.get(name, 0.0):
                self._sound_from[name] = now + seconds + MIN_SOUND_SECONDS
                process = self._site.servers[name].process
                self._suspend(name, process, seconds, [])

    def _suspend_beside_failures(self) -> None:
        """Suspend a model server while one or all of the others that run fail new streams."""
        source, now = self._failure_source, time.monotonic()
        busy = {*self._suspended, *self._failing}
        sound = (n for n in self._model_servers() if now >= self._sound_from.get(n, 0.0))
        names = [name for name in sound if name not in busy]
        if len(names) < 2:
            return
        paused, *others = source.sample(names, len(names))
        seconds = source.uniform(*FAILURE_PAUSES_SECONDS)
        ends = now + seconds + source.uniform(*FAILURE_OUTLASTS_SECONDS)
        for name in others[: source.choice((1, MAX_SERVERS))]:
            self._fail_new_streams(name)
            self._due.append((ends, functools.partial(self._end_failures, name)))
        self._sound_from[paused] = now + seconds + MIN_SOUND_SECONDS
        self._suspend(paused, self._site.servers[paused].process, seconds, [])

    def _fail_new_streams(self, name: str) -> None:
        source = self._failure_source
        kind, late_seconds = source.choice(LATE_FAILURES), source.uniform(*LATE_SECONDS)
        after = "" if kind == "shed" else source.choice(("", "", "head", "event"))
        self._record.failing_servers[name].append(Interval(time.time(), math.inf))
        self._failing.add(name)
        self._site.servers[name].fault(
            event_seconds=self._event_seconds,
            late_failure=kind,
            late_seconds=late_seconds,
            late_after=after,
        )
        self._note(f"{name} fails new streams: {kind} {late_seconds:.2f} s after {after or 'all'}")

    def _end_failures(self, name: str) -> None:
        """End the failures of a server once it runs; the streams that it has taken still fail."""
        if name not in self._failing:
            return
        if name in self._suspended:
            self._due.append((time.monotonic(), functools.partial(self._end_failures, name)))
            return
        self._failing.discard(name)
        if name in self._site.servers:
            self._site.servers[name].fault(event_seconds=self._event_seconds)
        intervals = self._record.failing_servers[name]
        intervals[-1] = Interval(intervals[-1].start_s, time.time())
        self._note(f"{name} serves new streams again")

    def _suspend_daemons(self) -> None:
        self._suspend_some_daemons(DAEMON_PAUSES_SECONDS)

    def _suspend_some_daemons(self, pauses_seconds: tuple[float, float]) -> None:
        """Suspend up to half of the daemons."""
        names = sorted(daemon.name for daemon in self._undisturbed())
        count = self._source.randint(1, max(1, len(self._site.daemons) // 2))
        for name in self._source.sample(names, min(count, len(names))):
            process = self._site.daemons[name].process
            assert process is not None
            seconds = self._source.uniform(*pauses_seconds)
            self._suspend(name, process, seconds, self._record.lives[name][-1].suspended)

    def _release(self) -> None:
        """Let a server of a new version join while some daemons are suspended.

        The store ends the calls that wait for changes before that, so that they wake without the
        news. Other daemons are killed a moment later: their streams are resumed, some at those.
        """
        if len(self._model_servers()) < MAX_SERVERS:
            self._suspend_some_daemons(RELEASE_PAUSES_SECONDS)
            self._site.set_store_faults(mode="reset", ends_feeds=True)
            self._note("the store ends all connections")
            now = time.monotonic()
            self._due.append((now + STORE_RESET_SECONDS, self._site.set_store_faults))
            self._due.append((now + JOIN_DELAY_SECONDS, self._join))

    def _join(self) -> None:
        self._releases += 1
        self._start_server(f"v{self._releases + 1}")
        delay_seconds = self._source.uniform(*KILL_DELAYS_SECONDS)
        self._due.append((time.monotonic() + delay_seconds, self._kill_some_daemons))

    def _kill_some_daemons(self) -> None:
        """Kill some of the daemons that run, but never the last one."""
        running = self._undisturbed()
        count = self._source.randint(1, max(1, len(running) - 1))
        for daemon in self._source.sample(running, min(count, len(running))):
            self._end_daemon(daemon, signal.SIGKILL)

    def _suspend(
        self, name: str, process: Process, seconds: float, intervals: list[Interval]
    ) -> None:
        start_s = time.time()
        intervals.append(Interval(start_s, start_s + seconds))
        process.signal(signal.SIGSTOP)
        self._note(f"{name} is suspended for {seconds:.2f} s")
        timer = threading.Timer(seconds, self._resume, (name, process, intervals, start_s))
        self._suspended[name] = timer
        timer.start()

    def _resume(
        self, name: str, process: Process, intervals: list[Interval], start_s: float
    ) -> None:
        process.signal(signal.SIGCONT)
        place = next(i for i, each in enumerate(intervals) if each.start_s == start_s)
        intervals[place] = Interval(start_s, time.time())
        self._suspended.pop(name, None)
        self._note(f"{name} goes on")

    def _undisturbed(self) -> list[PoolDaemonProcess]:
        """Return the daemons that are neither suspended nor about to end."""
        busy = {*self._suspended, *self._restart_at}
        return [daemon for daemon in self._running() if daemon.name not in busy]

    # Configuration.

    def _change_configuration(self) -> None:
        """Begin a quick series of changes, unless an earlier series is still under way."""
        count = self._source.randint(*CHANGES_IN_SERIES)
        changes = [random_change(self._source, self._routes) for _ in range(count)]
        pauses = [self._source.uniform(*PAUSES_BETWEEN_CHANGES_SECONDS) for _ in changes]
        if self._series is None or not self._series.is_alive():
            self._series = threading.Thread(target=self._apply, args=(changes, pauses))
            self._series.start()

    def _apply(self, changes: list[Change], pauses: list[float]) -> None:
        for change, pause in zip(changes, pauses, strict=True):
            change.apply(self._site)
            self._record_configuration()
            self._note(f"configuration {self._site.version}: {change}")
            time.sleep(pause)

    def _record_configuration(self) -> None:
        self._record.idle_limits_s.append(self._site.limits["idle-timeout-ms"] / MS_PER_SECOND)
        timeouts = [fields["timeout-ms"] / MS_PER_SECOND for fields in self._site.routes]
        self._record.route_timeouts_s.append(min(timeouts))

    # Restarts, releases and the store.

    def _start_daemon(self, daemon: PoolDaemonProcess) -> None:
        self._record.lives[daemon.name].append(DaemonLife(time.time()))
        self._note(f"{daemon.name} starts")
        super()._start_daemon(daemon)

    def _end_daemon(self, daemon: PoolDaemonProcess, number: signal.Signals) -> None:
        life = self._record.lives[daemon.name][-1]
        if number == signal.SIGKILL:
            life.killed_at_s = time.time()
        elif life.terminated_at_s is None:
            life.terminated_at_s = time.time()
        self._note(f"{daemon.name} gets {number.name}")
        super()._end_daemon(daemon, number)

    def _restart_due(self) -> None:
        """Start ended daemons again; one that was terminated has to end in an orderly way.

        SIGTERM ends a process that has not set its handlers yet, and serves nothing.
        """
        for name, daemon in self._site.daemons.items():
            life = self._record.lives[name][-1]
            status = daemon.process.exit_status if daemon.process else None
            is_orderly = status in (None, 0, -signal.SIGTERM)
            if not is_orderly and life.terminated_at_s and not life.killed_at_s:
                life.killed_at_s = time.time()
                self.own_ends.append(f"{name} after SIGTERM, with status {status}")
        super()._restart_due()

    def _reload_daemon(self) -> None:
        """Reload a daemon that is ready, and so has set its handlers."""
        ready = [daemon for daemon in self._undisturbed() if daemon.ready_status() == 200]
        if ready:
            daemon = self._source.choice(ready)
            assert daemon.process is not None
            self._note(f"{daemon.name} gets SIGHUP")
            daemon.process.signal(signal.SIGHUP)

    def _start_server(self, software_version: str) -> None:
        super()._start_server(software_version)
        name = f"added-{self._servers_added}"
        instance = self._site.servers[name].state()["instance"]
        self._note(f"{name} joins: {instance}, {software_version}")

    def _end_server(self, name: str) -> None:
        self._site.servers[name].process.signal(signal.SIGCONT)
        super()._end_server(name)
        self._note(f"{name} is killed")

    def _change_store(self) -> None:
        super()._change_store()
        self._note("the store has other faults")

    def _discard_history(self) -> None:
        self._site.discard_history()
        self._note("the store forgets its history")
