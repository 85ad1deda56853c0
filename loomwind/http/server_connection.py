"""A connection from a client: reads requests one at a time and has each one handled."""

import asyncio
import contextlib
import enum
from typing import TYPE_CHECKING

import h11

from loomwind import constants
from loomwind.clock import Clock
from loomwind.http.close_recorder import CloseRecorder
from loomwind.http.connection_close import ClosedBy, CloseReason, ConnectionPhase
from loomwind.http.errors import RESPONSE_EXCEPTIONS, ClientDisconnected, map_exceptions
from loomwind.http.exchange import BadRequest, Exchange
from loomwind.http.messages import Headers, HttpRequest
from loomwind.http.part_limit import PartLimit, TooManyParts
from loomwind.http.sockets import ReadBuffer, reset_on_close, unread_bytes

if TYPE_CHECKING:
    from loomwind.http.server import HttpServer


# How long the rest of a request that was refused unread is discarded.
LINGER_SECONDS = 1.0
HTTP_1_0 = b"1.0"
# Callers reuse a connection until four fifths of its idle timeout have passed (the protocol of the
# platform). The rest covers the way of a request that is sent at the end of that time.
ANNOUNCED_IDLE_SHARE = 0.8
# Data that has arrived is read in the next pass of the loop.
IDLE_RECHECK_SECONDS = 0.1


class ConnectionState(enum.Enum):
    """State of a server connection; a lingering one discards the rest of a refused request."""

    IDLE = enum.auto()
    READING_HEAD = enum.auto()
    READING_BODY = enum.auto()
    HANDLING = enum.auto()
    LINGERING = enum.auto()
    CLOSED = enum.auto()


READING_STATES = (ConnectionState.READING_HEAD, ConnectionState.READING_BODY)


def _decode_headers(head: h11.Request) -> Headers:
    return tuple((name.decode("latin-1"), value.decode("latin-1")) for name, value in head.headers)


