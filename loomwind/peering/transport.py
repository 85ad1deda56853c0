"""The peer transport: a server for incoming messages, and a client for each peer address.

A client connects when it has a message to send. If it cannot connect, a one-way message is dropped,
since its sender repeats it on its own, and a call fails immediately.
"""

import asyncio
from collections.abc import Awaitable, Callable

from loomwind import constants
from loomwind.http.client import Connector
from loomwind.http.sockets import enable_dead_peer_detection
from loomwind.messages import AnyMessage
from loomwind.metrics import Metrics
from loomwind.peering.errors import BadFrame, PeerUnreachable
from loomwind.peering.frames import Envelope, FrameReader, encode

MessageHandler = Callable[[AnyMessage], Awaitable[AnyMessage | None]]


class _IncomingConnection(asyncio.Protocol):
    """A connection accepted from a peer: handles its messages and answers its calls."""

    def __init__(self, peer_transport: "PeerTransport") -> None:
        self._peer_transport = peer_transport
        self._reader = FrameReader()
        self._transport: asyncio.Transport | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._peer_transport.incoming.add(transport)
        self._peer_transport.enable_dead_peer_detection(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._transport is not None:
            self._peer_transport.incoming.discard(self._transport)

    def data_received(self, data: bytes) -> None:
        try:
            envelopes = self._reader.feed(data)
        except BadFrame:
            if self._transport is not None:
                self._transport.abort()
            return
        for envelope in envelopes:
            task = asyncio.get_running_loop().create_task(self._handle(envelope))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _handle(self, envelope: Envelope) -> None:
        answer = await self._peer_transport.handler(envelope.message)
        if answer is None or not envelope.call or self._transport is None:
            return
        frame = encode(Envelope(envelope.call, True, answer))
        self._peer_transport.record_sent(answer, len(frame))
        if not self._transport.is_closing():
            self._transport.write(frame)


class _OutgoingConnection(asyncio.Protocol):
    """A connection to a peer: matches received answers to pending calls."""

    def __init__(self, peer_transport: "PeerTransport") -> None:
        self._peer_transport = peer_transport
        self._reader = FrameReader()
        self.transport: asyncio.Transport | None = None
        self.calls: dict[int, asyncio.Future[AnyMessage]] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._peer_transport.enable_dead_peer_detection(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        for future in self.calls.values():
            if not future.done():
                future.set_exception(PeerUnreachable("connection closed"))

    def data_received(self, data: bytes) -> None:
        try:
            envelopes = self._reader.feed(data)
        except BadFrame:
            if self.transport is not None:
                self.transport.abort()
            return
        for envelope in envelopes:
            future = self.calls.get(envelope.call)
            if future is not None and not future.done():
                future.set_result(envelope.message)


class PeerClient:
    """Sends messages to one peer address; reconnects on use if the connection was lost."""

    def __init__(self, address: str, peer_transport: "PeerTransport") -> None:
        self._address = address
        self._peer_transport = peer_transport
        self._connection: _OutgoingConnection | None = None
        self._connecting: asyncio.Task[_OutgoingConnection] | None = None
        self._next_call_id = 1

    @property
    def transport(self) -> asyncio.Transport | None:
        """Return the current connection, or None."""
        return self._connection.transport if self._connection is not None else None

    async def _connect_if_needed(self) -> _OutgoingConnection:
        connection = self._connection
        if (
            connection is not None
            and connection.transport is not None
            and not connection.transport.is_closing()
        ):
            return connection
        if self._connecting is None or self._connecting.done():
            self._connecting = asyncio.get_running_loop().create_task(self._connect())
        connecting = self._connecting
        task = asyncio.current_task()
        try:
            return await asyncio.shield(connecting)
        except asyncio.CancelledError:
            # close() has cancelled the connection, not the tasks that wait for it.
            if connecting.cancelled() and task is not None and not task.cancelling():
                raise PeerUnreachable(f"{self._address}: disconnected") from None
            raise

    async def _connect(self) -> _OutgoingConnection:
        host, port = self._peer_transport.connector.resolve(self._address)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(constants.PEER_CONNECT_TIMEOUT_SECONDS):
                _, connection = await loop.create_connection(
                    lambda: _OutgoingConnection(self._peer_transport), host, port
                )
        except ConnectionRefusedError as error:
            raise PeerUnreachable(
                f"{self._address} refused the connection", refused=True
            ) from error
        except OSError as error:
            raise PeerUnreachable(f"{self._address}: {error}") from error
        self._connection = connection
        return connection

    def _write(self, connection: _OutgoingConnection, envelope: Envelope) -> None:
        if connection.transport is None or connection.transport.is_closing():
            raise PeerUnreachable("connection closed")
        if connection.transport.get_write_buffer_size() > constants.PEER_BACKLOG_MAX_BYTES:
            connection.transport.abort()
            raise PeerUnreachable("send buffer full: the peer does not read")
        frame = encode(envelope)
        self._peer_transport.record_sent(envelope.message, len(frame))
        connection.transport.write(frame)

    async def send(self, message: AnyMessage) -> None:
        """Send a one-way message.

        :raises PeerUnreachable: the connection failed.
        """
        connection = await self._connect_if_needed()
        self._write(connection, Envelope(0, False, message))

    async def call(self, message: AnyMessage, timeout: float) -> AnyMessage:
        """Send a message and return the answer.

        :raises PeerUnreachable: no answer in ``timeout`` seconds.
        """
        call_id = self._next_call_id
        self._next_call_id += 1
        connection: _OutgoingConnection | None = None
        try:
            async with asyncio.timeout(timeout):
                connection = await self._connect_if_needed()
                future: asyncio.Future[AnyMessage] = asyncio.get_running_loop().create_future()
                connection.calls[call_id] = future
                self._write(connection, Envelope(call_id, False, message))
                return await future
        except TimeoutError as error:
            raise PeerUnreachable(f"{self._address} did not answer in {timeout} s") from error
        finally:
            if connection is not None:
                connection.calls.pop(call_id, None)

    def close(self) -> None:
        """Close the connection."""
        if self._connecting is not None:
            self._connecting.cancel()
        if self._connection is not None and self._connection.transport is not None:
            self._connection.transport.abort()


class PeerTransport:
    """Exchanges messages with the other daemons."""

    def __init__(self, handler: MessageHandler, connector: Connector, metrics: Metrics) -> None:
        self.handler = handler
        self.connector = connector
        self.incoming: set[asyncio.Transport] = set()
        self._metrics = metrics
        self._clients: dict[str, PeerClient] = {}
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._closed = False

    async def start(self, host: str, port: int) -> None:
        """Start listening for peers."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _IncomingConnection(self), host, port)

    @property
    def port(self) -> int:
        """Return the listening port."""
        assert self._server is not None
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    def enable_dead_peer_detection(self, transport: asyncio.Transport) -> None:
        """Enable dead peer detection on a connection if the connector has a user timeout."""
        if self.connector.user_timeout_ms is not None:
            enable_dead_peer_detection(transport, self.connector.user_timeout_ms)

    def record_sent(self, message: AnyMessage, size: int) -> None:
        """Count a sent message of ``size`` bytes in the metrics."""
        self._metrics.peer_messages.labels(type(message).__name__).inc()
        self._metrics.peer_bytes.inc(size)

    def _client(self, address: str) -> PeerClient:
        if address not in self._clients:
            self._clients[address] = PeerClient(address, self)
        return self._clients[address]

    def send(self, address: str, message: AnyMessage) -> None:
        """Send a one-way message in the background; it is dropped if the connection fails."""
        if self._closed:
            return
        task = asyncio.get_running_loop().create_task(self._send(address, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, address: str, message: AnyMessage) -> None:
        try:
            await self._client(address).send(message)
        except PeerUnreachable:
            return

    async def call(
        self,
        address: str,
        message: AnyMessage,
        timeout: float = constants.PEER_REQUEST_TIMEOUT_SECONDS,
    ) -> AnyMessage:
        """Send a message and return the answer.

        :raises PeerUnreachable: no answer in ``timeout`` seconds.
        """
        return await self._client(address).call(message, timeout)

    def connection_to(self, address: str) -> asyncio.Transport | None:
        """Return the current connection to an address, or None."""
        return self._client(address).transport

    def disconnect(self, address: str) -> None:
        """Close the connection to an address that is no longer needed."""
        client = self._clients.pop(address, None)
        if client is not None:
            client.close()

    def close(self) -> None:
        """Close all connections and stop listening."""
        self._closed = True
        for task in list(self._tasks):
            task.cancel()
        for client in self._clients.values():
            client.close()
        for transport in list(self.incoming):
            transport.abort()
        if self._server is not None:
            self._server.close()
