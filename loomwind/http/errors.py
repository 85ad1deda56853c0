"""Errors of the HTTP layer, and how those of h11 and of sockets are turned into them."""

from collections.abc import Iterator
from contextlib import contextmanager

import h11

from loomwind.errors import LoomwindError


class HttpError(LoomwindError):
    """Base class of the HTTP layer's errors."""


class ConnectFailed(HttpError):
    """No connection could be made: no byte was handed over."""


class ConnectRefused(ConnectFailed):
    """The host answered that nothing listens there: the process is gone, the host is not."""


class ConnectionBroken(HttpError):
    """The connection ended or broke its protocol after bytes were handed over."""


class BodyTruncated(ConnectionBroken):
    """The answer's head came, but its body ended before the announced end."""


class EventTruncated(HttpError):
    """A body ended as its framing says, but in the middle of a server-sent event."""


class ExchangeTimeout(HttpError):
    """The peer did not answer in time after bytes were handed over."""


@contextmanager
def map_exceptions(mapping: dict[type[Exception], type[HttpError]]) -> Iterator[None]:
    """Raise the mapped error in place of one of a lower layer.

    :param mapping: lower error to own error; the first match in order counts.
    """
    try:
        yield
    except tuple(mapping) as error:
        for lower, own in mapping.items():
            if isinstance(error, lower):
                raise own(str(error) or type(error).__name__) from error
        raise


CONNECT_EXCEPTIONS: dict[type[Exception], type[HttpError]] = {
    ConnectionRefusedError: ConnectRefused,
    TimeoutError: ConnectFailed,
    OSError: ConnectFailed,
}
PROTOCOL_EXCEPTIONS: dict[type[Exception], type[HttpError]] = {
    h11.RemoteProtocolError: ConnectionBroken,
    h11.LocalProtocolError: ConnectionBroken,
}
