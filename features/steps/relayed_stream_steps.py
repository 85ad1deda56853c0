"""Steps for streams that peers relay, and whose first server fails after the head."""

from concurrent.futures import Future
from typing import Any

from behave import given, then, when

from features.steps.pool_steps import pool
from features.steps.software_version_steps import MODEL, ROUTE, TIMEOUT_SECONDS, step_opened
from features.support.caller import Reply
from features.support.pool_site import PoolSite
from features.support.processes import wait_until
from features.support.streams import STREAM_EVENTS, Stream

EVENT_SECONDS = 0.03
# As many begin at once, before the failures of a server exclude it.
BATCH_STREAMS = 8
MAX_BATCHES = 10


@given("{name:S} is in another zone, so that daemon-1 asks it first")
def step_zone(context: Any, name: str) -> None:
    pool(context).zones[name] = "zone-b"


@given("streams may begin at {version:w} and at {other:w}")
def step_all_opened(context: Any, version: str, other: str) -> None:
    for each in (version, other):
        step_opened(context, each)
    _end_faults(pool(context))


@when("server {name:w} resets streams after their head")
def step_reset(context: Any, name: str) -> None:
    pool(context).servers[name].fault(
        late_failure="reset", late_after="head", late_seconds=EVENT_SECONDS
    )


@when("server {name:w} hangs after the head of streams")
def step_hang(context: Any, name: str) -> None:
    pool(context).servers[name].fault(late_failure="mute", late_after="head")


@when("server {name:w} hangs after the head of streams, and server {other:w} rejects them")
def step_hang_only(context: Any, name: str, other: str) -> None:
    step_hang(context, name)
    pool(context).servers[other].fault(mode="shed")


@when("the faults of the servers end")
def step_faults_end(context: Any) -> None:
    _end_faults(pool(context))


def _end_faults(site: PoolSite) -> None:
    for server in site.servers.values():
        server.fault(event_seconds=EVENT_SECONDS)


@when(
    "streams begin at daemon-1 until {count:d} of them were sent on "
    "from server {name:w} to server {other:w}"
)
def step_sent_on(context: Any, count: int, name: str, other: str) -> None:
    site = pool(context)
    context.stream_futures = []
    for _ in range(MAX_BATCHES):
        _begin_batch(context)
        step_begun(context)
        if len(_ids_run_by(site, name) & _ids_run_by(site, other) & _ids_begun(site)) >= count:
            return
    raise AssertionError("too few streams were sent on")


@when("streams begin at daemon-1 until {count:d} of them hang at server {name:w}")
def step_hung(context: Any, count: int, name: str) -> None:
    site = pool(context)
    context.stream_futures = []
    _begin_batch(context)
    wait_until(lambda: len(_ids_run_by(site, name)) >= count, "streams hang")


def _begin_batch(context: Any) -> None:
    site = pool(context)
    daemon = site.daemons["daemon-1"]
    requests = [
        site.request(daemon, ROUTE, MODEL, STREAM_EVENTS, TIMEOUT_SECONDS)
        for _ in range(BATCH_STREAMS)
    ]
    site.callers.begin(requests)
    context.stream_futures += site.callers.pending
    site.callers.pending = []


def _ids_run_by(site: PoolSite, name: str) -> set[str]:
    """Return the ids of the requests that a server has run."""
    return set(site.servers[name].state()["runs"])


def _ids_begun(site: PoolSite) -> set[str]:
    """Return the ids of the requests whose first event daemon-1 has relayed."""
    lines = site.daemons["daemon-1"].log_lines()
    return {line["request_id"] for line in lines if line.get("decision") == "began"}


@when("streams at daemon-1 have begun")
def step_begun(context: Any) -> None:
    site = pool(context)
    wait_until(lambda: len(_ids_begun(site)) >= len(context.stream_futures), "streams begin")


@when("the callers read their streams to the end")
def step_read(context: Any) -> None:
    futures: list[Future[Reply]] = context.stream_futures
    replies = [future.result() for future in futures]
    context.streams = [Stream(reply.request_id, [reply]) for reply in replies]


@then("daemon-1 has continued streams that began at {version:w}")
def step_continued(context: Any, version: str) -> None:
    lines = pool(context).daemons["daemon-1"].log_lines()
    failed = {line["request_id"] for line in lines if line.get("decision") == "relay-failed"}
    began = {each.origin_id for each in context.streams if each.events()[:1] == [(1, version)]}
    assert failed & began, (failed, began)
