"""HTTP/1.1 client connections, each with one exchange at a time.

A server may send a response more than once, also late: where the response to the next request is
due. If responses repeat an id of their request, those to other requests are skipped here, and no
connection carries the same request twice. A connection is closed and never reused after an exchange
that did not complete, or in which a surplus response came.
"""

import asyncio
import enum
from collections.abc import Callable

import h11
from attrs import frozen
from msgspec.structs import replace

from loomwind import constants
from loomwind.clock import MS_PER_SECOND
from loomwind.http.errors import (
    PROTOCOL_EXCEPTIONS,
    REQUEST_EXCEPTIONS,
    BodyFragmented,
    BodyTruncated,
    ConnectionBroken,
    ConnectionEnded,
    ExchangeTimeout,
    RequestExpired,
    RequestRepeated,
    ResponseMissing,
    map_exceptions,
)
from loomwind.http.messages import Headers, HttpRequest, HttpResponse
from loomwind.http.part_limit import PartLimit, TooManyParts
from loomwind.http.sockets import (
    ReadBuffer,
    enable_dead_peer_detection,
    limit_delivery,
    reset_on_close,
)
from loomwind.http.turns import Turns

KEEP_ALIVE_MARGIN_SECONDS = 0.5
KEEP_ALIVE_TIMEOUT_PREFIX = "timeout="
# Ends a server's repetitions of them; one that reports progress sends one every few seconds.
MAX_INFORMATIONAL_RESPONSES = 64
HEAD_METHOD = "HEAD"
# A new connection costs less than to go on after so many.
MAX_SURPLUS_RESPONSES = 16
# Bounds the memory for the ids of a connection's requests; a new connection costs little then.
MAX_IDENTIFIED_EXCHANGES = 256


def parse_keep_alive_timeout(head: HttpResponse) -> float | None:
    """Return the ``timeout`` of a response's ``Keep-Alive`` header, or None."""
    for item in (head.header("keep-alive") or "").split(","):
        text = item.strip().removeprefix(KEEP_ALIVE_TIMEOUT_PREFIX)
        if text.isascii() and text.isdigit():
            return float(text)
    return None


class ClientState(enum.Enum):
    """State of a client connection; it is active from sending a request to the response's end."""

    IDLE = enum.auto()
    ACTIVE = enum.auto()
    CLOSED = enum.auto()


@frozen
class SurplusResponse:
    """A response that was skipped, since it does not belong to the request that was sent.

    :ivar connection: label of the connection.
    :ivar request_id: the id of the request.
    :ivar response_id: the id in the response; empty if it has none.
    """

    address: str
    connection: str
    request_id: str
    response_id: str
    status: int


