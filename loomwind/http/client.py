"""Opens HTTP/1.1 client connections, and pools them for reuse."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable

from loomwind import constants
from loomwind.http.client_connection import ClientConnection, SurplusResponse
from loomwind.http.errors import (
    CONNECT_EXCEPTIONS,
    ConnectionBroken,
    ExchangeTimeout,
    map_exceptions,
)
from loomwind.http.messages import HttpRequest, HttpResponse
from loomwind.http.turns import Turns

# A table of the store with the rows of 5,100 servers takes some 5 MB.
MAX_RESPONSE_BYTES = 16 * constants.MEBIBYTE


class Connector:
    """Opens connections; ``overrides`` maps an address to the one to connect to instead."""

    def __init__(
        self, overrides: dict[str, str] | None = None, user_timeout_ms: float | None = None
    ) -> None:
        """Create a connector.

        :param user_timeout_ms: closes a connection whose peer acknowledges nothing for this long;
            None disables it.
        """
        self._overrides = overrides or {}
        self._turns = Turns()
        self.user_timeout_ms = user_timeout_ms

    def redirect(self, overrides: dict[str, str]) -> None:
        """Replace the overrides; open connections are kept."""
        self._overrides = overrides

    def resolve(self, address: str) -> tuple[str, int]:
        """Return the host and port to connect to for a ``host:port`` address."""
        host, _, port = self._overrides.get(address, address).rpartition(":")
        return host, int(port)

    async def open(self, address: str, timeout: float, id_header: str = "") -> ClientConnection:
        """Open one HTTP connection.

        :param id_header: see :class:`HttpClient`.
        :raises ConnectFailed: it could not be opened within ``timeout`` seconds.
        """
        host, port = self.resolve(address)
        loop = asyncio.get_running_loop()
        with map_exceptions(CONNECT_EXCEPTIONS):
            async with asyncio.timeout(timeout):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(address, self.user_timeout_ms, id_header, self._turns),
                    host,
                    port,
                )
        return connection


class HttpClient:
    """Connection pool: keeps idle connections per address, each used by one exchange at a time.

    :ivar on_idle_connection_error: called with the address of an idle connection that is reset or
        whose peer stops acknowledging; not called for an orderly close.
    :ivar on_surplus_response: called with each response that belongs to another request.
    """

    def __init__(
        self, connector: Connector, max_idle_per_address: int = 64, id_header: str = ""
    ) -> None:
        """Create a pool.

        :param max_idle_per_address: 0 gives each exchange a connection of its own.
        :param id_header: the header, in lower case, of a request that its response repeats; empty
            if responses name no request. It has to be unique among the requests to an address,
            except that a request may be sent again.
        """
        self._connector = connector
        self._id_header = id_header
        self._max_idle_per_address = max_idle_per_address
        self._idle: dict[str, deque[ClientConnection]] = {}
        self.on_idle_connection_error: Callable[[str], None] | None = None
        self.on_surplus_response: Callable[[SurplusResponse], None] | None = None

    async def acquire(self, address: str, timeout: float, request_id: str = "") -> ClientConnection:
        """Return an idle connection, or open one.

        :param request_id: see :meth:`take_idle`.
        :raises ConnectFailed: none could be opened within ``timeout`` seconds.
        """
        return self.take_idle(address, request_id) or await self.open(address, timeout)

    async def open(self, address: str, timeout: float) -> ClientConnection:
        """Open a new connection.

        :raises ConnectFailed: it could not be opened within ``timeout`` seconds.
        """
        connection = await self._connector.open(address, timeout, self._id_header)
        connection.on_surplus_response = self.on_surplus_response
        connection.on_end = self._forget
        return connection

    def _forget(self, connection: ClientConnection) -> None:
        idle = self._idle.get(connection.address, deque())
        with contextlib.suppress(ValueError):
            idle.remove(connection)
        if not idle:
            self._idle.pop(connection.address, None)

    def take_idle(self, address: str, request_id: str = "") -> ClientConnection | None:
        """Remove and return an idle connection that has not expired, or None.

        :param request_id: the id of the request that is to be sent; a connection that has carried
            the same request is not returned.
        """
        idle = self._idle.get(address, deque())
        now = asyncio.get_running_loop().time()
        unsuitable: list[ClientConnection] = []
        found = None
        while idle and found is None:
            connection = idle.pop()
            if not connection.is_idle:
                continue
            if connection.expires_at is not None and now >= connection.expires_at:
                connection.close()
            elif connection.has_carried(request_id):
                unsuitable.append(connection)
            else:
                found = connection
        idle.extend(reversed(unsuitable))
        return found

    def has_idle(self, address: str) -> bool:
        """Return whether there is an open idle connection to an address."""
        idle = self._idle.get(address)
        while idle and not idle[-1].is_idle:
            idle.pop()
        return bool(idle)

    def release(self, connection: ClientConnection) -> None:
        """Return a connection to the pool; one with an unfinished exchange is closed."""
        if not connection.is_idle:
            connection.close()
            return
        idle = self._idle.setdefault(connection.address, deque())
        if len(idle) >= self._max_idle_per_address:
            connection.close()
        else:
            connection.on_idle_connection_error = self.on_idle_connection_error
            idle.append(connection)

    async def request(
        self,
        address: str,
        request: HttpRequest,
        timeout: float,
        max_bytes: int = MAX_RESPONSE_BYTES,
        remaining_seconds: Callable[[], float] | None = None,
    ) -> HttpResponse:
        """Send a request and return the complete response.

        :param remaining_seconds: see :meth:`ClientConnection.send_request`; a request with such a
            limit gets ``timeout`` for the opening of the connection and the exchange together.
        :raises RequestExpired: it may not be sent any more; nothing was sent.

        :raises ConnectFailed: no connection could be opened; nothing was sent.
        :raises ExchangeTimeout: no complete response within ``timeout`` seconds; the request may
            have run.
        :raises ConnectionBroken: the connection broke, or the body exceeds ``max_bytes``; the
            request may have run.
        """
        request_id = request.header(self._id_header) or ""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        connection = await self.acquire(address, timeout, request_id)
        if remaining_seconds is None:
            deadline = loop.time() + timeout
        try:
            async with asyncio.timeout_at(deadline):
                connection.send_request(request, remaining_seconds)
                head = await connection.read_head()
                body = bytearray()
                while data := await connection.read_body():
                    body += data
                    if len(body) > max_bytes:
                        raise ConnectionBroken("the answer is too large")
        except TimeoutError as error:
            raise ExchangeTimeout(f"no answer from {address} in {timeout} s") from error
        finally:
            self.release(connection)
        return HttpResponse(head.status, head.headers, bytes(body))

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()
