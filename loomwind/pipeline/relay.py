"""Last stage: relays the response to the caller, one write per read, without parsing tokens.

If a stream breaks, the relay resumes it at its byte offset if the engine supports that. Otherwise
the caller gets an ``error`` event and a truncated body, so that the failure is detectable. Other
responses are buffered up to a limit, so that a failure can still be reported by the status code.
"""

import asyncio

from msgspec import Struct
from prometheus_client import Counter

from loomwind import constants
from loomwind.http.client import HttpClient
from loomwind.http.errors import ClientDisconnected, HttpError
from loomwind.http.event_stream import StreamTail
from loomwind.http.messages import Headers
from loomwind.http.server import Exchange
from loomwind.pipeline.errors import AttemptFailed, Problem, RequestRefused
from loomwind.pipeline.forward import Attempt, Forwarder
from loomwind.pipeline.stall import StallWatch
from loomwind.pipeline.types import ForwardedResponse
from loomwind.schema import Outcome

MAX_RESUMES = 2
MAX_BUFFERED_BODY_BYTES = constants.MEBIBYTE


class BufferedBody(Struct, frozen=True):
    """The part of a body that was read so far.

    :param complete: whether this is the complete body; otherwise the rest must still be read.
    """

    data: bytes
    complete: bool


class ResponseTruncated(AttemptFailed):
    """The response body ended too early, after ``sent`` bytes were sent to the caller."""

    def __init__(self, detail: str, sent: int) -> None:
        super().__init__(detail, Outcome.PARTIAL if sent else Outcome.UNKNOWN)
        self.sent = sent


class RelayProgress:
    """What was sent to the caller of a stream so far, over all back-end connections."""

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.tail = StreamTail()

    def record_sent(self, piece: bytes) -> None:
        """Record a piece that was sent."""
        self.sent_bytes += len(piece)
        self.tail.feed(piece)


class Relay:
    """Relays responses from back ends to callers."""

    def __init__(
        self, client: HttpClient, forwarder: Forwarder, relayed: Counter, stall_seconds: float
    ) -> None:
        """Create a relay.

        :param stall_seconds: the time without data after which a stream is aborted.
        """
        self._stall_seconds = stall_seconds
        self._client = client
        self._forwarder = forwarder
        self._relayed = relayed

    async def buffer_body(self, response: ForwardedResponse) -> BufferedBody:
        """Read the body of a response that is not a stream, up to a limit.

        :raises AttemptFailed: the body was truncated; it is unknown whether the request completed.
        """
        body = bytearray()
        connection = response.connection
        complete = False
        try:
            while len(body) <= MAX_BUFFERED_BODY_BYTES and not complete:
                piece = await connection.read_body()
                complete = not piece
                body += piece
        except BaseException as error:
            connection.close()
            if isinstance(error, HttpError):
                raise AttemptFailed(str(error), Outcome.UNKNOWN) from error
            raise
        if complete:
            self._client.release(connection)
        return BufferedBody(bytes(body), complete)

    async def send_buffered(
        self, exchange: Exchange, response: ForwardedResponse, body: bytes, request_id: str
    ) -> None:
        """Send a response whose body was buffered."""
        self._relayed.inc(len(body))
        await exchange.respond(response.status, _headers(response, request_id), body)

    async def stream(
        self,
        exchange: Exchange,
        response: ForwardedResponse,
        request_id: str,
        prefix: bytes = b"",
    ) -> None:
        """Relay a response body as it arrives.

        :param prefix: the part of the body that was read already.
        :raises RequestRefused: the stream broke and could not be resumed. If the response had
            started, an error event was sent and the exchange was aborted.
        :raises ClientDisconnected: the caller disconnected.
        """
        progress = RelayProgress()
        resumes = 0
        if prefix:
            await exchange.start(response.status, _headers(response, request_id))
            await exchange.send(prefix)
            progress.record_sent(prefix)
        while True:
            try:
                await self._relay_body(exchange, response, request_id, progress)
                await exchange.finish()
                return
            except ResponseTruncated as error:
                resumed = None
                if resumes < MAX_RESUMES:
                    resumed = await self._resume(response, progress.sent_bytes)
                resumes += 1
                if resumed is None:
                    await self._send_error_event(exchange, request_id, error)
                    raise self._refusal(error) from error
                response = resumed

    async def _relay_body(
        self,
        exchange: Exchange,
        response: ForwardedResponse,
        request_id: str,
        progress: RelayProgress,
    ) -> None:
        """Relay the body that arrives on one back-end connection.

        :raises ResponseTruncated: the body ended too early.
        """
        connection = response.connection
        sent_before_bytes = progress.sent_bytes
        try:
            with StallWatch(self._stall_seconds, connection.abort_reading) as watch:
                while piece := await self._read_piece(response, progress):
                    watch.record_activity()
                    await self._ensure_started(exchange, response, request_id)
                    await exchange.send(piece)
                    progress.record_sent(piece)
            await self._ensure_started(exchange, response, request_id)
        finally:
            self._relayed.inc(progress.sent_bytes - sent_before_bytes)
            self._client.release(connection)

    @staticmethod
    async def _read_piece(response: ForwardedResponse, progress: RelayProgress) -> bytes:
        """Return the next piece of a body, or an empty one at its end.

        :raises ResponseTruncated: the body ended too early.
        """
        try:
            piece = await response.connection.read_body()
            if not piece and response.streamed:
                progress.tail.finish()
        except HttpError as error:
            raise ResponseTruncated(str(error), progress.sent_bytes) from error
        return piece

    @staticmethod
    async def _ensure_started(
        exchange: Exchange, response: ForwardedResponse, request_id: str
    ) -> None:
        if not exchange.started:
            await exchange.start(response.status, _headers(response, request_id))

    async def _resume(self, response: ForwardedResponse, sent: int) -> ForwardedResponse | None:
        """Ask the same engine to resume at a byte offset; return None if it cannot."""
        attempt = Attempt(response.selected)
        try:
            async with asyncio.timeout(self._stall_seconds):
                return await self._forwarder.forward(attempt, resume_from=sent)
        except (AttemptFailed, TimeoutError):
            return None

    async def _send_error_event(
        self, exchange: Exchange, request_id: str, error: ResponseTruncated
    ) -> None:
        """Report a broken stream to a caller that received part of it, and abort the exchange."""
        if not exchange.started:
            return
        body = self._refusal(error).body(request_id)
        try:
            await exchange.send(b"\n\nevent: error\ndata: " + body + b"\n\n")
        except ClientDisconnected:
            return
        finally:
            exchange.abort()

    @staticmethod
    def _refusal(error: ResponseTruncated) -> RequestRefused:
        return RequestRefused(Problem.ANSWER_CUT_SHORT, str(error), error.outcome)


def _headers(response: ForwardedResponse, request_id: str) -> Headers:
    kept = tuple((n, v) for n, v in response.headers if n != "x-request-id")
    return (*kept, ("x-request-id", request_id))
