"""Steps with made records of a soak of repeated responses."""

import json
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from behave import given, then

from features.support.caller import Reply
from features.support.soak_callers import BOOK, LOOK, RESUMABLE
from features.support.soak_record import (
    Attempt,
    DaemonLife,
    Interval,
    Run,
    SoakRecord,
    SoakRoute,
    StreamRecord,
)
from features.support.streams import Stream
from features.support.surplus_checks import STAMP
from features.support.surplus_soak import REPEAT_CHECKS

DAEMON = "daemon-1"
ID = "a1"
OTHER_ID = "b2"
SENT_S = 1010.0
GRACE_S = 4.0
RUN = Run("shop", SENT_S, SENT_S + 0.1)
ORDER = {"server": "i-1", "kind": "load", "target": "m1", "fence": 3, "revision": 7}


def _record(folder: Path) -> SoakRecord:
    record = SoakRecord(folder, GRACE_S)
    record.lives[DAEMON].append(DaemonLife(SENT_S - 10.0))
    return record


def _answer(
    status: int,
    *runs: Run,
    route: SoakRoute = LOOK,
    stamp: str = f"i-1.{ID}.0",
    body: str = f"POST /look/item {ID}",
    terminated_at_s: float | None = None,
    **failing: Interval,
) -> Callable[[Path], SoakRecord]:
    """Return a record of one request.

    :param failing: when servers failed, by their names.
    """

    def create(folder: Path) -> SoakRecord:
        record = _record(folder)
        headers = {STAMP: stamp} if stamp else {}
        reply = Reply(ID, status, headers, body.encode(), True)
        record.attempts.append(Attempt(route, DAEMON, reply, 8.0, SENT_S, SENT_S + 0.2))
        record.runs[ID] += runs
        record.lives[DAEMON][0].terminated_at_s = terminated_at_s
        for name, interval in failing.items():
            record.failing_servers[name].append(interval)
        return record

    return create


def _paused(folder: Path) -> SoakRecord:
    record = _answer(502, RUN, stamp="")(folder)
    record.stalled_servers["shop"].append(Interval(SENT_S, SENT_S + 0.2))
    return record


def _resumed(folder: Path) -> SoakRecord:
    """Return a record of a stream whose second part has the head of the first one."""
    record = _answer(200, RUN, route=RESUMABLE, stamp=f"i-1.{OTHER_ID}.0", body="")(folder)
    first = Reply(OTHER_ID, 200, {STAMP: f"i-1.{OTHER_ID}.0"}, b"", False)
    stream = Stream(OTHER_ID, [first, record.attempts[0].reply])
    record.streams.append(StreamRecord(RESUMABLE, stream))
    return record


def _order(
    answers: str, status: int | None, violations: tuple[str, ...] = ()
) -> Callable[[Path], SoakRecord]:
    """Return a record of an order.

    :param answers: what the leader has logged, one for each time that it sent the order.
    :param status: what the server answered once; None if it got no order.
    """

    def create(folder: Path) -> SoakRecord:
        line = ORDER | {"server": "i-1@5", "message_type": "loomwind:order"}
        lines = [json.dumps(line | {"state": answer}) for answer in answers.split()]
        (folder / f"{DAEMON}.1.log").write_text("\n".join(lines) + "\n")
        if status is not None:
            given = ORDER | {"status": status, "violations": violations}
            (folder / "first.orders").write_text(json.dumps(given) + "\n")
        return _record(folder)

    return create


NOW = Interval(SENT_S, SENT_S + 0.2)
LATER_RUN = Run("shop", SENT_S + 3.0, SENT_S + 3.1)
RECORDS: dict[str, Callable[[Path], SoakRecord]] = {
    "a request that can be repeated ran and was refused": _answer(503, RUN, stamp=""),
    "a request ran after it was refused": _answer(421, LATER_RUN, route=BOOK, stamp=""),
    "a request got the head of the response to another one": _answer(
        200, RUN, stamp=f"i-1.{OTHER_ID}.0"
    ),
    "a request got the body of the response to another one": _answer(
        200, RUN, body=f"POST /look/item {OTHER_ID}"
    ),
    "a request got a response without a stamp": _answer(200, RUN, stamp=""),
    "a request got the error of another one": _answer(500, RUN, stamp=f"i-1.{OTHER_ID}.0"),
    "a request is answered 502 beside sound servers": _answer(502, RUN, stamp=""),
    "a request is answered 502 while another server has failed": _answer(
        502, RUN, stamp="", depot=NOW
    ),
    "a request that ran nowhere is answered 502 beside sound servers": _answer(502, stamp=""),
    "an order that was accepted counts as one already carried out": _order("already", 202),
    "an order that was carried out counts as rejected": _order("rejected", 200),
    "an order that no server has got counts as accepted": _order("accepted", None),
    "an order that is sent again counts as carried out twice": _order("accepted accepted", 202),
    "an order that is sent again counts as rejected twice": _order("rejected rejected", 202),
    "an order is carried out after it could not be delivered": _order("rejected accepted", 202),
    "an order overcommitted a server": _order("accepted", 202, ("load m1: 120000 MB",)),
    "a request got its own response": _answer(200, RUN),
    "a resumed stream has the head of the response that it continues": _resumed,
    "a request is answered 502 as its server fails": _answer(502, RUN, stamp="", shop=NOW),
    "a request is answered 502 as its server pauses": _paused,
    "a request is answered 502 at the end of the grace period": _answer(
        502, RUN, stamp="", terminated_at_s=SENT_S - GRACE_S + 0.3
    ),
    "an order has the answer that its server gave": _order("conflict", 409),
    "an order that no server has got counts as rejected": _order("rejected", None),
    "an order has no answer": _order("unknown", 202),
}


@given("the record of a soak with repeats in which {what}")
def step_record(context: Any, what: str) -> None:
    with tempfile.TemporaryDirectory() as folder:
        record = RECORDS[what](Path(folder))
        context.found = {name for name, check in REPEAT_CHECKS.items() if check(record)}


@then('of the checks for repeats only "{name}" finds it')
def step_found(context: Any, name: str) -> None:
    assert context.found == {name}, context.found


@then("no check for repeats finds anything")
def step_nothing_found(context: Any) -> None:
    assert not context.found, context.found
