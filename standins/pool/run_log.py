"""Records the runs and the stalls of a stand-in server, in a file that outlives its process."""

import asyncio
import json
import os
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

STALL_POLL_SECONDS = 0.05
MIN_STALL_SECONDS = 0.1


class RunLog:
    """Runs by request id, and the times at which each began and ended.

    :ivar runs: number of runs.
    :ivar cancelled: number of runs whose connection was closed before their end.
    """

    def __init__(self, path: str = "") -> None:
        """Create a log.

        :param path: file to append to; empty for none.
        """
        self.runs: Counter[str] = Counter()
        self.cancelled: Counter[str] = Counter()
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._file = os.open(path, flags, 0o644) if path else None

    @contextmanager
    def run(self, request_id: str) -> Iterator[None]:
        """Record a run for the duration of the context."""
        self.runs[request_id] += 1
        self._append(request_id, "begun")
        end = "failed"
        try:
            yield
            end = "done"
        except asyncio.CancelledError:
            end = "cancelled"
            self.cancelled[request_id] += 1
            raise
        finally:
            self._append(request_id, end)

    async def watch_stalls(self) -> None:
        """Record for ever when the process stood still, whatever held it up."""
        while True:
            slept_from = time.time()
            await asyncio.sleep(STALL_POLL_SECONDS)
            late_seconds = time.time() - slept_from - STALL_POLL_SECONDS
            if late_seconds >= MIN_STALL_SECONDS:
                self._append("", "stalled", late_seconds)

    def _append(self, request_id: str, event: str, seconds: float = 0.0) -> None:
        """Write a line at once: a process that is killed loses nothing it has recorded."""
        if self._file is None:
            return
        fields = {"at_s": time.time(), "request_id": request_id, "event": event, "seconds": seconds}
        os.write(self._file, json.dumps(fields).encode() + b"\n")
