"""Steps with made records of a soak: one request or stream, and what happened to it."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

from behave import given, then

from features.support.caller import Reply
from features.support.pause_soak import CHECKS
from features.support.soak_callers import BOOK, LOOK, RESUMABLE, STREAMS
from features.support.soak_record import (
    Attempt,
    DaemonLife,
    Interval,
    Run,
    SoakRecord,
    SoakRoute,
    StreamRecord,
)
from features.support.streams import STREAM_EVENTS, Stream

DAEMON = "daemon-1"
ID = "a1"
START_S = 1000.0
SENT_S = 1010.0
TIMEOUT_S = 8.0
GRACE_S = 4.0


def _record(attempt: Attempt, *runs: Run) -> SoakRecord:
    """Return a record with one attempt at a daemon that runs all the time."""
    record = SoakRecord(Path(), GRACE_S)
    record.lives[DAEMON].append(DaemonLife(START_S))
    record.idle_limits_s.append(15.0)
    record.route_timeouts_s.append(TIMEOUT_S)
    record.attempts.append(attempt)
    record.runs[ID] += runs
    if attempt.route.is_stream:
        record.streams.append(StreamRecord(attempt.route, Stream(ID, [attempt.reply])))
    return record


def _attempt(
    route: SoakRoute,
    status: int = 200,
    body: bytes = b"",
    is_complete: bool = True,
    seconds: float = 2.0,
    **fields: Any,
) -> Attempt:
    is_sent = fields.pop("is_sent", True)
    reply = Reply(ID, status, {}, body, is_complete, is_sent=is_sent)
    return Attempt(route, DAEMON, reply, TIMEOUT_S, SENT_S, SENT_S + seconds, **fields)


def _events(*numbers: int, version: str = "v1") -> bytes:
    return b"".join(f"id: {n}\ndata: token-{n} {version}\n\n".encode() for n in numbers)


def _cut_stream(seconds: float = 2.0, run: Run | None = None) -> SoakRecord:
    attempt = _attempt(RESUMABLE, body=_events(1, 2), is_complete=False, seconds=seconds)
    return _record(attempt, run or Run("first", SENT_S, SENT_S + seconds))


def _cut_at_life(seconds: float = 2.0, **life: Any) -> SoakRecord:
    record = _cut_stream(seconds)
    record.lives[DAEMON] = [DaemonLife(START_S, **life)]
    return record


def _cut_beside_pause() -> SoakRecord:
    record = _cut_stream()
    record.stalled_servers["first"].append(Interval(SENT_S + 0.5, SENT_S + 2.0))
    return record


def _stream(body: bytes) -> SoakRecord:
    return _record(_attempt(RESUMABLE, body=body), Run("first", SENT_S, SENT_S + 2.0))


def _no_reply(*runs: Run, seconds: float = 0.5, **fields: Any) -> SoakRecord:
    attempt = _attempt(LOOK, 0, is_complete=False, seconds=seconds, **fields)
    return _record(attempt, *runs)


def _two_runs(route: SoakRoute, together_s: float) -> SoakRecord:
    body = _events(*range(1, STREAM_EVENTS + 1)) if route.is_stream else b""
    first = Run("first", SENT_S, SENT_S + 0.5 + together_s)
    return _record(_attempt(route, body=body), first, Run("second", SENT_S + 0.5, SENT_S + 2.0))


def _left_server_suspended() -> SoakRecord:
    record = _two_runs(RESUMABLE, 1.0)
    record.stalled_servers["first"].append(Interval(SENT_S, SENT_S + 1.4))
    return record


def _cut_at_failing(*runs: Run) -> SoakRecord:
    """Return a record of a stream that is cut while the second server fails new ones."""
    attempt = _attempt(RESUMABLE, body=_events(1, 2), is_complete=False, seconds=2.0)
    record = _record(attempt, *runs)
    record.failing_servers["second"].append(Interval(SENT_S - 0.5, SENT_S + 1.5))
    return record


ALL = range(1, STREAM_EVENTS + 1)
LAST_HALF = range(STREAM_EVENTS // 2 + 1, STREAM_EVENTS + 1)
SUSPENDED = Interval(SENT_S - 2.0, SENT_S + 1.0)
RECORDS: dict[str, Callable[[], SoakRecord]] = {
    "a stream is cut at a running daemon": _cut_stream,
    "a stream is cut while its server is suspended": _cut_beside_pause,
    "a stream is cut within a second of SIGTERM": lambda: _cut_at_life(
        terminated_at_s=SENT_S + 1.5
    ),
    "a request on a new connection has no reply": _no_reply,
    "a pipelined request behind a whole reply has no reply": lambda: _no_reply(rested_s=0.2),
    "a request that has run has no reply when its time is over": lambda: _no_reply(
        Run("shop", SENT_S, SENT_S + TIMEOUT_S), seconds=TIMEOUT_S
    ),
    "a request on a permanent route is answered with 404": lambda: _record(_attempt(BOOK, 404)),
    "a stream has events of two versions": lambda: _stream(
        _events(*ALL[: STREAM_EVENTS // 2]) + _events(*LAST_HALF, version="v2")
    ),
    "a stream lacks an event": lambda: _stream(_events(1, *ALL[2:])),
    "a stream repeats an event": lambda: _stream(_events(1, *ALL)),
    "a stream is complete before its last event": lambda: _stream(_events(*ALL[:-1])),
    "a request that cannot be repeated ran twice": lambda: _two_runs(BOOK, 0.1),
    "a request that cannot be repeated ran although refused": lambda: _record(
        _attempt(STREAMS[0], 503), Run("first", SENT_S, SENT_S + 1.0)
    ),
    "two servers work on a stream for a second": lambda: _two_runs(RESUMABLE, 1.0),
    "a stream is cut after a move from a paused server to one that fails": lambda: _cut_at_failing(
        Run("first", SENT_S, SENT_S + 1.2), Run("second", SENT_S + 1.1, SENT_S + 2.0)
    ),
    "a stream is cut that its server had before it failed new ones": lambda: _cut_at_failing(
        Run("second", SENT_S - 1.0, SENT_S + 2.0)
    ),
    "a stream is cut that only ran at a server that fails": lambda: _cut_at_failing(
        Run("second", SENT_S, SENT_S + 2.0)
    ),
    "a stream is cut as its daemon is killed": lambda: _cut_at_life(killed_at_s=SENT_S + 1.9),
    "a stream is cut at a daemon that was suspended": lambda: _cut_at_life(suspended=[SUSPENDED]),
    "a stream is cut as its server is killed": lambda: _cut_stream(run=Run("first", SENT_S)),
    "a stream is cut at the end of the grace period": lambda: _cut_at_life(
        seconds=GRACE_S - 0.4, terminated_at_s=SENT_S
    ),
    "a stream is cut when its time is over": lambda: _cut_stream(seconds=TIMEOUT_S),
    "a request reaches no daemon": lambda: _no_reply(is_sent=False),
    "a request on a connection that rested for long has no reply": lambda: _no_reply(rested_s=14.0),
    "a request that can be repeated ran twice": lambda: _two_runs(LOOK, 0.1),
    "a server that is left is suspended for a second": _left_server_suspended,
}


@given("the record of a soak in which {what}")
def step_record(context: Any, what: str) -> None:
    record = RECORDS[what]()
    context.found = {name for name, check in CHECKS.items() if check(record)}


@then('only the check "{name}" finds it')
def step_found(context: Any, name: str) -> None:
    assert context.found == {name}, context.found


@then("no check finds anything")
def step_nothing_found(context: Any) -> None:
    assert not context.found, context.found
