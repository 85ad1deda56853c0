"""HTTP callers for tests: single or concurrent blocking requests and their replies."""

import http.client
import json
import select
import socket
import time
import uuid
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any, ParamSpec, TypeVar

from msgspec import Struct

Arguments = ParamSpec("Arguments")
Result = TypeVar("Result")

MAX_CALLERS = 128
TIMEOUT_MARGIN_SECONDS = 30.0


class Reply(Struct, frozen=True):
    """A reply as received; ``status`` is 0 if the connection ended without a response.

    :param is_complete: whether the body was received completely.
    :param seconds: time until the response head arrived.
    :param timeout_seconds: timeout of the request.
    :param is_sent: whether there was a connection to send the request on.
    """

    request_id: str
    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool
    seconds: float = 0.0
    timeout_seconds: float = 0.0
    is_sent: bool = True

    @property
    def late_seconds(self) -> float:
        """Time by which the response head missed the caller's deadline."""
        return max(0.0, self.seconds - self.timeout_seconds)

    @property
    def outcome(self) -> str:
        """The outcome header of a rejection; empty if there is none."""
        return self.headers.get("x-outcome", "")

    def problem(self) -> dict[str, Any]:
        """Return the decoded JSON problem of a rejection."""
        problem: dict[str, Any] = json.loads(self.body)
        return problem

    def text(self) -> str:
        """Return the generated text of a chat response, streamed or not."""
        if self.headers.get("content-type", "").startswith("text/event-stream"):
            events = [line[6:] for line in self.body.split(b"\n") if line.startswith(b"data: {")]
            deltas = [json.loads(event).get("choices") for event in events]
            return "".join(d[0]["delta"]["content"] for d in deltas if d)
        content: str = json.loads(self.body)["choices"][0]["message"]["content"]
        return content


class Request(Struct, frozen=True):
    """An HTTP request and its timeout."""

    address: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    timeout_seconds: float


def chat(
    address: str,
    model: str,
    prompt: str = "hello",
    stream: bool = False,
    timeout_seconds: float = 30.0,
    max_tokens: int = 8,
    **headers: str,
) -> Request:
    """Return a chat-completions request."""
    message = {"role": "user", "content": prompt}
    body = {"model": model, "messages": [message], "stream": stream, "max_tokens": max_tokens}
    fields = {name.replace("_", "-"): value for name, value in headers.items()}
    fields |= {"content-type": "application/json", "request-timeout": str(timeout_seconds)}
    fields.setdefault("x-request-id", uuid.uuid4().hex)
    data = json.dumps(body).encode()
    return Request(address, "POST", "/v1/chat/completions", fields, data, timeout_seconds)


def plain(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    timeout_seconds: float = 10.0,
    **headers: str,
) -> Request:
    """Return an HTTP request with a request id and a timeout header."""
    fields = {name.replace("_", "-"): value for name, value in headers.items()}
    fields |= {"request-timeout": str(timeout_seconds)}
    fields.setdefault("x-request-id", uuid.uuid4().hex)
    return Request(address, method, path, fields, body, timeout_seconds)


def send(request: Request) -> Reply:
    """Send a request and return its reply; connection errors give a reply with status 0."""
    connection = http.client.HTTPConnection(
        request.address, timeout=request.timeout_seconds + TIMEOUT_MARGIN_SECONDS
    )
    try:
        return _exchange(connection, request)
    finally:
        connection.close()


class KeptConnection:
    """A connection that is used for one request after the other until it ends."""

    def __init__(self, address: str) -> None:
        self._connection = http.client.HTTPConnection(address, timeout=TIMEOUT_MARGIN_SECONDS)

    @property
    def is_open(self) -> bool:
        """Whether the next request goes to a connection that was used before."""
        return self._connection.sock is not None

    @property
    def has_ended(self) -> bool:
        """Whether the daemon has closed the connection."""
        return self._connection.sock is not None and has_input(self._connection.sock)

    def send(self, request: Request) -> Reply:
        """Send a request and return its reply, as :func:`send` does."""
        reply = _exchange(self._connection, request)
        if not reply.is_complete:
            self._connection.close()
        return reply

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()


def has_input(connection: socket.socket) -> bool:
    """Whether a connection can be read; without a pending request that means that it has ended."""
    poll = select.poll()
    poll.register(connection, select.POLLIN)
    return bool(poll.poll(0))


def _exchange(connection: http.client.HTTPConnection, request: Request) -> Reply:
    request_id = request.headers.get("x-request-id", "")
    started = time.monotonic()
    try:
        if connection.sock is None:
            connection.connect()
    except OSError:
        return Reply(request_id, 0, {}, b"", False, is_sent=False)
    try:
        connection.request(request.method, request.path, request.body, request.headers)
        response = connection.getresponse()
        seconds = time.monotonic() - started
        headers = {name.lower(): value for name, value in response.getheaders()}
        try:
            body, is_complete = response.read(), True
        except (http.client.IncompleteRead, OSError) as error:
            body, is_complete = getattr(error, "partial", b""), False
        timeout = request.timeout_seconds
        return Reply(request_id, response.status, headers, body, is_complete, seconds, timeout)
    except (OSError, http.client.HTTPException):
        return Reply(request_id, 0, {}, b"", False)


def disconnect_during_response(request: Request) -> None:
    """Send a request, read the first byte of the response body and close the connection."""
    connection = http.client.HTTPConnection(request.address, timeout=TIMEOUT_MARGIN_SECONDS)
    try:
        connection.request(request.method, request.path, request.body, request.headers)
        connection.getresponse().read(1)
    finally:
        connection.close()


class Callers:
    """Sends requests concurrently from a thread pool."""

    def __init__(self) -> None:
        self._pool = ThreadPoolExecutor(MAX_CALLERS)
        self.pending: list[Future[Reply]] = []

    def begin(self, requests: list[Request]) -> None:
        """Send requests without waiting for their replies."""
        self.pending += [self._pool.submit(send, request) for request in requests]

    def run(
        self, work: Callable[Arguments, Result], *args: Arguments.args, **kwargs: Arguments.kwargs
    ) -> Future[Result]:
        """Run a function concurrently with the requests."""
        return self._pool.submit(work, *args, **kwargs)

    def finish(self) -> list[Reply]:
        """Wait for all pending replies and return them in the order of the requests."""
        replies = [future.result() for future in self.pending]
        self.pending = []
        return replies

    def close(self) -> None:
        """Cancel queued requests and shut the thread pool down without waiting."""
        self._pool.shutdown(wait=False, cancel_futures=True)
