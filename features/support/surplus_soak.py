"""Runs a soak of servers that send responses a second time, late, on the same connection.

Plain servers have few places, so that they reject many requests; callers come in bursts.
"""

import functools
import random
import threading
import time
from collections import Counter
from collections.abc import Callable

import msgspec
from attrs import define, field

from features.support.caller import Reply, Request, send
from features.support.pause_soak import (
    CHECKS,
    RETRIES_PER_DAEMON,
    SOAK_GRACE_SECONDS,
    SoakResult,
    keep_logs,
    recover,
    summarize,
    wait_until_serving,
)
from features.support.pool_site import PoolDaemonProcess
from features.support.processes import wait_until
from features.support.soak import SoakOptions, start_daemons, strike_for
from features.support.soak_callers import MODEL, MS_PER_SECOND, RESUMABLE, SoakCaller
from features.support.soak_changes import OPTIONAL_ROUTES, OTHER_PLAIN_SERVICE
from features.support.soak_record import Attempt, SoakRecord, SoakRoute
from features.support.surplus_checks import (
    foreign_answers,
    lost_answers,
    misread_orders,
    overcommitted_servers,
    refused_runs,
)
from features.support.surplus_faults import REPEAT_SHARES, Repeats, SurplusFaults, SurplusSite

STEADY_CALLERS_PER_DAEMON = 4
BURST_CALLERS_PER_DAEMON = 8
MAX_STEADY_CALLERS = 40
MAX_BURST_CALLERS = 70
BURST_PERIOD_SECONDS = 0.8
EVENT_SECONDS = 0.004
# Deadlines of requests; the shortest end while a request is refused again and again.
DEADLINES_SECONDS = (1.5, 3.0, 8.0)
TARGETS = (MODEL, MODEL, f"{MODEL}/a1", f"{MODEL}/a2", "m2", "m2/a1", "m3", "m4")
REPEAT_CHECKS: dict[str, Callable[[SoakRecord], list[str]]] = {
    "refused and ran": refused_runs,
    "foreign": foreign_answers,
    "lost": lost_answers,
    "misread order": misread_orders,
    "overcommitted": overcommitted_servers,
}


@define
class SurplusResult:
    """What the checks found, and the numbers of copies that the servers sent."""

    result: SoakResult
    copies: Counter[str]


@define
class SteadyCaller(SoakCaller):
    """Sends requests whose bodies tell them apart, for several models and adapters."""

    deadlines_s: dict[str, float] = field(factory=dict)

    def _request(self, route: SoakRoute, daemon: str) -> Request:
        request = super()._request(route, daemon)
        request_id = request.headers["x-request-id"]
        deadline_s = self.source.choice(DEADLINES_SECONDS)
        self.deadlines_s[request_id] = deadline_s
        request.headers["x-deadline-ms"] = str(int(deadline_s * MS_PER_SECOND))
        if route.is_stream and route is not RESUMABLE:
            request.headers["x-model"] = self.source.choice(TARGETS)
        return msgspec.structs.replace(request, body=request_id.encode())

    def _add(
        self,
        route: SoakRoute,
        daemon: str,
        reply: Reply,
        sent_at_s: float,
        rested_s: float,
        behind_end: bool = False,
    ) -> None:
        deadline_s = self.deadlines_s.pop(reply.request_id)
        self.record.attempts.append(
            Attempt(route, daemon, reply, deadline_s, sent_at_s, time.time(), rested_s, behind_end)
        )


@define
class BurstCaller(SteadyCaller):
    """Sends a request at the same moment as many others, now and then."""

    def _send_random(self) -> None:
        time.sleep(BURST_PERIOD_SECONDS - time.time() % BURST_PERIOD_SECONDS)
        self._plain()

    def _pause_after(self, reply: Reply) -> None:
        """Come back with the next burst."""


def run_surplus_soak(options: SoakOptions, share: float | None = None) -> SurplusResult:
    """Run a soak with a site of its own, and judge it.

    :param share: the share of responses that are repeated; None to have it chosen by the seed.
    """
    site = SurplusSite()
    if share is None:
        share = random.Random(f"{options.seed} share").choice(REPEAT_SHARES)
    repeats = Repeats(site, options.seed, EVENT_SECONDS, share)
    try:
        record = _play(site, options, repeats)
        for name in site.servers:
            repeats.count(name)
    finally:
        site.end_processes()
    record.read_runs()
    record.read_logs()
    findings = {name: check(record) for name, check in (CHECKS | REPEAT_CHECKS).items()}
    counts = {name: len(each) for name, each in findings.items() if each}
    summary = (
        f"{summarize(record, options)}; share {share:g}, copies {dict(repeats.sent)}; "
        f"found: {counts}"
    )
    logs = None
    if options.keep is not None and counts:
        logs = keep_logs(record, options.keep / f"seed-{options.seed}", findings, summary)
    site.close()
    return SurplusResult(SoakResult(findings, summary, logs), repeats.sent)


def _play(site: SurplusSite, options: SoakOptions, repeats: Repeats) -> SoakRecord:
    record = SoakRecord(site.folder, SOAK_GRACE_SECONDS)
    _build(site, options, repeats)
    stopping = threading.Event()
    faults = SurplusFaults(site, random.Random(options.seed), repeats, record)
    futures = [site.callers.run(each.run) for each in _callers(site, options, record, stopping)]
    try:
        strike_for(options.seconds, faults)
        recover(record, faults.end)
    finally:
        stopping.set()
    for future in futures:
        future.result()
    record.own_ends = faults.own_ends
    for name, daemon in site.daemons.items():
        recover(record, functools.partial(wait_until_serving, site, name))
        recover(record, functools.partial(_wait_for_models, site, daemon))
    return record


def _build(site: SurplusSite, options: SoakOptions, repeats: Repeats) -> None:
    site.plain_services.append(OTHER_PLAIN_SERVICE)
    site.grace_seconds = SOAK_GRACE_SECONDS
    site.retry_settings = f"retry_allowance = {RETRIES_PER_DAEMON * options.daemons}"
    site.routes += OPTIONAL_ROUTES.values()
    for name, held in (("first", "m1+m2"), ("second", "m1"), ("third", "m3")):
        site.add_model_server(name, held)
    site.add_plain_server("shop")
    site.add_plain_server("depot")
    site.add_plain_server("post", OTHER_PLAIN_SERVICE)
    start_daemons(site, options.daemons, EVENT_SECONDS)
    for name in site.servers:
        repeats.begin(name)


def _callers(
    site: SurplusSite, options: SoakOptions, record: SoakRecord, stopping: threading.Event
) -> list[SoakCaller]:
    steady = min(MAX_STEADY_CALLERS, STEADY_CALLERS_PER_DAEMON * options.daemons)
    bursts = min(MAX_BURST_CALLERS, BURST_CALLERS_PER_DAEMON * options.daemons)
    kinds = [SteadyCaller] * steady + [BurstCaller] * bursts
    return [
        kind(site, record, stopping, random.Random(f"{options.seed}-{number}"))
        for number, kind in enumerate(kinds)
    ]


def _wait_for_models(site: SurplusSite, daemon: PoolDaemonProcess) -> None:
    """Wait until a daemon serves a stream of each model, which the leader may have to load.

    :raises AssertionError: it never did.
    """
    for target in sorted(set(TARGETS)):
        is_served = functools.partial(_serves, site, daemon, target)
        wait_until(is_served, f"{daemon.name} serves {target}")


def _serves(site: SurplusSite, daemon: PoolDaemonProcess, target: str) -> bool:
    reply = send(site.request(daemon, "draft", target))
    return reply.status == 200 and reply.is_complete
