"""Counts and logs the responses that were skipped, since they belong to another request."""

from prometheus_client import Counter

from loomwind.http.client_connection import SurplusResponse
from loomwind.logs import log_decision


class SurplusLog:
    """Records each surplus response of a server."""

    def __init__(self, counter: Counter) -> None:
        """Create a log.

        :param counter: has the label ``status``.
        """
        self._counter = counter

    def record(self, response: SurplusResponse) -> None:
        """Count and log one response."""
        self._counter.labels(str(response.status)).inc()
        log_decision(
            "surplus-response",
            response.request_id,
            server=response.address,
            connection=response.connection,
            response_id=response.response_id,
            status=response.status,
        )
