"""Explains from daemons' logs what happened to a request: ``loomwind explain ID LOG...``.

Lines are JSON objects as written by :mod:`loomwind.logs`; other lines are skipped. The likely cause
is found by rules over the request's own lines and the lines that daemons logged before its end.
"""

import enum
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

from loomwind.decoding import DecodeError, decode_json

# How far before the end of a request other log lines are considered.
LOOKBACK_SECONDS = 30.0
REQUEST_TYPE = "loomwind:request"
# Lines that describe no state of their daemon.
EVENT_TYPES = frozenset({REQUEST_TYPE, "loomwind:order", "loomwind:connection"})
FAILED_DECISIONS = ("given-up", "out-of-time", "caller-left")
UNEXPECTED_DECISIONS = ("failed", "unanswered")


class Cause(enum.Enum):
    """Why a request was not served, or was served late."""

    NOT_FOUND = "no line about this request"
    SERVED_LATE = "the model or adapter was loaded late"
    NO_ROUTE = "no route in the configuration in force"
    NO_CONFIGURATION = "the daemon knew no configuration"
    LEAVING = "the daemon was stopping as planned"
    SERVER_PAUSED = "the server paused between events"
    CALLER_LEFT = "the caller went away"
    ORDERS_UNANSWERED = "a model server left orders for the model unanswered"
    NO_LEADER = "no daemon led, so nothing was loaded"
    MODEL_NOT_LOADED = "the model was not loaded in time"
    TOLD_TO_RETURN = "the model was being loaded, and the caller was told when to come back"
    NO_TURN = "the model could not be loaded before the caller would have left"
    SERVER_SILENT = "a server took the request and did not answer"
    SERVER_BROKE_OFF = "a server broke off its answer"
    SERVERS_REFUSED = "the servers refused the request unstarted"
    SERVER_UNREACHABLE = "no connection to the server could be made"
    SERVER_FAILED = "the servers answered with their own error"
    NO_SERVER = "no server of the service was known"
    DAEMON_FAILED = "the daemon failed with an error that nothing expected"
    UNKNOWN = "the lines do not tell"


# The cause that is implied by the decision to refuse a waiting request.
WAIT_CAUSES = {"come-back": Cause.TOLD_TO_RETURN, "hopeless": Cause.NO_TURN}


class LogLine(Struct, frozen=True):
    """One line of a daemon's log.

    :param time: Unix time in seconds, by the daemon's clock.
    :param kind: the message type, such as ``loomwind:request``.
    :param fields: the remaining fields of the line.
    """

    time: float
    daemon: str
    kind: str
    fields: dict[str, Any]

    def get(self, name: str) -> Any:
        """Return a field, or None."""
        return self.fields.get(name)


class RequestHistory(Struct, frozen=True):
    """What the logs say about a request. Lines are in order of time.

    :param own: the lines with its id.
    :param beliefs: its daemon's state at the end: the newest line of each kind and subject.
    :param orders: orders for the model that it needs.
    """

    request_id: str
    cause: Cause
    own: tuple[LogLine, ...]
    beliefs: tuple[LogLine, ...]
    orders: tuple[LogLine, ...]


def read_lines(paths: Iterable[str]) -> list[LogLine]:
    """Return the log lines of all files in order of time."""
    lines: list[LogLine] = []
    for path in paths:
        text = Path(path).read_text(encoding="utf-8", errors="replace")
        lines += [line for line in map(_parse_line, text.splitlines()) if line is not None]
    return sorted(lines, key=lambda line: line.time)


def _parse_line(text: str) -> LogLine | None:
    """Parse the JSON object of a line; None when there is none."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = decode_json(text[start:], dict[str, Any])
    except DecodeError:
        return None
    kind = str(fields.pop("message_type", ""))
    time = float(fields.pop("timestamp", 0.0))
    return LogLine(time, str(fields.pop("daemon", "")), kind, fields)


def explain_request(request_id: str, lines: Sequence[LogLine]) -> RequestHistory:
    """Collect the lines about a request and find the likely cause.

    :param lines: all lines in order of time.
    """
    own = tuple(line for line in lines if line.get("request_id") == request_id)
    if not own:
        return RequestHistory(request_id, Cause.NOT_FOUND, (), (), ())
    last = own[-1]
    recent_lines = [
        line for line in lines if last.time - LOOKBACK_SECONDS <= line.time <= last.time
    ]
    target = next((str(line.get("target")) for line in own if line.get("target")), "")
    model = target.partition("/")[0]
    orders = tuple(
        line
        for line in recent_lines
        if line.kind == "loomwind:order"
        and model
        and str(line.get("target")).partition("/")[0] == model
    )
    states = tuple(_latest_states(recent_lines, last.daemon))
    return RequestHistory(
        request_id, _find_cause(own, states, orders, recent_lines), own, states, orders
    )


def _latest_states(lines: Sequence[LogLine], daemon: str) -> Iterator[LogLine]:
    """Yield a daemon's newest line of each kind and subject, in order of time."""
    newest: dict[tuple[str, str], LogLine] = {}
    for line in lines:
        if line.daemon == daemon and line.kind not in EVENT_TYPES:
            newest[(line.kind, str(line.get("server") or line.get("table") or ""))] = line
    yield from sorted(newest.values(), key=lambda line: line.time)


