"""Sends requests to servers and reads the heads and bodies of their responses."""

import asyncio
import contextlib
from collections.abc import Callable

from msgspec import Struct

from loomwind import constants
from loomwind.clock import MS_PER_SECOND, Clock
from loomwind.http.client import HttpClient
from loomwind.http.client_connection import ClientConnection
from loomwind.http.errors import ConnectFailed, ConnectionEnded, HttpError, UnsendableRequest
from loomwind.http.messages import HttpRequest, HttpResponse
from loomwind.serving.connectivity import ServiceConnectivity
from loomwind.serving.errors import SendFailed
from loomwind.serving.ports import Dialect, ResponseCheck
from loomwind.serving.response_buffers import BodyTooLarge, ResponseBuffer, ResponseBuffers
from loomwind.serving.views import CallerRequest, RouteRule, ServerEntry

CONNECT_TIMEOUT_SECONDS = 0.4
EVENT_STREAM = "text/event-stream"
# A refusal's body comes with its head; a new connection costs less than waiting for it, or reading
# more than a problem description needs.
REFUSAL_BODY_TIMEOUT_MS = 100.0
MAX_REFUSAL_BODY_BYTES = 64 * constants.KIBIBYTE
SUCCESS_STATUSES = range(200, 300)


class OutgoingRequest(Struct, frozen=True):
    """A request to be sent to servers.

    :param deadline: event loop time at which its caller stops waiting.
    """

    request: HttpRequest
    caller: CallerRequest
    route: RouteRule
    deadline: float


class OpenResponse(Struct, frozen=True):
    """A response whose head was read and matches the request; its body is still unread.

    :param software_version: that of the first event, in a stream that a peer relays.
    """

    connection: ClientConnection
    head: HttpResponse
    software_version: str = ""

    @property
    def streamed(self) -> bool:
        """Whether the body is a stream of events."""
        success = self.head.status in SUCCESS_STATUSES
        return success and (self.head.header("content-type") or "").startswith(EVENT_STREAM)


