"""Steps for daemons whose servers send a line that never ends, in a response of any kind."""

from pathlib import Path
from typing import Any

from behave import then, when

from features.steps.pool_steps import first_daemon, pool, replies_of
from features.support.processes import wait_until
from loomwind import constants

TIMEOUT_SECONDS = 4.0
MAX_DAEMON_BYTES = 64 * constants.MEBIBYTE
PEAK_MEMORY_FIELD = "VmHWM:"


def peak_memory_bytes(process_id: int) -> int:
    """Return the largest amount of memory that a process has had resident."""
    lines = Path(f"/proc/{process_id}/status").read_text().splitlines()
    line = next(line for line in lines if line.startswith(PEAK_MEMORY_FIELD))
    return int(line.split()[1]) * constants.KIBIBYTE


@when("{count:d} requests on {route} for {target} are sent together")
def step_send_together(context: Any, count: int, route: str, target: str) -> None:
    site = pool(context)
    model = "" if target == "no model" else target
    daemon = first_daemon(context)
    site.callers.begin(
        [site.request(daemon, route, model, timeout_seconds=TIMEOUT_SECONDS) for _ in range(count)]
    )
    replies_of(context)


@when("server {name:w} has sent {count:d} endless reports")
def step_endless_reports(context: Any, name: str, count: int) -> None:
    server = pool(context).servers[name]
    wait_until(
        lambda: bool(server.state()["endless_reports"] > count), f"{count} reports have ended"
    )


@then("every reply is a truncated success with complete events only")
def step_truncated(context: Any) -> None:
    bad = [
        (reply.status, reply.is_complete, reply.body[-60:])
        for reply in replies_of(context)
        if reply.status != 200 or reply.is_complete or not reply.body.endswith(b"\n\n")
    ]
    assert not bad, (len(bad), bad[:3])


@then("the daemon has closed each connection to a server that sent without end")
def step_closed(context: Any) -> None:
    runs = _runs(context)
    wait_until(lambda: _cancelled(context) == runs, "every response without end is cancelled")


@then("it has logged once for each of them why")
def step_logged(context: Any) -> None:
    runs = _runs(context)
    wait_until(lambda: _logged(context) == runs, "every response without end is logged once")


def _logged(context: Any) -> int:
    lines = first_daemon(context).log_lines()
    failures = [line for line in lines if line.get("decision") == "send-failed"]
    return sum("exceeds" in failure["reason"] for failure in failures)


def _runs(context: Any) -> int:
    servers = pool(context).servers.values()
    return sum(sum(server.state()["runs"].values()) for server in servers)


def _cancelled(context: Any) -> int:
    servers = pool(context).servers.values()
    return sum(sum(server.state()["cancelled"].values()) for server in servers)


@then("the daemon never used more than 64 MB")
def step_memory(context: Any) -> None:
    process = first_daemon(context).process
    assert process is not None
    peak_bytes = peak_memory_bytes(process.identity)
    assert peak_bytes <= MAX_DAEMON_BYTES, peak_bytes


@then("every reply says that the request has not run, and when to come back")
def step_not_run(context: Any) -> None:
    replies = replies_of(context)
    bad = [
        (reply.status, reply.headers, reply.seconds, runs)
        for reply in replies
        if (runs := pool(context).runs(reply))
        or reply.status != 503
        or "retry-after" not in reply.headers
    ]
    assert replies and not bad, (len(bad), bad[:2])
