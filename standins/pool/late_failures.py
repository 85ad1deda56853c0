"""Failures of requests that a stand-in server has accepted, some time after they came."""

import asyncio
from collections.abc import Callable

from loomwind.http.messages import Headers
from loomwind.http.server import Exchange
from standins.pool.faults import ServerFaults

TRICKLE_INTERVAL_SECONDS = 0.05
UNFINISHED_HEAD = b"HTTP/1.1 200 OK\r\nx-filler: "
FILLER = b"a"
COMMENT = b":\n"


async def fail_late(
    exchange: Exchange,
    headers: Headers,
    faults: ServerFaults,
    event: bytes,
    crash: Callable[[], None],
) -> None:
    """Fail a stream as the faults say, before or after the first byte of its response.

    :param headers: those of the response.
    :param event: the event that is sent first if the failure comes after an event.
    :param crash: ends the process.
    """
    if faults.late_after:
        await exchange.start(200, headers)
    if faults.late_after == "event":
        await exchange.send(event)
    await asyncio.sleep(faults.late_seconds)
    if faults.late_failure == "errors":
        await exchange.respond(500, headers, b"failed")
    elif faults.late_failure == "close":
        exchange.abort()
    elif faults.late_failure == "reset":
        exchange.reset()
    elif faults.late_failure == "trickle":
        await _trickle(exchange, is_begun=bool(faults.late_after))
    elif faults.late_failure == "crash":
        crash()
    else:
        await asyncio.Event().wait()


async def _trickle(exchange: Exchange, is_begun: bool) -> None:
    """Send bytes that bring the response no further, until the peer closes the connection."""
    if not is_begun:
        exchange.send_raw(UNFINISHED_HEAD)
    while True:
        await asyncio.sleep(TRICKLE_INTERVAL_SECONDS)
        if is_begun:
            await exchange.send(COMMENT)
        else:
            exchange.send_raw(FILLER)
