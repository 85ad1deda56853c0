"""One attempt at a request: sends it to a server and reads the beginning of the response."""

import asyncio
import contextlib
from abc import ABC, abstractmethod
from collections.abc import Iterator
from typing import TYPE_CHECKING

from attrs import frozen

from loomwind.clock import MS_PER_SECOND
from loomwind.http.client_connection import ClientConnection
from loomwind.http.errors import HttpError
from loomwind.serving.breaker import SUSPECT_AFTER_SECONDS, ServerHealth
from loomwind.serving.errors import SendFailed
from loomwind.serving.forwarder import OpenResponse, OutgoingRequest
from loomwind.serving.stream_start import StreamStart
from loomwind.serving.views import ServerEntry

if TYPE_CHECKING:
    from loomwind.serving.handler import RequestHandler


@frozen
class Answer:
    """The beginning of a server's response.

    :ivar body: the full body; None for a stream.
    :ivar stream: what was read ahead of a stream; None if its body is still unread.
    """

    response: OpenResponse
    body: bytes | None
    stream: StreamStart | None = None


class Attempt(ABC):
    """An attempt at one server.

    :ivar events_before: the number of events that the request's stream had before.
    :ivar answering: brings the beginning of the response; None before the request is sent.
    :ivar connected_at: loop time at which a new connection was begun for it; None for a kept one.
    :ivar is_read: whether somebody reads the rest of the response, and closes the connection.
    """

    def __init__(self, entry: ServerEntry, health: ServerHealth, events_before: int) -> None:
        self.entry = entry
        self.health = health
        self.events_before = events_before
        self.answering: asyncio.Task[Answer] | None = None
        self.connected_at: float | None = None
        self.is_read = False

    def up_ms(self) -> float:
        """Return the time since a new connection to the server was begun; 0 for a kept one."""
        if self.connected_at is None:
            return 0.0
        return (asyncio.get_running_loop().time() - self.connected_at) * MS_PER_SECOND

    @abstractmethod
    async def connect(self) -> None:
        """Connect to the server.

        :raises SendFailed: no connection can be made, or the server may not get requests any more.
        """

    @abstractmethod
    def send(self, last_event_id: str | None) -> asyncio.Task[Answer]:
        """Send the request to the connected server.

        :param last_event_id: the event after which a stream goes on; None for one that begins.
        :returns: a task that fails with SendFailed if the server refused the request, or sent no
            valid response to it.
        """

    @abstractmethod
    def stop(self) -> None:
        """End the attempt; unless somebody reads its response, the connection is closed."""

    @abstractmethod
    def abandon(self) -> None:
        """End the attempt in favour of another one, whether the response has begun or not."""


