"""Responses of which a part never ends; they are sent until the peer closes the connection."""

import asyncio

from loomwind import constants
from loomwind.http.server import Exchange

PIECE = b"d" * (16 * constants.KIBIBYTE)


async def send_endless_line(exchange: Exchange, interval_seconds: float) -> None:
    """Send a line of the body that never ends, one piece after each interval.

    :raises ConnectionBroken: the peer has closed the connection.
    """
    await exchange.send(b"data: ")
    while True:
        await asyncio.sleep(interval_seconds)
        await exchange.send(PIECE)
