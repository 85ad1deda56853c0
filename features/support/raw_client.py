"""A client that sends bytes as they are, and parses what comes back until the connection ends."""

import asyncio
from collections.abc import Sequence

import h11
from attrs import field, frozen

LOCALHOST = "127.0.0.1"


@frozen
class RawReply:
    """A response as received; ``status`` is 0 if the connection ended before its head."""

    status: int = 0
    headers: dict[str, str] = field(factory=dict)
    body: bytes = b""
    is_complete: bool = False


async def exchange_bytes(port: int, data: bytes, half_close: bool = False) -> bytes:
    """Send bytes and return all that is received until the server closes the connection.

    :param half_close: close the sending side right after the bytes.
    """
    reader, writer = await asyncio.open_connection(LOCALHOST, port)
    writer.write(data)
    if half_close:
        writer.write_eof()
    try:
        return await reader.read()
    finally:
        writer.close()


def parse_replies(received: bytes, methods: Sequence[str]) -> list[RawReply]:
    """Return the responses to requests with these methods, in order."""
    replies = []
    for method in methods:
        reply, received = _parse_reply(received, method)
        replies.append(reply)
    return replies


def _parse_reply(received: bytes, method: str) -> tuple[RawReply, bytes]:
    """Return the first response, and the bytes after it."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method=method, target="/", headers=[("host", "h")]))
    parser.send(h11.EndOfMessage())
    parser.receive_data(received)
    parser.receive_data(b"")
    status, headers, body = 0, dict[str, str](), b""
    try:
        while True:
            event = parser.next_event()
            if isinstance(event, h11.Response):
                status = event.status_code
                headers = {name.decode(): value.decode() for name, value in event.headers}
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return RawReply(status, headers, body, True), parser.trailing_data[0]
    except h11.RemoteProtocolError:
        return RawReply(status, headers, body), b""