def _find_cause(
    own: Sequence[LogLine],
    states: Sequence[LogLine],
    orders: Sequence[LogLine],
    recent_lines: Sequence[LogLine],
) -> Cause:
    """Return the likely cause: that of the first rule that matches."""
    refused = next((line for line in own if line.get("decision") == "refused"), None)
    ended = next((line for line in own if line.get("decision") in FAILED_DECISIONS), None)
    reason = str(refused.get("reason")) if refused else ""
    if any(line.get("decision") in UNEXPECTED_DECISIONS for line in own):
        return Cause.DAEMON_FAILED
    if refused and refused.get("status") == 404:
        return Cause.NO_ROUTE
    if "no configuration" in reason:
        return Cause.NO_CONFIGURATION
    if "leaving" in reason:
        return Cause.LEAVING
    if ended and ended.get("decision") == "caller-left":
        return Cause.CALLER_LEFT
    if ended and ended.get("waiting"):
        return _find_wait_cause(own, orders, recent_lines)
    if "no server of the service" in reason:
        return Cause.NO_SERVER
    failure = next((line for line in reversed(own) if line.get("decision") == "send-failed"), None)
    if ended and ended.get("decision") == "out-of-time" and ended.get("may_have_run"):
        return Cause.SERVER_SILENT
    if failure is not None:
        return _find_failure_cause(str(failure.get("reason")))
    if any(line.get("decision") == "late" for line in own):
        return Cause.SERVED_LATE
    if any(line.get("decision") == "paused" for line in own):
        return Cause.SERVER_PAUSED
    return Cause.UNKNOWN


def _newest(lines: Sequence[LogLine], kind: str, **meanings: bool) -> dict[str, bool]:
    """Return by daemon what its newest line of a kind means.

    :param meanings: the meaning of each state; lines with other states do not count.
    """
    return {
        line.daemon: meanings[str(line.get("state"))]
        for line in lines
        if line.kind == kind and line.get("state") in meanings
    }


def _find_wait_cause(
    own: Sequence[LogLine], orders: Sequence[LogLine], recent_lines: Sequence[LogLine]
) -> Cause:
    """Return why a request that was waiting for its model was not served."""
    if any(line.get("state") == "unknown" for line in orders):
        return Cause.ORDERS_UNANSWERED
    is_leader = _newest(recent_lines, "loomwind:election", leader=True, follower=False)
    is_store_lost = _newest(recent_lines, "loomwind:store", lost=True, answers=False)
    if not orders and (not any(is_leader.values()) or any(is_store_lost.values())):
        return Cause.NO_LEADER
    decision = next((line for line in own if line.get("decision") in WAIT_CAUSES), None)
    if decision is not None and decision.get("ready_in_ms") is not None:
        return WAIT_CAUSES[str(decision.get("decision"))]
    return Cause.MODEL_NOT_LOADED


def _find_failure_cause(reason: str) -> Cause:
    """Return the cause for the logged reason of a failed send."""
    if "refused unstarted" in reason:
        return Cause.SERVERS_REFUSED
    if "Connect call failed" in reason or "timed out" in reason:
        return Cause.SERVER_UNREACHABLE
    if "status 5" in reason:
        return Cause.SERVER_FAILED
    if "silent" in reason:
        return Cause.SERVER_SILENT
    return Cause.SERVER_BROKE_OFF


def _format_line(line: LogLine, start_time: float) -> str:
    """Return a line as text, with its time in seconds since ``start_time``."""
    fields = " ".join(f"{k}={v}" for k, v in line.fields.items() if k != "request_id")
    kind = line.kind.removeprefix("loomwind:")
    return f"{line.time - start_time:+9.3f} s  {line.daemon:18} {kind:13} {fields}"


def print_request_history(request_id: str, paths: Sequence[str], as_json: bool = False) -> None:
    """Print the likely cause and the log lines about a request."""
    history = explain_request(request_id, read_lines(paths))
    if as_json:
        print(msgspec.json.encode(history, enc_hook=str).decode())
        return
    print(f"request {request_id}: {history.cause.value} ({history.cause.name.lower()})")
    if not history.own:
        return
    start_time = history.own[0].time
    sections = (
        ("state of its daemon", history.beliefs),
        ("orders for its model", history.orders),
        ("the request", history.own),
    )
    for title, lines in sections:
        if lines:
            print(f"-- {title}")
        for line in lines:
            print(_format_line(line, start_time))


def print_timeline(paths: Sequence[str], start: float = 0.0, end: float = 0.0) -> None:
    """Print state changes in order, and the number of request decisions in each second."""
    lines = [
        line for line in read_lines(paths) if line.time >= start and (not end or line.time <= end)
    ]
    if not lines:
        print("no log lines in the time range")
        return
    start_time = lines[0].time
    current_second = -1
    counts: Counter[str] = Counter()
    for line in lines:
        line_second = int(line.time - start_time)
        if line_second != current_second and counts:
            summary = ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))
            print(f"{current_second:+6} s  requests: {summary}")
            counts.clear()
        current_second = line_second
        if line.kind == REQUEST_TYPE:
            counts[str(line.get("decision"))] += 1
        else:
            print(_format_line(line, start_time))
