"""Streams as their callers see them, over all attempts."""

import re

import attrs

from features.support.caller import Reply, Request

STREAM_EVENTS = 120
EVENT = re.compile(rb"id: (\d+)\ndata: token-\d+ (\S+)\n\n")


@attrs.define
class Stream:
    """A stream as its caller sees it, over all attempts.

    :ivar origin_id: the request ID of the first attempt, which brought the first event.
    """

    origin_id: str
    replies: list[Reply]

    @property
    def last_event_id(self) -> int:
        """Return the id of the last event; 0 before the first."""
        return max((number for number, _ in self.events()), default=0)

    @property
    def is_served(self) -> bool:
        """Whether the last attempt was answered completely by a server."""
        return (
            bool(self.replies) and self.replies[-1].status == 200 and self.replies[-1].is_complete
        )

    def events(self) -> list[tuple[int, str]]:
        """Return the number and the software version of each event."""
        found = (match for reply in self.replies for match in EVENT.findall(reply.body))
        return [(int(number), version.decode()) for number, version in found]

    def versions(self) -> set[str]:
        """Return the software versions of the events."""
        return {version for _, version in self.events()}

    @property
    def is_complete(self) -> bool:
        """Whether the last attempt ended the stream and no event is missing."""
        numbers = [number for number, _ in self.events()]
        return self.replies[-1].is_complete and numbers == list(range(1, STREAM_EVENTS + 1))

    def add_resumption(self, request: Request) -> None:
        """Let a request go on after the last event; without events it begins anew."""
        if last_event_id := self.last_event_id:
            request.headers["last-event-id"] = str(last_event_id)
            request.headers["resumes"] = self.origin_id

    def add_reply(self, reply: Reply) -> None:
        """Add the reply of an attempt."""
        self.replies.append(reply)
        if not self.origin_id and self.last_event_id:
            self.origin_id = reply.request_id
