"""Finds the ends of server-sent events, and detects streams that end in the middle of one.

Does no I/O. Format: https://html.spec.whatwg.org/multipage/server-sent-events.html
"""

import re

from loomwind import constants
from loomwind.http.errors import EventTooLarge, EventTruncated

EVENT_END = re.compile(rb"\n\n|\r\n\r\n|\r\r")
MAX_EVENT_END_BYTES = len(b"\r\n\r\n")
ID_FIELD = b"id:"
COMMENT_PREFIX = b":"


class EventStreamBuffer:
    """Buffers a stream so that only complete events are passed on.

    :ivar last_event_id: id of the last complete event; None before the first.
    :ivar event_count: number of complete events so far.
    """

    def __init__(self, last_event_id: str | None = None) -> None:
        self._buffer = bytearray()
        self.last_event_id = last_event_id
        self.event_count = 0

    def feed(self, data: bytes) -> bytes:
        """Add data; return the bytes of the events that it completes, empty if none.

        :raises EventTooLarge: the data completes no event and the unfinished one exceeds the limit.
        """
        search_from = max(0, len(self._buffer) - MAX_EVENT_END_BYTES + 1)
        self._buffer += data
        ends = [match.end() for match in EVENT_END.finditer(self._buffer, search_from)]
        if not ends:
            if len(self._buffer) > constants.MAX_EVENT_BYTES:
                raise EventTooLarge(f"an event exceeds {constants.MAX_EVENT_BYTES} bytes")
            return b""
        complete = bytes(self._buffer[: ends[-1]])
        del self._buffer[: ends[-1]]
        self.event_count += len(ends)
        self._update_last_event_id(complete)
        return complete

    def _update_last_event_id(self, complete: bytes) -> None:
        for line in complete.splitlines():
            if line.startswith(ID_FIELD):
                self.last_event_id = line[len(ID_FIELD) :].strip().decode("latin-1")

    def finish(self) -> bytes:
        """Handle the end of the body, whatever its framing.

        :returns: blank lines and comments after the last event.
        :raises EventTruncated: the stream ended inside an event.
        """
        if any(
            line.strip() and not line.startswith(COMMENT_PREFIX)
            for line in self._buffer.splitlines()
        ):
            raise EventTruncated(f"the stream ended {len(self._buffer)} bytes into an event")
        trailing = bytes(self._buffer)
        self._buffer.clear()
        return trailing

    def discard_incomplete_event(self) -> None:
        """Discard a partially received event; a retried request sends it again."""
        self._buffer.clear()


class StreamTail:
    """Keeps the last bytes of a stream that is relayed unbuffered, to check how it ends."""

    def __init__(self) -> None:
        self._tail = b""

    def feed(self, data: bytes) -> None:
        """Add the next bytes of the stream."""
        self._tail = (self._tail + data)[-MAX_EVENT_END_BYTES:]

    def finish(self) -> None:
        """Handle the end of the body, whatever its framing.

        :raises EventTruncated: there was no event, or the last bytes do not end one.
        """
        if not self._tail:
            raise EventTruncated("the stream ended before its first event")
        ends = [match.end() for match in EVENT_END.finditer(self._tail)]
        if len(self._tail) not in ends:
            raise EventTruncated("the stream ended inside an event")
