"""Steps for streams of servers that run several versions of their software."""

import itertools
import signal
import threading
import time
from collections import Counter
from concurrent.futures import Future
from typing import Any

from behave import given, then, when

from features.steps.pool_steps import first_daemon, pool, replies_of
from features.support.caller import Reply, Request, send
from features.support.pool_site import PoolDaemonProcess, PoolSite
from features.support.processes import Process, wait_until
from features.support.site import Link, LinkProcess
from features.support.streams import STREAM_EVENTS, Stream

ROUTE = "drill"
MODEL = "m1"
TIMEOUT_SECONDS = 20.0
MAX_RESUMPTIONS = 4
RETRY_PAUSE_SECONDS = 0.1
CONTINUE_AFTER_SECONDS = 0.5


@given("a model server {name:w} of version {version:w} with {held}")
def step_model_server(context: Any, name: str, version: str, held: str) -> None:
    names = "" if held == "nothing" else held
    pool(context).add_model_server(name, names, software_version=version)


@given("the daemons know all servers")
def step_wait_ready(context: Any) -> None:
    pool(context).wait_ready()


@given("a link between daemon-1 and the store, and {count:d} pool daemons")
def step_store_link(context: Any, count: int) -> None:
    site = pool(context)
    link = Link("daemon-1", site.store_address)
    process = Process("standins.link", ["--targets", link.target], site.folder / "store-link.log")
    site.links.append(process)
    context.store_link = LinkProcess([link], process)
    site.configure()
    for number in range(1, count + 1):
        name = f"daemon-{number}"
        site.add_daemon(name, context.store_link.overrides(name).get(link.target, ""))
    site.wait_ready()


@when("the link to the store becomes {state:w}")
def step_store_link_state(context: Any, state: str) -> None:
    context.store_link.set_state(state)


@given("every event of a stream takes {seconds:f} s")
def step_event_seconds(context: Any, seconds: float) -> None:
    context.event_seconds = seconds
    for server in pool(context).servers.values():
        server.fault(event_seconds=seconds)


def _stream_request(site: PoolSite, daemon: PoolDaemonProcess) -> Request:
    return site.request(daemon, ROUTE, MODEL, STREAM_EVENTS, TIMEOUT_SECONDS)


@when("streams begin at every daemon until {count:d} have begun at each of {versions}")
def step_streams_begin(context: Any, count: int, versions: str) -> None:
    _begin_streams(context, list(pool(context).daemons.values()), count, versions)


@when("streams begin at {names} only, until {count:d} have begun at each of {versions}")
def step_streams_begin_at(context: Any, names: str, count: int, versions: str) -> None:
    daemons = [pool(context).daemons[name] for name in names.split(" and ")]
    _begin_streams(context, daemons, count, versions)


@when("streams may begin at {version:w}")
def step_opened(context: Any, version: str) -> None:
    daemons = pool(context).daemons.values()
    opened = f"streams may begin at {version}"
    wait_until(lambda: any(_has_opened(daemon, version) for daemon in daemons), opened)


def _has_opened(daemon: PoolDaemonProcess, version: str) -> bool:
    """Whether a daemon has written that a version is registered and not opening any more."""
    written = [
        registered
        for line in daemon.log_lines()
        if line["message_type"] == "loomwind:software-versions" and line["state"] == "written"
        for registered in line["services"]
    ]
    return any(version in versions and version not in opening for _, versions, opening in written)


def _begin_streams(
    context: Any, at_daemons: list[PoolDaemonProcess], count: int, versions: str
) -> None:
    """Begin streams one after the other, until enough have begun at each version."""
    site = pool(context)
    context.stream_futures = []
    wanted = versions.split(" and ")
    daemons = itertools.cycle(at_daemons)
    for _ in range(count * len(wanted) * 4):
        if all(_begun(context)[version] >= count for version in wanted):
            break
        site.callers.begin([_stream_request(site, next(daemons))])
        context.stream_futures.append(site.callers.pending.pop())
        wait_until(lambda: _all_begun(context), "the stream begins")
    begun = _begun(context)
    assert all(begun[version] >= count for version in wanted), begun
    wait_until(lambda: _origins_recorded(at_daemons), "the daemons have relayed the first events")


def _all_begun(context: Any) -> bool:
    return _begun(context).total() >= len(context.stream_futures)


def _begun(context: Any) -> Counter[str]:
    """Return the number of streams that servers have begun, by software version."""
    states = [server.state() for server in pool(context).servers.values() if server.process.alive]
    begun: Counter[str] = Counter()
    for state in states:
        begun[state["software_version"]] += sum(state["runs"].values())
    return begun


def _origins_recorded(daemons: list[PoolDaemonProcess]) -> bool:
    running = [d for d in daemons if d.process and d.process.alive]
    return all(d.metric("loomwind_first_event_seconds_count") > 0 for d in running)


@when("server {name:w} is killed, and its entry is removed")
def step_kill_server(context: Any, name: str) -> None:
    site = pool(context)
    server = site.servers.pop(name)
    instance = server.state()["instance"]
    server.process.kill()
    site.apply(remove=[{"table": "servers", "key": instance}])


