"""HTTP/1.1 server with one h11 connection per client connection, one request at a time on each.

The complete request body is read, within limits, before the handler is called. The handler responds
through an :class:`Exchange`. The handler's task is cancelled when the client disconnects.
"""

import asyncio
from collections.abc import Awaitable, Callable

from loomwind.http.connection_close import CloseObserver, CloseReason
from loomwind.http.exchange import BadRequest, Exchange
from loomwind.http.limits import ServerLimits
from loomwind.http.server_connection import ServerConnection
from loomwind.http.turns import Turns

__all__ = ["BadRequest", "Exchange", "Handler", "HttpServer", "ServerLimits"]

END_POLL_SECONDS = 0.01

Handler = Callable[[Exchange], Awaitable[None]]


class HttpServer:
    """Listens on one address and calls ``handler`` for each request.

    :ivar closing: connections are closed after the current response.
    :ivar draining: responses ask clients to open a new connection; requests are still accepted.
    :ivar turns: shared by its connections when they have much to parse.
    """

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits | None = None,
        close_observer: CloseObserver | None = None,
    ) -> None:
        self.handler = handler
        self.close_observer = close_observer
        self._limits = limits or ServerLimits()
        self.connections: set[ServerConnection] = set()
        self.turns = Turns()
        self.closing = False
        self.draining = False
        self._server: asyncio.Server | None = None

    @property
    def limits(self) -> ServerLimits:
        """Return the limits of requests that begin now."""
        return self._limits

    @limits.setter
    def limits(self, limits: ServerLimits) -> None:
        self._limits = limits
        for connection in self.connections:
            connection.raise_idle_timeout()

    async def start(self, host: str, port: int) -> None:
        """Start listening; port 0 picks a free port, see :attr:`port`."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self), host, port, backlog=1024
        )

    @property
    def port(self) -> int:
        """Return the listening port."""
        assert self._server is not None
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    @property
    def open_exchanges(self) -> int:
        """Return the number of requests that were read and whose exchange has not ended."""
        return sum(connection.is_handling for connection in self.connections)

    @property
    def is_receiving(self) -> bool:
        """Return whether a part of a request has arrived on some connection."""
        return any(connection.is_receiving for connection in self.connections)

    def start_draining(self) -> None:
        """Keep serving, but have responses close their connection, so that clients reconnect."""
        self.draining = True

    def stop_listening(self) -> None:
        """Accept no new connections, close idle ones, and let requests in progress finish.

        A request that has arrived counts as one in progress.
        """
        self._refuse_connections()
        for connection in list(self.connections):
            if connection.is_idle and not connection.is_receiving:
                connection.close(CloseReason.STOPPED_LISTENING)

    async def end_exchanges(self, timeout_seconds: float) -> None:
        """Cancel the handlers of all requests, and wait while those without a response get one.

        :param timeout_seconds: the longest wait, for clients that read slowly.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_seconds
        for connection in self.connections:
            connection.cancel_handler()
        while self.open_exchanges and loop.time() < deadline:
            await asyncio.sleep(END_POLL_SECONDS)

    @property
    def is_listening(self) -> bool:
        """Return whether new connections are accepted."""
        return self._server is not None and self._server.is_serving()

    def abort(self) -> None:
        """Stop listening and abort all connections; the server can be started again."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()

    def close(self) -> None:
        """Stop listening and close all connections, without waiting for requests in progress."""
        self._refuse_connections()
        for connection in list(self.connections):
            connection.close(CloseReason.SHUTDOWN)

    def _refuse_connections(self) -> None:
        self.closing = True
        if self._server is not None:
            self._server.close()
