"""Relays complete events of a stream to the caller, across resumptions at other servers."""

import asyncio
from collections.abc import Awaitable, Callable

from loomwind.clock import MS_PER_SECOND
from loomwind.http.errors import EventTooLarge, EventTruncated, HttpError
from loomwind.http.event_stream import EventStreamBuffer
from loomwind.http.messages import Framing
from loomwind.http.part_limit import PartLimit, TooManyParts
from loomwind.http.server import Exchange
from loomwind.logs import log_decision
from loomwind.metrics import Metrics
from loomwind.serving.breaker import ServerHealth
from loomwind.serving.errors import SendFailed
from loomwind.serving.forwarder import OpenResponse
from loomwind.serving.ports import Dialect
from loomwind.serving.stream_gaps import StreamGaps
from loomwind.serving.stream_start import StreamStart
from loomwind.serving.views import CallerRequest, RouteRule, ServerEntry


class StreamRelay:
    """Relays the event stream of one request to its caller."""

    def __init__(
        self,
        exchange: Exchange,
        caller: CallerRequest,
        route: RouteRule,
        dialect: Dialect,
        metrics: Metrics,
        read: Callable[[ServerEntry, Callable[[], Awaitable[bytes]]], Awaitable[bytes]],
        on_first_event: Callable[[ServerEntry], None],
        delays_head: bool = False,
    ) -> None:
        """Create a relay.

        :param read: reads events from a server, however long it is silent; if it raises an error
            instead, the server's connection is closed.
        :param on_first_event: called before the first event of the request is relayed.
        :param delays_head: whether the head is sent only with the first event, whose server may be
            another one than that which sent the first head.
        """
        self._exchange = exchange
        self._caller = caller
        self._route = route
        self._dialect = dialect
        self._metrics = metrics
        self._read = read
        self._on_first_event = on_first_event
        self._delays_head = delays_head
        self._event_buffer = EventStreamBuffer(caller.last_event_id)
        self._event_limit = PartLimit(self._now())

    @property
    def last_event_id(self) -> str | None:
        """Return the id of the last relayed event; None before the first."""
        return self._event_buffer.last_event_id

    @property
    def events(self) -> int:
        """Return the number of relayed events."""
        return self._event_buffer.event_count

    async def relay(
        self,
        entry: ServerEntry,
        response: OpenResponse,
        health: ServerHealth,
        start: StreamStart | None = None,
    ) -> None:
        """Relay complete events as they arrive, until the stream ends.

        :param start: what was read ahead of the stream; None for nothing.
        :raises SendFailed: the stream was interrupted; its connection is closed.
        """
        try:
            if not self._delays_head:
                await self._ensure_started(response)
            stream_gaps = StreamGaps()
            events_before = self.events
            is_first = events_before == 0
            read_body = response.connection.read_body if start is None else start.read_body
            while complete := await self._next_events(entry, read_body, health):
                stream_gaps.record_event(self._now() * MS_PER_SECOND)
                if is_first:
                    self._on_first_event(entry)
                is_first = False
                await self._ensure_started(response)
                await self._exchange.send(complete)
            has_events = self.events > events_before
            rest = self._finish_body(entry, response, has_events)
            await self._ensure_started(response)
            await self._exchange.send(rest)
            await self._exchange.finish()
            self._log_long_gap(entry, stream_gaps, health)
        except BaseException:
            response.connection.close()
            self._event_buffer.discard_incomplete_event()
            raise

    async def _ensure_started(self, response: OpenResponse) -> None:
        """Send the head, unless one was sent."""
        if not self._exchange.started:
            headers = self._dialect.response_headers(response.head)
            await self._exchange.start(response.head.status, headers)

    async def _next_events(
        self,
        entry: ServerEntry,
        read_body: Callable[[], Awaitable[bytes]],
        health: ServerHealth,
    ) -> bytes:
        """Return the next complete events; empty at the end of the body.

        A server whose bytes complete no event counts as silent.
        """

        async def read() -> bytes:
            while chunk := await read_body():
                health.record_received(self._now())
                complete = self._complete_events(entry, chunk)
                del chunk  # Would be kept while the next one is waited for.
                if complete:
                    return complete
            return b""

        try:
            return await self._read(entry, read)
        except HttpError as error:
            raise SendFailed(
                f"{entry.instance}: {error}", may_have_run=True, broken=True
            ) from error

    def _complete_events(self, entry: ServerEntry, chunk: bytes) -> bytes:
        """Buffer a chunk; returns the bytes of the events that it completes.

        :raises SendFailed: an event is too large to be buffered, or there are too many small ones.
        """
        events_before = self.events
        try:
            complete = self._event_buffer.feed(chunk)
            self._event_limit.record(self.events - events_before, len(chunk), self._now())
            return complete
        except (EventTooLarge, TooManyParts) as error:
            raise SendFailed(f"{entry.instance}: {error}", may_have_run=True) from error

    def _finish_body(self, entry: ServerEntry, response: OpenResponse, has_events: bool) -> bytes:
        """Finish a body that has ended by its framing; returns the data still to be relayed.

        :param has_events: whether this response had a complete event.
        :raises SendFailed: it ended inside an event, or by its connection before any event.
        """
        framing = response.head.framing
        self._metrics.streams_ended.labels(framing.value).inc()
        try:
            if framing is Framing.CLOSE and not has_events:
                raise EventTruncated("the stream ended before its first event")
            return self._event_buffer.finish()
        except EventTruncated as error:
            detail = f"{entry.instance}: {error}, framed by {framing.value}"
            raise SendFailed(detail, may_have_run=True, broken=True) from error

    def _log_long_gap(
        self, entry: ServerEntry, stream_gaps: StreamGaps, health: ServerHealth
    ) -> None:
        """Log a completed stream whose longest gap exceeds the objective of its route."""
        allowed_ms = self._route.gap_objective_seconds * MS_PER_SECOND
        if not 0 < allowed_ms < stream_gaps.longest_ms:
            return
        log_decision(
            "paused",
            self._caller.request_id,
            server=entry.instance,
            target=str(self._caller.target),
            longest_gap_ms=round(stream_gaps.longest_ms, 1),
            allowed_ms=allowed_ms,
            in_flight=health.in_flight,
            prompt_tokens=self._caller.prompt_tokens,
        )

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
