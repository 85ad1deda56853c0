"""Sends a request to one server and reads the answer's head, or its whole body."""

from collections.abc import Callable

from msgspec import Struct

from loomwind import constants
from loomwind.clock import Clock
from loomwind.http.client import ClientConnection, HttpClient
from loomwind.http.errors import ConnectFailed, HttpError
from loomwind.http.messages import HttpRequest, HttpResponse
from loomwind.serving.connectivity import ServiceConnectivity
from loomwind.serving.errors import SendFailed
from loomwind.serving.ports import AnswerVerdict, Dialect
from loomwind.serving.views import CallerRequest, RouteRule, ServerEntry

CONNECT_TIMEOUT_SECONDS = 0.4
EVENT_STREAM = "text/event-stream"
MAX_SURPLUS_ANSWERS = 2
MAX_HELD_BYTES = 16 * constants.MEBIBYTE
SUCCESS_STATUSES = range(200, 300)


class Outgoing(Struct, frozen=True):
    """A request on its way to servers.

    :param deadline: loop time at which its caller stops waiting.
    """

    request: HttpRequest
    caller: CallerRequest
    route: RouteRule
    deadline: float


class OpenAnswer(Struct, frozen=True):
    """An answer whose head was read and belongs to the request."""

    connection: ClientConnection
    head: HttpResponse

    @property
    def streamed(self) -> bool:
        """Whether the body is a stream of events."""
        good = self.head.status in SUCCESS_STATUSES
        return good and (self.head.header("content-type") or "").startswith(EVENT_STREAM)


class Forwarder:
    """Speaks to servers in the deployment's dialect."""

    def __init__(
        self,
        client: HttpClient,
        dialect: Dialect,
        connectivity_of: Callable[[str], ServiceConnectivity],
        gets_work: Callable[[ServerEntry], bool] = lambda entry: True,
    ) -> None:
        """Make a forwarder.

        :param connectivity_of: returns what is told of each new connection to a service, made or
            failed.
        :param gets_work: whether a server may still get work, asked once it is connected.
        """
        self._client = client
        self._dialect = dialect
        self._connectivity_of = connectivity_of
        self._gets_work = gets_work
        self._clock = Clock()

    async def connect(self, entry: ServerEntry) -> ClientConnection:
        """Return a connection to a server, on which nothing has been sent yet.

        :raises SendFailed: there is none, or the server gets no more work.
        """
        connection = self._client.take_idle(entry.address) or await self.connect_anew(entry)
        if not self._gets_work(entry):
            self._client.release(connection)
            detail = f"{entry.instance}: began to leave while a connection was made"
            raise SendFailed(detail, ran=False, at_fault=False, unsent=True)
        return connection

    async def send(
        self,
        connection: ClientConnection,
        outgoing: Outgoing,
        entry: ServerEntry,
        now: float,
        last_event_id: str | None,
    ) -> OpenAnswer:
        """Send a request and return the answer's head.

        :raises SendFailed: there is no answer of this server to this request.
        """
        request = self._as_sent(outgoing, entry, now, last_event_id)
        try:
            connection.send_request(request)
            head, verdict = await self._read_own_head(connection, request, outgoing, entry)
            if not verdict.ran:
                await self._finish_refused(connection)
        except HttpError as error:
            connection.close()
            raise SendFailed(f"{entry.instance}: {error}", ran=True, broken=True) from error
        except BaseException:
            connection.close()
            raise
        if not verdict.ran:
            raise _refused(entry, head, verdict)
        return OpenAnswer(connection, head)

    async def connect_anew(self, entry: ServerEntry) -> ClientConnection:
        """Return a new connection to a server.

        :raises SendFailed: the server accepts none.
        """
        connectivity = self._connectivity_of(entry.service)
        try:
            connection = await self._client.open(entry.address, CONNECT_TIMEOUT_SECONDS)
        except ConnectFailed as error:
            connectivity.record_connect_failure(entry.instance, self._clock.now_ms())
            raise SendFailed(f"{entry.instance}: {error}", ran=False, unreachable=True) from error
        connectivity.record_connected(self._clock.now_ms())
        return connection

    def _as_sent(
        self, outgoing: Outgoing, entry: ServerEntry, now: float, last_event_id: str | None
    ) -> HttpRequest:
        request = outgoing.request
        priority = outgoing.route.priority if outgoing.caller.target else None
        headers = self._dialect.server_headers(
            request, entry.name, outgoing.deadline - now, priority, last_event_id
        )
        return HttpRequest(request.method, request.target, headers, request.body)

    async def _read_own_head(
        self,
        connection: ClientConnection,
        request: HttpRequest,
        outgoing: Outgoing,
        entry: ServerEntry,
    ) -> tuple[HttpResponse, AnswerVerdict]:
        """Read heads until one answers this request; a late surplus answer is skipped."""
        request_id = outgoing.caller.request_id
        for _ in range(1 + MAX_SURPLUS_ANSWERS):
            head = await connection.read_head()
            verdict = self._dialect.judge(request_id, entry.name, head)
            connection.note_keep_alive(head)
            if verdict.ours:
                return self._checked(head, verdict, entry), verdict
            await connection.skip_answer(request)
        raise SendFailed(f"{entry.instance}: answers to other requests only", ran=True)

    @staticmethod
    def _checked(head: HttpResponse, verdict: AnswerVerdict, entry: ServerEntry) -> HttpResponse:
        if verdict.ran and not verdict.genuine:
            raise SendFailed(f"{entry.instance}: an answer without the server's mark", ran=True)
        return head

    async def _finish_refused(self, connection: ClientConnection) -> None:
        """Read the rest of a refusal, so that its connection can be used again."""
        while await connection.read_body():
            pass
        self._client.release(connection)

    async def read_whole(self, answer: OpenAnswer) -> bytes:
        """Return the whole body of an answer and give its connection back.

        :raises SendFailed: the body was cut short.
        """
        body = bytearray()
        connection = answer.connection
        try:
            while piece := await connection.read_body():
                body += piece
                if len(body) > MAX_HELD_BYTES:
                    raise SendFailed("the answer is too large", ran=True)
        except HttpError as error:
            connection.close()
            raise SendFailed(f"{connection.address}: {error}", ran=True, broken=True) from error
        except BaseException:
            connection.close()
            raise
        self._client.release(connection)
        return bytes(body)

    def has_idle_connection(self, entry: ServerEntry) -> bool:
        """Whether a request to a server needs no new connection."""
        return self._client.has_idle(entry.address)

    def release(self, connection: ClientConnection) -> None:
        """Give a connection back; one with an unfinished exchange is closed."""
        self._client.release(connection)


def _refused(entry: ServerEntry, head: HttpResponse, verdict: AnswerVerdict) -> SendFailed:
    return SendFailed(
        f"{entry.instance}: refused unstarted with {head.status}",
        ran=False,
        missing_target=verdict.missing_target,
        other_instance=verdict.other_instance,
        at_fault=not verdict.missing_target,
    )