@when("{name:S} is killed")
def step_kill_daemon(context: Any, name: str) -> None:
    process = pool(context).daemons[name].process
    assert process is not None
    process.kill()


@when("{name:S} is suspended")
def step_suspend_daemon(context: Any, name: str) -> None:
    process = pool(context).daemons[name].process
    assert process is not None
    process.signal(signal.SIGSTOP)


@when("the callers resume their streams at {name:S}, which then continues")
def step_resume_at_suspended(context: Any, name: str) -> None:
    """Resume the streams while the daemon stands still, so that it reads the requests first."""
    daemon = pool(context).daemons[name]
    assert daemon.process is not None
    timer = threading.Timer(CONTINUE_AFTER_SECONDS, daemon.process.signal, (signal.SIGCONT,))
    timer.start()
    _resume_streams(context, [daemon])


@when("the callers resume their streams")
def step_resume(context: Any) -> None:
    _resume_streams(context, list(pool(context).daemons.values()))


@when("the callers resume their streams at {name:S}")
def step_resume_at(context: Any, name: str) -> None:
    _resume_streams(context, [pool(context).daemons[name]])


def _resume_streams(context: Any, daemons: list[PoolDaemonProcess]) -> None:
    """Resume each stream that broke off, at one daemon after the other."""
    site = pool(context)
    at_daemons = itertools.cycle(daemons)
    futures: list[Future[Stream]] = []
    for pending in context.stream_futures:
        futures.append(site.callers.run(_resume, site, pending, next(at_daemons)))
    context.streams = [future.result() for future in futures]
    context.resumed = [stream for stream in context.streams if len(stream.replies) > 1]


def _resume(site: PoolSite, pending: Future[Reply], daemon: PoolDaemonProcess) -> Stream:
    first = pending.result()
    stream = Stream(first.request_id, [first])
    for _ in range(MAX_RESUMPTIONS):
        if stream.replies[-1].is_complete and stream.replies[-1].status == 200:
            return stream
        if stream.last_event_id == 0:
            return stream
        request = _stream_request(site, daemon)
        stream.add_resumption(request)
        stream.replies.append(send(request))
        time.sleep(RETRY_PAUSE_SECONDS)
    return stream


@when("{count:d} model requests on {route:w} for {target:w} with {events:d} events are sent")
def step_requests(context: Any, count: int, route: str, target: str, events: int) -> None:
    site = pool(context)
    daemon = first_daemon(context)
    site.callers.begin([site.request(daemon, route, target, events) for _ in range(count)])
    context.streams = [Stream(reply.request_id, [reply]) for reply in replies_of(context)]


@then("no stream has events of two software versions")
def step_one_version(context: Any) -> None:
    joined = [stream.events() for stream in context.streams if len(stream.versions()) > 1]
    assert context.streams and not joined, (len(joined), len(context.streams), joined[:1])


@then("at least {share:f} of the resumed streams are complete")
def step_complete(context: Any, share: float) -> None:
    assert context.resumed, "no stream was resumed"
    _check_complete(context.resumed, share)


@then("at least {share:f} of all streams are complete")
def step_all_complete(context: Any, share: float) -> None:
    _check_complete(context.streams, share)


def _check_complete(streams: list[Stream], share: float) -> None:
    complete = [stream for stream in streams if stream.is_complete]
    statuses = Counter(reply.status for stream in streams for reply in stream.replies)
    assert len(complete) >= share * len(streams), (len(complete), len(streams), statuses)


@then("every rejected resumption has status 503 and came before half of its caller's time")
def step_rejected(context: Any) -> None:
    replies = [reply for stream in context.resumed for reply in stream.replies[1:]]
    rejected = [reply for reply in replies if reply.status != 200]
    assert rejected, "no resumption was rejected"
    for reply in rejected:
        assert reply.status == 503, (reply.status, reply.body)
        assert reply.seconds < reply.timeout_seconds / 2, (reply.seconds, reply.body)


@then("every resumption is complete, or rejected with status 503 before half of its caller's time")
def step_complete_or_rejected(context: Any) -> None:
    replies = [reply for stream in context.resumed for reply in stream.replies[1:]]
    assert replies, "no stream was resumed"
    for reply in replies:
        if not (reply.status == 200 and reply.is_complete):
            assert reply.status == 503, (reply.status, reply.body)
            assert reply.seconds < reply.timeout_seconds / 2, (reply.seconds, reply.body)


@then("streams that began at {version:w} were resumed")
def step_were_resumed(context: Any, version: str) -> None:
    assert any(version in stream.versions() for stream in context.resumed)


@then("every reply that is not complete is truncated after a complete event")
def step_truncated(context: Any) -> None:
    truncated = [reply for reply in replies_of(context) if not reply.is_complete]
    assert truncated, "no stream was truncated"
    for reply in truncated:
        assert reply.status == 200 and reply.body.endswith(b"\n\n"), (reply.status, reply.body)


@then("{name:S} has relayed requests to peers")
def step_relayed(context: Any, name: str) -> None:
    assert pool(context).daemons[name].metric("loomwind_peer_relays_total") > 0
