"""Steps about messages in very many parts, and how much of them one pass of the loop parses."""

import asyncio
import json
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any
from unittest.mock import patch

import h11
from attrs import define, field
from behave import given, then, when
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import given as given_examples
from hypothesis import strategies as st

from features.support.local_daemon import (
    HOST,
    LOCALHOST,
    SERVICE,
    apply_configuration,
    apply_server,
    captured_log,
    configuration,
    listening_daemon,
)
from features.support.raw_client import exchange_bytes, parse_replies
from loomwind import constants
from loomwind.http.client_connection import ClientConnection
from loomwind.http.errors import HttpError
from loomwind.http.messages import HttpRequest
from loomwind.http.part_limit import PartLimit, TooManyParts
from loomwind.http.server import Exchange, HttpServer
from loomwind.http.server_connection import ServerConnection
from loomwind.http.turns import Turns

BODY_BYTES = 128 * constants.KIBIBYTE
REQUEST_HEAD = f"POST /book/x HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: r1\r\n".encode()
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nx-response-stamp: 1\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
# Ends a hopeless wait.
TIMEOUT_SECONDS = 60.0
EXAMPLES_SEED = 20_261_205
COMPLETE, FRAGMENTED = "complete", "fragmented"


def chunked_body(size_bytes: int, chunk_bytes: int) -> bytes:
    """Return a body in chunks of one size, with its end."""
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    return chunk * (size_bytes // chunk_bytes) + LAST_CHUNK


@define
class ParserMeter:
    """Counts parser events, and reads, in each pass of the event loop.

    :ivar excess: the passes that parsed too much: their events and reads.
    """

    excess: list[tuple[int, int]] = field(factory=list)
    _events: int = 0
    _reads: int = 0
    _reads_before: int = 0
    _is_running: bool = True

    @contextmanager
    def running(self) -> Iterator[None]:
        """Count inside the context, in the running loop."""
        parse = h11.Connection.next_event

        def next_event(parser: h11.Connection) -> object:
            self._events += 1
            return parse(parser)

        with patch.object(h11.Connection, "next_event", next_event):
            asyncio.get_running_loop().call_soon(self._end_pass)
            yield
            self._is_running = False

    def record_read(self) -> None:
        """Count a read."""
        self._reads += 1

    def _end_pass(self) -> None:
        # The task that waits for a read parses it in the next pass. The event that needs more data
        # is not one of a turn.
        reads = self._reads + self._reads_before
        allowed = (constants.PARSER_EVENTS_PER_TURN + 1) * (1 + reads)
        if self._events > allowed:
            self.excess.append((self._events, self._reads))
        self._reads_before = self._reads
        self._events = self._reads = 0
        if self._is_running:
            asyncio.get_running_loop().call_soon(self._end_pass)


class FeedingTransport(asyncio.Transport):
    """Feeds a connection with data, one read in each pass while the connection reads."""

    def __init__(self, connection: ClientConnection | ServerConnection, meter: ParserMeter) -> None:
        super().__init__()
        self._connection = connection
        self._meter = meter
        self._is_reading = True
        self.is_closed = False
        self.written = bytearray()

    async def feed(self, data: bytes, read_bytes: int = constants.READ_BYTES) -> None:
        """Have the connection read data, until it is closed."""
        for start in range(0, len(data), read_bytes):
            while not self._is_reading and not self.is_closed:
                await asyncio.sleep(0)
            if self.is_closed:
                return
            self._meter.record_read()
            self._connection.data_received(data[start : start + read_bytes])
            await asyncio.sleep(0)

    def write(self, data: Any) -> None:
        """Keep the data."""
        self.written += data

    def write_eof(self) -> None:
        """Do nothing."""

    def is_closing(self) -> bool:
        """Return whether the transport is closed."""
        return self.is_closed

    def abort(self) -> None:
        """Close the transport."""
        self.is_closed = True

    def close(self) -> None:
        """Close the transport."""
        self.is_closed = True

    def is_reading(self) -> bool:
        """Return whether the connection reads."""
        return self._is_reading

    def pause_reading(self) -> None:
        """Feed nothing more."""
        self._is_reading = False

    def resume_reading(self) -> None:
        """Feed again."""
        self._is_reading = True


async def _receive_request(server: HttpServer, meter: ParserMeter, data: bytes) -> str:
    """Feed a request to a connection of a server; return how it has ended."""
    connection = ServerConnection(server)
    transport = FeedingTransport(connection, meter)
    connection.connection_made(transport)
    await transport.feed(data)
    while not transport.written:
        await asyncio.sleep(0)
    connection.connection_lost(None)
    return COMPLETE if transport.written.startswith(b"HTTP/1.1 200") else FRAGMENTED


async def _receive_response(turns: Turns, meter: ParserMeter, data: bytes) -> str:
    """Feed a response to a connection; return how it has ended."""
    connection = ClientConnection("a:1", turns=turns)
    transport = FeedingTransport(connection, meter)
    connection.connection_made(transport)
    connection.send_request(HttpRequest("GET", "/"))
    feeding = asyncio.create_task(transport.feed(data))
    try:
        await connection.read_head()
        while await connection.read_body():
            pass
    except HttpError:
        return FRAGMENTED
    finally:
        transport.abort()
        await feeding
    return COMPLETE


async def _answer(exchange: Exchange) -> None:
    if exchange.bad_request is not None:
        await exchange.respond(exchange.bad_request.status, (), b"")
    else:
        await exchange.respond(200, (), b"")


async def _receive(kind: str, chunk_bytes: int, count: int, meter: ParserMeter) -> list[str]:
    body = CHUNKED + chunked_body(BODY_BYTES, chunk_bytes)
    with meter.running():
        if kind == "request":
            server = HttpServer(_answer)
            works = [_receive_request(server, meter, REQUEST_HEAD + body) for _ in range(count)]
        else:
            turns = Turns()
            works = [_receive_response(turns, meter, RESPONSE_HEAD + body) for _ in range(count)]
        return await asyncio.wait_for(asyncio.gather(*works), TIMEOUT_SECONDS)


@when("a connection receives a {kind:w} body in chunks of {size:d} bytes")
def step_receive(context: Any, kind: str, size: int) -> None:
    step_receive_many(context, 1, kind, size)


@when("{count:d} connections receive a {kind:w} body in chunks of {size:d} bytes")
def step_receive_many(context: Any, count: int, kind: str, size: int) -> None:
    context.meter = ParserMeter()
    context.ends = asyncio.run(_receive(kind, size, count, context.meter))


@then("no pass of the event loop has parsed more than one turn, and one for each read")
def step_bounded_passes(context: Any) -> None:
    assert not context.meter.excess, context.meter.excess[:5]


@then("the message has ended as {end:w}")
def step_end(context: Any, end: str) -> None:
    assert context.ends == [end], context.ends


# A daemon.


@given("a daemon")
def step_daemon(context: Any) -> None:
    context.log = []


@when("a client sends a body in chunks of {size:d} bytes")
def step_client(context: Any, size: int) -> None:
    async def run() -> None:
        async with listening_daemon() as daemon:
            data = REQUEST_HEAD + CHUNKED + chunked_body(BODY_BYTES, size)
            received = await exchange_bytes(daemon.callers.port, data)
            (context.reply,) = parse_replies(received, ["POST"])
            (family,) = daemon.metrics.unreadable_requests.collect()
            context.counts = {
                sample.labels["reason"]: sample.value
                for sample in family.samples
                if sample.name.endswith("_total")
            }

    with captured_log() as context.log:
        asyncio.run(asyncio.wait_for(run(), TIMEOUT_SECONDS))


@then("it gets 400 and the connection is closed")
def step_refused(context: Any) -> None:
    assert context.reply.status == 400, context.reply


@then("the refusal is logged and counted")
def step_logged(context: Any) -> None:
    lines = [line for line in context.log if line.get("decision") == "unreadable"]
    assert len(lines) == 1 and lines[0]["reason"] == "fragmented-body", lines
    assert context.counts == {"fragmented-body": 1.0}, context.counts


@given("a daemon whose server sends events of two bytes without end")
def step_tiny_events(context: Any) -> None:
    context.log = []


async def _send_tiny_events(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.readuntil(b"\r\n\r\n")
    head = RESPONSE_HEAD + b"x-request-id: r1\r\ncontent-type: text/event-stream\r\n\r\n"
    writer.write(head)
    try:
        while True:
            writer.write(b"\n\n" * 10_000)
            await writer.drain()
    except ConnectionError:
        writer.close()


@when("a stream is asked for")
def step_ask(context: Any) -> None:
    async def run() -> None:
        server = await asyncio.start_server(_send_tiny_events, LOCALHOST, 0)
        async with listening_daemon() as daemon:
            document = json.loads(configuration(2, {"book": SERVICE}))
            document["routes"][0]["kind"] = "streaming"
            apply_configuration(daemon, json.dumps(document).encode(), 2)
            apply_server(daemon, server.sockets[0].getsockname()[1])
            await exchange_bytes(daemon.callers.port, REQUEST_HEAD + b"\r\n")
        server.close()

    with captured_log() as context.log:
        asyncio.run(asyncio.wait_for(run(), TIMEOUT_SECONDS))


@then("it is broken off because of its many parts")
def step_broken_off(context: Any) -> None:
    cuts = [line["reason"] for line in context.log if line.get("decision") == "cut"]
    assert len(cuts) == 1 and "parts" in cuts[0], cuts


# The limit.


@when("{rate:d} parts of {size:d} bytes come each second for an hour")
def step_slow_parts(context: Any, rate: int, size: int) -> None:
    limit = PartLimit(0.0)
    context.is_within = all(
        _is_within(limit, rate, rate * size, float(second)) for second in range(1, 3601)
    )


@when("{count:d} parts of {size:d} bytes come at once")
def step_parts_at_once(context: Any, count: int, size: int) -> None:
    context.is_within = _is_within(PartLimit(0.0), count, count * size, 0.0)


def _is_within(limit: PartLimit, parts: int, size_bytes: int, now: float) -> bool:
    try:
        limit.record(parts, size_bytes, now)
    except TooManyParts:
        return False
    return True


@then("they are within the limit")
def step_within(context: Any) -> None:
    assert context.is_within


# Any bytes.

PIECES = st.one_of(
    st.binary(max_size=40),
    st.sampled_from(
        [
            REQUEST_HEAD,
            RESPONSE_HEAD,
            CHUNKED,
            b"content-length: 100000\r\n\r\n",
            b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n",
            b"\r\n",
            LAST_CHUNK,
            b"GET / HTTP/1.1\r\nhost: h\r\n\r\n",
        ]
    ),
    st.builds(
        lambda count, size: chunked_body(count * size, size),
        st.integers(1, 6000),
        st.integers(1, 40),
    ),
    st.builds(lambda count: b"x" * count, st.integers(1, 200_000)),
)


@when("bytes of any kind come in any pieces on both kinds of connections, in {count:d} runs")
def step_any_bytes(context: Any, count: int) -> None:
    context.meter = ParserMeter()
    context.kept_bytes = []

    @seed(EXAMPLES_SEED)
    @settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    @given_examples(st.lists(PIECES, max_size=12), st.integers(1, constants.READ_BYTES))
    def run(pieces: list[bytes], read_bytes: int) -> None:
        data = b"".join(pieces)
        read_bytes = max(read_bytes, len(data) // 200 + 1)
        context.meter = meter = ParserMeter(context.meter.excess)
        context.kept_bytes.append(asyncio.run(_feed_both(meter, data, read_bytes)))

    run()


async def _feed_both(meter: ParserMeter, data: bytes, read_bytes: int) -> int:
    """Feed both kinds of connections; return the most that one has kept."""
    with meter.running():
        server_side = ServerConnection(HttpServer(_answer))
        client_side = ClientConnection("a:1")
        kept = 0
        for connection, prefix in ((server_side, REQUEST_HEAD), (client_side, RESPONSE_HEAD)):
            transport = FeedingTransport(connection, meter)
            connection.connection_made(transport)
            reading = asyncio.create_task(_read_all(connection))
            await asyncio.sleep(0)
            feeding = asyncio.create_task(transport.feed(prefix + data, read_bytes))
            # Nothing is read any more once the response has failed.
            await asyncio.wait([feeding, reading], return_when=_end_condition(connection))
            feeding.cancel()
            kept = max(kept, _kept_bytes(connection))
            reading.cancel()
            transport.abort()
            connection.connection_lost(None)
        return kept


def _end_condition(connection: ClientConnection | ServerConnection) -> str:
    is_client = isinstance(connection, ClientConnection)
    return asyncio.FIRST_COMPLETED if is_client else asyncio.ALL_COMPLETED


async def _read_all(connection: ClientConnection | ServerConnection) -> None:
    if isinstance(connection, ClientConnection):
        connection.send_request(HttpRequest("GET", "/"))
        await connection.read_head()
        while await connection.read_body():
            pass


def _kept_bytes(connection: ClientConnection | ServerConnection) -> int:
    body = len(connection._body) if isinstance(connection, ServerConnection) else 0
    return len(connection._h11.trailing_data[0]) + body


@then("no connection has kept more than its limits")
def step_kept(context: Any) -> None:
    unparsed = constants.READ_BUFFER_HIGH_WATER_BYTES + constants.READ_BYTES
    limit = constants.MAX_BODY_BYTES + unparsed + constants.MAX_HEAD_BYTES
    assert max(context.kept_bytes) <= limit, max(context.kept_bytes)
