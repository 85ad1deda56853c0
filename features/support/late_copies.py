"""The server's side of client connections: writes answers, and late copies of them, byte by byte.

Nothing is sent over a network: a test decides which bytes a connection receives next, and when.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any

from attrs import define, field, frozen

from loomwind.http.client_connection import ClientConnection

ID_HEADER = "x-request-id"
# Tells the sends of one request apart; only tests look at it.
SEND_HEADER = "x-send"
HINT = b"HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n"
# A client connection may give up after more of them.
MAX_SKIPPED_RESPONSES = 16


@frozen
class AnswerKind:
    """What an answer looks like.

    :ivar framing: the header line that frames the body; empty for none.
    :ivar body: the body as sent; ``{}`` stands for a text of its own.
    :ivar content: the body as it should be read.
    :ivar ends: whether only the end of the connection ends the body.
    """

    status: int
    framing: str
    body: str = ""
    content: str = ""
    ends: bool = False

    def head(self, send: "Send") -> bytes:
        """Return the head of the answer to a send."""
        request_id = f"{ID_HEADER}: {send.request_id}\r\n" if send.request_id else ""
        framing = f"{self.framing}\r\n" if self.framing else ""
        refusal = "x-not-executed: 1\r\n" if self.is_refusal else ""
        head = f"HTTP/1.1 {self.status} Any\r\n{SEND_HEADER}: {send.number}\r\n"
        return f"{head}{request_id}{refusal}{framing}\r\n".encode()

    @property
    def is_refusal(self) -> bool:
        """Whether the server refuses the request with it."""
        return self.status in (421, 503)


LENGTH = "content-length: 8"
CHUNKED = "transfer-encoding: chunked"
CHUNKS = "3\r\n{0:.3}\r\n5\r\n{0:.5}\r\n0\r\n\r\n"
CHUNKED_CONTENT = "{0:.3}{0:.5}"
ANSWER_KINDS = (
    AnswerKind(503, LENGTH, "{}", "{}"),
    AnswerKind(503, "content-length: 0"),
    AnswerKind(503, CHUNKED, CHUNKS, CHUNKED_CONTENT),
    AnswerKind(421, LENGTH, "{}", "{}"),
    AnswerKind(421, "content-length: 0"),
    AnswerKind(200, LENGTH, "{}", "{}"),
    AnswerKind(200, "content-length: 0"),
    AnswerKind(200, CHUNKED, CHUNKS, CHUNKED_CONTENT),
    AnswerKind(200, CHUNKED, "0\r\nx-trailer: t\r\n\r\n"),
    AnswerKind(200, f"{LENGTH}\r\nkeep-alive: timeout=2", "{}", "{}"),
    AnswerKind(200, f"{LENGTH}\r\nconnection: close", "{}", "{}"),
    AnswerKind(200, "", "{}", "{}", ends=True),
    AnswerKind(204, ""),
    AnswerKind(500, LENGTH, "{}", "{}"),
    AnswerKind(500, CHUNKED, CHUNKS, CHUNKED_CONTENT),
)


@define(eq=False)
class Send:
    """One send of a request.

    :ivar answer: how the server answered; None before.
    :ivar copies: the copies of other answers that arrive before it, in order.
    :ivar is_delivered: whether the whole answer has reached the connection.
    :ivar is_given_up: whether its caller waits no more.
    """

    number: int
    request_id: str
    method: str = "POST"
    answer: AnswerKind | None = None
    copies: list["Copy"] = field(factory=list)
    is_delivered: bool = False
    is_given_up: bool = False

    def answer_bytes(self) -> bytes:
        """Return its answer as sent."""
        assert self.answer is not None
        return self.answer.head(self) + self._body(self.answer.body)

    def expected_body(self) -> bytes:
        """Return the body that the exchange should read."""
        assert self.answer is not None
        return self._body(self.answer.content)

    def _body(self, template: str) -> bytes:
        """Return a body with a text of eight bytes of its own; empty for HEAD."""
        return b"" if self.method == "HEAD" else template.format(f"{self.number:08d}").encode()


@frozen
class Copy:
    """What tells about a late copy of an answer."""

    response_id: str
    status: int


@define(eq=False)
class Segment:
    """Bytes that a server has written.

    :ivar on_first: called when the first of them is about to arrive.
    :ivar on_last: called when the last of them is about to arrive.
    """

    data: bytes
    on_first: Callable[[], None] = lambda: None
    on_last: Callable[[], None] = lambda: None
    _is_begun: bool = False

    def take(self, count: int) -> bytes:
        """Remove and return up to this many bytes."""
        if not self._is_begun:
            self._is_begun = True
            self.on_first()
        piece, self.data = self.data[:count], self.data[count:]
        if not self.data:
            self.on_last()
        return piece


class Wire(asyncio.Transport):
    """The transport of a client connection, and the server at its other end.

    :ivar sends: the sends of requests that came over it, in order.
    :ivar copies: the copies that were written since the last answer.
    :ivar has_surplus: whether any byte of a copy has reached the connection.
    :ivar is_closed: whether either side has closed it.
    """

    def __init__(
        self, connection: ClientConnection, sends: dict[int, Send], faults: list[str]
    ) -> None:
        """Connect a client connection.

        :param sends: all sends of the run by their numbers.
        :param faults: gets a line for each request that should not have come over it, and for each
            answer that cannot come because the client has closed it.
        """
        super().__init__()
        self.sends: list[Send] = []
        self.copies: list[Copy] = []
        self.has_surplus = False
        self.is_closed = False
        self._connection: ClientConnection | None = connection
        self._all_sends = sends
        self._faults = faults
        self._outgoing: deque[Segment] = deque()
        self._is_ending = False
        self._end_error: Exception | None = None
        # The send whose answer ends with the connection.
        self._ends_with: Send | None = None
        connection.connection_made(self)

    # The transport.

    def write(self, data: Any) -> None:
        """Receive a request."""
        send = self._all_sends[_send_number(bytes(data))]
        earlier = [sent.request_id for sent in self.sends]
        if send.request_id in earlier or (earlier and not send.request_id):
            self._faults.append(f"repeated: {send.request_id!r} after {earlier}")
        if self.has_surplus:
            self._faults.append(f"reused: {send.request_id!r} after a surplus response")
        self.sends.append(send)

    def is_closing(self) -> bool:
        """Return whether it is closed."""
        return self.is_closed

    def abort(self) -> None:
        """Close it at once."""
        if not self.is_closed and self._is_answer_due():
            self._faults.append(f"lost: the connection of {self.sends[-1]} is closed")
        self._lose(None)

    def _is_answer_due(self) -> bool:
        """Whether an answer that a caller waits for may still arrive."""
        if not self.sends or self.sends[-1].is_given_up or self.sends[-1].is_delivered:
            return False
        return self.sends[-1].answer is not None or not self._is_ending

    def is_reading(self) -> bool:
        """Return that it reads: a test hands over all data itself."""
        return True

    def _lose(self, error: Exception | None) -> None:
        if not self.is_closed and self._connection is not None:
            self.is_closed = True
            loop = asyncio.get_running_loop()
            loop.call_soon(self._connection.connection_lost, error)
            self._connection = None

    # The server.

    @property
    def pending(self) -> Send | None:
        """Return the send that is not answered yet, if the server may still answer it."""
        if self.is_closed or self._is_ending or not self.sends:
            return None
        last = self.sends[-1]
        return last if last.answer is None else None

    @property
    def accepts_copies(self) -> bool:
        """Whether the server may write a copy of an answer."""
        few = len(self.copies) < MAX_SKIPPED_RESPONSES
        return few and not self.is_closed and not self._is_ending

    def answer(self, kind: AnswerKind) -> None:
        """Answer the pending send."""
        send = self.pending
        assert send is not None
        send.answer = kind
        send.copies, self.copies = self.copies, []
        if kind.ends:
            self._outgoing.append(Segment(send.answer_bytes()))
            self._ends_with, self._is_ending = send, True
        else:
            on_last = partial(_mark_delivered, send)
            self._outgoing.append(Segment(send.answer_bytes(), on_last=on_last))

    def copy(self, send: Send) -> None:
        """Write the answer to an earlier send again."""
        assert send.answer is not None
        self.copies.append(Copy(send.request_id, send.answer.status))
        self._outgoing.append(Segment(send.answer_bytes(), on_first=self._mark_surplus))
        self._is_ending = send.answer.ends

    def _mark_surplus(self) -> None:
        self.has_surplus = True

    def hint(self) -> None:
        """Write an informational response."""
        if not self._is_ending:
            self._outgoing.append(Segment(HINT))

    def end(self) -> None:
        """End the connection after all that was written."""
        self._is_ending = True

    def reset(self, keeps_unread: bool) -> None:
        """Reset the connection.

        :param keeps_unread: whether all that was written arrives before.
        """
        self._is_ending = True
        self._end_error = ConnectionResetError("reset by the server")
        if not keeps_unread:
            self._outgoing.clear()

    @property
    def unread_bytes(self) -> int:
        """Return how many bytes have not reached the connection."""
        return 0 if self.is_closed else sum(len(segment.data) for segment in self._outgoing)

    def deliver(self, count: int) -> None:
        """Hand the next bytes to the connection, in one piece."""
        piece = b""
        while self._outgoing and not self.is_closed and len(piece) < count:
            piece += self._outgoing[0].take(count - len(piece))
            if not self._outgoing[0].data:
                self._outgoing.popleft()
        if piece and self._connection is not None:
            self._connection.data_received(piece)

    def deliver_end(self) -> None:
        """Tell the connection that it has ended, if the server did that and all else arrived."""
        if self._is_ending and not self._outgoing and not self.is_closed:
            if self._ends_with is not None and self._end_error is None:
                self._ends_with.is_delivered = True
            self._lose(self._end_error)


def _mark_delivered(send: Send) -> None:
    send.is_delivered = True


def _send_number(data: bytes) -> int:
    """Return the number of the send that a request belongs to."""
    lines = data.decode("latin-1").lower().split("\r\n")
    return int(next(line for line in lines if line.startswith(SEND_HEADER)).split(": ")[1])
