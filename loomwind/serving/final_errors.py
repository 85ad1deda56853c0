"""Chooses the error that ends a request, by whether the request may have run."""

from loomwind.http.server import Exchange
from loomwind.serving.errors import RETRY_SOON_SECONDS, Refused, StreamTruncated
from loomwind.serving.request_log import RequestProgress
from loomwind.serving.views import RouteRule

# Those that promise callers that a request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


def is_false_promise(status: int, route: RouteRule) -> bool:
    """Whether a server's answer to a request that ran would have its caller send it again.

    A caller may do so for a request that can be repeated.
    """
    return status in NOT_RUN_STATUSES and not route.repeatable


class FinalErrors:
    """The errors with which one request may end."""

    def __init__(self, exchange: Exchange, progress: RequestProgress) -> None:
        self._exchange = exchange
        self._progress = progress

    @property
    def has_not_run(self) -> bool:
        """Whether no server can have run the request and no response has begun."""
        return self._progress.has_not_run and not self._exchange.started

    def failure(
        self, reason: str, retry_after_seconds: float | None = RETRY_SOON_SECONDS
    ) -> Refused | StreamTruncated:
        """Return the error after a failure: 503 with Retry-After only if it has not run."""
        if self._exchange.started:
            return StreamTruncated(reason)
        if self._progress.has_not_run:
            return Refused(503, reason, retry_after_seconds)
        return Refused(502, reason)

    def timeout(self) -> Refused | StreamTruncated:
        """Return the error when the time is over; a server may still run the request."""
        if self._exchange.started:
            return StreamTruncated("the time is over")
        if self._progress.has_not_run:
            detail = "no server could take the request in time"
            return Refused(503, detail, RETRY_SOON_SECONDS)
        return Refused(504, "no answer in time")

    def peer_refusal(self, refusal: Refused) -> Refused | StreamTruncated:
        """Return the error for a peer's refusal: earlier attempts, unknown to it, may have run."""
        if refusal.status in NOT_RUN_STATUSES and not self.has_not_run:
            return self.failure(str(refusal))
        if self._exchange.started:
            return StreamTruncated(str(refusal))
        return refusal
