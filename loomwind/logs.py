"""Structured logs by eliot: one line of JSON for each change of state and each decision.

Lines go through a bounded buffer that a task of the loop empties, so that writing never blocks a
request. What did not fit is counted, and said in the next line.
"""

import asyncio
import os
import sys
from collections import deque
from typing import Any, TextIO

import eliot
import msgspec

BUFFER_LINES = 2000
FLUSH_SECONDS = 0.1
FLUSH_BYTES = 60_000


class BoundedWriter:
    """Keeps lines until the loop writes them; drops the newest when the buffer is full.

    :ivar dropped: how many lines were dropped since the last one that said so.
    :ivar total_dropped: how many lines were dropped since the start.
    """

    def __init__(self, stream: TextIO, daemon: str) -> None:
        self._stream = stream
        self._daemon = daemon
        self._lines: deque[bytes] = deque()
        self.dropped = 0
        self.total_dropped = 0

    def __call__(self, message: dict[str, Any]) -> None:
        """Take in a message; an eliot destination."""
        if len(self._lines) >= BUFFER_LINES:
            self.dropped += 1
            self.total_dropped += 1
            return
        message.pop("task_uuid", None)
        message.pop("task_level", None)
        message["daemon"] = self._daemon
        self._lines.append(msgspec.json.encode(message, enc_hook=str))

    def flush(self) -> None:
        """Write what is buffered; a reader that is slow costs lines, not time."""
        if self.dropped:
            count, self.dropped = self.dropped, 0
            self._lines.append(msgspec.json.encode({"message_type": "loomwind:log", "lost": count}))
        while self._lines:
            piece = bytearray()
            while self._lines and len(piece) < FLUSH_BYTES:
                piece += self._lines.popleft() + b"\n"
            try:
                os.write(self._stream.fileno(), piece)
            except BlockingIOError:
                self.dropped += piece.count(b"\n")
                self.total_dropped += piece.count(b"\n")
                return

    async def run(self) -> None:
        """Write for ever, a few times a second."""
        while True:
            await asyncio.sleep(FLUSH_SECONDS)
            self.flush()


def log_to_stderr() -> None:
    """Send all log lines of this process to standard error."""
    eliot.to_file(sys.stderr)


def log_to_stdout(daemon: str) -> BoundedWriter:
    """Send all log lines of this process to standard output, through a bounded buffer.

    :param daemon: the daemon's name, which each line carries.
    """
    writer = BoundedWriter(sys.stdout, daemon)
    eliot.add_destinations(writer)
    return writer


def log_state(subject: str, state: str, **fields: object) -> None:
    """Write one line about a change of state.

    :param subject: what changed, such as ``controller`` or ``engine``.
    :param state: the state that it is in now.
    :param fields: identities and figures that explain the change.
    """
    eliot.log_message(message_type=f"loomwind:{subject}", state=state, **fields)


def log_decision(decision: str, request_id: str, **fields: object) -> None:
    """Write one line about a decision that touches a request.

    :param fields: the inputs that decided it, and the outcome.
    """
    eliot.log_message(
        message_type="loomwind:request", decision=decision, request_id=request_id, **fields
    )
