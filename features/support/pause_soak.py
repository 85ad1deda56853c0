"""Runs a soak of pauses once and judges its record."""

import functools
import json
import random
import shutil
import threading
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from attrs import define

from features.support.pause_faults import PauseFaults
from features.support.pool_site import PoolSite
from features.support.processes import wait_until
from features.support.soak import SoakOptions, start_daemons, strike_for
from features.support.soak_callers import SoakCaller, daemons_not_serving
from features.support.soak_changes import OPTIONAL_ROUTES, OTHER_PLAIN_SERVICE
from features.support.soak_checks import (
    concurrent_runs,
    denied,
    disordered_streams,
    early_ends,
    excused,
    joined_streams,
    repeated_runs,
    unanswered,
)
from features.support.soak_record import Attempt, SoakRecord

CALLERS_PER_DAEMON = 6
MAX_SOAK_CALLERS = 96
EVENT_SECONDS = 0.015
WORK_SECONDS = 0.15
# Streams that begin just before a stopping daemon gets no new ones can end within it.
SOAK_GRACE_SECONDS = 8.0
# As few retries beside the requests as in the deployments, which have far more of both.
RETRIES_PER_DAEMON = 2.5
CHECKS: dict[str, Callable[[SoakRecord], list[str]]] = {
    "unanswered": unanswered,
    "denied": denied,
    "joined": joined_streams,
    "disordered": disordered_streams,
    "early end": early_ends,
    "repeated": repeated_runs,
    "concurrent": concurrent_runs,
    "own end": lambda record: record.own_ends,
    "not recovered": lambda record: record.not_recovered,
    "shut down inside": lambda record: record.shut_down_inside,
}


@define(frozen=True)
class SoakResult:
    """What the checks found.

    :ivar findings: lines by the name of the check.
    :ivar logs: where the logs are kept; None if they are not.
    """

    findings: dict[str, list[str]]
    summary: str
    logs: Path | None

    def require_none(self, *checks: str) -> None:
        """Require that the named checks found nothing.

        :raises AssertionError: with what they found, and where the logs are.
        """
        found = [f"{name}: {line}" for name in checks for line in self.findings[name]]
        place = f"logs in {self.logs}" if self.logs else "logs not kept; -D keep=FOLDER keeps them"
        assert not found, "\n".join((f"{len(found)} found, {place}", self.summary, *found))


def run_soak(
    options: SoakOptions, create_faults: Callable[..., PauseFaults] = PauseFaults
) -> SoakResult:
    """Run a soak with a site of its own, and judge it.

    :param create_faults: the class of the faults.
    """
    site = PoolSite()
    try:
        record = _play(site, options, create_faults)
    finally:
        site.end_processes()
    record.read_runs()
    record.read_logs()
    findings = {name: check(record) for name, check in CHECKS.items()}
    summary = summarize(record, options)
    logs = None
    if options.keep is not None and any(findings.values()):
        logs = keep_logs(record, options.keep / f"seed-{options.seed}", findings, summary)
    site.close()
    return SoakResult(findings, summary, logs)


def _play(
    site: PoolSite, options: SoakOptions, create_faults: Callable[..., PauseFaults]
) -> SoakRecord:
    record = SoakRecord(site.folder, SOAK_GRACE_SECONDS)
    _build(site, options)
    stopping = threading.Event()
    sources = (random.Random(options.seed), random.Random(f"{options.seed} failures"))
    faults = create_faults(site, *sources, EVENT_SECONDS, record)
    count = min(MAX_SOAK_CALLERS, CALLERS_PER_DAEMON * options.daemons)
    caller_sources = [random.Random(f"{options.seed}-{number}") for number in range(count)]
    callers = [SoakCaller(site, record, stopping, source) for source in caller_sources]
    futures = [site.callers.run(caller.run) for caller in callers]
    try:
        strike_for(options.seconds, faults)
        recover(record, faults.end)
    finally:
        stopping.set()
    for future in futures:
        future.result()
    record.own_ends = faults.own_ends
    for name in site.daemons:
        recover(record, functools.partial(wait_until_serving, site, name))
    return record


def _build(site: PoolSite, options: SoakOptions) -> None:
    site.plain_services.append(OTHER_PLAIN_SERVICE)
    site.grace_seconds = SOAK_GRACE_SECONDS
    site.retry_settings = f"retry_allowance = {RETRIES_PER_DAEMON * options.daemons}"
    site.routes += OPTIONAL_ROUTES.values()
    for name in ("first", "second"):
        site.add_model_server(name, "m1")
    site.add_plain_server("shop")
    site.add_plain_server("depot")
    site.add_plain_server("post", OTHER_PLAIN_SERVICE)
    start_daemons(site, options.daemons, EVENT_SECONDS)
    for name in ("shop", "depot", "post"):
        site.servers[name].fault(work_seconds=WORK_SECONDS)


def recover(record: SoakRecord, wait: Callable[[], None]) -> None:
    """Wait for what comes back after the faults, and record what does not."""
    try:
        wait()
    except AssertionError as error:
        record.not_recovered.append(str(error))


def wait_until_serving(site: PoolSite, name: str) -> None:
    """Wait until a daemon serves a request on each permanent route.

    :raises AssertionError: it never did.
    """
    failed: list[str] = []

    def is_serving() -> bool:
        failed[:] = daemons_not_serving(site, name)
        return not failed

    try:
        wait_until(is_serving, f"{name} serves all routes")
    except AssertionError as error:
        raise AssertionError(f"{error}: {failed}") from error


def summarize(record: SoakRecord, options: SoakOptions) -> str:
    """Return the figures of a soak in a line."""
    statuses = Counter(f"{a.route.name} {a.reply.status}" for a in record.attempts)
    faults = Counter(text.split(" ", 1)[-1].split(" for ")[0][:22] for _, text in record.events)
    return (
        f"seed {options.seed}, {options.seconds:g} s, {options.daemons} daemons: "
        f"{len(record.attempts)} attempts, {len(record.streams)} streams, "
        f"{len(record.events)} faults; without a complete answer: {dict(excused(record))}; "
        f"statuses: {dict(sorted(statuses.items()))}; faults: {dict(faults.most_common(12))}"
    )


def keep_logs(
    record: SoakRecord, folder: Path, findings: dict[str, list[str]], summary: str
) -> Path:
    """Keep the logs, the faults in order, and what was found; return the folder."""
    shutil.rmtree(folder, ignore_errors=True)
    shutil.copytree(record.folder, folder)
    lines = [f"{at_s:.3f} {text}" for at_s, text in sorted(record.events)]
    (folder / "faults.txt").write_text("\n".join(lines) + "\n")
    found = [f"{name}: {line}" for name, each in findings.items() for line in each]
    (folder / "findings.txt").write_text("\n".join((summary, *found)) + "\n")
    with (folder / "attempts.jsonl").open("w") as file:
        for attempt in record.attempts:
            file.write(json.dumps(_row(attempt)) + "\n")
    return folder


def _row(attempt: Attempt) -> dict[str, object]:
    return {
        "request_id": attempt.request_id,
        "route": attempt.route.name,
        "daemon": attempt.daemon,
        "status": attempt.reply.status,
        "is_complete": attempt.reply.is_complete,
        "sent_at_s": attempt.sent_at_s,
        "ended_at_s": attempt.ended_at_s,
        "rested_s": attempt.rested_s,
    }
