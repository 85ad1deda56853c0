"""A server that answers with given bytes, and counts how often it got and ran each request."""

import asyncio
import enum
import socket
import struct
from collections import Counter
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager

from attrs import define, field, frozen

from loomwind.http.messages import find_header

LOCALHOST = "127.0.0.1"
# Turns of the event loop within which the other end of a connection reads what was written.
TURNS_TO_READ = 5
# Has close() reset the connection.
LINGER_ZERO = struct.pack("ii", 1, 0)


class End(enum.Enum):
    """How an exchange ends that has no whole answer."""

    CLOSE = enum.auto()
    RESET = enum.auto()
    SILENCE = enum.auto()


@frozen
class Late:
    """Bytes that come before the next answer on the same connection."""

    data: bytes


@frozen
class Deadline:
    """Has the daemon end all requests, as at their deadlines, while the exchange goes on."""


Part = bytes | Late | Deadline | End


@frozen
class Script:
    """What a server does with a request.

    :ivar parts: returns what it sends, by the id of the request; bytes come in separate segments.
    :ivar runs: whether it runs the request.
    """

    parts: Callable[[str], Sequence[Part]]
    runs: bool = True


@define
class ScriptedServer:
    """Counts requests by their id, and follows one script for each send of a request.

    :ivar scripts: for the first sends of a request, in order; the last one is repeated.
    :ivar end_requests: ends all requests; called when one gets nothing, or nothing further.
    """

    scripts: Sequence[Script]
    end_requests: Callable[[], None]
    port: int = 0
    sends: Counter[str] = field(factory=Counter)
    runs: Counter[str] = field(factory=Counter)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection until one side ends it."""
        late = b""
        stream_socket = writer.get_extra_info("socket")
        stream_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while request_id := await _read_request(reader):
                script = self.scripts[min(self.sends[request_id], len(self.scripts) - 1)]
                self.sends[request_id] += 1
                self.runs[request_id] += script.runs
                writer.write(late)
                late = b""
                for part in script.parts(request_id):
                    match part:
                        case bytes():
                            writer.write(part)
                            await _let_others_read()
                        case Late(data):
                            late = data
                        case Deadline():
                            self.end_requests()
                            await _let_others_read()
                        case End.SILENCE:
                            self.end_requests()
                            await reader.read()
                            return
                        case End.RESET:
                            linger = (socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
                            stream_socket.setsockopt(*linger)
                            return
                        case End.CLOSE:
                            return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


@asynccontextmanager
async def scripted_server(
    scripts: Sequence[Script], end_requests: Callable[[], None] = lambda: None
) -> AsyncIterator[ScriptedServer]:
    """Run a server that follows the scripts."""
    scripted = ScriptedServer(scripts, end_requests)
    server = await asyncio.start_server(scripted.serve, LOCALHOST, 0)
    scripted.port = server.sockets[0].getsockname()[1]
    try:
        yield scripted
    finally:
        server.close()


async def _read_request(reader: asyncio.StreamReader) -> str:
    """Read a request with a length; returns its id, or "-" if it has none."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")[1:-2]
    headers = tuple(
        (name.lower(), value) for name, value in (each.split(": ", 1) for each in lines)
    )
    await reader.readexactly(int(find_header(headers, "content-length") or 0))
    return find_header(headers, "x-request-id") or "-"


async def _let_others_read() -> None:
    for _ in range(TURNS_TO_READ):
        await asyncio.sleep(0)
