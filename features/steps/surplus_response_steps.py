"""Steps for servers that send a response again, late: before the next one on the connection."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from typing import Any

from attrs import define, field, frozen
from behave import given, then, when

from features.steps.unanswered_steps import whole_request
from features.support.local_daemon import (
    LOCALHOST,
    SERVICE,
    apply_configuration,
    apply_server,
    captured_log,
    configuration,
    create_daemon,
    request_handler,
)
from features.support.raw_client import RawReply, exchange_bytes, parse_replies
from loomwind.http.client_connection import ClientConnection
from loomwind.serving.forwarder import Forwarder
from loomwind.serving.views import ServerEntry

REQUEST_ID = "r1"
SECOND_ID = "r2"
OTHER_ID = "r0"
ANSWER_BODY = b"served"
REASONS = {200: "OK", 204: "No Content", 421: "Misdirected Request"}
REFUSAL_STATUSES = (400, 421, 503)
EARLY_HINT = b"HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n"
# Retries are allowed, so that a request that is taken for not run is sent again.
RETRY_ALLOWANCE = 10.0
# The daemon runs on the loop of the server, and reads what has arrived in one iteration of it.
ITERATIONS_PER_READ = 10


def response_head(status: int, request_id: str, framing: str) -> bytes:
    """Return the head of a response of a server, with an id unless it is empty."""
    id_line = f"x-request-id: {request_id}\r\n" if request_id else ""
    refusal = "x-not-executed: 1\r\n" if status in REFUSAL_STATUSES else ""
    framing_line = f"{framing}\r\n" if framing else ""
    return (
        f"HTTP/1.1 {status} {REASONS.get(status, 'Error')}\r\n{id_line}"
        f"x-instance-id: i-1\r\nx-response-stamp: s\r\n{refusal}{framing_line}\r\n"
    ).encode()


def response(status: int, request_id: str, body: bytes = b"") -> bytes:
    """Return a response with a length."""
    return response_head(status, request_id, f"content-length: {len(body)}") + body


def _chunked(status: int) -> bytes:
    return response_head(status, OTHER_ID, "transfer-encoding: chunked")


def _single_bytes(data: bytes) -> tuple[bytes, ...]:
    return tuple(data[i : i + 1] for i in range(len(data)))


Pieces = tuple[bytes, ...]
# The pieces of each response arrive in reads of their own.
SURPLUS: dict[str, Pieces] = {
    "a refusal with 503": (response(503, OTHER_ID, b"no"),),
    "a refusal with 503 without a body": (response(503, OTHER_ID),),
    "a refusal with 503 after an early hint": (EARLY_HINT, response(503, OTHER_ID, b"no")),
    "a refusal with 503 in single bytes": _single_bytes(response(503, OTHER_ID, b"no")),
    "a refusal with 421": (response(421, OTHER_ID, b"no"),),
    "a refusal with 421 without a body": (response(421, OTHER_ID),),
    "a refusal with 400 without an id": (response(400, "", b"no"),),
    "a 200 without a body": (response(200, OTHER_ID),),
    "a 500 without a body": (response(500, OTHER_ID),),
    "a 204": (response_head(204, OTHER_ID, ""),),
    "a 200 of one last chunk": (_chunked(200) + b"0\r\n\r\n",),
    "a 200 whose last chunk comes alone": (_chunked(200) + b"2\r\nno\r\n", b"0\r\n\r\n"),
    "a 500 whose last chunk comes alone": (_chunked(500) + b"2\r\nno\r\n", b"0\r\n\r\n"),
}


@frozen
class ReceivedRequest:
    """A request that a server has received, and the number of its connection."""

    request_id: str
    connection: int
    method: str = "POST"


# Returns the pieces of the response to the last of the requests received so far.
Script = Callable[[list[ReceivedRequest]], Pieces]


@define
class ScriptedServer:
    """A server that responds as its script says.

    :ivar runs: the ids of the requests that it has run, in order.
    """

    script: Script
    requests: list[ReceivedRequest] = field(factory=list)
    runs: list[str] = field(factory=list)
    ends_kept_connections: bool = False
    _writers: list[asyncio.StreamWriter] = field(factory=list)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self._writers.append(writer)
        number = len(self._writers)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                request = await _read_request(reader, number)
                self.requests.append(request)
                pieces = self.script(self.requests)
                if pieces[-1] == _answer(request):
                    self.runs.append(request.request_id)
                for piece in pieces:
                    writer.write(piece)
                    await _let_daemon_read()

    async def close(self) -> None:
        """Close all connections."""
        for writer in self._writers:
            writer.close()
            with contextlib.suppress(ConnectionError):
                await writer.wait_closed()


async def _read_request(reader: asyncio.StreamReader, connection: int) -> ReceivedRequest:
    """Read a request with a length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    first, *lines = head.split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines if line)
    await reader.readexactly(int(headers["content-length"]))
    return ReceivedRequest(headers["x-request-id"], connection, first.split(" ")[0].upper())