class Forwarder:
    """Exchanges requests and responses with servers, in the deployment's dialect."""

    def __init__(
        self,
        client: HttpClient,
        dialect: Dialect,
        connectivity_of: Callable[[str], ServiceConnectivity],
        accepts_requests: Callable[[ServerEntry], bool] = lambda entry: True,
        observe_response: Callable[[ServerEntry, ResponseCheck], None] = lambda entry, check: None,
    ) -> None:
        """Create a forwarder.

        :param connectivity_of: returns the connectivity of a service, which records each connect.
        :param accepts_requests: whether a server may get requests; checked once it is connected.
        :param observe_response: called with what each head of a server's response tells.
        """
        self._client = client
        self._dialect = dialect
        self._connectivity_of = connectivity_of
        self._accepts_requests = accepts_requests
        self._observe_response = observe_response
        self._clock = Clock()
        self._buffers = ResponseBuffers()

    async def connect(self, entry: ServerEntry, request_id: str) -> ClientConnection:
        """Return an idle or new connection to a server, which has not carried the request.

        :raises SendFailed: no connection can be made, or the server may not get requests any more.
        """
        connection = self._client.take_idle(entry.address, request_id)
        connection = connection or await self.open_connection(entry)
        return self._check_accepts(entry, connection)

    async def connect_anew(self, entry: ServerEntry) -> ClientConnection:
        """Return a new connection to a server; an idle one may be dead without having ended.

        :raises SendFailed: no connection can be made, or the server may not get requests any more.
        """
        return self._check_accepts(entry, await self.open_connection(entry))

    def _check_accepts(self, entry: ServerEntry, connection: ClientConnection) -> ClientConnection:
        if not self._accepts_requests(entry):
            self._client.release(connection)
            detail = f"{entry.instance}: began to leave while a connection was made"
            raise SendFailed(detail, may_have_run=False, at_fault=False, not_sent=True)
        return connection

    async def send(
        self,
        connection: ClientConnection,
        outgoing: OutgoingRequest,
        entry: ServerEntry,
        now: float,
        last_event_id: str | None,
    ) -> OpenResponse:
        """Send a request and read the head of its response.

        :raises SendFailed: the server refused the request, or sent no valid response to it.
        """
        request = self._server_request(outgoing, entry, now, last_event_id)
        try:
            connection.send_request(request)
            head = await connection.read_head()
            check = self._check_head(head, entry)
            if not check.may_have_run:
                await self._drain_refusal(connection)
        except UnsendableRequest as error:
            self._client.release(connection)
            raise SendFailed(f"{entry.instance}: {error}", may_have_run=False) from error
        except ConnectionEnded as error:
            raise SendFailed(
                f"{entry.instance}: {error}", may_have_run=False, at_fault=False, not_sent=True
            ) from error
        except HttpError as error:
            connection.close()
            raise SendFailed(
                f"{entry.instance}: {error}",
                may_have_run=True,
                broken=True,
                connection=connection.label,
            ) from error
        except BaseException:
            connection.close()
            raise
        if not check.may_have_run:
            raise _refusal_error(entry, head, check, connection)
        return OpenResponse(connection, head)

    async def open_connection(self, entry: ServerEntry) -> ClientConnection:
        """Open a new connection to a server.

        :raises SendFailed: no connection can be made.
        """
        connectivity = self._connectivity_of(entry.service)
        try:
            connection = await self._client.open(entry.address, CONNECT_TIMEOUT_SECONDS)
        except ConnectFailed as error:
            connectivity.record_connect_failure(entry.instance, self._clock.now_ms())
            raise SendFailed(
                f"{entry.instance}: {error}", may_have_run=False, unreachable=True
            ) from error
        connectivity.record_connected(self._clock.now_ms())
        return connection

    def _server_request(
        self, outgoing: OutgoingRequest, entry: ServerEntry, now: float, last_event_id: str | None
    ) -> HttpRequest:
        request = outgoing.request
        priority = outgoing.route.priority if outgoing.caller.target else None
        headers = self._dialect.server_headers(
            request, entry.name, outgoing.deadline - now, priority, last_event_id
        )
        return HttpRequest(request.method, request.target, headers, request.body)

    def _check_head(self, head: HttpResponse, entry: ServerEntry) -> ResponseCheck:
        """Return what the head of the response tells.

        :raises SendFailed: it is not the server's.
        """
        check = self._dialect.check_response(entry.name, head)
        if not check.other_instance:
            self._observe_response(entry, check)
        if check.may_have_run and not check.from_server:
            detail = f"{entry.instance}: an answer without the server's mark"
            raise SendFailed(detail, may_have_run=True)
        return check

    async def _drain_refusal(self, connection: ClientConnection) -> None:
        """Discard the body of a refusal, so that the connection can be reused, or close it.

        The head has said that the request has not run; a faulty body does not change that.
        """
        with contextlib.suppress(HttpError, TimeoutError):
            async with asyncio.timeout(REFUSAL_BODY_TIMEOUT_MS / MS_PER_SECOND):
                remaining_bytes = MAX_REFUSAL_BODY_BYTES
                while remaining_bytes > 0 and (chunk := await connection.read_body()):
                    remaining_bytes -= len(chunk)
        self._client.release(connection)

    async def read_full_body(self, response: OpenResponse) -> bytes:
        """Read the full body of a response and release its connection.

        :raises SendFailed: the body was truncated or takes too much memory.
        """
        connection = response.connection
        try:
            declared_bytes = response.head.declared_bytes
            with self._buffers.open(declared_bytes, connection.abort_reading) as buffer:
                body = await self._fill(buffer, connection)
        except (HttpError, BodyTooLarge) as error:
            connection.close()
            raise SendFailed(
                f"{connection.address}: {error}",
                may_have_run=True,
                broken=isinstance(error, HttpError),
            ) from error
        except BaseException:
            connection.close()
            raise
        self._client.release(connection)
        return body

    @staticmethod
    async def _fill(buffer: ResponseBuffer, connection: ClientConnection) -> bytes:
        """Read a body to its end into a buffer.

        :raises BodyTooLarge: the buffer was discarded, possibly while data was waited for.
        """
        try:
            while buffer.append(await connection.read_body()):
                pass  # A variable would keep the last chunk while the next one is waited for.
        except HttpError:
            buffer.raise_if_discarded()
            raise
        return buffer.body()

    def has_idle_connection(self, entry: ServerEntry) -> bool:
        """Whether an idle connection to a server is open."""
        return self._client.has_idle(entry.address)

    def release(self, connection: ClientConnection) -> None:
        """Return a connection to the pool; one with an unfinished exchange is closed."""
        self._client.release(connection)


def _refusal_error(
    entry: ServerEntry, head: HttpResponse, check: ResponseCheck, connection: ClientConnection
) -> SendFailed:
    return SendFailed(
        f"{entry.instance}: refused unstarted with {head.status}",
        may_have_run=False,
        missing_target=check.missing_target,
        other_instance=check.other_instance,
        at_fault=not check.missing_target,
        rejected=not check.missing_target,
        connection=connection.label,
    )
