"""Steps about responses that never end, fed to the client connection and the event buffer.

Unless its buffers are bounded, such a server makes a daemon run out of memory.
"""

import asyncio
from typing import Any

from attrs import frozen
from behave import then, when
from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st

from loomwind import constants
from loomwind.http.client_connection import ClientConnection
from loomwind.http.errors import HttpError
from loomwind.http.event_stream import EventStreamBuffer
from loomwind.http.messages import HttpRequest

MIN_WRITE_BYTES = 64
MAX_WRITE_BYTES = 64 * constants.KIBIBYTE
# The required bound for a daemon with 50 servers that all send an event without end is 64 MB.
MAX_EVENT_BYTES = 64 * constants.MEBIBYTE // 50
MAX_LOOP_ITERATIONS = 20
# Fixes the examples. Without it, derandomize derives the seed from the source text of the test.
EXAMPLES_SEED = int(
    "ec777e1aadf3272e3a025a1e8bc3f8d8732ea1da0312ec7d"
    "afc3dae00b2c84432c401ae57cb5cda9b2d5afcd5a043439",
    16,
)
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = HEAD + b"transfer-encoding: chunked\r\n\r\n"

EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n"


@frozen
class UnterminatedPart:
    """The start of a response, and the bytes that are repeated after it without end."""

    start: bytes
    repeated: bytes


PARTS = {
    "a status line": UnterminatedPart(b"HTTP/1.1 200 O", b"K"),
    "a header line": UnterminatedPart(HEAD + b"x-long: ", b"y"),
    "header lines": UnterminatedPart(HEAD, b"x-more: y\r\n"),
    "a chunk-size line": UnterminatedPart(CHUNKED_HEAD, b"0"),
    "a chunk extension": UnterminatedPart(CHUNKED_HEAD + b"5;", b"e"),
    "a trailer": UnterminatedPart(CHUNKED_HEAD + b"0\r\nx-late: ", b"y"),
    "early hints": UnterminatedPart(EARLY_HINTS, EARLY_HINTS),
}


class DiscardingTransport(asyncio.Transport):
    """A transport that discards all writes."""

    def __init__(self) -> None:
        super().__init__()
        self._closed = False

    def write(self, data: Any) -> None:
        """Discard the data."""

    def is_closing(self) -> bool:
        """Return whether the transport is closed."""
        return self._closed

    def abort(self) -> None:
        """Close the transport."""
        self._closed = True

    def is_reading(self) -> bool:
        """Return True, so that the connection does not resume reading."""
        return True

    def pause_reading(self) -> None:
        """Do nothing: the test feeds data directly."""


def _example_settings(count: int) -> settings:
    return settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )


@when("a server sends {part} without end, in writes of random sizes, in {count:d} runs")
def step_send_unterminated(context: Any, part: str, count: int) -> None:
    context.buffered_bytes = []

    @seed(EXAMPLES_SEED)
    @_example_settings(count)
    @given(st.integers(MIN_WRITE_BYTES, MAX_WRITE_BYTES))
    def run(write_bytes: int) -> None:
        if part == "an event":
            context.buffered_bytes.append(_feed_event(write_bytes))
        elif part == "a response to another request":
            context.buffered_bytes.append(asyncio.run(_feed_stale_response(write_bytes)))
        else:
            context.buffered_bytes.append(
                asyncio.run(_feed_response(PARTS[part], write_bytes)) - write_bytes
            )

    run()


async def _feed_response(part: UnterminatedPart, write_bytes: int) -> int:
    """Return the bytes accepted before the response failed, at most about twice the bound."""
    connection = ClientConnection("a:1")
    connection.connection_made(DiscardingTransport())
    connection.send_request(HttpRequest("GET", "/"))
    read_task = asyncio.ensure_future(_read_response(connection))
    data = part.repeated * max(1, write_bytes // len(part.repeated))
    connection.data_received(part.start)
    accepted = 0
    while not await _has_failed(read_task) and accepted < 2 * (
        constants.MAX_HEAD_BYTES + write_bytes
    ):
        connection.data_received(data)
        accepted += len(data)
    read_task.cancel()
    return accepted


async def _feed_stale_response(write_bytes: int) -> int:
    """Return the bytes accepted before the response was no longer skipped, less the last write."""
    connection = ClientConnection("a:1", id_header="x-id")
    connection.connection_made(DiscardingTransport())
    connection.send_request(HttpRequest("GET", "/", (("x-id", "sent"),)))
    connection.data_received(HEAD + b"x-id: earlier\r\n\r\n")
    read_task = asyncio.ensure_future(_read_response(connection))
    accepted = 0
    while not await _has_failed(read_task) and accepted < 2 * constants.MAX_BODY_BYTES:
        connection.data_received(b"d" * write_bytes)
        accepted += write_bytes
    read_task.cancel()
    return accepted - write_bytes


async def _has_failed(read_task: "asyncio.Future[None]") -> bool:
    for _ in range(MAX_LOOP_ITERATIONS):
        if read_task.done():
            return isinstance(read_task.exception(), HttpError)
        await asyncio.sleep(0)
    return False


async def _read_response(connection: ClientConnection) -> None:
    await connection.read_head()
    while await connection.read_body():
        pass


def _feed_event(write_bytes: int) -> int:
    """Return the bytes buffered before the stream failed, at most about twice the bound."""
    event_buffer = EventStreamBuffer()
    buffered_bytes = 0
    try:
        while buffered_bytes < 2 * MAX_EVENT_BYTES:
            event_buffer.feed(b"d" * write_bytes)
            buffered_bytes += write_bytes
    except HttpError:
        return buffered_bytes
    return buffered_bytes


@then(
    "the response has failed before the daemon has buffered more than the head limit and one write"
)
def step_head_bound(context: Any) -> None:
    assert max(context.buffered_bytes) <= constants.MAX_HEAD_BYTES, max(context.buffered_bytes)


@then("the stream has failed before the daemon has buffered over its share of 64 MB for 50 servers")
def step_event_bound(context: Any) -> None:
    assert max(context.buffered_bytes) <= MAX_EVENT_BYTES, max(context.buffered_bytes)


@then("the connection has failed before the daemon has read more than the body limit and one write")
def step_stale_bound(context: Any) -> None:
    assert max(context.buffered_bytes) <= constants.MAX_BODY_BYTES, max(context.buffered_bytes)
