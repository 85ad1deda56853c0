"""Steps for single requests that crash servers, and that their callers repeat."""

import base64
import itertools
import json
import time
from collections.abc import Callable
from typing import Any

from behave import given, then, when

from features.steps.pool_steps import pool
from features.support.caller import Reply, Request, send
from features.support.pool_site import PoolDaemonProcess, PoolSite
from features.support.processes import wait_until
from loomwind.clock import MS_PER_SECOND
from loomwind.serving.ban_records import BAN_KEY_PREFIX
from loomwind.serving.daemon import PEER_TABLE

MODEL = "m1"
GUILTY_BODY = b"guilty request"
SOUND_BODY = b"sound request"
BACK_AFTER_SECONDS = 0.8
DEADLINE_SECONDS = 4.0
EVENTS = 40
KNOWN_CRASHES = 3
NONE_LISTED = b"no server of the service is known"
# A request that is rejected at once waits neither for a server nor for a deadline.
AT_ONCE_SECONDS = 0.5
BAN_MS = 60_000.0
MAX_REJECTIONS = 2
# The stream lasts until its server gets faster.
RUNNING_EVENT_SECONDS = 0.06
RUNNING_EVENTS = 120
RUNNING_SECONDS = 8.0


@given("{count:d} servers that crash on one request, and {daemons:d} daemons")
def step_servers(context: Any, count: int, daemons: int) -> None:
    _start(context, count, daemons, is_plain=False, after_events=0)


@given(
    "{count:d} servers that crash on one request after {events:d} events, and {daemons:d} daemons"
)
def step_late_crash(context: Any, count: int, events: int, daemons: int) -> None:
    _start(context, count, daemons, is_plain=False, after_events=events)


@given("{count:d} plain servers that crash on one request, and {daemons:d} daemons")
def step_plain_servers(context: Any, count: int, daemons: int) -> None:
    _start(context, count, daemons, is_plain=True, after_events=0)


def _start(context: Any, count: int, daemons: int, is_plain: bool, after_events: int) -> None:
    site = pool(context)
    for number in range(count):
        name = f"server-{number + 1}"
        if is_plain:
            site.add_plain_server(name)
        else:
            site.add_model_server(name, MODEL)
    site.configure()
    for number in range(daemons):
        site.add_daemon(f"daemon-{number + 1}")
    for server in site.servers.values():
        server.fault(
            crash_body=GUILTY_BODY.decode(),
            crash_after_events=after_events,
            back_after_seconds=BACK_AFTER_SECONDS,
        )
    site.wait_ready()
    context.daemon_turns = itertools.cycle(list(site.daemons))


@when("the request is repeated {count:d} times with the prompt {prompt}")
def step_repeat(context: Any, count: int, prompt: str) -> None:
    _repeat(context, count, lambda site, daemon: _streamed(site, daemon, prompt, GUILTY_BODY))


@when("the plain request is repeated {count:d} times on {route_name}")
def step_repeat_plain(context: Any, count: int, route_name: str) -> None:
    _repeat(context, count, lambda site, daemon: _plain(site, daemon, route_name, GUILTY_BODY))


def _repeat(context: Any, count: int, make: Any) -> None:
    """Send the request, each time once a server is up, so that it could reach one."""
    site = pool(context)
    for _ in range(count):
        wait_until(lambda: _is_any_up(site), "a server is up")
        context.last = send(make(site, site.daemons[next(context.daemon_turns)]))


def _is_any_up(site: PoolSite) -> bool:
    return any(server.is_up() for server in site.servers.values())


def _streamed(site: PoolSite, daemon: PoolDaemonProcess, prompt: str, body: bytes) -> Request:
    return site.request(daemon, "drill", MODEL, EVENTS, DEADLINE_SECONDS, body, prompt)


def _plain(site: PoolSite, daemon: PoolDaemonProcess, route_name: str, body: bytes) -> Request:
    return site.request(daemon, route_name, timeout_seconds=DEADLINE_SECONDS, body=body)


@when("one daemon is killed and starts again")
def step_kill_one(context: Any) -> None:
    _kill(context, list(pool(context).daemons)[:1])


@when("all daemons are killed and start again")
def step_kill_all(context: Any) -> None:
    _kill(context, list(pool(context).daemons))


def _kill(context: Any, names: list[str]) -> None:
    site = pool(context)
    for name in names:
        process = site.daemons[name].process
        assert process is not None
        process.kill()
    context.started_at_s = time.time()
    for name in names:
        site.daemons[name].start()
    site.wait_ready()


def _crash_times(site: PoolSite) -> list[float]:
    """Return when servers crashed under the request, once all are back."""
    for server in site.servers.values():
        wait_until(server.is_up, "the server is back")
    states = [server.state() for server in site.servers.values()]
    return sorted(at_s for state in states for at_s in state["crash_body_times_s"])


