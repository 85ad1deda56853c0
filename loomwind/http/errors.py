"""Errors of the HTTP layer, and the mapping of h11 and socket errors to them."""

from collections.abc import Iterator
from contextlib import contextmanager

import h11

from loomwind.errors import LoomwindError


class HttpError(LoomwindError):
    """Base class of the errors of exchanges with servers."""


class ConnectFailed(HttpError):
    """No connection could be opened; nothing was sent."""


class ConnectRefused(ConnectFailed):
    """The host refused the connection: it is up, but no process listens on the port."""


class UnsendableRequest(HttpError):
    """HTTP does not allow the request to be sent; nothing was sent."""


class RequestRepeated(UnsendableRequest):
    """The connection has carried the request before; nothing was sent."""


class ConnectionEnded(HttpError):
    """The connection ended before the request was sent on it; nothing was sent."""


class RequestExpired(HttpError):
    """The time in which the request may be sent ended before it was written; nothing was sent."""


class ConnectionBroken(HttpError):
    """The connection ended or violated the protocol after data may have been sent."""


class ResponseMissing(ConnectionBroken):
    """The server closed the connection before it sent any part of a response."""


class BodyTruncated(ConnectionBroken):
    """The response head arrived, but the connection ended before the end of the body."""


class BodyFragmented(ConnectionBroken):
    """The body comes in too many small chunks."""


class EventTruncated(HttpError):
    """The body ended as its framing says, but in the middle of a server-sent event."""


class EventTooLarge(HttpError):
    """A server-sent event exceeds the size limit before its end."""


class ExchangeTimeout(HttpError):
    """The peer did not respond in time after data was sent."""


class ResponseError(LoomwindError):
    """Base class of the errors of responding to a client.

    They are no :class:`HttpError`: a lost connection to a server says nothing about the client.
    """


class ClientDisconnected(ResponseError):
    """The client has closed its connection before its response was complete."""


class UnsendableResponse(ResponseError):
    """HTTP does not allow the response, or this part of it, to be sent."""


@contextmanager
def map_exceptions(mapping: dict[type[Exception], type[LoomwindError]]) -> Iterator[None]:
    """Translate errors of a lower layer into errors of this one.

    :param mapping: from lower-layer errors to this layer's; the first match in order applies.
    """
    try:
        yield
    except tuple(mapping) as error:
        for lower, own in mapping.items():
            if isinstance(error, lower):
                raise own(str(error) or type(error).__name__) from error
        raise


CONNECT_EXCEPTIONS: dict[type[Exception], type[LoomwindError]] = {
    ConnectionRefusedError: ConnectRefused,
    TimeoutError: ConnectFailed,
    OSError: ConnectFailed,
    # A host name that cannot be encoded.
    UnicodeError: ConnectFailed,
}
REQUEST_EXCEPTIONS: dict[type[Exception], type[LoomwindError]] = {
    h11.LocalProtocolError: UnsendableRequest,
    UnicodeEncodeError: UnsendableRequest,
}
PROTOCOL_EXCEPTIONS: dict[type[Exception], type[LoomwindError]] = {
    h11.RemoteProtocolError: ConnectionBroken,
    h11.LocalProtocolError: ConnectionBroken,
}
RESPONSE_EXCEPTIONS: dict[type[Exception], type[LoomwindError]] = {
    h11.LocalProtocolError: UnsendableResponse,
    UnicodeEncodeError: UnsendableResponse,
}