class ServerConnection(ReadBuffer):
    """A connection from a client."""

    def __init__(self, server: "HttpServer") -> None:
        self._server = server
        self._h11 = self._new_parser()
        self._idle_timeout_seconds = 0.0
        self._transport: asyncio.Transport | None = None
        self._state = ConnectionState.IDLE
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._task: asyncio.Task[None] | None = None
        self._exchange: Exchange | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._idle_since = 0.0
        self._has_client_closed = False
        self._is_closing_here = False
        self._is_unreadable = False
        self._waiting_bytes = 0
        self._is_paused = False
        self._waits_for_turn = False
        self._part_limit = PartLimit(0.0)
        self._has_left_request = False
        self._recorder: CloseRecorder | None = None
        self._linger_reason = CloseReason.UNREADABLE_REQUEST
        self._writable = asyncio.Event()
        self._writable.set()

    def _new_parser(self) -> h11.Connection:
        self._parser_head_bytes = self._server.limits.max_head_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=self._parser_head_bytes)

    @property
    def allows_chunks(self) -> bool:
        """Return whether the client's version of HTTP has chunked bodies."""
        return self._h11.their_http_version != HTTP_1_0

    @property
    def closes_after_response(self) -> bool:
        """Return whether responses tell the client that the connection closes after them.

        They do not while further requests that were read are still to be served.
        """
        is_draining = self._server.draining and not self._has_pipelined_data
        return is_draining or self._ends_after_response

    @property
    def _ends_after_response(self) -> bool:
        """Return whether the connection is closed after the response."""
        if self._gets_no_more_requests:
            return True
        return self._server.closing and not self._has_pipelined_data

    @property
    def _ends_now(self) -> bool:
        """Return whether the connection is closed after a response that has ended.

        If it did not announce the close, the next request may have arrived already.
        """
        if not self._ends_after_response:
            return False
        return self._gets_no_more_requests or not self._has_unread_bytes

    @property
    def _gets_no_more_requests(self) -> bool:
        """Return whether the client has closed its side, or has sent what cannot be read."""
        return self._is_unreadable or self._has_client_closed

    @property
    def announced_idle_seconds(self) -> int:
        """Return the time in the ``Keep-Alive`` field of responses; 0 if they have none.

        The field has whole seconds.
        """
        if self._h11.their_state is h11.MUST_CLOSE:
            return 0
        return int(ANNOUNCED_IDLE_SHARE * self._idle_timeout_seconds)

    @property
    def _has_pipelined_data(self) -> bool:
        """Return whether data that belongs to further requests has been read."""
        return bool(self._h11.trailing_data[0])

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being read or handled."""
        return self._state is ConnectionState.IDLE

    @property
    def is_receiving(self) -> bool:
        """Return whether a part of a request has arrived, read or not, but not the whole."""
        if self._state in READING_STATES:
            return True
        return self.is_idle and self._has_unread_bytes

    @property
    def _has_unread_bytes(self) -> bool:
        """Return whether data has arrived that was not read from the socket."""
        return self._transport is not None and bool(unread_bytes(self._transport))

    @property
    def is_handling(self) -> bool:
        """Return whether a request was read whole, or refused, and its exchange has not ended."""
        return self._state is ConnectionState.HANDLING

    @property
    def is_connected(self) -> bool:
        """Return whether the client has closed neither the connection nor its sending side.

        This still holds after this side has closed the connection.
        """
        return not self._has_client_closed

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start the idle timer."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._recorder = CloseRecorder(self._server.close_observer, transport, Clock())
        self._server.connections.add(self)
        self._start_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the handler, since nobody can receive its response."""
        error = "" if exc is None else repr(exc)
        if error and not self._has_client_closed:
            self._report_close(ClosedBy.ERROR, CloseReason.LOST, error)
        elif self._state is ConnectionState.LINGERING:
            self._report_close(ClosedBy.SERVER, self._linger_reason)
        else:
            self._report_close(ClosedBy.CLIENT, CloseReason.CLIENT_END, error)
        self._has_client_closed |= not self._is_closing_here
        self._state = ConnectionState.CLOSED
        self._server.connections.discard(self)
        self._cancel_timer()
        self._writable.set()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Cancel the handler; keep the connection open for the final response, if one is due.

        A client that has left and one that has only closed its sending side look the same until
        something is written. Back ends must not go on working for the former, so the request is
        cancelled; the latter still gets a response.
        """
        if self._task is None:
            return False
        self._has_client_closed = self._has_left_request = True
        self.cancel_handler()
        return True

    def cancel_handler(self) -> None:
        """Cancel the handler of the current request, which then gets a response if none began."""
        if self._task is not None:
            # Its task takes its first step before it is cancelled.
            asyncio.get_running_loop().call_soon(self._task.cancel)

    def pause_writing(self) -> None:
        """Block the handler's writes while the client reads slowly."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Unblock the handler's writes."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Feed h11, and call the handler once a request is complete."""
        if self._recorder is not None:
            self._recorder.record_data()
        if self._state is ConnectionState.LINGERING:
            return
        if self._state is ConnectionState.IDLE:
            self._begin_request()
        self._h11.receive_data(data)
        if self._state is ConnectionState.HANDLING:
            self._waiting_bytes += len(data)
            self._limit_reading()
        else:
            self._read_events()

    def _limit_reading(self) -> None:
        """Read on, unless much has been read that waits until it is parsed.

        That is until the current request is handled, or its parsing gets its next turn. While
        nothing is read, a client that leaves is only noticed when it is written to.
        """
        is_paused = self._waiting_bytes > constants.READ_BUFFER_HIGH_WATER_BYTES
        is_paused |= self._waits_for_turn
        if self._transport is None or is_paused is self._is_paused:
            return
        self._is_paused = is_paused
        (self._transport.pause_reading if is_paused else self._transport.resume_reading)()

    def _read_events(self) -> None:
        """Parse what has arrived; the rest of much in further turns."""
        if self._waits_for_turn:
            return
        try:
            if self._parse_events():
                self._waits_for_turn = True
                self._server.turns.call(self._read_on)
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            self._reject(BadRequest(status, "malformed-request", str(error)))
        self._limit_reading()

    def _parse_events(self) -> bool:
        """Process the events of one turn; returns whether there may be more."""
        for _ in range(constants.PARSER_EVENTS_PER_TURN):
            if self._state not in READING_STATES:
                return False
            event = self._h11.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return False
            self._on_event(event)
        return self._state in READING_STATES

    def _read_on(self) -> None:
        self._waits_for_turn = False
        if self._state is not ConnectionState.CLOSED:
            self._read_events()

    def _on_event(self, event: object) -> None:
        if isinstance(event, h11.Request):
            self._on_head(event)
        elif isinstance(event, h11.Data):
            self._on_body(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._on_end()

    def _on_head(self, head: h11.Request) -> None:
        self._head = head
        limits = self._server.limits
        if bad_request := limits.refuse_head(head):
            self._reject(bad_request)
            return
        self._body = bytearray()
        self._part_limit = PartLimit(self._now())
        self._state = ConnectionState.READING_BODY
        self._start_timer(limits.body_timeout_seconds)
        if self._h11.they_are_waiting_for_100_continue:
            self.send_event(h11.InformationalResponse(status_code=100, headers=[]))

    def _on_body(self, data: bytes) -> None:
        self._body += data
        try:
            self._part_limit.record(1, len(data), self._now())
        except TooManyParts as error:
            self._reject(BadRequest(400, "fragmented-body", f"a body in chunks: {error}"))
            return
        if bad_request := self._server.limits.refuse_body(len(self._body)):
            self._reject(bad_request)

    def _on_end(self) -> None:
        head = self._head
        assert head is not None
        headers = _decode_headers(head)
        if self._recorder is not None:
            self._recorder.record_head(headers)
        target = head.target.decode("latin-1")
        request = HttpRequest(head.method.decode("latin-1"), target, headers, bytes(self._body))
        self._handle(Exchange(self, request, None, request.method))

    def _reject(self, bad_request: BadRequest) -> None:
        method = self._head.method.decode("latin-1") if self._head is not None else ""
        self._is_unreadable = True
        self._handle(Exchange(self, None, bad_request, method))

    def _handle(self, exchange: Exchange) -> None:
        self._state = ConnectionState.HANDLING
        self._cancel_timer()
        self._exchange = exchange
        if self._recorder is not None:
            self._recorder.requests += 1
        self._waiting_bytes = len(self._h11.trailing_data[0])
        self._task = asyncio.get_running_loop().create_task(self._run(exchange))

    async def _run(self, exchange: Exchange) -> None:
        error: BaseException | None = None
        try:
            await self._server.handler(exchange)
        # Also a cancellation that is not of this task: of something that the handler waited for.
        except (Exception, asyncio.CancelledError) as caught:
            error = caught
        try:
            if not self._is_closing:
                await exchange.ensure_end(error)
        finally:
            self._task = self._exchange = None
            self._finish_exchange(exchange)

    @property
    def _is_closing(self) -> bool:
        """Return whether the connection is closed, or will be once written data has been sent."""
        closed = self._state is ConnectionState.CLOSED
        return closed or self._transport is None or self._transport.is_closing()

    def _finish_exchange(self, exchange: Exchange) -> None:
        if self._is_closing:
            return
        has_unread_data = self._is_unreadable or self._is_paused
        self._waiting_bytes = 0
        reusable = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
        if not reusable or self._ends_now:
            reason = self._reason_to_close(exchange)
            if has_unread_data and not self._has_client_closed:
                self._linger(reason)
            else:
                self.close(reason)
            return
        self._h11.start_next_cycle()
        self._head = None
        if self._has_pipelined_data:
            self._begin_request()
            self._read_events()
        else:
            self._state = ConnectionState.IDLE
            self._start_idle_timer()
        self._limit_reading()

    def _reason_to_close(self, exchange: Exchange) -> CloseReason:
        """Return why the connection is closed after a response."""
        if self._is_unreadable:
            return CloseReason.UNREADABLE_REQUEST
        if exchange.ends_with_connection:
            return CloseReason.RESPONSE_WITHOUT_LENGTH
        if self._server.draining or self._server.closing:
            return CloseReason.DRAINING
        return CloseReason.NOT_REUSABLE

    def _linger(self, reason: CloseReason) -> None:
        """Close once the client has, or after a moment.

        A close at once would reset the connection while the client still sends, and lose the
        response.
        """
        assert self._transport is not None
        self._state = ConnectionState.LINGERING
        self._linger_reason = reason
        self._limit_reading()
        self._is_closing_here = True
        self._start_timer(LINGER_SECONDS)
        # Fails if the client has reset the connection, which then ends anyway.
        with contextlib.suppress(OSError):
            self._transport.write_eof()

    def _begin_request(self) -> None:
        """Expect the head of a request, within the limits that are in force now."""
        if self._parser_head_bytes != self._server.limits.max_head_bytes:
            received = self._h11.trailing_data[0]
            self._h11 = self._new_parser()
            if received:
                self._h11.receive_data(received)
        self._state = ConnectionState.READING_HEAD
        self._start_timer(self._server.limits.head_timeout_seconds)

    def send_event(self, event: h11.Event) -> None:
        """Encode and write one h11 event.

        :raises ClientDisconnected: the client has disconnected.
        :raises UnsendableResponse: h11 rejects the event in its current state.
        """
        if self._transport is None or self._state is ConnectionState.CLOSED:
            raise ClientDisconnected("the client has disconnected")
        with map_exceptions(RESPONSE_EXCEPTIONS):
            data = self._h11.send(event)
        if data:
            self._transport.write(data)

    def write_raw(self, data: bytes) -> None:
        """Write bytes that bypass h11."""
        if self._transport is not None:
            self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the write buffer has room.

        :raises ClientDisconnected: the client has disconnected meanwhile.
        """
        if not self._writable.is_set():
            await self._writable.wait()
        if self._state is ConnectionState.CLOSED:
            raise ClientDisconnected("the client has disconnected")

    def abort(self) -> None:
        """Close immediately; written data may be lost."""
        transport = self._prepare_close(CloseReason.ABORTED)
        if transport is not None:
            transport.abort()

    def close(self, reason: CloseReason) -> None:
        """Close once written data has been sent."""
        transport = self._prepare_close(reason)
        if transport is not None:
            transport.close()

    def _prepare_close(self, reason: CloseReason) -> asyncio.Transport | None:
        """Have the connection reset if an end in order would make its response look complete."""
        if self._has_client_closed:
            self._report_close(ClosedBy.CLIENT, CloseReason.CLIENT_END)
        else:
            self._report_close(ClosedBy.SERVER, reason)
        self._is_closing_here = True
        self._cancel_timer()
        cuts_response = self._exchange is not None and self._exchange.ends_with_reset
        if self._transport is not None and cuts_response:
            reset_on_close(self._transport)
        return self._transport

    def reset(self) -> None:
        """Close with a reset, once written data was passed to the kernel."""
        if self._transport is not None:
            reset_on_close(self._transport)
        self.close(CloseReason.RESPONSE_RESET)

    def _report_close(self, closed_by: ClosedBy, reason: CloseReason, error: str = "") -> None:
        """Report the close to the server's observer, once."""
        if self._recorder is None:
            return
        is_reading = self._state in READING_STATES
        if is_reading:
            self._recorder.record_head(_decode_headers(self._head) if self._head else ())
        phase = ConnectionPhase(
            self._state.name.lower(),
            is_reading or self._exchange is not None or self._has_left_request,
            len(self._h11.trailing_data[0]) + is_reading * len(self._body),
        )
        self._recorder.report(closed_by, reason, phase, error)

    def _start_timer(self, seconds: float) -> None:
        self._cancel_timer()
        self._timer = asyncio.get_running_loop().call_later(seconds, self._on_timeout)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        if self._state is ConnectionState.IDLE:
            self._on_idle_timeout()
        elif self._state is ConnectionState.LINGERING:
            self.close(CloseReason.LINGER_OVER)
        elif self._state is not ConnectionState.HANDLING:
            self._reject(BadRequest(408, "request-too-slow", "the request did not arrive in time"))

    def raise_idle_timeout(self) -> None:
        """Keep the connection idle for as long as any limit since it was opened has allowed.

        Its client may not know a lower limit yet, and send a request that would cross the close.
        """
        self._idle_timeout_seconds = max(
            self._idle_timeout_seconds, self._server.limits.idle_timeout_seconds
        )

    def _start_idle_timer(self) -> None:
        self.raise_idle_timeout()
        self._idle_since = self._now()
        self._start_timer(self._idle_timeout_seconds)

    def _on_idle_timeout(self) -> None:
        """Close, unless the idle timeout was raised meanwhile, or data has arrived in time."""
        remaining_seconds = self._idle_since + self._idle_timeout_seconds - self._now()
        if remaining_seconds > 0:
            self._start_timer(remaining_seconds)
        elif self.is_receiving:
            self._start_timer(IDLE_RECHECK_SECONDS)
        else:
            self.close(CloseReason.IDLE_TIMEOUT)

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
