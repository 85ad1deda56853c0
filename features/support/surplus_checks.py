"""What a soak of servers that repeat responses must keep to, beyond the checks of every soak."""

import json
from collections import Counter, defaultdict
from collections.abc import Iterator
from typing import Any

from features.support.soak_checks import (
    CATCH_UP_SECONDS,
    LAST_GRACE_SHARE,
    NOT_RUN_STATUSES,
    describe,
)
from features.support.soak_record import Attempt, SoakRecord

BAD_GATEWAY = 502
STAMP = "x-response-stamp"
ORDER_MESSAGE = "loomwind:order"
# The status that a server gave, by the answer to the order that the leader read.
STATUS_BY_ANSWER = {"accepted": 202, "already": 200, "conflict": 409, "fenced": 412}
CARRIED_OUT = {200, 202}
NOT_CARRIED_OUT_ANSWERS = ("other-instance", "missing-target", "rejected")
UNKNOWN_ANSWER = "unknown"
ORDER_FIELDS = ("kind", "target", "fence", "revision")


def refused_runs(record: SoakRecord) -> list[str]:
    """Return the requests on any route that ran, then or later, although they were refused."""
    return [
        describe(record, attempt)
        for attempt in record.attempts
        if attempt.reply.status in NOT_RUN_STATUSES and record.runs.get(attempt.request_id)
    ]


def foreign_answers(record: SoakRecord) -> list[str]:
    """Return the requests that were answered with the response to another one."""
    streams: dict[str, set[str]] = {}
    for each in record.streams:
        ids = {reply.request_id for reply in each.stream.replies}
        streams |= dict.fromkeys(ids, ids)
    found = []
    for attempt in record.attempts:
        own_ids = streams.get(attempt.request_id, {attempt.request_id})
        if not _is_own(attempt, own_ids):
            found.append(f"{attempt.reply.headers.get(STAMP)} {describe(record, attempt)}")
    return found


def _is_own(attempt: Attempt, own_ids: set[str]) -> bool:
    """Whether a response names the request in its head, and a plain one in its body.

    A stream that is resumed may keep the head of the response that it continues.
    """
    reply = attempt.reply
    stamp = reply.headers.get(STAMP, "")
    if reply.status != 200:
        return not stamp or any(own_id in stamp for own_id in own_ids)
    if not any(own_id in stamp for own_id in own_ids):
        return False
    is_whole_body = reply.is_complete and not attempt.route.is_stream
    return not is_whole_body or reply.body.endswith(f" {attempt.request_id}".encode())


def lost_answers(record: SoakRecord) -> list[str]:
    """Return the requests that were answered 502 while nothing but repeats disturbed them."""
    return [
        describe(record, attempt)
        for attempt in record.attempts
        if attempt.reply.status == BAD_GATEWAY and not _is_disturbed(record, attempt)
    ]


def _is_disturbed(record: SoakRecord, attempt: Attempt) -> bool:
    """Whether a server that the request ran at failed or paused, or its daemon had to end.

    One that didn't run may have met any server.
    """
    ran_at = {run.server for run in record.runs.get(attempt.request_id, [])}
    names = ran_at or {*record.stalled_servers, *record.failing_servers}
    since_s = attempt.sent_at_s - CATCH_UP_SECONDS
    intervals = (
        each
        for name in names
        for each in (*record.stalled_servers.get(name, ()), *record.failing_servers.get(name, ()))
    )
    if any(each.overlaps(since_s, attempt.ended_at_s) for each in intervals):
        return True
    stopping_from_s = record.life_at(attempt.daemon, attempt.sent_at_s).stopping_from_s
    if stopping_from_s is None:
        return False
    return attempt.ended_at_s >= stopping_from_s + LAST_GRACE_SHARE * record.grace_s


def misread_orders(record: SoakRecord) -> list[str]:
    """Return the orders whose answer a leader took for another than the server gave.

    An order may be sent again, unchanged, when it could not be delivered: each status that a server
    gave belongs to one answer.
    """
    given: defaultdict[tuple[object, ...], Counter[int]] = defaultdict(Counter)
    for entry in _entries(record, "*.orders"):
        given[_order_key(entry)][entry["status"]] += 1
    read: defaultdict[tuple[object, ...], Counter[str]] = defaultdict(Counter)
    for entry in _entries(record, "daemon-*.log"):
        if entry.get("message_type") == ORDER_MESSAGE:
            read[_order_key(entry)][entry["state"]] += 1
    return [
        f"{key}: read {dict(answers)}, server gave {dict(given[key])}"
        for key, answers in read.items()
        if not _are_answers(answers, given[key])
    ]


def _are_answers(answers: Counter[str], given: Counter[int]) -> bool:
    """Whether a server gave each definite answer, and each order it carried out has one."""
    rest = given.copy()
    for answer, status in STATUS_BY_ANSWER.items():
        rest[status] -= answers[answer]
    if min(rest.values(), default=0) < 0:
        return False
    is_declined = any(answers[each] for each in NOT_CARRIED_OUT_ANSWERS)
    carried_out = sum(rest[status] for status in CARRIED_OUT)
    return not is_declined or carried_out <= answers[UNKNOWN_ANSWER]


def _order_key(entry: dict[str, Any]) -> tuple[object, ...]:
    """Return what tells orders apart; daemons log the start of a server's process with its id."""
    instance, _, _ = entry["server"].partition("@")
    return (instance, *(entry[name] for name in ORDER_FIELDS))


def overcommitted_servers(record: SoakRecord) -> list[str]:
    """Return the orders after which a server had more than it has room for."""
    return [
        f"{entry['violations'][-1]} after {_order_key(entry)}"
        for entry in _entries(record, "*.orders")
        if entry["violations"]
    ]


def _entries(record: SoakRecord, pattern: str) -> Iterator[dict[str, Any]]:
    """Return the entries of log files, without a last line that a killed process began."""
    for path in sorted(record.folder.glob(pattern)):
        for line in path.read_text().splitlines():
            if line.startswith("{") and line.endswith("}"):
                yield json.loads(line)
