"""Steps for what callers are told, by what came back from a server over a real connection."""

import asyncio
from collections.abc import Sequence
from typing import Any, cast

from attrs import frozen
from behave import given, then, when

from features.steps.refusal_steps import UnstartedExchange
from features.support.local_daemon import (
    HOST,
    apply_server,
    captured_log,
    listening_daemon,
    request_handler,
)
from features.support.raw_client import RawReply, exchange_bytes, parse_replies
from features.support.scripted_server import End, Late, Part, Script, scripted_server
from loomwind.http.server import Exchange
from loomwind.serving.errors import Refused
from loomwind.serving.final_errors import FinalErrors
from loomwind.serving.request_log import RequestProgress
from loomwind.settings import BoundSettings

ROUTES = {"repeatable": "look", "once-only": "book"}
# Statuses from which a caller concludes that its request has not run and never will.
NOT_RUN_STATUSES = {408, 421, 429, 503}
MAX_ATTEMPTS = 2
AMPLE_RETRIES = BoundSettings(retry_allowance=1e6)
REQUEST_ID = "r1"
OTHER_ID = "r0"
BODY = b"served"
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nlink: </style.css>\r\n\r\n"


def response(
    request_id: str | None,
    status: int = 200,
    refused: bool = False,
    stamped: bool = True,
    body: bytes = BODY,
) -> bytes:
    """Return an encoded response.

    :param request_id: the request that it names; None for none.
    :param refused: whether it says that the request has not run.
    """
    lines = [f"HTTP/1.1 {status} X", f"content-length: {len(body)}"]
    lines += [f"x-request-id: {request_id}"] if request_id is not None else []
    lines += ["x-not-executed: 1"] if refused else []
    lines += ["x-response-stamp: s"] if stamped else []
    return "\r\n".join([*lines, "", ""]).encode() + body


def refusal(request_id: str | None, status: int = 503, body: bytes = b"no") -> bytes:
    """Return a response of a server that has not run a request."""
    return response(request_id, status, refused=True, body=body)


def chunked_refusal(request_id: str) -> list[bytes]:
    """Return a refusal whose last chunk comes by itself."""
    head = b"HTTP/1.1 503 X\r\ntransfer-encoding: chunked\r\nx-not-executed: 1\r\n"
    return [head + f"x-request-id: {request_id}\r\n\r\n".encode() + b"2\r\nno\r\n", b"0\r\n\r\n"]


def with_header(data: bytes, line: str) -> bytes:
    """Return an encoded response with one more header."""
    return data.replace(b"\r\n", f"\r\n{line}\r\n".encode(), 1)


def in_pieces(data: bytes) -> list[bytes]:
    """Return data that comes in three segments."""
    return [data[:20], data[20:60], data[60:]]


def well(request_id: str) -> Sequence[Part]:
    """Return the answer of a sound server."""
    return [response(request_id)]


FOREIGN = refusal(OTHER_ID)
EMPTY_FOREIGN = refusal(OTHER_ID, body=b"")
SERVED = Script(well)

