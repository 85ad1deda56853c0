"""What failures cost: time until orders go on, replicas over the limit, requests lost or doubled.

Real processes on one machine: a site of three daemons and three engines in three zones.
"""

import contextlib
import random
import signal
import time
from collections.abc import Iterator
from typing import Any

import msgspec
from msgspec import Struct
from rich.progress import track

from bench.statistics import quantiles
from features.support.acting import start_site, voters
from features.support.caller import Reply, Request, chat, plain
from features.support.processes import wait_until
from features.support.site import DaemonProcess, Site, peak_replicas

MODEL_MEMORY_MIB = 100
ENGINE_MEMORY_MIB = 200_000
LOAD_SECONDS = 0.2


class FailoverResult(Struct, frozen=True):
    """Time from a failure of the controller to the next order that an engine took, in seconds."""

    failure: str
    runs: int
    p50: float
    max: float
    warm_refused: int


class BurstResult(Struct, frozen=True):
    """Bursts under random failures, with the balance of all requests."""

    seed: int
    bursts: int
    over_limit: int
    peak_by_limit: dict[int, int]
    sent: int
    answered: int
    refused: int
    lost: int
    run_twice: int
    not_run_but_ran: int
    failures: dict[str, int]


def _add_models(site: Site, count: int, limits: list[int]) -> None:
    for number in range(count):
        version = {
            "name": "v1",
            "memory_mib": MODEL_MEMORY_MIB,
            "load_seconds": LOAD_SECONDS,
        }
        site.catalog["models"].append(
            {
                "name": f"model-{number}",
                "group": "school",
                "current": "v1",
                "versions": [version],
                "max_replicas": limits[number % len(limits)],
            }
        )


@contextlib.contextmanager
def _site(models: int, limits: list[int], applications: int = 0) -> Iterator[Site]:
    site = Site()
    try:
        _add_models(site, models, limits)
        site.start_platform()
        for number in range(applications):
            site.start_application(f"booking-{number}", "booking", "zone-a")
        if applications:
            route = {"prefix": "/book", "application": "booking", "group": "school"}
            site.catalog["routes"].append(route)
        start_site(site, 3, 3, memory_mib=ENGINE_MEMORY_MIB)
        yield site
    finally:
        site.close()


def _controller(site: Site) -> DaemonProcess:
    wait_until(lambda: site.controller() is not None, "a daemon leads")
    controller = site.controller()
    assert controller is not None
    return controller


def _last_order(site: Site) -> float:
    times: list[float] = [statistics["last_order_at"] for statistics in site.statistics()]
    return max(times)


def _whole_again(site: Site) -> None:
    wait_until(lambda: all(d.ready for d in site.daemons.values()), "all daemons are ready")
    wait_until(lambda: len(voters(site)) == 3, "all seats are taken")
    _controller(site)


def _one_failover(site: Site, number: int, paused: bool) -> tuple[float, int]:
    """Fail the controller while cold and warm requests come in; return seconds and refusals."""
    controller = _controller(site)
    others = [d for d in site.daemons.values() if d is not controller]
    failed_at = time.monotonic()
    controller.signal(signal.SIGSTOP if paused else signal.SIGKILL)
    site.callers.begin([chat(others[0].address, f"model-{number + 1}")])
    site.callers.begin([chat(others[1].address, "model-0") for _ in range(10)])
    wait_until(lambda: _last_order(site) > failed_at, "an order is carried out")
    seconds = _last_order(site) - failed_at
    replies = site.callers.finish()
    if paused:
        controller.signal(signal.SIGCONT)
        wait_until(lambda: not controller.leading, "the paused daemon steps down")
    else:
        controller.kill()
        site.start_daemon(controller)
    _whole_again(site)
    return seconds, sum(reply.status != 200 for reply in replies[1:])


def failover(runs: int = 20) -> None:
    """Print a line of JSON for SIGKILL and one for SIGSTOP of the controller.

    Args:
        runs: how often each failure is brought about.
    """
    for paused in (False, True):
        with _site(runs + 1, [1]) as site:
            site.callers.begin([chat(d.address, "model-0") for d in site.daemons.values()])
            site.callers.finish()
            results = [
                _one_failover(site, number, paused)
                for number in track(range(runs), "SIGSTOP" if paused else "SIGKILL")
            ]
        times = quantiles([seconds for seconds, _ in results])
        result = FailoverResult(
            failure="SIGSTOP" if paused else "SIGKILL",
            runs=runs,
            p50=times.p50,
            max=times.max,
            warm_refused=sum(refused for _, refused in results),
        )
        print(msgspec.json.encode(result).decode(), flush=True)


