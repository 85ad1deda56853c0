"""Steps for requests whose server falls silent while it has them."""

import signal
import threading
from typing import Any

from behave import given, then, when

from features.steps.pool_steps import pool, replies_of
from features.support.caller import Reply
from features.support.pool_site import MODEL_SERVICE, PoolServerProcess
from features.support.processes import wait_until
from features.support.streams import Stream

ROUTE = "drill"
REQUESTS_PER_DAEMON = 4
LONG_STREAM_EVENTS = 120
SHORT_STREAM_EVENTS = 3
TIMEOUT_SECONDS = 7.0


@given("the daemons may not retry")
def step_no_retries(context: Any) -> None:
    pool(context).forbid_retries()


@given("the daemons may retry {count:d} times together")
def step_few_retries(context: Any, count: int) -> None:
    pool(context).retry_settings = f"retry_ratio = 0.0\nretry_allowance = {float(count)}"


@given("every plain answer takes {seconds:f} s")
def step_work_seconds(context: Any, seconds: float) -> None:
    for server in pool(context).servers.values():
        if server.service != MODEL_SERVICE:
            server.fault(work_seconds=seconds)


@when("streams run at server {name:w}, and it is suspended for {seconds:f} s")
def step_streams_paused(context: Any, name: str, seconds: float) -> None:
    server = begin_at(context, ROUTE, name, LONG_STREAM_EVENTS)
    suspend(server, seconds)


@when(
    "streams run at server {name:w}, server {other:w} refuses more, "
    "and server {same:w} is suspended for {seconds:f} s"
)
def step_streams_refused(context: Any, name: str, other: str, same: str, seconds: float) -> None:
    assert name == same
    server = begin_at(context, ROUTE, name, LONG_STREAM_EVENTS)
    pool(context).servers[other].fault(mode="shed")
    suspend(server, seconds)


@when(
    "streams run at server {name:w}, server {other:w} fails more by {failure} after {delay:f} s, "
    "and server {same:w} is suspended for {seconds:f} s"
)
def step_streams_failed_late(
    context: Any, name: str, other: str, failure: str, delay: float, same: str, seconds: float
) -> None:
    assert name == same
    server = begin_at(context, ROUTE, name, LONG_STREAM_EVENTS)
    kind, _, after = failure.partition(" after its ")
    pool(context).servers[other].fault(
        late_failure=kind,
        late_seconds=delay,
        late_after=after,
        event_seconds=context.event_seconds,
    )
    suspend(server, seconds)


@when(
    "streams run at server {name:w}, server {other:w} begins more after {delay:f} s, "
    "and server {same:w} hangs"
)
def step_streams_hang_late(context: Any, name: str, other: str, delay: float, same: str) -> None:
    assert name == same
    server = begin_at(context, ROUTE, name, LONG_STREAM_EVENTS)
    pool(context).servers[other].fault(
        late_failure="late", late_seconds=delay, event_seconds=context.event_seconds
    )
    server.process.signal(signal.SIGSTOP)


@when("streams run at server {name:w}, and it hangs")
def step_streams_hang(context: Any, name: str) -> None:
    server = begin_at(context, ROUTE, name, LONG_STREAM_EVENTS)
    server.process.signal(signal.SIGSTOP)


@when("{route:w} requests run at server {name:w}, and it is suspended for {seconds:f} s")
def step_requests_paused(context: Any, route: str, name: str, seconds: float) -> None:
    server = begin_at(context, route, name, SHORT_STREAM_EVENTS)
    suspend(server, seconds)


def suspend(server: PoolServerProcess, seconds: float) -> None:
    """Suspend a server's process for a while."""
    server.process.signal(signal.SIGSTOP)
    threading.Timer(seconds, server.process.signal, (signal.SIGCONT,)).start()


def begin_at(context: Any, route: str, name: str, events: int) -> PoolServerProcess:
    """Send requests to all daemons; returns once all run, some of them at the server."""
    site = pool(context)
    target = "m1" if route == ROUTE else ""
    context.silent_ids = set()
    for daemon in list(site.daemons.values()) * REQUESTS_PER_DAEMON:
        site.callers.begin([site.request(daemon, route, target, events, TIMEOUT_SECONDS)])
    wait_until(lambda: _begun(context) == len(site.callers.pending), "all requests run")
    server = site.servers[name]
    context.silent_ids = set(server.state()["runs"])
    context.other_servers = [each for each in site.servers.values() if each is not server]
    assert context.silent_ids, f"no request ran at {name}"
    return server


def _begun(context: Any) -> int:
    return sum(sum(server.state()["runs"].values()) for server in pool(context).servers.values())


def silent_replies(context: Any) -> list[Reply]:
    """Return the replies to the requests that the silent server had."""
    return [reply for reply in replies_of(context) if reply.request_id in context.silent_ids]


@then("every stream that ran there is complete, and ran once")
def step_streams_ran_once(context: Any) -> None:
    replies = silent_replies(context)
    check_streams(replies, LONG_STREAM_EVENTS)
    check_ran_once(context, replies)


@then("a peer has relayed some of them")
def step_relayed(context: Any) -> None:
    replies_of(context)
    lines = [line for each in pool(context).daemons.values() for line in each.log_lines()]
    relayed = {line["request_id"] for line in lines if line.get("decision") == "relayed"}
    assert relayed & context.silent_ids, relayed


@then("every stream that ran there is complete")
def step_streams_complete(context: Any) -> None:
    check_streams(silent_replies(context), LONG_STREAM_EVENTS)


@then("every stream that ran there is complete, and another server ran it")
def step_streams_moved(context: Any) -> None:
    check_streams(silent_replies(context), LONG_STREAM_EVENTS)
    runs = _runs_elsewhere(context)
    assert all(runs[each] == 1 for each in context.silent_ids), runs


def check_ran_once(context: Any, replies: list[Reply]) -> None:
    """Check that no server ran a request again."""
    runs = {reply.request_id: pool(context).runs(reply) for reply in replies}
    assert all(count == 1 for count in runs.values()), runs


def check_streams(replies: list[Reply], events: int) -> None:
    """Check that streams are complete, with every event once and in order."""
    expected = list(range(1, events + 1))
    bad = [
        (reply.status, reply.is_complete, reply.body[-60:])
        for reply in replies
        if not reply.is_complete
        or [number for number, _ in Stream(reply.request_id, [reply]).events()] != expected
    ]
    assert replies and not bad, (len(bad), len(replies), bad[:3])


def _runs_elsewhere(context: Any) -> dict[str, int]:
    """Return how often servers other than the silent one ran its requests."""
    states = [server.state()["runs"] for server in context.other_servers]
    return {each: sum(runs.get(each, 0) for runs in states) for each in context.silent_ids}


@then("every stream was handed over less than {seconds:d} s after its last event")
def step_gaps(context: Any, seconds: int) -> None:
    lines = [line for each in pool(context).daemons.values() for line in each.log_lines()]
    moved = [line for line in lines if line.get("decision") == "hand-over"]
    assert moved and all(line["silent_ms"] < seconds * 1000 for line in moved), moved


@then("every request is answered, and ran once")
def step_answered(context: Any) -> None:
    replies = silent_replies(context)
    bad = [(reply.status, reply.body) for reply in replies if reply.status != 200]
    assert replies and not bad, bad
    assert all(reply.is_complete for reply in replies)
    check_ran_once(context, replies)
