"""TCP sockets: read, detect a peer that vanished, reset a connection, count unread bytes."""

import asyncio
import fcntl
import socket
import struct
import termios
from asyncio.trsock import TransportSocket

from loomwind import constants
from loomwind.clock import MS_PER_SECOND

# The minimum of TCP_KEEPIDLE and TCP_KEEPINTVL, which are in whole seconds.
KEEPALIVE_INTERVAL_SECONDS = 1


class ReadBuffer(asyncio.BufferedProtocol):
    """A protocol whose connections read into one buffer, and process each read before the next.

    It serves connections of a single thread.
    """

    _buffer = memoryview(bytearray(constants.READ_BYTES))

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to read into."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Process what was read."""
        self.data_received(bytes(self._buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Process data; has to be overridden."""
        raise NotImplementedError


def enable_dead_peer_detection(transport: asyncio.BaseTransport, user_timeout_ms: float) -> None:
    """Close the connection if its peer acknowledges neither data nor probes for the timeout.

    An idle connection is probed every second, so that a dead peer is detected before the connection
    is reused. No-op on platforms without ``TCP_USER_TIMEOUT``.
    """
    raw = transport.get_extra_info("socket")
    if raw is None or not hasattr(socket, "TCP_USER_TIMEOUT"):
        return
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_SECONDS)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, keepalive_probe_count(user_timeout_ms))
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(user_timeout_ms))


def keepalive_probe_count(user_timeout_ms: float) -> int:
    """Return the number of unanswered keepalive probes after which the peer counts as dead."""
    return max(1, int(user_timeout_ms / (KEEPALIVE_INTERVAL_SECONDS * MS_PER_SECOND)))


def limit_delivery(transport: asyncio.BaseTransport, timeout_ms: float) -> None:
    """Have the kernel drop data that its peer has not acknowledged within the timeout.

    This holds while the process is stopped, and after it has ended. No-op on platforms without
    ``TCP_USER_TIMEOUT``.
    """
    raw = _open_socket(transport)
    if raw is not None and hasattr(socket, "TCP_USER_TIMEOUT"):
        # 0 would mean the kernel's default, which is many minutes.
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, max(1, int(timeout_ms)))


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Have the connection reset when it is closed, instead of ended in order."""
    raw = _open_socket(transport)
    if raw is not None:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def _open_socket(transport: asyncio.BaseTransport) -> TransportSocket | None:
    """Return the socket of a transport; None if it has none, or has closed it."""
    raw: TransportSocket | None = transport.get_extra_info("socket")
    return raw if raw is not None and raw.fileno() >= 0 else None


def unread_bytes(transport: asyncio.BaseTransport) -> int | None:
    """Return how many bytes have arrived and were not read; None if the kernel does not say."""
    raw = transport.get_extra_info("socket")
    if raw is None:
        return None
    try:
        answer = fcntl.ioctl(raw.fileno(), termios.FIONREAD, bytes(struct.calcsize("i")))
    # A closed socket has a negative descriptor.
    except (OSError, ValueError):
        return None
    count: int = struct.unpack("i", answer)[0]
    return count
