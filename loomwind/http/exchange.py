"""One request of a client, and the methods that send its response."""

import contextlib
from typing import Protocol

import h11
from msgspec import Struct

from loomwind.http.connection_close import CloseReason
from loomwind.http.errors import RESPONSE_EXCEPTIONS, ResponseError, map_exceptions
from loomwind.http.messages import Headers, HttpRequest
from loomwind.logs import log_state

# Responses that end with their head (RFC 9112, section 6.3), as do those to HEAD.
BODILESS_STATUSES = frozenset({204, 304})

KEEP_ALIVE = "keep-alive"


class BadRequest(Struct, frozen=True):
    """The reason why a request could not be read, and the HTTP status to respond with."""

    status: int
    title: str
    detail: str


class ExchangeConnection(Protocol):
    """What an exchange needs of the connection to the client."""

    @property
    def is_connected(self) -> bool:
        """Return whether the client has closed neither the connection nor its sending side.

        This still holds after this side has closed the connection.
        """

    @property
    def allows_chunks(self) -> bool:
        """Return whether the client's version of HTTP has chunked bodies."""

    @property
    def closes_after_response(self) -> bool:
        """Return whether responses tell the client that the connection closes after them."""

    @property
    def announced_idle_seconds(self) -> int:
        """Return for how long the connection may be reused after the response.

        It is 0 if that is not announced.
        """

    def send_event(self, event: h11.Event) -> None:
        """Encode and write one h11 event."""

    def write_raw(self, data: bytes) -> None:
        """Write bytes that bypass h11."""

    async def drain(self) -> None:
        """Wait until the write buffer has room."""

    def close(self, reason: CloseReason) -> None:
        """Close once written data has been sent."""

    def reset(self) -> None:
        """Close with a reset, once written data was passed to the kernel."""


class Exchange:
    """One request and the methods that send its response.

    ``request`` is None if it could not be read; ``bad_request`` then gives the reason.
    ``started`` tells whether the head of a response was sent; ``extra_headers`` are added to every
    response.
    """

    def __init__(
        self,
        connection: ExchangeConnection,
        request: HttpRequest | None,
        bad_request: BadRequest | None,
        method: str,
    ) -> None:
        """Create an exchange.

        :param method: the method of the request, also if the rest could not be read.
        """
        self._connection = connection
        self._method = method
        self._allows_body = True
        self._ends_with_connection = False
        self._is_finished = False
        self.request = request
        self.bad_request = bad_request
        self.started = False
        self.extra_headers: Headers = ()

    @property
    def is_connected(self) -> bool:
        """Return whether the client has not closed its side; see the connection's property."""
        return self._connection.is_connected

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response, whose body is left out where HTTP allows none.

        :raises ClientDisconnected: the client has disconnected.
        :raises UnsendableResponse: the head is invalid; nothing was sent, so another may follow.
        """
        if status not in BODILESS_STATUSES:
            headers = (*headers, ("content-length", str(len(body))))
        await self.start(status, headers)
        await self.send(body)
        await self.finish()

    async def start(self, status: int, headers: Headers) -> None:
        """Send the response head; without a content-length header the body is sent chunked.

        :raises ClientDisconnected: the client has disconnected.
        :raises UnsendableResponse: the head is invalid; nothing was sent, so another may follow.
        """
        headers = (*headers, *self.extra_headers)
        headers = (*headers, *self._connection_headers(headers))
        with map_exceptions(RESPONSE_EXCEPTIONS):
            raw = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]
            head = h11.Response(status_code=status, headers=raw)
        self._connection.send_event(head)
        self.started = True
        self._allows_body = status not in BODILESS_STATUSES and self._method != "HEAD"
        has_length = any(name.lower() == "content-length" for name, _ in headers)
        self._ends_with_connection = not has_length and not self._connection.allows_chunks
        await self._connection.drain()

    def _connection_headers(self, headers: Headers) -> Headers:
        """Return the headers that say whether, and for how long, the connection stays open."""
        if self._connection.closes_after_response:
            return (("connection", "close"),)
        seconds = self._connection.announced_idle_seconds
        if not seconds or any(name.lower() == KEEP_ALIVE for name, _ in headers):
            return ()
        return ((KEEP_ALIVE, f"timeout={seconds}"),)

    async def send(self, data: bytes) -> None:
        """Send a part of the body in a single write, and wait while the client reads slowly.

        Nothing is sent where HTTP allows no body.
        """
        if data and self._allows_body:
            self._connection.send_event(h11.Data(data=data))
            await self._connection.drain()

    async def finish(self) -> None:
        """Send the end of the body."""
        self._connection.send_event(h11.EndOfMessage())
        self._is_finished = True
        await self._connection.drain()

    def send_raw(self, data: bytes) -> None:
        """Write bytes outside of any response; simulated servers use it to violate the protocol."""
        self._connection.write_raw(data)

    @property
    def ends_with_connection(self) -> bool:
        """Return whether only the connection's end marks the end of the response."""
        return self._ends_with_connection

    @property
    def ends_with_reset(self) -> bool:
        """Return whether the response is incomplete, and an end in order would make it complete."""
        return self.started and self._ends_with_connection and not self._is_finished

    async def ensure_end(self, error: BaseException | None) -> None:
        """Respond if the handler has left the request without a response, and break off a part.

        :param error: how the handler ended; None if it returned.
        """
        if self.is_connected and (error is not None or not self._is_finished):
            log_state("http", "handler-failed", error=repr(error), started=self.started)
        if not self.started:
            reason = b"internal error" if self.is_connected else b"cancelled: client closed"
            # They may be what could not be sent.
            self.extra_headers = ()
            with contextlib.suppress(ResponseError):
                await self.respond(500, (), reason)
        elif not self._is_finished:
            self.abort()

    def abort(self) -> None:
        """Close the connection early, so that the client detects an incomplete response.

        Where only the connection's end ends the response, it is a reset.
        """
        self._connection.close(CloseReason.RESPONSE_CUT)

    def reset(self) -> None:
        """Reset the connection; simulated servers use it to break off a response."""
        self._connection.reset()
