"""Steps for answers on connections over which a copy of another one, or many requests, went."""

import asyncio
import contextlib
import tracemalloc
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

from attrs import define, field, frozen
from behave import given, then, when

from features.support.local_daemon import (
    HOST,
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
from loomwind import constants
from loomwind.http.client import Connector, HttpClient
from loomwind.http.client_connection import MAX_IDENTIFIED_EXCHANGES
from loomwind.http.messages import HttpRequest

ID_HEADER = "x-request-id"
ANSWER_BODY = b"served"
DEADLINE_MS = 2000
# Retries are allowed, so that a request that is taken for not run is sent again.
RETRY_ALLOWANCE = 10.0
# The daemon runs on the loop of the server, and reads what has arrived in one iteration of it.
ITERATIONS_PER_READ = 10
MAX_DAEMON_BYTES = 64 * constants.MEBIBYTE
KEPT_CONNECTIONS = 64
# Room for the other headers of a request, of which an id is the largest.
LONGEST_ID_BYTES = constants.MAX_HEAD_BYTES - constants.KIBIBYTE
TIMEOUT_SECONDS = 10.0


@frozen
class ReceivedRequest:
    """A request that a server has received; ``request_id`` is empty for none."""

    method: str
    request_id: str
    connection: int


def answer(request: ReceivedRequest, status: int = 200) -> bytes:
    """Return the answer of a server that ran a request; that to HEAD has a length and no body."""
    id_line = f"{ID_HEADER}: {request.request_id}\r\n" if request.request_id else ""
    head = (
        f"HTTP/1.1 {status} X\r\n{id_line}x-response-stamp: s\r\n"
        f"content-length: {len(ANSWER_BODY)}\r\n\r\n"
    )
    return head.encode("latin-1") + (b"" if request.method == "HEAD" else ANSWER_BODY)


# Returns the segments of the response to the last of the requests received so far.
Script = Callable[[list[ReceivedRequest]], list[bytes]]


def answer_each(requests: list[ReceivedRequest]) -> list[bytes]:
    """Answer each request once."""
    return [answer(requests[-1])]


def repeat_earlier(requests: list[ReceivedRequest]) -> list[bytes]:
    """Repeat the previous answer on the connection before each answer."""
    *earlier, last = requests
    on_connection = [each for each in earlier if each.connection == last.connection]
    return [*(answer(each) for each in on_connection[-1:]), answer(last)]


def decline_first(requests: list[ReceivedRequest]) -> list[bytes]:
    """Decline the first request with 421, which means by itself that the server has not run it."""
    return [answer(requests[-1], 421 if len(requests) == 1 else 200)]


@define
class RunningServer:
    """A server that runs each request that it gets, and responds as its script says.

    :ivar requests: the requests received so far.
    """

    script: Script
    requests: list[ReceivedRequest] = field(factory=list)
    _writers: list[asyncio.StreamWriter] = field(factory=list)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self._writers.append(writer)
        connection = len(self._writers)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                method, request_id = await _read_request(reader)
                self.requests.append(ReceivedRequest(method, request_id, connection))
                for segment in self.script(self.requests):
                    writer.write(segment)
                    await _let_daemon_read()

    def close_connections(self) -> None:
        """Close the connections, without waiting for their ends."""
        for writer in self._writers:
            writer.close()

    async def close(self) -> None:
        """Close all connections."""
        for writer in self._writers:
            writer.close()
            with contextlib.suppress(ConnectionError):
                await writer.wait_closed()


async def _read_request(reader: asyncio.StreamReader) -> tuple[str, str]:
    """Read a request with a length, and return its method and id."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first_line, *lines = head.split("\r\n")
    headers = {
        name.lower(): value for name, value in (each.split(": ", 1) for each in lines if each)
    }
    await reader.readexactly(int(headers["content-length"]))
    return first_line.split(" ")[0], headers.get(ID_HEADER, "")


async def _let_daemon_read() -> None:
    for _ in range(ITERATIONS_PER_READ):
        await asyncio.sleep(0)


@asynccontextmanager
async def _listening(server: RunningServer) -> AsyncIterator[int]:
    """Run a server, and return its port."""
    listener = await asyncio.start_server(server.serve, LOCALHOST, 0)
    try:
        yield listener.sockets[0].getsockname()[1]
    finally:
        listener.close()
        await server.close()


def _request(method: str, request_id: str, listed_headers: str = "close") -> bytes:
    body = "" if method == "HEAD" else "hi"
    return (
        f"{method} /book/item HTTP/1.1\r\nhost: {HOST}\r\n{ID_HEADER}: {request_id}\r\n"
        f"x-deadline-ms: {DEADLINE_MS}\r\nconnection: {listed_headers}\r\n"
        f"content-length: {len(body)}\r\n\r\n{body}"
    ).encode()


@given("a daemon and a server that repeats its answer to a {method} request before the next one")
def step_repeating(context: Any, method: str) -> None:
    context.server = RunningServer(repeat_earlier)


@given("a daemon and a server that first declines a request with status 421 alone")
def step_declining(context: Any) -> None:
    context.server = RunningServer(decline_first)


@given("a daemon and a server that answers each request")
@given("a connection to a server that answers each request")
def step_sound(context: Any) -> None:
    context.server = RunningServer(answer_each)


@when("a caller sends a {method:w} request")
def step_send_one(context: Any, method: str) -> None:
    _send(context, [(method, _request(method, "r1"))])


@when("a caller sends a {first:w} request and then a {second:w} request")
def step_send_two(context: Any, first: str, second: str) -> None:
    _send(context, [(first, _request(first, "r1")), (second, _request(second, "r2"))])


@when("a caller sends a POST request and then a POST request whose connection header lists its id")
def step_send_listed(context: Any) -> None:
    listed = _request("POST", "r2", f"close, {ID_HEADER}")
    _send(context, [("POST", _request("POST", "r1")), ("POST", listed)])


def _send(context: Any, requests: list[tuple[str, bytes]]) -> None:
    """Send requests to a daemon, one after the other."""
    with captured_log() as context.lines:
        received = asyncio.run(_ask_daemon(context.server, [data for _, data in requests]))
    context.replies = [
        parse_replies(data, [method])[0]
        for (method, _), data in zip(requests, received, strict=True)
    ]
    context.methods = [method for method, _ in requests]


async def _ask_daemon(server: RunningServer, requests: list[bytes]) -> list[bytes]:
    daemon = create_daemon()
    async with _listening(server) as port:
        await daemon.callers.start(LOCALHOST, 0)
        apply_configuration(daemon, configuration(1, {"book": SERVICE}))
        apply_server(daemon, port)
        request_handler(daemon).pool.retry_budget(SERVICE).set_allowance(RETRY_ALLOWANCE)
        try:
            return [await exchange_bytes(daemon.callers.port, each) for each in requests]
        finally:
            daemon.close()


@then("the caller gets the answer to each")
def step_answered(context: Any) -> None:
    for method, reply in zip(context.methods, context.replies, strict=True):
        body = b"" if method == "HEAD" else ANSWER_BODY
        expected = RawReply(200, reply.headers, body, is_complete=True)
        assert reply == expected, (method, reply, context.server, context.lines)


@then("the server ran each request once")
def step_ran_once(context: Any) -> None:
    ids = [each.request_id for each in context.server.requests]
    assert len(ids) == len(set(ids)) == len(context.methods), (context.server, context.replies)


@when("the connection carries as many requests as it may, with the longest ids")
def step_carry(context: Any) -> None:
    context.id_bytes = asyncio.run(_measure_ids(context.server))


async def _measure_ids(server: RunningServer) -> int:
    """Return by how much the memory grows while a connection carries requests."""
    client = HttpClient(Connector(), KEPT_CONNECTIONS, ID_HEADER)
    async with _listening(server) as port:
        address = f"{LOCALHOST}:{port}"
        await _exchange(client, address, "first")
        server.requests.clear()
        tracemalloc.start()
        for number in range(MAX_IDENTIFIED_EXCHANGES - 2):
            await _exchange(client, address, f"{number:0>{LONGEST_ID_BYTES}}")
            server.requests.clear()
        grown_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        client.close()
    return grown_bytes


async def _exchange(client: HttpClient, address: str, request_id: str) -> None:
    request = HttpRequest("POST", "/", ((ID_HEADER, request_id),), b"hi")
    response = await client.request(address, request, TIMEOUT_SECONDS)
    assert response.body == ANSWER_BODY, response


@then("as many connections as a daemon keeps to a server need at most 64 MB for the ids")
def step_memory(context: Any) -> None:
    needed_bytes = context.id_bytes * KEPT_CONNECTIONS
    assert needed_bytes <= MAX_DAEMON_BYTES, (context.id_bytes, needed_bytes)


@when("a request is sent when the server has closed the idle connection")
def step_send_at_close(context: Any) -> None:
    asyncio.run(_send_at_close(context.server))


async def _send_at_close(server: RunningServer) -> None:
    """Send a request between the arrival of the server's close and the end of the connection."""
    client = HttpClient(Connector(), KEPT_CONNECTIONS, ID_HEADER)
    async with _listening(server) as port:
        address = f"{LOCALHOST}:{port}"
        await _exchange(client, address, "r1")
        connection = client.take_idle(address, "r2")
        assert connection is not None and connection.transport is not None
        client.release(connection)
        server.close_connections()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not connection.transport.is_closing():
                await asyncio.sleep(0)
        await _exchange(client, address, "r2")
        client.close()


@then("the request was sent twice, over two connections")
def step_sent_again(context: Any) -> None:
    assert [each.connection for each in context.server.requests] == [1, 2], context.server


@then("it goes over a new connection")
def step_new_connection(context: Any) -> None:
    assert [each.connection for each in context.server.requests] == [1, 2], context.server
