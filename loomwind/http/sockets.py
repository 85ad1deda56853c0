"""Options of TCP sockets that end a connection which has fallen silent without a reset."""

import asyncio
import socket

from loomwind.clock import MS_PER_SECOND

# The shortest time that TCP_KEEPIDLE and TCP_KEEPINTVL can hold: they count whole seconds.
PROBE_AFTER_S = 1


def end_when_silent(transport: asyncio.BaseTransport, silence_ms: float) -> None:
    """End a connection whose peer acknowledges nothing for so long, neither data nor probes.

    An idle connection is probed each second, so that its end is known before it is used again.
    """
    raw = transport.get_extra_info("socket")
    if raw is None or not hasattr(socket, "TCP_USER_TIMEOUT"):
        return
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_AFTER_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes_within(silence_ms))
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(silence_ms))


def probes_within(silence_ms: float) -> int:
    """Return how many probes in a row may go unanswered."""
    return max(1, int(silence_ms / (PROBE_AFTER_S * MS_PER_SECOND)))