class _Bursts:
    """Bursts on one site, each on a model that was never loaded, each with one failure."""

    def __init__(self, site: Site, source: random.Random, limits: list[int]) -> None:
        self._site = site
        self._random = source
        self._limits = limits
        self.replies: list[Reply] = []
        self.sent: list[Request] = []
        self.failures: dict[str, int] = {}

    def burst(self, number: int) -> None:
        """Send one burst to all daemons together with one failure in the middle."""
        failure = self._random.choice(["none", "kill", "pause", "lost orders", "lost answers"])
        self.failures[failure] = self.failures.get(failure, 0) + 1
        site = self._site
        controller = _controller(site)
        self._set_engine_faults(failure)
        # A caller whose own daemon is killed sees a broken connection; that proves nothing here.
        requests = self._requests(number, controller if failure == "kill" else None)
        self.sent += requests
        site.callers.begin(requests)
        time.sleep(self._random.uniform(0.0, LOAD_SECONDS))
        if failure in ("kill", "pause"):
            controller.signal(signal.SIGKILL if failure == "kill" else signal.SIGSTOP)
        if failure == "pause":
            wait_until(
                lambda: any(d.leading for d in site.daemons.values() if d is not controller),
                "another daemon leads",
            )
            controller.signal(signal.SIGCONT)
        self.replies += site.callers.finish()
        self._set_engine_faults("none")
        if failure == "kill":
            controller.kill()
            site.start_daemon(controller)
        if failure in ("kill", "pause"):
            _whole_again(site)

    def _set_engine_faults(self, failure: str) -> None:
        for engine in self._site.engines.values():
            if failure == "lost orders":
                engine.fault(lose_answers=True, matches="/v1/orders")
            else:
                engine.fault()
        for application in self._site.applications.values():
            application.fault(lose_answers=failure == "lost answers")

    def _requests(self, number: int, spared: DaemonProcess | None) -> list[Request]:
        daemons = [d for d in self._site.daemons.values() if d is not spared]
        requests = [
            chat(daemon.address, f"model-{number}", f"{number}-{index}-{daemon.name}")
            for daemon in daemons
            for index in range(self._random.randint(2, 12))
        ]
        for index in range(5):
            key = f"booking-{number}-{index}"
            requests += [
                plain(daemon.address, "POST", "/book/slot", b"x", idempotency_key=key)
                for daemon in daemons
            ]
        self._random.shuffle(requests)
        return requests

    def result(self, seed: int, bursts: int) -> BurstResult:
        """Return the balance, counted at callers and at back ends."""
        peaks: dict[int, int] = {}
        over = 0
        for number in range(bursts):
            limit = self._limits[number % len(self._limits)]
            peak = peak_replicas(self._site.holdings(f"model-{number}@v1"))
            peaks[limit] = max(peaks.get(limit, 0), peak)
            over += peak > limit
        executions = self._site.executions()
        bookings = {k: n for k, n in executions.items() if k.startswith("booking-")}
        refused = [r for r in self.replies if r.status not in (0, 200)]
        return BurstResult(
            seed=seed,
            bursts=bursts,
            over_limit=over,
            peak_by_limit=peaks,
            sent=len(self.sent),
            answered=sum(r.status == 200 and r.is_complete for r in self.replies),
            refused=len(refused),
            lost=sum(reply.status == 0 for reply in self.replies),
            run_twice=sum(count > 1 for count in bookings.values()),
            not_run_but_ran=self._false_not_run(refused, executions),
            failures=self.failures,
        )

    def _false_not_run(self, refused: list[Reply], executions: dict[str, Any]) -> int:
        said = [reply.request_id for reply in refused if reply.outcome == "not-run"]
        return sum(bool(executions.get(request_id)) for request_id in said)


def bursts(seed: int = 1, count: int = 50) -> None:
    """Print a line of JSON for seeded bursts, each with a failure drawn at random.

    No request is sent through a daemon that is about to be killed.

    Args:
        seed: of the order of failures and sizes of bursts.
        count: how many bursts.
    """
    limits = [1, 2, 1, 3]
    with _site(count, limits, applications=2) as site:
        run = _Bursts(site, random.Random(seed), limits)
        for number in track(range(count), f"bursts, seed {seed}"):
            run.burst(number)
        print(msgspec.json.encode(run.result(seed, count)).decode(), flush=True)