class ServerAttempt(Attempt):
    """An attempt over HTTP."""

    def __init__(
        self,
        handler: "RequestHandler",
        outgoing: OutgoingRequest,
        entry: ServerEntry,
        events_before: int,
        is_replacement: bool,
    ) -> None:
        """Create an attempt.

        :param is_replacement: whether it may take over from an attempt whose server is silent; it
            then gets a new connection, since idle ones may have fallen silent with that server's.
        """
        super().__init__(entry, handler.pool.health(entry), events_before)
        self._handler = handler
        self._outgoing = outgoing
        self._connection: ClientConnection | None = None
        self._is_replacement = is_replacement
        self._is_counted = False
        self._permitted_at: float | None = None

    def begin(self, has_permit: bool = False) -> None:
        """Count the request as one in progress at the server.

        :param has_permit: whether a permit for the server was granted already.
        """
        target = self._outgoing.caller.target
        self._is_counted = True
        now = self._handler.now()
        self._permitted_at = now if has_permit else None
        self.health.record_sent(now)
        if target is not None:
            self._handler.pool.demand.begin_run(self.entry.instance, target)

    async def connect(self) -> None:
        """Connect to the server, with a permit if it needs one."""
        admission = self._handler.admission
        if self._permitted_at is None and admission.is_limited(self.entry):
            if not await admission.acquire(self.entry):
                detail = f"{self.entry.instance}: no place"
                raise SendFailed(detail, may_have_run=False, at_fault=False, no_permit=True)
            self._permitted_at = self._handler.now()
        forwarder = self._handler.forwarder
        # A new connection shows that the server is up, so that its crash is one of its own.
        if self._is_replacement or self._handler.prompts.is_suspected(self._outgoing.caller):
            self.connected_at = self._handler.now()
            self._connection = await forwarder.connect_anew(self.entry)
        else:
            self._connection = await forwarder.connect(self.entry, self._outgoing.caller.request_id)

    def send(self, last_event_id: str | None) -> asyncio.Task[Answer]:
        """Send the request to the connected server."""
        assert self._connection is not None
        self.answering = asyncio.create_task(self._exchange(self._connection, last_event_id))
        return self.answering

    def stop(self) -> None:
        """End the attempt; unless somebody reads its response, the connection is closed."""
        if self.answering is not None:
            self.answering.cancel()
            self.answering.add_done_callback(self._close_unread)
        self._count_end()

    def abandon(self) -> None:
        """End the attempt in favour of another one, whether the response has begun or not."""
        self.stop()
        if self._connection is None:
            return
        if self.answering is None:
            self._handler.forwarder.release(self._connection)

    def _close_unread(self, answering: asyncio.Task[Answer]) -> None:
        """Close the connection if the response, or the rest of it, has no reader.

        The task may have been cancelled before its first step, or have ended unnoticed by a caller
        that was cancelled in the same moment.
        """
        assert self._connection is not None
        if answering.cancelled() or (_has_unread_body(answering) and not self.is_read):
            self._connection.close()

    async def _exchange(self, connection: ClientConnection, last_event_id: str | None) -> Answer:
        forwarder = self._handler.forwarder
        with self._probe_when_silent():
            response = await forwarder.send(
                connection, self._outgoing, self.entry, self._handler.now(), last_event_id
            )
        self.health.record_received(self._handler.now())
        if response.streamed:
            stream = await self._read_ahead(response) if self._is_replacement else None
            return Answer(response, None, stream)
        body = await forwarder.read_full_body(response)
        self.health.record_received(self._handler.now())
        return Answer(response, body)

    async def _read_ahead(self, response: OpenResponse) -> StreamStart:
        """Read the first event: a head alone does not show that the stream goes on.

        :raises SendFailed: the connection broke before.
        """
        stream = StreamStart(response.connection)
        try:
            await stream.read_first_event()
        except HttpError as error:
            response.connection.close()
            raise SendFailed(
                f"{self.entry.instance}: {error}", may_have_run=True, broken=True
            ) from error
        self.health.record_received(self._handler.now())
        return stream

    @contextlib.contextmanager
    def _probe_when_silent(self) -> Iterator[None]:
        """Have the connectivity to the servers probed when no response begins for a while."""
        connectivity = self._handler.pool.connectivity_of(self.entry.service)
        timer = asyncio.get_running_loop().call_later(
            SUSPECT_AFTER_SECONDS, connectivity.record_no_answer, self._handler.now()
        )
        try:
            yield
        finally:
            timer.cancel()

    def _count_end(self) -> None:
        if not self._is_counted:
            return
        target = self._outgoing.caller.target
        self._is_counted = False
        self.health.record_ended()
        if self._permitted_at is not None:
            held_ms = (self._handler.now() - self._permitted_at) * MS_PER_SECOND
            self._handler.admission.give_back(self.entry, held_ms)
        if target is not None:
            self._handler.pool.demand.end_run(self.entry.instance, target)


def _has_unread_body(answering: asyncio.Task[Answer]) -> bool:
    if not answering.done() or answering.cancelled() or answering.exception() is not None:
        return False
    return answering.result().body is None