class ClientConnection(ReadBuffer):
    """One connection to a server.

    :ivar expires_at: loop time from which the connection is not reused, since the server may close
        it; None if the server has announced no keep-alive timeout.
    :ivar on_idle_connection_error: see :class:`HttpClient`.
    :ivar on_surplus_response: called with each response that is skipped.
    :ivar on_end: called once it has ended.
    :ivar exchange_count: the number of requests that were sent on it.
    """

    def __init__(
        self,
        address: str,
        user_timeout_ms: float | None = None,
        id_header: str = "",
        turns: Turns | None = None,
    ) -> None:
        """Create a connection.

        :param id_header: see :class:`HttpClient`.
        :param turns: shared by connections that hold up each other as little as possible.
        """
        self.address = address
        self.state = ClientState.IDLE
        self.expires_at: float | None = None
        self.on_idle_connection_error: Callable[[str], None] | None = None
        self.on_surplus_response: Callable[[SurplusResponse], None] | None = None
        self.on_end: Callable[[ClientConnection], None] | None = None
        self.exchange_count = 0
        self._id_header = id_header
        # The methods of the requests that were sent, by the hashes of their ids, which may be long.
        # Two ids of the same hash cost no more than a new connection.
        self._methods: dict[int, str] = {}
        self._request: HttpRequest | None = None
        self._request_id = ""
        self._had_surplus = False
        self._discards_unsent = False
        self._turns = turns or Turns()
        self._events_in_turn = 0
        self._part_limit = PartLimit(0.0)
        self._user_timeout_ms = user_timeout_ms
        self._h11 = _new_parser()
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._buffered_bytes = 0
        self._disconnected = False
        self._reset = False
        self._body_complete = False
        self._read_aborted = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable dead peer detection if it is configured."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self._user_timeout_ms is not None:
            enable_dead_peer_detection(transport, self._user_timeout_ms)

    @property
    def transport(self) -> asyncio.Transport | None:
        """Return the transport; None before the connection is made."""
        return self._transport

    @property
    def is_idle(self) -> bool:
        """Whether a request can be sent: no exchange is in progress, and it is not ending."""
        is_open = self._transport is not None and not self._transport.is_closing()
        return self.state is ClientState.IDLE and is_open

    @property
    def label(self) -> str:
        """Return the local port and the number of the exchange, for the log."""
        socket_name = self._transport.get_extra_info("sockname") if self._transport else None
        return f"{socket_name[1] if socket_name else '-'}#{self.exchange_count}"

    def data_received(self, data: bytes) -> None:
        """Feed h11 and wake the reader; pause reading above the high-water mark.

        Bytes that arrive while no response is due belong to no request: the connection is closed.
        """
        if self.state is ClientState.IDLE:
            self.close()
            return
        self._h11.receive_data(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes > constants.READ_BUFFER_HIGH_WATER_BYTES and self._transport:
            self._transport.pause_reading()
        self._wake()

    def connection_lost(self, exc: Exception | None) -> None:
        """Signal the end of the stream to h11, and wake the reader."""
        idle = self.state is ClientState.IDLE
        if not self._disconnected:
            self._disconnected = True
            self._reset = exc is not None
            if not self._reset:
                self._h11.receive_data(b"")
        if idle:
            self.state = ClientState.CLOSED
            if self._reset and self.on_idle_connection_error is not None:
                self.on_idle_connection_error(self.address)
        if self.on_end is not None:
            self.on_end(self)
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def send_request(
        self, request: HttpRequest, remaining_seconds: Callable[[], float] | None = None
    ) -> None:
        """Write a complete request in a single write.

        :param remaining_seconds: returns for how long the request may still be sent, 0 once it may
            not; None for no limit. What the server has not acknowledged by then is dropped.
        :raises RequestExpired: it may not be sent any more; nothing was sent.
        :raises UnsendableRequest: the request is invalid; the connection can still be used.
        :raises RequestRepeated: it was sent on this connection before; nothing was sent.
        :raises ConnectionEnded: the connection is closed; nothing was sent.
        """
        request_id = request.header(self._id_header) or ""
        if self.has_carried(request_id):
            raise RequestRepeated(f"request {request_id} was sent on this connection before")
        if self._transport is None or self._disconnected or self._transport.is_closing():
            self.close()
            raise ConnectionEnded("the connection ended before the request was sent")
        with map_exceptions(REQUEST_EXCEPTIONS):
            head = _head_event(request, self.address)
        self.state = ClientState.ACTIVE
        self.exchange_count += 1
        self._request, self._request_id = request, request_id
        if request_id:
            self._methods[hash(request_id)] = request.method
        with map_exceptions(PROTOCOL_EXCEPTIONS):
            parts = [self._h11.send(head), self._h11.send(h11.Data(data=request.body))]
            parts.append(self._h11.send(h11.EndOfMessage()))
        data = b"".join(part for part in parts if part)
        if remaining_seconds is not None:
            limit_delivery(self._transport, remaining_seconds() * MS_PER_SECOND)
            self._discards_unsent = True
            # Nothing may come between this check and the write.
            if remaining_seconds() <= 0.0:
                self.close()
                raise RequestExpired("the request may not be sent any more")
        self._transport.write(data)

    def has_carried(self, request_id: str) -> bool:
        """Whether a response that comes here might be an earlier one to the same request.

        Of a request without an id, this cannot be told from responses to any other one.
        """
        if not self._id_header:
            return False
        return hash(request_id) in self._methods if request_id else self.exchange_count > 0

    async def _next_event(self) -> object:
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                raise self._head_error(error) from error
            if event is not h11.NEED_DATA:
                return event
            await self._wait_for_data()

    def _head_error(self, error: h11.RemoteProtocolError) -> ConnectionBroken:
        """Return the error of a response without a valid head."""
        if self._h11.trailing_data == (b"", True):
            return ResponseMissing("the server closed the connection without a response")
        return ConnectionBroken(str(error))

    async def _wait_for_data(self) -> None:
        if self._reset:
            raise ConnectionBroken("the connection was reset")
        self._buffered_bytes = self._events_in_turn = 0
        if (
            self._transport is not None
            and not self._transport.is_reading()
            and not self._disconnected
        ):
            self._transport.resume_reading()
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None
        if self._read_aborted:
            raise ExchangeTimeout("nothing came for too long")
        if self._reset and not self._h11.trailing_data[0]:
            raise ConnectionBroken("the connection was reset")

    def _note_keep_alive(self, head: HttpResponse) -> None:
        """Set the expiry from the keep-alive timeout in a response, if it has one."""
        seconds = parse_keep_alive_timeout(head)
        if seconds is not None:
            self.expires_at = self._now() + seconds - KEEP_ALIVE_MARGIN_SECONDS

    def abort_reading(self) -> None:
        """Make reads that wait for data fail with :class:`ExchangeTimeout`."""
        self._read_aborted = True
        self._wake()

    async def read_head(self) -> HttpResponse:
        """Return the status and headers of the response to the request, without its body.

        :raises ResponseMissing: the server closed the connection without a response.
        :raises ConnectionBroken: the connection ended inside a head, a head is invalid, or too many
            informational responses, or responses to other requests, came before it.
        :raises ExchangeTimeout: the read was aborted.
        """
        for _ in range(MAX_SURPLUS_RESPONSES + 1):
            event = await self._read_response_event()
            head = _decode_head(event)
            self._part_limit = PartLimit(self._now())
            if self._is_own(head):
                self._note_keep_alive(head)
                return head
            self._report_surplus(head)
            await self._skip_body(event)
            self._restart_parser(self._sent_request())
        raise ConnectionBroken("too many responses to other requests")

    def _is_own(self, head: HttpResponse) -> bool:
        return not self._id_header or (head.header(self._id_header) or "") == self._request_id

    def _report_surplus(self, head: HttpResponse) -> None:
        self._had_surplus = True
        if self.on_surplus_response is not None:
            response_id = head.header(self._id_header) or ""
            self.on_surplus_response(
                SurplusResponse(
                    self.address, self.label, self._request_id, response_id, head.status
                )
            )

    async def _read_response_event(self) -> h11.Response:
        event = await self._next_event()
        informational_count = 0
        while not isinstance(event, h11.Response):
            if isinstance(event, h11.ConnectionClosed):
                raise ResponseMissing("the server closed the connection without a response")
            informational_count += 1
            if informational_count > MAX_INFORMATIONAL_RESPONSES:
                raise ConnectionBroken("too many informational responses")
            self._events_in_turn += 1 + _line_count(event)
            if self._events_in_turn >= constants.PARSER_EVENTS_PER_TURN:
                await self._wait_for_turn()
            event = await self._next_event()
        return event

    def _sent_request(self) -> HttpRequest:
        assert self._request is not None
        return self._request

    async def _skip_body(self, event: h11.Response) -> None:
        """Discard the body of a response to another request, whose method decides if it has one.

        A request that came over another connection is taken for one of the same method.
        """
        sent = self._sent_request()
        response_id = _decode_head(event).header(self._id_header) or ""
        method = self._methods.get(hash(response_id), sent.method)
        if (method == HEAD_METHOD) != (sent.method == HEAD_METHOD):
            self._restart_parser(replace(sent, method=method), _encode_head(event))
            await self._read_response_event()
        skipped_bytes = 0
        while data := await self._read_data():
            skipped_bytes += len(data)
            if skipped_bytes > constants.MAX_BODY_BYTES:
                raise ConnectionBroken("the response to another request is too large")

    def _restart_parser(self, request: HttpRequest, data: bytes = b"") -> None:
        """Read the bytes that have arrived, and follow, as the response to a request.

        A new h11 parser is put into the state after sending the request.

        :param data: bytes to be read before them.
        """
        trailing_data, closed = self._h11.trailing_data
        self._h11 = _new_parser()
        with map_exceptions(PROTOCOL_EXCEPTIONS):
            self._h11.send(_head_event(request, self.address))
            self._h11.send(h11.Data(data=request.body))
            self._h11.send(h11.EndOfMessage())
        if data + trailing_data:
            self._h11.receive_data(data + trailing_data)
        if closed and not self._reset:
            self._h11.receive_data(b"")

    async def read_body(self) -> bytes:
        """Return the part of the body that has arrived; empty at the end of the body.

        :raises BodyTruncated: the connection ended before the end of the body.
        :raises BodyFragmented: the body comes in too many small chunks.
        :raises ExchangeTimeout: the read was aborted.
        """
        data = await self._read_data()
        if not data:
            self._finish_exchange()
        return data

    async def _read_data(self) -> bytes:
        """Return the part of a body that has arrived; empty at its end, which changes no state."""
        if self._body_complete:
            self._body_complete = False
            return b""
        chunks: list[bytes] = []
        while True:
            if self._events_in_turn >= constants.PARSER_EVENTS_PER_TURN:
                if chunks:
                    return b"".join(chunks)
                await self._wait_for_turn()
            self._events_in_turn += 1
            try:
                event = self._h11.next_event()
            except h11.ProtocolError as error:
                if chunks:
                    return b"".join(chunks)
                raise BodyTruncated(str(error)) from error
            if isinstance(event, h11.Data):
                self._count_part(len(event.data))
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._body_complete = bool(chunks)
                return b"".join(chunks)
            elif event is h11.NEED_DATA:
                if chunks:
                    return b"".join(chunks)
                try:
                    await self._wait_for_data()
                except ConnectionBroken as error:
                    raise BodyTruncated(str(error)) from error
            else:
                raise BodyTruncated("closed before the body's end")

    async def _wait_for_turn(self) -> None:
        """Let other connections go on.

        :raises ExchangeTimeout: the read was aborted.
        """
        await self._turns.wait()
        self._events_in_turn = 0
        if self._read_aborted:
            raise ExchangeTimeout("the read was aborted")

    def _count_part(self, size_bytes: int) -> None:
        try:
            self._part_limit.record(1, size_bytes, self._now())
        except TooManyParts as error:
            raise BodyFragmented(f"a body in chunks: {error}") from error

    def _finish_exchange(self) -> None:
        self._request = None
        if self._is_reusable():
            self._h11.start_next_cycle()
            self.state = ClientState.IDLE
        else:
            self.close()

    def _is_reusable(self) -> bool:
        """Whether the exchange has ended such that nothing more of it can come."""
        is_complete = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
        is_exhausted = self._had_surplus or len(self._methods) >= MAX_IDENTIFIED_EXCHANGES
        has_more = self._disconnected or bool(self._h11.trailing_data[0])
        return is_complete and not is_exhausted and not has_more

    def close(self) -> None:
        """Close immediately, without sending data that this process has buffered.

        During an exchange whose request may be sent for a limited time, the kernel's data is
        dropped as well.
        """
        was_active = self.state is ClientState.ACTIVE
        self.state = ClientState.CLOSED
        if self._transport is None:
            return
        if was_active and self._discards_unsent:
            reset_on_close(self._transport)
        self._transport.abort()

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()


def _line_count(event: object) -> int:
    """Return the number of lines of a head, each of which costs as much as another event."""
    return len(event.headers) if isinstance(event, h11.InformationalResponse) else 0


def _decode_head(event: h11.Response) -> HttpResponse:
    headers: Headers = tuple(
        (name.decode("latin-1"), value.decode("latin-1")) for name, value in event.headers
    )
    return HttpResponse(event.status_code, headers)


def _encode_head(event: h11.Response) -> bytes:
    """Return the bytes of a head that was parsed."""
    lines = [b"HTTP/%b %d %b" % (event.http_version, event.status_code, event.reason)]
    lines += [b"%b: %b" % (name, value) for name, value in event.headers]
    return b"\r\n".join([*lines, b"", b""])


def _new_parser() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=constants.MAX_HEAD_BYTES)


def _head_event(request: HttpRequest, address: str) -> h11.Request:
    """Return the head of a request; a ``host`` header of its own overrides the address."""
    headers = list(request.headers)
    if request.header("host") is None:
        headers.insert(0, ("host", address))
    headers.append(("content-length", str(len(request.body))))
    return h11.Request(
        method=request.method,
        target=request.target,
        headers=[(name.encode(), value.encode("latin-1")) for name, value in headers],
    )
