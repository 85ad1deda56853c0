"""Cuts a stream of server-sent events into whole events, and knows the last one's id.

Pure and without I/O. Format: https://html.spec.whatwg.org/multipage/server-sent-events.html
"""

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


class EventCutter:
    """Keeps back the part of an event that has not arrived yet.

    :ivar last_event_id: id of the last whole event; None before the first.
    :ivar events: how many whole events went through.
    """

    def __init__(self, last_event_id: str | None = None) -> None:
        self._rest = bytearray()
        self.last_event_id = last_event_id
        self.events = 0

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of the events that are whole now; empty when none is."""
        self._rest += data
        end = self._rest.rfind(EVENT_END)
        if end < 0:
            return b""
        whole = bytes(self._rest[: end + len(EVENT_END)])
        del self._rest[: end + len(EVENT_END)]
        self._note(whole)
        return whole

    def _note(self, whole: bytes) -> None:
        self.events += whole.count(EVENT_END)
        for line in whole.split(b"\n"):
            if line.startswith(ID_FIELD):
                self.last_event_id = line[len(ID_FIELD) :].strip().decode("latin-1")

    @property
    def rest_bytes(self) -> int:
        """How many bytes of an event that is not whole are kept back."""
        return len(self._rest)

    def take_rest(self) -> bytes:
        """Return what is left after the proper end of the stream."""
        rest = bytes(self._rest)
        self._rest.clear()
        return rest