@then("at most {count:d} of them reached servers after the third crash")
def step_few_sent(context: Any, count: int) -> None:
    crashes = _crash_times(pool(context))
    assert len(crashes) >= KNOWN_CRASHES, crashes
    later = len(crashes) - KNOWN_CRASHES
    last = context.last
    assert later <= count, f"{later} after the third crash; {last.status} {last.body[:60]!r}"


@then("none of them reached servers since the daemons started")
def step_none_sent(context: Any) -> None:
    later = [at_s for at_s in _crash_times(pool(context)) if at_s >= context.started_at_s]
    assert not later, f"{len(later)}; {context.last.status} {context.last.body[:60]!r}"


@then("the last one was rejected at once with a time to come back")
def step_rejected(context: Any) -> None:
    reply: Reply = context.last
    assert reply.status == 503 and float(reply.headers["retry-after"]) > 0, reply
    assert reply.seconds < AT_ONCE_SECONDS, reply


@then("{count:d} other requests with the prompt {prompt} are served")
def step_sound_served(context: Any, count: int, prompt: str) -> None:
    _check_served(context, count, lambda site, daemon: _streamed(site, daemon, prompt, SOUND_BODY))


@then("{count:d} other plain requests on {route_name} are served")
def step_sound_plain_served(context: Any, count: int, route_name: str) -> None:
    _check_served(context, count, lambda site, daemon: _plain(site, daemon, route_name, SOUND_BODY))


def _check_served(context: Any, count: int, make: Any) -> None:
    site = pool(context)
    site.wait_ready()
    for _ in range(count):
        reply = _send_once_listed(lambda: make(site, site.daemons[next(context.daemon_turns)]))
        assert reply.status == 200 and reply.is_complete, reply


def _send_once_listed(make: Callable[[], Request]) -> Reply:
    """Send a request, again while its daemon does not have the rows of the new processes yet."""
    replies: list[Reply] = []

    def is_listed() -> bool:
        replies.append(send(make()))
        return replies[-1].body != NONE_LISTED

    wait_until(is_listed, "a server is listed")
    return replies[-1]


@given("a server with one place that must not reject many, and a daemon")
def step_one_place(context: Any) -> None:
    site = pool(context)
    site.add_model_server("server-1", MODEL, slots=1)
    site.configure()
    site.add_daemon("daemon-1")
    _set_event_seconds(site, 0.0)
    site.wait_ready()
    reply = send(_streamed(site, site.daemons["daemon-1"], "first:50", SOUND_BODY))
    assert reply.status == 200, reply


def _set_event_seconds(site: PoolSite, seconds: float) -> None:
    site.servers["server-1"].fault(places=1, max_rejections=MAX_REJECTIONS, event_seconds=seconds)


@when("a stream takes the place, and a request with the prompt {prompt} waits for it")
def step_wait_for_place(context: Any, prompt: str) -> None:
    site = pool(context)
    daemon = site.daemons["daemon-1"]
    _set_event_seconds(site, RUNNING_EVENT_SECONDS)
    running = site.request(daemon, "drill", MODEL, RUNNING_EVENTS, RUNNING_SECONDS)
    site.callers.begin([running])
    server = site.servers["server-1"]
    request_id = running.headers["x-request-id"]
    wait_until(lambda: request_id in server.state()["runs"], "the stream runs")
    site.callers.begin([_streamed(site, daemon, prompt, SOUND_BODY)])
    wait_until(lambda: daemon.metric("loomwind_waiting_for_place") == 1, "the request waits")


@when("the part {part} is banned before the place is free")
def step_ban(context: Any, part: str) -> None:
    site = pool(context)
    until_unix_ms = time.time() * MS_PER_SECOND + BAN_MS
    row = {"position": 0, "until_unix_ms": until_unix_ms, "ban_ms": BAN_MS}
    value = base64.b64encode(json.dumps(row).encode()).decode()
    site.apply(put=[{"table": PEER_TABLE, "key": BAN_KEY_PREFIX + part, "value": value}])
    wait_until(lambda: bool(_adopted_bans(site)), "the daemon knows the ban")
    _set_event_seconds(site, 0.0)


def _adopted_bans(site: PoolSite) -> list[dict[str, Any]]:
    lines = site.daemons["daemon-1"].log_lines()
    return [line for line in lines if line.get("state") == "ban-adopted"]


@then("the request that waited was rejected with a time to come back, and reached no server")
def step_waited_rejected(context: Any) -> None:
    site = pool(context)
    running, waited = site.callers.finish()
    assert running.status == 200, running
    assert waited.status == 503 and float(waited.headers["retry-after"]) > 0, waited
    assert site.runs(waited) == 0, waited
