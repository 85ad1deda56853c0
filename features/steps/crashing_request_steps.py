"""Steps for single requests that crash servers, and that their callers repeat."""

import itertools
import time
from typing import Any

from behave import given, then, when

from features.steps.pool_steps import pool
from features.support.caller import Reply, Request, send
from features.support.pool_site import PoolDaemonProcess, PoolSite
from features.support.processes import wait_until

MODEL = "m1"
GUILTY_BODY = b"guilty request"
SOUND_BODY = b"sound request"
BACK_AFTER_SECONDS = 0.8
DEADLINE_SECONDS = 4.0
EVENTS = 40
KNOWN_CRASHES = 3
# A request that is rejected at once waits neither for a server nor for a deadline.
AT_ONCE_SECONDS = 0.5


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
        reply = send(make(site, site.daemons[next(context.daemon_turns)]))
        assert reply.status == 200 and reply.is_complete, reply
