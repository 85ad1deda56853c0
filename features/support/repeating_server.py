"""A server whose connections carry each response a second time, where the next one is due."""

import asyncio
from collections import deque
from collections.abc import Iterable

from attrs import define, field, frozen

LOCALHOST = "127.0.0.1"


@frozen
class ScriptedResponse:
    """A response to any request with one path."""

    status: int
    body: bytes = b"{}"

    def encode(self, request_id: str) -> bytes:
        """Return it as sent for a request, whose id is empty if it has none."""
        headers = ["x-response-stamp: 1", f"content-length: {len(self.body)}"]
        if request_id:
            headers.append(f"x-request-id: {request_id}")
        return "\r\n".join([f"HTTP/1.1 {self.status} Scripted", *headers, "", ""]).encode() + (
            self.body
        )


@define
class RepeatingServer:
    """Answers by path; before each response it repeats the one before on that connection.

    :ivar received: the paths of all requests, in order.
    :ivar open_connections: the number of its connections that have not ended.
    """

    received: list[str] = field(factory=list)
    open_connections: int = 0
    _responses: dict[str, deque[ScriptedResponse]] = field(factory=dict)
    _server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Return its ``host:port``."""
        assert self._server is not None
        return f"{LOCALHOST}:{self._server.sockets[0].getsockname()[1]}"

    @property
    def port(self) -> int:
        """Return its port."""
        return int(self.address.rpartition(":")[2])

    def answer(self, path: str, responses: Iterable[ScriptedResponse]) -> None:
        """Set the responses to requests with a path; the last one is for all later requests."""
        self._responses[path] = deque(responses)

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, LOCALHOST, 0)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open_connections += 1
        previous = b""
        try:
            while True:
                response = await self._respond(reader)
                writer.write(previous + response)
                previous = response
        except (asyncio.IncompleteReadError, ConnectionError):
            pass  # The client has closed the connection.
        finally:
            writer.close()
            self.open_connections -= 1

    async def _respond(self, reader: asyncio.StreamReader) -> bytes:
        """Read a request and return the response to it.

        :raises asyncio.IncompleteReadError: the connection has ended.
        """
        lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
        await reader.readexactly(int(headers.get("content-length", 0)))
        path = lines[0].split()[1]
        self.received.append(path)
        responses = self._responses[path]
        response = responses.popleft() if len(responses) > 1 else responses[0]
        return response.encode(headers.get("x-request-id", ""))
