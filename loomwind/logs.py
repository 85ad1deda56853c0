"""Structured logs with eliot: one JSON line for each state change and each decision.

Lines go through a bounded buffer that a background task flushes, so that logging never blocks a
request. Lines that do not fit are dropped, and a later line reports their number.
"""

import asyncio
import os
import sys
from collections import deque
from typing import Any, TextIO

import eliot
import msgspec

MAX_BUFFERED_LINES = 2000
FLUSH_INTERVAL_SECONDS = 0.1
MAX_WRITE_BYTES = 60_000


class BoundedWriter:
    """Buffers log lines until they are flushed; drops new lines while the buffer is full.

    :ivar dropped: number of lines dropped since the last line that reported drops.
    :ivar total_dropped: number of lines dropped since the start.
    """

    def __init__(self, stream: TextIO, daemon: str) -> None:
        self._stream = stream
        self._daemon = daemon
        self._lines: deque[bytes] = deque()
        self.dropped = 0
        self.total_dropped = 0

    def __call__(self, message: dict[str, Any]) -> None:
        """Buffer a message; implements an eliot destination."""
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            self.total_dropped += 1
            return
        message.pop("task_uuid", None)
        message.pop("task_level", None)
        message["daemon"] = self._daemon
        self._lines.append(msgspec.json.encode(message, enc_hook=str))

    def flush(self) -> None:
        """Write the buffered lines; drops lines instead of blocking if the reader is slow."""
        if self.dropped:
            count, self.dropped = self.dropped, 0
            self._lines.append(msgspec.json.encode({"message_type": "loomwind:log", "lost": count}))
        while self._lines:
            batch = bytearray()
            while self._lines and len(batch) < MAX_WRITE_BYTES:
                batch += self._lines.popleft() + b"\n"
            try:
                os.write(self._stream.fileno(), batch)
            except BlockingIOError:
                self.dropped += batch.count(b"\n")
                self.total_dropped += batch.count(b"\n")
                return

    async def run(self) -> None:
        """Flush periodically until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_SECONDS)
            self.flush()


def log_to_stderr() -> None:
    """Log to standard error, without the bounded buffer."""
    eliot.to_file(sys.stderr)


def log_to_stdout(daemon: str) -> BoundedWriter:
    """Log to standard output through a bounded buffer.

    :param daemon: name of the daemon, added to each line.
    """
    writer = BoundedWriter(sys.stdout, daemon)
    eliot.add_destinations(writer)
    return writer


def log_state(subject: str, state: str, **fields: object) -> None:
    """Log a state change.

    :param subject: what changed, such as ``controller`` or ``engine``.
    :param state: the new state.
    :param fields: names and values that explain the change.
    """
    eliot.log_message(message_type=f"loomwind:{subject}", state=state, **fields)


def log_decision(decision: str, request_id: str, **fields: object) -> None:
    """Log a decision about a request.

    :param fields: the inputs of the decision, and its outcome.
    """
    eliot.log_message(
        message_type="loomwind:request", decision=decision, request_id=request_id, **fields
    )