async def _let_daemon_read() -> None:
    for _ in range(ITERATIONS_PER_READ):
        await asyncio.sleep(0)


def _answer(request: ReceivedRequest) -> bytes:
    answer = response(200, request.request_id, ANSWER_BODY)
    return answer.removesuffix(ANSWER_BODY) if request.method == "HEAD" else answer


@given("a daemon and a server that sends {surplus} to another request before its answer")
def step_surplus(context: Any, surplus: str) -> None:
    def respond(requests: list[ReceivedRequest]) -> Pieces:
        answer = _answer(requests[-1])
        return (*SURPLUS[surplus], answer) if len(requests) == 1 else (answer,)

    context.server = ScriptedServer(respond)


@given(
    "a daemon and a server that refuses a request with {status:d}, and repeats it on the connection"
)
def step_repeated_refusal(context: Any, status: int) -> None:
    def respond(requests: list[ReceivedRequest]) -> Pieces:
        *earlier, last = requests
        refusal, answer = response(status, last.request_id, b"no"), _answer(last)
        if not earlier:
            return (refusal,)
        return (refusal, answer) if last in earlier else (answer,)

    context.server = ScriptedServer(respond)


@given("a daemon and a server that ends each kept connection that a request is to be sent on")
def step_ended_connections(context: Any) -> None:
    context.server = ScriptedServer(lambda requests: (_answer(requests[-1]),))
    context.server.ends_kept_connections = True


@given("a daemon and a server that repeats its first answer on a connection before the second")
def step_repeated_answer(context: Any) -> None:
    def respond(requests: list[ReceivedRequest]) -> Pieces:
        *earlier, last = requests
        copies = [_answer(request) for request in earlier if request.connection == last.connection]
        return (*copies, _answer(last))

    context.server = ScriptedServer(respond)


@when("a caller sends it a request that cannot be repeated")
def step_send(context: Any) -> None:
    _ask_daemon(context, [whole_request("/book/item")])
    context.reply = context.replies[0]


@when("a caller sends it {first:w}, and another one {second:w}")
def step_send_two(context: Any, first: str, second: str) -> None:
    requests = [whole_request("/book/item", first), whole_request("/book/item", second)]
    requests[1] = requests[1].replace(REQUEST_ID.encode(), SECOND_ID.encode())
    _ask_daemon(context, requests, (first, second))


def _ask_daemon(context: Any, requests: list[bytes], methods: Sequence[str] = ("POST",)) -> None:
    """Send requests to a daemon with a server, one after the other."""
    with captured_log() as context.lines:
        received = asyncio.run(_exchange_with_daemon(context.server, requests))
    context.replies = [
        parse_replies(data, [method])[0] for data, method in zip(received, methods, strict=True)
    ]


async def _exchange_with_daemon(server: ScriptedServer, requests: list[bytes]) -> list[bytes]:
    async with _daemon_port(server) as port:
        return [await exchange_bytes(port, request) for request in requests]


@asynccontextmanager
async def _daemon_port(server: ScriptedServer) -> AsyncIterator[int]:
    """Run a daemon with this server, and return the daemon's port for callers."""
    listener, daemon = await asyncio.start_server(server.serve, LOCALHOST, 0), create_daemon()
    await daemon.callers.start(LOCALHOST, 0)
    apply_configuration(daemon, configuration(1, {"book": SERVICE}))
    apply_server(daemon, listener.sockets[0].getsockname()[1])
    handler = request_handler(daemon)
    handler.pool.retry_budget(SERVICE).set_allowance(RETRY_ALLOWANCE)
    if server.ends_kept_connections:
        _end_kept_connections(handler.forwarder)
    try:
        yield daemon.callers.port
    finally:
        daemon.close()
        listener.close()
        await server.close()


def _end_kept_connections(forwarder: Forwarder) -> None:
    """Let a surplus byte arrive on each kept connection once it was chosen for a request."""
    connect = forwarder.connect

    async def connect_and_receive(entry: ServerEntry, request_id: str) -> ClientConnection:
        connection = await connect(entry, request_id)
        if connection.exchange_count:
            connection.data_received(b"H")
        return connection

    forwarder.connect = connect_and_receive  # type: ignore[method-assign]


@then("the caller gets the answer of the server")
def step_answer(context: Any) -> None:
    reply: RawReply = context.reply
    assert (reply.status, reply.body) == (200, ANSWER_BODY), (reply, context.server, context.lines)


@then("each caller gets the answer of the server")
def step_answers(context: Any) -> None:
    statuses = [(reply.status, reply.is_complete) for reply in context.replies]
    assert statuses == [(200, True)] * 2, (context.replies, context.server, context.lines)
    assert context.server.runs == [REQUEST_ID, SECOND_ID], context.server


@then("the server ran the request once")
def step_ran_once(context: Any) -> None:
    assert context.server.runs == [REQUEST_ID], (context.server, context.reply)


@then("no connection carried a request twice")
def step_no_repeat(context: Any) -> None:
    requests: list[ReceivedRequest] = context.server.requests
    assert len(requests) == len(set(requests)), requests
