"""The beginning of a stream that is read ahead, up to its first event."""

from loomwind.http.client_connection import ClientConnection
from loomwind.http.event_stream import EventStreamBuffer


class StreamStart:
    """Reads a stream up to its first event, and passes it on from its beginning."""

    def __init__(self, connection: ClientConnection) -> None:
        self._connection = connection
        self._data = b""
        self._has_ended = False

    async def read_first_event(self) -> None:
        """Read until an event is complete, or the body ends.

        :raises HttpError: the connection broke, or the event is too large.
        """
        events = EventStreamBuffer()
        while chunk := await self._connection.read_body():
            self._data += chunk
            if events.feed(chunk):
                return
        self._has_ended = True

    async def read_body(self) -> bytes:
        """Return the next part of the body; empty at its end."""
        if self._data:
            data, self._data = self._data, b""
            return data
        return b"" if self._has_ended else await self._connection.read_body()
