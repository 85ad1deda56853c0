"""Sends responses of a stand-in server a second time, late, on the connection of the first time."""

import asyncio
import enum
import random
from collections import Counter
from typing import Any

import h11
from attrs import define, field

from loomwind.http.server import Handler, HttpServer
from loomwind.http.server_connection import ServerConnection

MAX_IDLE_SECONDS = 0.05
PIECE_SECONDS = 0.003
# Requests of tests to the stand-in itself.
TEST_PREFIX = b"/_"


class Moment(enum.Enum):
    """When a copy is sent; at the latest with the next bytes of the connection.

    ``IDLE`` is while no request is expected; ``ARRIVAL`` when the next request comes; ``RESPONSE``
    in a single write with the beginning of its response; ``PIECES`` spreads it over the latter two.
    """

    IDLE = enum.auto()
    ARRIVAL = enum.auto()
    RESPONSE = enum.auto()
    PIECES = enum.auto()


@define
class Repeater:
    """Chooses the responses that are sent twice, and when.

    :ivar share: the share of complete responses.
    :ivar sent: the numbers of copies that were sent whole, by the name of the moment.
    """

    share: float = 0.0
    sent: Counter[str] = field(factory=Counter)
    _source: random.Random = field(factory=random.Random)

    def configure(self, share: float, seed: int) -> None:
        """Begin a new series of choices."""
        self.share = share
        self._source = random.Random(f"{seed} repeats")

    def repeats(self) -> bool:
        """Return whether the next response is sent twice."""
        return self._source.random() < self.share

    def choose_moment(self) -> Moment:
        """Return when a copy is sent."""
        return self._source.choice(list(Moment))

    def choose_idle_seconds(self) -> float:
        """Return how long a connection is idle before a copy is sent."""
        return self._source.uniform(0.0, MAX_IDLE_SECONDS)

    def choose_size(self, rest: bytes) -> int:
        """Return the size of the next piece of a copy."""
        return self._source.randint(1, max(1, len(rest)))


class RepeatingTransport(asyncio.Transport):
    """Records the bytes of each response, and writes copies of some of them later."""

    def __init__(self, transport: asyncio.Transport, repeater: Repeater) -> None:
        super().__init__()
        self._inner = transport
        self._repeater = repeater
        self._recorded: bytearray | None = None
        self._copy = b""
        self._moment = Moment.IDLE
        self._timer: asyncio.TimerHandle | None = None

    def start_response(self) -> None:
        """Record what is written from now on, if it is to be sent once more."""
        self._recorded = bytearray() if self._repeater.repeats() else None

    def finish_response(self) -> None:
        """Keep what was recorded until it is sent once more."""
        if self._recorded is None:
            return
        self._copy, self._recorded = bytes(self._recorded), None
        self._moment = self._repeater.choose_moment()
        if self._moment is Moment.IDLE:
            self._release_later(len(self._copy), self._repeater.choose_idle_seconds())

    def expect_response(self) -> None:
        """Send what is due when a request has come."""
        if self._copy and self._moment is Moment.PIECES:
            self._release(self._repeater.choose_size(self._copy))
            self._release_later(self._repeater.choose_size(self._copy), PIECE_SECONDS)
        elif self._copy and self._moment is not Moment.RESPONSE:
            self._release(len(self._copy))

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Write, behind the rest of a copy."""
        rest = self._take(len(self._copy))
        if self._recorded is not None:
            self._recorded += data
        self._inner.write(rest + bytes(data))

    def _release_later(self, size: int, delay_seconds: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_seconds, self._release, size)

    def _release(self, size: int) -> None:
        """Write the next bytes of the copy."""
        if not self._inner.is_closing() and (piece := self._take(size)):
            self._inner.write(piece)

    def _take(self, size: int) -> bytes:
        """Return the next bytes of the copy, which are due at no other time then."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        piece, self._copy = self._copy[:size], self._copy[size:]
        if piece and not self._copy:
            self._repeater.sent[self._moment.name] += 1
        return piece

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return information about the connection."""
        return self._inner.get_extra_info(name, default)

    def is_closing(self) -> bool:
        """Return whether the connection is closed or about to be."""
        return self._inner.is_closing()

    def is_reading(self) -> bool:
        """Return whether data is received."""
        return self._inner.is_reading()

    def pause_reading(self) -> None:
        """Receive no data."""
        self._inner.pause_reading()

    def resume_reading(self) -> None:
        """Receive data again."""
        self._inner.resume_reading()

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that are not sent yet."""
        return self._inner.get_write_buffer_size()

    def write_eof(self) -> None:
        """Close the sending side."""
        self._inner.write_eof()

    def close(self) -> None:
        """Close once written data has been sent."""
        self._inner.close()

    def abort(self) -> None:
        """Close at once."""
        self._inner.abort()


class RepeatingConnection(ServerConnection):
    """A connection that may send a response a second time."""

    def __init__(self, server: HttpServer, repeater: Repeater) -> None:
        super().__init__(server)
        self._repeater = repeater
        self._repeats: RepeatingTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wrap the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._repeats = RepeatingTransport(transport, self._repeater)
        super().connection_made(self._repeats)

    def data_received(self, data: bytes) -> None:
        """Let the copy of an earlier response go before the one that is due now."""
        if self._repeats is not None:
            self._repeats.expect_response()
        super().data_received(data)

    def send_event(self, event: h11.Event) -> None:
        """Note where a response begins and ends."""
        repeats = None if self._is_for_tests else self._repeats
        if repeats is not None and isinstance(event, h11.Response):
            repeats.start_response()
        super().send_event(event)
        if repeats is not None and isinstance(event, h11.EndOfMessage):
            repeats.finish_response()

    @property
    def _is_for_tests(self) -> bool:
        return self._head is not None and self._head.target.startswith(TEST_PREFIX)


class RepeatingHttpServer(HttpServer):
    """An HTTP server that sends some of its responses twice.

    :ivar repeater: chooses them.
    """

    def __init__(self, handler: Handler) -> None:
        super().__init__(handler)
        self.repeater = Repeater()

    async def start(self, host: str, port: int) -> None:
        """Start listening."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: RepeatingConnection(self, self.repeater), host, port, backlog=1024
        )
