"""A connection on which several requests are sent before the first reply is read."""

import contextlib
import socket

import h11

from features.support.caller import TIMEOUT_MARGIN_SECONDS, Reply, Request, has_input

READ_BYTES = 65_536


class PipelinedConnection:
    """A kept connection for batches of requests; a new one is opened when it has ended."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._socket: socket.socket | None = None
        self._received = b""

    @property
    def is_open(self) -> bool:
        """Whether the next batch goes to a connection that was used before."""
        return self._socket is not None

    @property
    def has_ended(self) -> bool:
        """Whether the daemon has closed the connection."""
        return self._socket is not None and has_input(self._socket)

    def send(self, requests: list[Request]) -> list[Reply]:
        """Send all requests at once and return their replies.

        The requests behind a reply that ends the connection have replies with status 0.
        """
        exchanges = [_begin(request) for request in requests]
        try:
            if self._socket is None:
                self._socket = socket.create_connection(self._address, TIMEOUT_MARGIN_SECONDS)
        except OSError:
            return [_no_reply(request, is_sent=False) for request in requests]
        with contextlib.suppress(OSError):
            self._socket.sendall(b"".join(data for _, data in exchanges))
        replies = []
        for request, (exchange, _) in zip(requests, exchanges, strict=True):
            replies.append(self._read(request, exchange) if self.is_open else _no_reply(request))
            if not replies[-1].is_complete or replies[-1].headers.get("connection") == "close":
                self.close()
        return replies

    def close(self) -> None:
        """Close the connection."""
        if self._socket is not None:
            self._socket.close()
        self._socket = None
        self._received = b""

    def _read(self, request: Request, exchange: h11.Connection) -> Reply:
        """Read one reply; what was received beyond it is kept for the next one."""
        status, headers, body, is_complete = 0, {}, b"", False
        if self._received:
            exchange.receive_data(self._received)
        with contextlib.suppress(OSError, h11.RemoteProtocolError):
            while not is_complete:
                event = self._next_event(exchange)
                if isinstance(event, h11.Response):
                    status = event.status_code
                    headers = {n.decode(): v.decode() for n, v in event.headers}
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    is_complete = True
                elif isinstance(event, h11.ConnectionClosed):
                    break
        self._received = exchange.trailing_data[0]
        return Reply(request.headers["x-request-id"], status, headers, body, is_complete)

    def _next_event(self, exchange: h11.Connection) -> object:
        assert self._socket is not None
        while (event := exchange.next_event()) is h11.NEED_DATA:
            exchange.receive_data(self._socket.recv(READ_BYTES))
        return event


def _begin(request: Request) -> tuple[h11.Connection, bytes]:
    """Return the client's side of one exchange, and the request's bytes."""
    exchange = h11.Connection(h11.CLIENT)
    headers = [*request.headers.items(), ("content-length", str(len(request.body)))]
    head = h11.Request(method=request.method, target=request.path, headers=headers)
    parts = (head, h11.Data(data=request.body), h11.EndOfMessage())
    return exchange, b"".join(exchange.send(part) or b"" for part in parts)


def _no_reply(request: Request, is_sent: bool = True) -> Reply:
    return Reply(request.headers["x-request-id"], 0, {}, b"", False, is_sent=is_sent)
