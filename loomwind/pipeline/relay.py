"""Last filter: passes the answer on, one write for each read, without parsing any token.

A stream that is cut is resumed at its offset where the engine can; otherwise it ends visibly:
with an ``error`` event and a body without its proper end. An answer that is not a stream is held
until it is whole, up to a limit, so that a failure can still be told by its status.
"""

import asyncio

from msgspec import Struct
from prometheus_client import Counter

from loomwind import constants
from loomwind.http.client import HttpClient
from loomwind.http.errors import ConnectionBroken, HttpError
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
    """What was read of a body; the rest is still to come when it is not ``complete``."""

    data: bytes
    complete: bool


class ResponseTruncated(AttemptFailed):
    """The answer's body ended before its end, after ``sent`` bytes went to the caller."""

    def __init__(self, detail: str, sent: int) -> None:
        super().__init__(detail, Outcome.PARTIAL if sent else Outcome.UNKNOWN)
        self.sent = sent


class RelayProgress:
    """What went to the caller of a stream so far, over all connections that it came by."""

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.tail = StreamTail()

    def record_sent(self, piece: bytes) -> None:
        """Count a piece that was sent."""
        self.sent_bytes += len(piece)
        self.tail.feed(piece)


class Relay:
    """Passes answers from back ends to callers."""

    def __init__(
        self, client: HttpClient, forwarder: Forwarder, relayed: Counter, stall_seconds: float
    ) -> None:
        """Make a relay.

        :param stall_seconds: a stream on which nothing comes for so long is cut.
        """
        self._stall_seconds = stall_seconds
        self._client = client
        self._forwarder = forwarder
        self._relayed = relayed

    async def buffer_body(self, response: ForwardedResponse) -> BufferedBody:
        """Read a body that is not a stream, up to a limit.

        :raises AttemptFailed: the body was cut short: whether the request ran whole is not known.
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
        """Send a held answer."""
        self._relayed.inc(len(body))
        await exchange.respond(response.status, _headers(response, request_id), body)

    async def stream(
        self,
        exchange: Exchange,
        response: ForwardedResponse,
        request_id: str,
        prefix: bytes = b"",
    ) -> None:
        """Pass a stream on as it comes.

        :param prefix: the part of the body that was read before.
        :raises RequestRefused: the stream was cut and could not be resumed; nothing was sent.
        :raises ConnectionBroken: the caller is gone.
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
            except ResponseTruncated as cut:
                resumed = None
                if resumes < MAX_RESUMES:
                    resumed = await self._resume(response, progress.sent_bytes)
                resumes += 1
                if resumed is None:
                    await self._send_error_event(exchange, request_id, cut)
                    raise self._refusal(cut) from cut
                response = resumed

    async def _relay_body(
        self,
        exchange: Exchange,
        response: ForwardedResponse,
        request_id: str,
        progress: RelayProgress,
    ) -> None:
        """Pass one connection's part of the body on.

        :raises AnswerCutShort: it ended too soon.
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
        """Return the next piece of a body; empty at its end."""
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
        """Ask the same engine to go on from an offset; None when it cannot."""
        attempt = Attempt(response.selected)
        try:
            async with asyncio.timeout(self._stall_seconds):
                return await self._forwarder.forward(attempt, resume_from=sent)
        except (AttemptFailed, TimeoutError):
            return None

    async def _send_error_event(
        self, exchange: Exchange, request_id: str, cut: ResponseTruncated
    ) -> None:
        """Tell a caller that has part of the stream that the rest is missing."""
        if not exchange.started:
            return
        body = self._refusal(cut).body(request_id)
        try:
            await exchange.send(b"\n\nevent: error\ndata: " + body + b"\n\n")
        except ConnectionBroken:
            return
        finally:
            exchange.abort()

    @staticmethod
    def _refusal(cut: ResponseTruncated) -> RequestRefused:
        return RequestRefused(Problem.ANSWER_CUT_SHORT, str(cut), cut.outcome)


def _headers(response: ForwardedResponse, request_id: str) -> Headers:
    kept = tuple((n, v) for n, v in response.headers if n != "x-request-id")
    return (*kept, ("x-request-id", request_id))
