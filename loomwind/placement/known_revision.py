"""The revision that a server's process has at least. No I/O."""

from attrs import define

from loomwind.serving.views import Order, OrderAnswer, ServerReport


@define
class KnownRevision:
    """What reports and accepted orders have shown; a process never goes back to an earlier one.

    :ivar started_at_ms: start of the process, in Unix time; None when it is not published.
    """

    revision: int = 0
    started_at_ms: int | None = None

    def is_outdated(self, report: ServerReport) -> bool:
        """Whether a report was made before the known revision.

        Without the start time of its process, a lower revision may be that of a restarted one.
        """
        if report.started_at_ms is None or report.started_at_ms != self.started_at_ms:
            return False
        return report.revision < self.revision

    def record_report(self, report: ServerReport) -> None:
        """Process a report that is not outdated."""
        self.revision = report.revision
        self.started_at_ms = report.started_at_ms

    def record_answer(self, order: Order, answer: OrderAnswer) -> None:
        """Process the answer to an order; each order that the server accepts is a revision."""
        if answer is OrderAnswer.ACCEPTED:
            self.revision = max(self.revision, order.expected_revision + 1)
