"""What is known of the close of a client's connection, as plain data."""

import enum
from typing import Protocol

from attrs import frozen

from loomwind.http.messages import Headers


class ClosedBy(enum.Enum):
    """Which side ended a connection; ``ERROR`` if it was reset or its peer vanished."""

    CLIENT = "client"
    SERVER = "server"
    ERROR = "error"


class CloseReason(enum.Enum):
    """Why a connection was closed."""

    IDLE_TIMEOUT = "idle-timeout"
    STOPPED_LISTENING = "stopped-listening"
    SHUTDOWN = "shutdown"
    DRAINING = "draining"
    NOT_REUSABLE = "not-reusable"
    RESPONSE_WITHOUT_LENGTH = "response-without-length"
    UNREADABLE_REQUEST = "unreadable-request"
    LINGER_OVER = "linger-over"
    RESPONSE_CUT = "response-cut"
    RESPONSE_RESET = "response-reset"
    ABORTED = "aborted"
    CLIENT_END = "client-end"
    LOST = "lost"


@frozen
class ConnectionPhase:
    """What a connection is doing.

    :ivar is_request_open: whether a request is in progress: being read, or without its response.
    :ivar buffered_bytes: bytes that were read and belong to no request that was handled.
    """

    name: str
    is_request_open: bool
    buffered_bytes: int


@frozen
class ConnectionClose:
    """The close of a client's connection.

    :ivar error: the error of a lost connection; empty otherwise.
    :ivar client: address of the client.
    :ivar phase: what the connection was doing.
    :ivar requests: the number of requests that were read or refused on it.
    :ivar request_id: id of the request in progress, or else of the last one; empty if unknown.
    :ivar is_request_open: whether a request was in progress: being read, or without its response.
    :ivar buffered_bytes: bytes that were read and belong to no request that was handled.
    :ivar unread_bytes: bytes that had arrived and were not read; None if that is unknown.
    :ivar unsent_bytes: bytes of responses that were not passed to the kernel yet.
    :ivar last_byte_age_ms: time since the last byte was read; None if there was none.
    """

    closed_by: ClosedBy
    reason: CloseReason
    error: str
    client: str
    phase: str
    requests: int
    request_id: str
    is_request_open: bool
    buffered_bytes: int
    unread_bytes: int | None
    unsent_bytes: int
    last_byte_age_ms: float | None
    age_ms: float


class CloseObserver(Protocol):
    """Is informed of each close of a connection."""

    def request_id(self, headers: Headers) -> str:
        """Return the id of a request with these headers; empty if it has none."""

    def on_close(self, close: ConnectionClose) -> None:
        """Record a close, without blocking."""
