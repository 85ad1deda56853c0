"""An HTTP/1.1 server: one h11 connection per caller, one request at a time on each.

The request's body is read whole, within limits, before the handler sees it. The handler answers
through an :class:`Exchange`. When the caller goes away, the handler's task is cancelled.
"""

import asyncio
import enum
from collections.abc import Awaitable, Callable

import h11
from msgspec import Struct

from loomwind import constants
from loomwind.http.errors import ConnectionBroken
from loomwind.http.messages import Headers, HttpRequest


class ServerLimits(Struct, frozen=True):
    """What one connection may ask for. Sizes in bytes, times in seconds."""

    max_head_bytes: int = constants.MAX_HEAD_BYTES
    max_body_bytes: int = constants.MAX_BODY_BYTES
    max_header_count: int = constants.MAX_HEADER_COUNT
    head_timeout_seconds: float = constants.HEAD_TIMEOUT_SECONDS
    body_timeout_seconds: float = constants.BODY_TIMEOUT_SECONDS
    idle_timeout_seconds: float = constants.IDLE_TIMEOUT_SECONDS


class BadRequest(Struct, frozen=True):
    """Why a request could not be read, with the HTTP status that fits."""

    status: int
    title: str
    detail: str


class ConnectionState(enum.Enum):
    """Where a server connection stands."""

    IDLE = enum.auto()
    READING_HEAD = enum.auto()
    READING_BODY = enum.auto()
    HANDLING = enum.auto()
    CLOSED = enum.auto()


class Exchange:
    """One request and the methods that send its response.

    ``request`` is None if it could not be read; ``bad_request`` then gives the reason.
    ``extra_headers`` are added to every response.
    """

    def __init__(
        self,
        connection: "ServerConnection",
        request: HttpRequest | None,
        bad_request: BadRequest | None,
    ) -> None:
        self._connection = connection
        self.request = request
        self.bad_request = bad_request
        self.started = False
        self.extra_headers: Headers = ()

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole response of known length.

        :raises ConnectionBroken: the caller is gone.
        """
        await self.start(status, (*headers, ("content-length", str(len(body)))))
        await self.send(body)
        await self.finish()

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head. Without a content-length among the headers the body is chunked."""
        self.started = True
        headers = (*headers, *self.extra_headers)
        if self._connection.ends_after_answer:
            headers = (*headers, ("connection", "close"))
        raw = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]
        self._connection.send_event(h11.Response(status_code=status, headers=raw))
        await self._connection.drain()

    async def send(self, data: bytes) -> None:
        """Send a piece of the body as one write, waiting while the caller reads slowly."""
        if data:
            self._connection.send_event(h11.Data(data=data))
            await self._connection.drain()

    async def finish(self) -> None:
        """End the body properly."""
        self._connection.send_event(h11.EndOfMessage())
        await self._connection.drain()

    def send_raw(self, data: bytes) -> None:
        """Write bytes that are part of no answer; stand-ins misbehave so."""
        self._connection.write_raw(data)

    def abort(self) -> None:
        """Break the connection off so that the caller sees that the answer is not whole."""
        self._connection.close()


Handler = Callable[[Exchange], Awaitable[None]]


