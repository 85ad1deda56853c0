"""Records what the close of one client's connection is reported with."""

import asyncio

from loomwind.clock import Clock
from loomwind.http.connection_close import (
    ClosedBy,
    CloseObserver,
    CloseReason,
    ConnectionClose,
    ConnectionPhase,
)
from loomwind.http.messages import Headers
from loomwind.http.sockets import unread_bytes


class CloseRecorder:
    """Follows one connection and reports its close to the server's observer, once.

    :ivar requests: the number of requests that were read or refused.
    """

    def __init__(
        self, observer: CloseObserver | None, transport: asyncio.Transport, clock: Clock
    ) -> None:
        """Begin to follow a connection that has just been made.

        :param observer: None to report nothing.
        """
        self._observer = observer
        self._transport = transport
        self._clock = clock
        self._opened_ms = clock.now_ms()
        self._last_byte_ms: float | None = None
        self._request_id = ""
        self._is_reported = False
        self.requests = 0

    @property
    def has_read(self) -> bool:
        """Return whether anything was read."""
        return self._last_byte_ms is not None

    def record_data(self) -> None:
        """Record that data was read."""
        self._last_byte_ms = self._clock.now_ms()

    def record_head(self, headers: Headers) -> None:
        """Record the head of the request in progress; empty headers if it was not read whole."""
        if self._observer is not None:
            self._request_id = self._observer.request_id(headers)

    def report(
        self, closed_by: ClosedBy, reason: CloseReason, phase: ConnectionPhase, error: str = ""
    ) -> None:
        """Report the close; later calls do nothing."""
        if self._observer is None or self._is_reported:
            return
        self._is_reported = True
        now_ms, last_byte_ms = self._clock.now_ms(), self._last_byte_ms
        peer = self._transport.get_extra_info("peername")
        self._observer.on_close(
            ConnectionClose(
                closed_by,
                reason,
                error,
                client="" if peer is None else f"{peer[0]}:{peer[1]}",
                phase=phase.name,
                requests=self.requests,
                request_id=self._request_id,
                is_request_open=phase.is_request_open,
                buffered_bytes=phase.buffered_bytes,
                unread_bytes=unread_bytes(self._transport),
                unsent_bytes=self._transport.get_write_buffer_size(),
                last_byte_age_ms=None if last_byte_ms is None else round(now_ms - last_byte_ms, 1),
                age_ms=round(now_ms - self._opened_ms, 1),
            )
        )