SCRIPTS: dict[str, Script] = {
    # The request is refused.
    "its refusal with 503": Script(lambda i: [refusal(i)], runs=False),
    "its refusal with 429": Script(lambda i: [refusal(i, 429)], runs=False),
    "its refusal with 421": Script(lambda i: [response(i, 421)], runs=False),
    "its refusal with 400": Script(lambda i: [refusal(i, 400)], runs=False),
    "its refusal with 408": Script(lambda i: [refusal(i, 408)], runs=False),
    "its refusal without a body": Script(lambda i: [refusal(i, body=b"")], runs=False),
    "its refusal after an informational head": Script(
        lambda i: [EARLY_HINTS, refusal(i)], runs=False
    ),
    "its refusal in pieces": Script(lambda i: in_pieces(refusal(i)), runs=False),
    "its refusal twice at once": Script(lambda i: [refusal(i) + refusal(i)], runs=False),
    "its refusal, and a copy before the next answer": Script(
        lambda i: [refusal(i), Late(refusal(i))], runs=False
    ),
    "its refusal, and a copy without a body before the next answer": Script(
        lambda i: [refusal(i), Late(refusal(i, body=b""))], runs=False
    ),
    "a foreign refusal and its own": Script(lambda i: [FOREIGN, refusal(i)], runs=False),
    # It is served, beside a response to another request.
    "a foreign refusal and the answer": Script(lambda i: [FOREIGN, *well(i)]),
    "a foreign 421 and the answer": Script(lambda i: [response(OTHER_ID, 421), *well(i)]),
    "a foreign 429 and the answer": Script(lambda i: [refusal(OTHER_ID, 429), *well(i)]),
    "a foreign 200 and the answer": Script(lambda i: [response(OTHER_ID), *well(i)]),
    "a foreign refusal without a body and the answer": Script(lambda i: [EMPTY_FOREIGN, *well(i)]),
    "a foreign refusal without a body with the answer": Script(
        lambda i: [EMPTY_FOREIGN + response(i)]
    ),
    "a foreign refusal in chunks and the answer": Script(
        lambda i: [*chunked_refusal(OTHER_ID), *well(i)]
    ),
    "a foreign refusal in pieces and the answer": Script(lambda i: [*in_pieces(FOREIGN), *well(i)]),
    "a foreign refusal with the answer": Script(lambda i: [FOREIGN + response(i)]),
    "the answer with a foreign refusal": Script(lambda i: [response(i) + FOREIGN]),
    "the answer and a foreign refusal": Script(lambda i: [*well(i), FOREIGN]),
    "a foreign refusal after an informational head and the answer": Script(
        lambda i: [EARLY_HINTS, FOREIGN, *well(i)]
    ),
    "two foreign refusals and the answer": Script(lambda i: [FOREIGN, FOREIGN, *well(i)]),
    "three foreign refusals and the answer": Script(
        lambda i: [FOREIGN, FOREIGN, FOREIGN, *well(i)]
    ),
    # It may have run, and no answer to it comes.
    "a foreign refusal and a close": Script(lambda i: [FOREIGN, End.CLOSE]),
    "a foreign refusal and a reset": Script(lambda i: [FOREIGN, End.RESET]),
    "a foreign refusal and nothing": Script(lambda i: [FOREIGN, End.SILENCE]),
    "a foreign refusal without a body and a close": Script(lambda i: [EMPTY_FOREIGN, End.CLOSE]),
    "a foreign refusal without a body and nothing": Script(lambda i: [EMPTY_FOREIGN, End.SILENCE]),
    "nothing": Script(lambda i: [End.SILENCE]),
    "a close": Script(lambda i: [End.CLOSE]),
    "a reset": Script(lambda i: [End.RESET]),
    "a close within the head of its refusal": Script(lambda i: [refusal(i)[:40], End.CLOSE]),
    "a close within the head": Script(lambda i: [response(i)[:40], End.CLOSE]),
    "a reset within the head": Script(lambda i: [response(i)[:40], End.RESET]),
    "a close within the body": Script(lambda i: [response(i)[:-2], End.CLOSE]),
    "a reset within the body": Script(lambda i: [response(i)[:-2], End.RESET]),
    "an informational head and a close": Script(lambda i: [EARLY_HINTS, End.CLOSE]),
    "bytes that are no response": Script(lambda i: [b"no response\r\n\r\n", End.CLOSE]),
    "a refusal without an id and a close": Script(lambda i: [refusal(None), End.CLOSE]),
    "a refusal without an id and nothing": Script(lambda i: [refusal(None), End.SILENCE]),
    "an answer without an id and a close": Script(lambda i: [response(None), End.CLOSE]),
    "an answer without an id and nothing": Script(lambda i: [response(None), End.SILENCE]),
    "an answer without a stamp": Script(lambda i: [response(i, stamped=False)]),
    "a 503 without a stamp that does not say unstarted": Script(
        lambda i: [response(i, 503, stamped=False)]
    ),
    # It has run, and its own answer says so.
    "its answer with 500": Script(lambda i: [response(i, 500)]),
    "its answer with the header of a peer's decline": Script(
        lambda i: [with_header(response(i), "loomwind-end: declined")]
    ),
    "its answer with the header of a peer's refusal": Script(
        lambda i: [with_header(response(i), "loomwind-end: refused")]
    ),
    "its answer with 504": Script(lambda i: [response(i, 504)]),
    "its answer with 503": Script(lambda i: [response(i, 503)]),
    "its answer with 429": Script(lambda i: [response(i, 429)]),
    "its answer with 408": Script(lambda i: [response(i, 408)]),
}


