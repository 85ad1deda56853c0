"""Where server-sent events end, and whether a stream of them has ended between two.

Pure and without I/O. Format: https://html.spec.whatwg.org/multipage/server-sent-events.html
"""

import re

from loomwind.http.errors import EventTruncated

EVENT_END = re.compile(rb"\n\n|\r\n\r\n|\r\r")
LONGEST_EVENT_END = len(b"\r\n\r\n")
ID_FIELD = b"id:"
COMMENT = b":"


class EventStreamBuffer:
    """Keeps back the part of an event that has not arrived yet.

    :ivar last_event_id: id of the last whole event; None before the first.
    :ivar event_count: how many whole events went through.
    """

    def __init__(self, last_event_id: str | None = None) -> None:
        self._rest = bytearray()
        self.last_event_id = last_event_id
        self.event_count = 0

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of the events that are whole now; empty when none is."""
        searched = max(0, len(self._rest) - LONGEST_EVENT_END + 1)
        self._rest += data
        ends = [match.end() for match in EVENT_END.finditer(self._rest, searched)]
        if not ends:
            return b""
        whole = bytes(self._rest[: ends[-1]])
        del self._rest[: ends[-1]]
        self.event_count += len(ends)
        self._note_last_id(whole)
        return whole

    def _note_last_id(self, whole: bytes) -> None:
        for line in whole.splitlines():
            if line.startswith(ID_FIELD):
                self.last_event_id = line[len(ID_FIELD) :].strip().decode("latin-1")

    def finish(self) -> bytes:
        """Take in that the server has ended its answer in order, however that was framed.

        :returns: blank lines and comments after the last event.
        :raises EventTruncated: it broke off: an event has begun and is not whole.
        """
        if any(line.strip() and not line.startswith(COMMENT) for line in self._rest.splitlines()):
            raise EventTruncated(f"the stream ended {len(self._rest)} bytes into an event")
        rest = bytes(self._rest)
        self._rest.clear()
        return rest

    def discard_incomplete_event(self) -> None:
        """Forget the event that is not whole: another run sends it again."""
        self._rest.clear()


class StreamTail:
    """The last bytes of a stream that is passed on as it comes, without looking for its events."""

    def __init__(self) -> None:
        self._tail = b""

    def feed(self, data: bytes) -> None:
        """Take in the next bytes."""
        self._tail = (self._tail + data)[-LONGEST_EVENT_END:]

    def finish(self) -> None:
        """Take in that the stream has ended in order, however it was framed.

        :raises EventTruncated: its last bytes end no event.
        """
        ends = [match.end() for match in EVENT_END.finditer(self._tail)]
        if self._tail and len(self._tail) not in ends:
            raise EventTruncated("the stream ended inside an event")
