"""One attempt at a request: sends it to a server and reads the beginning of the response."""

import asyncio
import contextlib
from collections.abc import Iterator
from typing import TYPE_CHECKING

from attrs import frozen

from loomwind.http.client import ClientConnection
from loomwind.serving.breaker import SUSPECT_AFTER_SECONDS
from loomwind.serving.forwarder import OpenResponse, OutgoingRequest
from loomwind.serving.views import ServerEntry

if TYPE_CHECKING:
    from loomwind.serving.handler import RequestHandler


@frozen
class Answer:
    """The beginning of a server's response.

    :ivar body: the full body; None for a stream, whose body is still unread.
    """

    response: OpenResponse
    body: bytes | None


class ServerAttempt:
    """An attempt at one server.

    :ivar events_before: the number of events that the request's stream had before.
    """

    def __init__(
        self,
        handler: "RequestHandler",
        outgoing: OutgoingRequest,
        entry: ServerEntry,
        events_before: int,
    ) -> None:
        self.entry = entry
        self.health = handler.pool.health(entry)
        self.events_before = events_before
        self._handler = handler
        self._outgoing = outgoing

    @contextlib.contextmanager
    def in_progress(self) -> Iterator[None]:
        """Count the request as one in progress at the server."""
        target = self._outgoing.caller.target
        demand = self._handler.pool.demand
        self.health.record_sent(self._handler.now())
        if target is not None:
            demand.begin_run(self.entry.instance, target)
        try:
            yield
        finally:
            self.health.record_ended()
            if target is not None:
                demand.end_run(self.entry.instance, target)

    async def connect(self) -> ClientConnection:
        """Return a connection to the server.

        :raises SendFailed: no connection can be made, or the server may not get requests any more.
        """
        return await self._handler.forwarder.connect(self.entry)

    async def send(self, connection: ClientConnection, last_event_id: str | None) -> Answer:
        """Send the request and return the beginning of the response.

        :param last_event_id: the event after which a stream goes on; None for one that begins.
        :raises SendFailed: the server refused the request, or sent no valid response to it.
        """
        forwarder = self._handler.forwarder
        with self._probe_when_silent():
            response = await forwarder.send(
                connection, self._outgoing, self.entry, self._handler.now(), last_event_id
            )
        body = None if response.streamed else await forwarder.read_full_body(response)
        return Answer(response, body)

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