@frozen
class Outcome:
    """What became of a request.

    :ivar sends: how often servers got it.
    :ivar runs: how often they ran it.
    """

    reply: RawReply
    sends: int
    runs: int


@given("a server that always sends {answer}")
def step_always(context: Any, answer: str) -> None:
    context.scripts = [SCRIPTS[answer]]


@given("a server that first sends {answer}, and serves a request that it gets again")
def step_first(context: Any, answer: str) -> None:
    context.scripts = [SCRIPTS[answer], SERVED]


@when("a {kind} request is sent to it")
def step_send(context: Any, kind: str) -> None:
    with captured_log() as context.lines:
        context.outcome = asyncio.run(_send(context.scripts, ROUTES[kind]))


async def _send(scripts: Sequence[Script], route: str) -> Outcome:
    """Send a request through a daemon, which ends it once its server is silent."""
    async with listening_daemon(MAX_ATTEMPTS) as daemon:
        handler = request_handler(daemon)
        handler.pool.set_bounds(AMPLE_RETRIES)
        async with scripted_server(scripts, handler.end_all_requests) as server:
            apply_server(daemon, server.port)
            received = await exchange_bytes(daemon.callers.port, request(route))
    reply = parse_replies(received, ["POST"])[0]
    return Outcome(reply, server.sends[REQUEST_ID], server.runs[REQUEST_ID])


def request(route: str) -> bytes:
    """Return an encoded request, after whose response the connection is closed."""
    lines = (
        f"POST /{route}/item HTTP/1.1",
        f"host: {HOST}",
        f"x-request-id: {REQUEST_ID}",
        "connection: close",
        "content-length: 2",
    )
    return "\r\n".join([*lines, "", "hi"]).encode()


@then("its caller is told {status:d}, and servers got it {sends:d} times")
def step_told(context: Any, status: int, sends: int) -> None:
    outcome: Outcome = context.outcome
    assert outcome.reply.is_complete, (outcome, context.lines)
    assert (outcome.reply.status, outcome.sends) == (status, sends), (outcome, context.lines)


@then("it has not run if its caller is told so")
def step_promise(context: Any) -> None:
    outcome: Outcome = context.outcome
    assert outcome.reply.status not in NOT_RUN_STATUSES or outcome.runs == 0, outcome


@then("it ran at most once")
def step_once(context: Any) -> None:
    assert context.outcome.runs <= 1, context.outcome


@given("a request that was {history}")
def step_history(context: Any, history: str) -> None:
    progress = RequestProgress()
    for event in history.split(", "):
        if event == "sent":
            progress.record_sent("i-1")
        elif event == "left for another server":
            progress.record_sent("i-2")
            progress.record_run("i-1")
        elif event != "not sent":
            progress.record_failure(progress.server, may_have_run=event == "failed")
    context.errors = FinalErrors(cast(Exchange, UnstartedExchange()), progress)


@then(
    "a failure, its deadline and a peer's refusal end it with "
    "{failure:d}, {deadline:d} and {refusal:d}"
)
def step_final_errors(context: Any, failure: int, deadline: int, refusal: int) -> None:
    errors: FinalErrors = context.errors
    ends = (errors.failure(""), errors.timeout(), errors.peer_refusal(Refused(503, "")))
    statuses = [end.status for end in ends if isinstance(end, Refused)]
    assert statuses == [failure, deadline, refusal], statuses