class ServerConnection(asyncio.Protocol):
    """One caller's connection."""

    def __init__(self, server: "HttpServer") -> None:
        self._server = server
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits.max_head_bytes
        )
        self._transport: asyncio.Transport | None = None
        self._state = ConnectionState.IDLE
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._idle_since = 0.0
        self._writable = asyncio.Event()
        self._writable.set()

    @property
    def ends_after_answer(self) -> bool:
        """Whether the caller is told to open another connection for its next request."""
        return self._server.closing or self._server.draining

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or handled here."""
        return self._state is ConnectionState.IDLE

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and start the idle timer."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.connections.add(self)
        self._idle_since = self._now()
        self._arm(self._server.limits.idle_timeout_seconds)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the handler: nobody is there to read its answer."""
        self._state = ConnectionState.CLOSED
        self._server.connections.discard(self)
        self._disarm()
        self._writable.set()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Treat the end of the caller's stream as its leaving, as most servers do."""
        return False

    def pause_writing(self) -> None:
        """Stop the handler's writes while the caller reads slowly."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let the handler write again."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Feed h11, and hand over a request as soon as it is whole."""
        if self._state is ConnectionState.IDLE:
            self._state = ConnectionState.READING_HEAD
            self._arm(self._server.limits.head_timeout_seconds)
        self._h11.receive_data(data)
        if self._state is not ConnectionState.HANDLING:
            self._read_events()

    def _read_events(self) -> None:
        try:
            while self._state in (ConnectionState.READING_HEAD, ConnectionState.READING_BODY):
                event = self._h11.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                self._on_event(event)
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            self._reject(BadRequest(status, "malformed-request", str(error)))

    def _on_event(self, event: object) -> None:
        if isinstance(event, h11.Request):
            self._on_head(event)
        elif isinstance(event, h11.Data):
            self._on_body(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._on_end()

    def _on_head(self, head: h11.Request) -> None:
        limits = self._server.limits
        names = [name for name, _ in head.headers]
        head_bytes = len(head.target) + sum(len(n) + len(v) for n, v in head.headers)
        if head_bytes > limits.max_head_bytes:
            detail = f"the head is larger than {limits.max_head_bytes} bytes"
            self._reject(BadRequest(431, "head-too-large", detail))
            return
        if len(names) > limits.max_header_count:
            detail = f"more than {limits.max_header_count} header fields"
            self._reject(BadRequest(431, "too-many-headers", detail))
            return
        if b"transfer-encoding" in names and b"content-length" in names:
            detail = "both transfer-encoding and content-length are given"
            self._reject(BadRequest(400, "ambiguous-length", detail))
            return
        announced = next((v for n, v in head.headers if n == b"content-length"), b"0")
        if int(announced) > limits.max_body_bytes:
            self._reject_large_body()
            return
        self._head = head
        self._body = bytearray()
        self._state = ConnectionState.READING_BODY
        self._arm(limits.body_timeout_seconds)
        if self._h11.they_are_waiting_for_100_continue:
            self.send_event(h11.InformationalResponse(status_code=100, headers=[]))

    def _on_body(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > self._server.limits.max_body_bytes:
            self._reject_large_body()

    def _reject_large_body(self) -> None:
        detail = f"the body is larger than {self._server.limits.max_body_bytes} bytes"
        self._reject(BadRequest(413, "body-too-large", detail))

    def _on_end(self) -> None:
        head = self._head
        assert head is not None
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1")) for name, value in head.headers
        )
        target = head.target.decode("latin-1")
        request = HttpRequest(head.method.decode("latin-1"), target, headers, bytes(self._body))
        self._handle(Exchange(self, request, None))

    def _reject(self, bad_request: BadRequest) -> None:
        self._handle(Exchange(self, None, bad_request), close=True)

    def _handle(self, exchange: Exchange, close: bool = False) -> None:
        self._state = ConnectionState.HANDLING
        self._disarm()
        self._task = asyncio.get_running_loop().create_task(self._run(exchange, close))

    async def _run(self, exchange: Exchange, close: bool) -> None:
        try:
            await self._server.handler(exchange)
        except ConnectionBroken:
            close = True
        finally:
            self._task = None
            self._next_request(close)

    def _next_request(self, close: bool) -> None:
        if self._state is ConnectionState.CLOSED:
            return
        reusable = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
        if close or not reusable or self._server.closing:
            self.close()
            return
        self._h11.start_next_cycle()
        self._idle_since = self._now()
        waiting = bool(self._h11.trailing_data[0])
        self._state = ConnectionState.READING_HEAD if waiting else ConnectionState.IDLE
        limits = self._server.limits
        self._arm(limits.head_timeout_seconds if waiting else limits.idle_timeout_seconds)
        if waiting:
            self._read_events()

    def send_event(self, event: h11.Event) -> None:
        """Frame and write one h11 event.

        :raises ConnectionBroken: the caller is gone, or the event does not fit the state.
        """
        if self._transport is None or self._state is ConnectionState.CLOSED:
            raise ConnectionBroken("the caller is gone")
        try:
            data = self._h11.send(event)
        except h11.LocalProtocolError as error:
            raise ConnectionBroken(str(error)) from error
        if data:
            self._transport.write(data)

    def write_raw(self, data: bytes) -> None:
        """Write bytes past the protocol."""
        if self._transport is not None:
            self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the caller has read enough.

        :raises ConnectionBroken: the caller went away meanwhile.
        """
        if not self._writable.is_set():
            await self._writable.wait()
        if self._state is ConnectionState.CLOSED:
            raise ConnectionBroken("the caller is gone")

    def abort(self) -> None:
        """Close at once; what was written may be lost."""
        self._disarm()
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close after what was written has been sent."""
        self._disarm()
        if self._transport is not None:
            self._transport.close()

    def _arm(self, seconds: float) -> None:
        self._disarm()
        self._timer = asyncio.get_running_loop().call_later(seconds, self._on_timeout)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        if self._state is ConnectionState.IDLE:
            self._on_idle_timeout()
        elif self._state is not ConnectionState.HANDLING:
            self._reject(BadRequest(408, "request-too-slow", "the request did not arrive in time"))

    def _on_idle_timeout(self) -> None:
        """Close, unless the limits in force by now let it rest longer."""
        left = self._idle_since + self._server.limits.idle_timeout_seconds - self._now()
        if left > 0:
            self._arm(left)
        else:
            self.close()

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()


class HttpServer:
    """Listens on one address and gives each request to ``handler``."""

    def __init__(self, handler: Handler, limits: ServerLimits | None = None) -> None:
        self.handler = handler
        self.limits = limits or ServerLimits()
        self.connections: set[ServerConnection] = set()
        self.closing = False
        self.draining = False
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen. A port of 0 takes any free one; see :attr:`port`."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self), host, port, backlog=1024
        )

    @property
    def port(self) -> int:
        """Return the port that is listened on."""
        assert self._server is not None
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    def start_draining(self) -> None:
        """Serve on, but ask callers to take their next request elsewhere."""
        self.draining = True

    def stop_listening(self) -> None:
        """Take no new connections; close idle ones; let requests in progress finish."""
        self.closing = True
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()

    @property
    def is_listening(self) -> bool:
        """Whether new connections are taken."""
        return self._server is not None and self._server.is_serving()

    def abort(self) -> None:
        """Listen no more, and break all connections off; it may be started again."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()

    def close(self) -> None:
        """Stop at once."""
        self.stop_listening()
        for connection in list(self.connections):
            connection.close()
