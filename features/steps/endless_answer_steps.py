"""Steps about answers without an end: the client's reader and the cutter of events, no socket."""

import asyncio
from typing import Any

from attrs import frozen
from behave import then, when
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from loomwind import constants
from loomwind.http.client import ClientConnection
from loomwind.http.errors import HttpError
from loomwind.http.event_stream import EventStreamBuffer
from loomwind.http.messages import HttpRequest

LEAST_PIECE_BYTES = 64
LARGEST_PIECE_BYTES = 64 * constants.KIBIBYTE
# The users' target for a daemon with 50 servers that send without an end.
EVENT_SHARE_BYTES = 64 * constants.MEBIBYTE // 50
MOST_TURNS = 20
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"


@frozen
class Endless:
    """What comes first, and what is repeated without an end."""

    begin: bytes
    repeated: bytes


PARTS = {
    "a status line": Endless(b"HTTP/1.1 200 O", b"K"),
    "a header line": Endless(HEAD + b"x-long: ", b"y"),
    "header lines": Endless(HEAD, b"x-more: y\r\n"),
    "a chunk-size line": Endless(CHUNKED, b"0"),
    "a chunk extension": Endless(CHUNKED + b"5;", b"e"),
    "a trailer": Endless(CHUNKED + b"0\r\nx-late: ", b"y"),
}


class Unread(asyncio.Transport):
    """A connection to a server; what is written goes nowhere."""

    def __init__(self) -> None:
        super().__init__()
        self._closed = False

    def write(self, data: Any) -> None:
        """Drop it."""

    def is_closing(self) -> bool:
        """Whether it was closed."""
        return self._closed

    def abort(self) -> None:
        """Close it."""
        self._closed = True

    def is_reading(self) -> bool:
        """Whether bytes are taken."""
        return True

    def pause_reading(self) -> None:
        """Take no bytes for a while."""


def _plays(count: int) -> settings:
    return settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )


@when("a server sends {part} without an end, in pieces of drawn sizes, in {count:d} plays")
def step_endless(context: Any, part: str, count: int) -> None:
    context.kept = []

    @_plays(count)
    @given(st.integers(LEAST_PIECE_BYTES, LARGEST_PIECE_BYTES))
    def play(piece_bytes: int) -> None:
        if part == "an event":
            context.kept.append(_feed_event(piece_bytes))
        else:
            context.kept.append(asyncio.run(_feed_answer(PARTS[part], piece_bytes)) - piece_bytes)

    play()


async def _feed_answer(endless: Endless, piece_bytes: int) -> int:
    """Return the bytes that were taken until the answer failed, or twice what may be kept."""
    connection = ClientConnection("a:1")
    connection.connection_made(Unread())
    connection.send_request(HttpRequest("GET", "/"))
    reading = asyncio.ensure_future(_read(connection))
    piece = endless.repeated * max(1, piece_bytes // len(endless.repeated))
    connection.data_received(endless.begin)
    taken = 0
    while not await _has_failed(reading) and taken < 2 * (constants.MAX_HEAD_BYTES + piece_bytes):
        connection.data_received(piece)
        taken += len(piece)
    reading.cancel()
    return taken


async def _has_failed(reading: "asyncio.Future[None]") -> bool:
    for _ in range(MOST_TURNS):
        if reading.done():
            return isinstance(reading.exception(), HttpError)
        await asyncio.sleep(0)
    return False


async def _read(connection: ClientConnection) -> None:
    await connection.read_head()
    while await connection.read_body():
        pass


def _feed_event(piece_bytes: int) -> int:
    """Return the bytes that a cutter keeps of an event until it fails, or twice its share."""
    event_buffer = EventStreamBuffer()
    kept = 0
    try:
        while kept < 2 * EVENT_SHARE_BYTES:
            event_buffer.feed(b"d" * piece_bytes)
            kept += piece_bytes
    except HttpError:
        return kept
    return kept


@then("the answer has failed before a daemon has kept more than a head's bytes and one piece")
def step_head_bound(context: Any) -> None:
    assert max(context.kept) <= constants.MAX_HEAD_BYTES, max(context.kept)


@then("the stream has failed before a daemon has kept more than its share of 64 MB for 50 servers")
def step_event_bound(context: Any) -> None:
    assert max(context.kept) <= EVENT_SHARE_BYTES, max(context.kept)
