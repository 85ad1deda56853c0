"""Responses with which a stand-in server rejects a request before it runs."""

import asyncio

from loomwind.http.messages import Headers
from loomwind.http.server import Exchange
from standins.endless import send_endless_line
from standins.pool.faults import ServerFaults

ANNOUNCED_BYTES = 2


async def refuse(exchange: Exchange, status: int, headers: Headers, faults: ServerFaults) -> None:
    """Send the response, with the faults that its body is to have."""
    if faults.refusal_body == "endless":
        await exchange.start(status, headers)
        await send_endless_line(exchange, faults.event_seconds)
    elif faults.refusal_body:
        await exchange.start(status, (*headers, ("content-length", str(ANNOUNCED_BYTES))))
        if faults.refusal_body == "missing":
            await asyncio.Event().wait()
        exchange.abort()
    else:
        await exchange.respond(status, headers, b"")
