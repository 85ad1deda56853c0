"""Options of TCP sockets that end a connection which has fallen silent without a reset."""

import asyncio
import socket

from loomwind.clock import MS_PER_SECOND

# The shortest time that TCP_KEEPIDLE and TCP_KEEPINTVL can hold: they count whole seconds.
KEEPALIVE_INTERVAL_SECONDS = 1


def enable_dead_peer_detection(transport: asyncio.BaseTransport, user_timeout_ms: float) -> None:
    """End a connection whose peer acknowledges nothing for so long, neither data nor probes.

    An idle connection is probed each second, so that its end is known before it is used again.
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
    """Return how many probes in a row may go unanswered."""
    return max(1, int(user_timeout_ms / (KEEPALIVE_INTERVAL_SECONDS * MS_PER_SECOND)))
