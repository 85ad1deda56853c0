"""Steps for the running requests that a daemon reports by model and software version."""

from typing import Any

from behave import given, then, when

from loomwind.serving.demand import DemandTracker, RunningStreams, VersionedModel
from loomwind.serving.views import ModelKey, ServerEntry, ServerState

SERVICE = "tutor"
MODEL = ModelKey("a")
ADAPTER = ModelKey("a", "x")


def entry(name: str, software_version: str) -> ServerEntry:
    """Return the entry of a ready server."""
    return ServerEntry(
        name, SERVICE, "a:1", "zone-a", 8, ServerState.READY, software_version=software_version
    )


@given("a daemon with 2 requests for a and 1 for its adapter x at server {name:w} of {version}")
def step_daemon(context: Any, name: str, version: str) -> None:
    context.tracker = DemandTracker()
    context.entries = {name: entry(name, version)}
    for target in (MODEL, MODEL, ADAPTER):
        context.tracker.begin_run(name, target)


@given("1 request for a at server {name:w} of {version}")
def step_request(context: Any, name: str, version: str) -> None:
    context.entries[name] = entry(name, version)
    context.tracker.begin_run(name, MODEL)


@when("server {name:w} is no longer listed")
def step_unlisted(context: Any, name: str) -> None:
    del context.entries[name]


@when("a request for a at server {name:w} ends")
def step_ends(context: Any, name: str) -> None:
    context.tracker.end_run(name, MODEL)


@then("its report has {count:d} streams of a at {version} and {other:d} at {other_version}")
def step_report(context: Any, count: int, version: str, other: int, other_version: str) -> None:
    expected = tuple(
        RunningStreams(VersionedModel(SERVICE, MODEL.model, name), number)
        for name, number in ((version, count), (other_version, other))
    )
    reported = context.tracker.running_streams(context.entries.values())
    assert reported == expected, reported


@then("its report has {count:d} streams of a at {version} only")
def step_one_version(context: Any, count: int, version: str) -> None:
    reported = context.tracker.running_streams(context.entries.values())
    assert reported == (RunningStreams(VersionedModel(SERVICE, MODEL.model, version), count),)
