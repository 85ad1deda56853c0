"""Steps for what callers are told of requests that peers relayed, over real connections."""

import asyncio
import socket
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from typing import Any, cast

from behave import given, then, when

from features.steps.refusal_outcome_steps import (
    AMPLE_RETRIES,
    BODY,
    MAX_ATTEMPTS,
    REQUEST_ID,
    ROUTES,
    Outcome,
    request,
    response,
)
from features.steps.unanswered_steps import ask_server
from features.support.local_daemon import (
    LOCALHOST,
    apply_server,
    captured_log,
    listening_daemon,
    request_handler,
)
from features.support.raw_client import exchange_bytes, parse_replies
from features.support.scripted_server import End, Script, scripted_server
from loomwind.http.messages import HttpResponse
from loomwind.serving.errors import Refused
from loomwind.serving.peers import PeerEntry, PeerTable
from loomwind.serving.relay_protocol import (
    RelayMetadata,
    RelayOutcome,
    configuration_headers,
    decode_error,
    is_server_response,
    outcome_headers,
)
from loomwind.serving.relay_service import RelayService

CONFIGURATION = configuration_headers(1)


def peer_response(status: int, outcome: RelayOutcome, retry_after_seconds: float = 1.0) -> bytes:
    """Return an encoded response of a peer that has no server's response."""
    headers = CONFIGURATION + outcome_headers(outcome, retry_after_seconds)
    lines = [f"HTTP/1.1 {status} X", f"content-length: {len(BODY)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join([*lines, "", ""]).encode() + BODY


def relayed(data: bytes) -> bytes:
    """Return a server's encoded response as a peer passes it on."""
    status_line, rest = data.split(b"\r\n", 1)
    lines = "".join(f"{name}: {value}\r\n" for name, value in CONFIGURATION)
    return status_line + b"\r\n" + lines.encode() + rest


DECLINED = peer_response(503, RelayOutcome.DECLINED)
REFUSED = peer_response(503, RelayOutcome.REFUSED)

PEER_SCRIPTS: dict[str, Script] = {
    "declines": Script(lambda i: [DECLINED], runs=False),
    "declines in two segments": Script(lambda i: [DECLINED[:30], DECLINED[30:]], runs=False),
    "refuses with 503": Script(lambda i: [REFUSED], runs=False),
    "refuses with 502": Script(lambda i: [peer_response(502, RelayOutcome.REFUSED)]),
    "refuses with 504": Script(lambda i: [peer_response(504, RelayOutcome.REFUSED)]),
    "fails": Script(lambda i: [peer_response(500, RelayOutcome.FAILED)]),
    "fails with 503": Script(lambda i: [peer_response(503, RelayOutcome.FAILED)]),
    "closes the connection": Script(lambda i: [End.CLOSE]),
    "resets the connection": Script(lambda i: [End.RESET]),
    "closes within the head of a decline": Script(lambda i: [DECLINED[:-10], End.CLOSE]),
    "closes within the body of a decline": Script(lambda i: [DECLINED[:-2], End.CLOSE]),
    "closes within the body of a refusal": Script(lambda i: [REFUSED[:-2], End.CLOSE]),
    "closes within the body of an answer": Script(lambda i: [relayed(response(i))[:-2], End.CLOSE]),
    "sends nothing": Script(lambda i: [End.SILENCE]),
    "sends a part of a decline": Script(lambda i: [DECLINED[:-2], End.SILENCE]),
    "sends bytes that are no response": Script(lambda i: [b"no response\r\n\r\n", End.CLOSE]),
    "sends a 503 of its HTTP layer": Script(lambda i: [response(None, 503)]),
    "sends a 408 of its HTTP layer": Script(lambda i: [response(None, 408)]),
    "passes on the answer": Script(lambda i: [relayed(response(i))]),
    "passes on an answer with 500": Script(lambda i: [relayed(response(i, 500))]),
    "passes on an answer with 503": Script(lambda i: [relayed(response(i, 503))]),
    "passes on an answer with 429": Script(lambda i: [relayed(response(i, 429))]),
}


class ListedPeers:
    """A table with two peers at one address."""

    def __init__(self, port: int) -> None:
        self._address = f"{LOCALHOST}:{port}"

    def others(self) -> list[PeerEntry]:
        """Return the peers."""
        return [PeerEntry(f"{name}:1", "z", name, self._address) for name in ("p-1", "p-2")]


@contextmanager
def refusing_port() -> Iterator[int]:
    """Return a port that refuses connections."""
    with socket.socket() as bound:
        bound.bind((LOCALHOST, 0))
        yield bound.getsockname()[1]


@given("a daemon that reaches no server, and a peer that {action}, before one that serves")
def step_peer(context: Any, action: str) -> None:
    relayed_answer = PEER_SCRIPTS["passes on the answer"]
    context.scripts = [PEER_SCRIPTS[action], relayed_answer]


@when("a {kind} request is sent to the daemon")
def step_send(context: Any, kind: str) -> None:
    with captured_log() as context.lines:
        context.outcome = asyncio.run(_send_by_peer(context.scripts, ROUTES[kind]))


async def _send_by_peer(scripts: Sequence[Script], route: str) -> Outcome:
    """Send a request through a daemon that has to relay it, and ends it when nothing comes."""
    async with listening_daemon(MAX_ATTEMPTS) as daemon:
        handler = request_handler(daemon)
        handler.pool.set_bounds(AMPLE_RETRIES)
        async with scripted_server(scripts, handler.end_all_requests) as peer:
            handler.relay._peers = cast(PeerTable, ListedPeers(peer.port))
            with refusing_port() as port:
                apply_server(daemon, port)
                received = await exchange_bytes(daemon.callers.port, request(route))
    reply = parse_replies(received, ["POST"])[0]
    return Outcome(reply, peer.sends[REQUEST_ID], peer.runs[REQUEST_ID])


@then("its caller is told {status:d}, and peers got it {sends:d} times")
def step_told(context: Any, status: int, sends: int) -> None:
    outcome: Outcome = context.outcome
    assert outcome.reply.is_complete, (outcome, context.lines)
    assert (outcome.reply.status, outcome.sends) == (status, sends), (outcome, context.lines)


@when("a peer relays a {kind} request to the daemon before it")
def step_relay(context: Any, kind: str) -> None:
    with captured_log() as context.lines:
        context.outcome = asyncio.run(_relay(context.scripts, ROUTES[kind]))


async def _relay(scripts: Sequence[Script], route: str) -> Outcome:
    """Relay a request to a daemon, which ends it once its server is silent."""
    metadata = "".join(f"{name}: {value}\r\n" for name, value in RelayMetadata(0, 0).headers)
    data = request(route).replace(b"\r\n\r\n", f"\r\n{metadata}\r\n".encode(), 1)
    async with listening_daemon(MAX_ATTEMPTS) as daemon:
        handler = request_handler(daemon)
        handler.pool.set_bounds(AMPLE_RETRIES)
        async with scripted_server(scripts, handler.end_all_requests) as server:
            apply_server(daemon, server.port)
            received = await ask_server(RelayService(handler).handle, data)
    reply = parse_replies(received, ["POST"])[0]
    return Outcome(reply, server.sends[REQUEST_ID], server.runs[REQUEST_ID])


@then("the peer is told {status:d} by {speaker}, and servers got it {sends:d} times")
def step_peer_told(context: Any, status: int, speaker: str, sends: int) -> None:
    outcome: Outcome = context.outcome
    head = HttpResponse(outcome.reply.status, tuple(outcome.reply.headers.items()))
    assert is_server_response(head) == (speaker == "the server"), (outcome, context.lines)
    if speaker == "the daemon":
        error = decode_error(head, outcome.reply.body)
        assert isinstance(error, Refused) and error.status == status, (error, context.lines)
    assert (outcome.reply.status, outcome.sends) == (status, sends), (outcome, context.lines)
