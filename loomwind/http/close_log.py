"""Counts the closes of clients' connections, and logs those that may matter to a request."""

import enum
from collections import Counter
from collections.abc import Callable

import attrs
from prometheus_client import Counter as CounterMetric

from loomwind.clock import MS_PER_SECOND, Clock
from loomwind.http.connection_close import ClosedBy, CloseReason, ConnectionClose
from loomwind.http.messages import Headers
from loomwind.logs import log_state

SUBJECT = "connection"
SUMMARY_INTERVAL_MS = 5000.0
WINDOW_MS = MS_PER_SECOND
# Reasons that by themselves leave no request without a response.
ORDINARY_REASONS = frozenset(
    {
        CloseReason.IDLE_TIMEOUT,
        CloseReason.STOPPED_LISTENING,
        CloseReason.SHUTDOWN,
        CloseReason.DRAINING,
        CloseReason.NOT_REUSABLE,
        CloseReason.RESPONSE_WITHOUT_LENGTH,
        CloseReason.CLIENT_END,
    }
)
# Closes of idle connections by this process: a request may be on its way.
CROSSABLE_REASONS = frozenset(
    {CloseReason.IDLE_TIMEOUT, CloseReason.STOPPED_LISTENING, CloseReason.SHUTDOWN}
)


class CloseDetail(enum.Enum):
    """How a close is logged; the value is the largest number of such lines in a second.

    Together they stay far below what the log's buffer holds between two flushes.
    """

    NOTEWORTHY = 30
    CROSSABLE = 10
    ORDINARY = 0


def detail_of(close: ConnectionClose) -> CloseDetail:
    """Return how a close is logged."""
    has_unread = bool(close.buffered_bytes or close.unread_bytes)
    if close.is_request_open or has_unread or close.reason not in ORDINARY_REASONS:
        return CloseDetail.NOTEWORTHY
    if close.closed_by is ClosedBy.SERVER and close.reason in CROSSABLE_REASONS:
        return CloseDetail.CROSSABLE
    return CloseDetail.ORDINARY


class CloseLog:
    """Implements :class:`loomwind.http.connection_close.CloseObserver`.

    Each close is counted in the metric. Closes without a line of their own are counted in a
    summary line, which comes with the first close after its interval, and with :meth:`flush`.
    """

    def __init__(
        self, metric: CounterMetric, clock: Clock, request_id_of: Callable[[Headers], str]
    ) -> None:
        """Create a log.

        :param metric: has the labels ``by`` and ``reason``.
        :param request_id_of: returns the id in the headers of a request, or an empty text.
        """
        self.request_id = request_id_of
        self._metric = metric
        self._clock = clock
        self._summary: Counter[str] = Counter()
        self._summary_from_ms: float | None = None
        self._window_from_ms = 0.0
        self._window_lines: Counter[CloseDetail] = Counter()

    def on_close(self, close: ConnectionClose) -> None:
        """Count a close, and log it within the limits on the number of lines."""
        now_ms = self._clock.now_ms()
        self._metric.labels(close.closed_by.value, close.reason.value).inc()
        if self._may_log(detail_of(close), now_ms):
            log_state(SUBJECT, "closed", **_fields(close))
        else:
            self._summary[f"{close.closed_by.value} {close.reason.value}"] += 1
        if self._summary_from_ms is None:
            self._summary_from_ms = now_ms
        elif now_ms - self._summary_from_ms >= SUMMARY_INTERVAL_MS:
            self.flush()

    def _may_log(self, detail: CloseDetail, now_ms: float) -> bool:
        """Return whether the current second has room for a line, and take it."""
        if now_ms - self._window_from_ms >= WINDOW_MS:
            self._window_from_ms = now_ms
            self._window_lines.clear()
        if self._window_lines[detail] >= detail.value:
            return False
        self._window_lines[detail] += 1
        return True

    def flush(self) -> None:
        """Log how many closes had no line of their own since the last summary."""
        if self._summary and self._summary_from_ms is not None:
            log_state(
                SUBJECT,
                "closed-without-line",
                count=self._summary.total(),
                closes=dict(self._summary),
                seconds=round((self._clock.now_ms() - self._summary_from_ms) / MS_PER_SECOND, 3),
            )
        self._summary.clear()
        self._summary_from_ms = None


def _fields(close: ConnectionClose) -> dict[str, object]:
    """Return the fields of a close's line."""
    fields = attrs.asdict(close, recurse=False)
    fields["closed_by"], fields["reason"] = close.closed_by.value, close.reason.value
    return fields
