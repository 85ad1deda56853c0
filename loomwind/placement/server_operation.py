"""An order that a model server is executing. No I/O; time is passed in."""

from msgspec import Struct

from loomwind.clock import MS_PER_SECOND
from loomwind.placement.store_concurrency import FinishedLoad, LoadInProgress
from loomwind.serving.views import ModelKey, OrderKind

# Average age of a report: a load finished this long before a report shows it.
REPORT_AGE_SECONDS = 0.2


class Operation(Struct, frozen=True):
    """An order that a server is executing.

    :param done_at: expected completion time according to the model's profile.
    :param expected_seconds: expected duration according to the model's profile.
    :param from_store: whether the weights are loaded from the weight store.
    :param overdue: whether a report has shown that it takes longer than expected.
    :param revision: the server's revision while it executes this order, which is one more than
        the order expects: it accepts no other one meanwhile.
    """

    kind: OrderKind
    target: ModelKey
    began: float
    done_at: float
    expected_seconds: float = 0.0
    from_store: bool = False
    overdue: bool = False
    revision: int = 0

    def in_progress(self) -> LoadInProgress:
        """Return the measurement for a load that has not finished."""
        return LoadInProgress(self.began * MS_PER_SECOND, self.expected_seconds * MS_PER_SECOND)

    def finished(self, now: float, on_time: bool) -> FinishedLoad:
        """Return the measurement for a load that a report shows to be finished.

        :param on_time: whether it was assumed to be complete before that report.
        """
        expected_done = self.began + self.expected_seconds
        done = expected_done if on_time else max(expected_done, now - REPORT_AGE_SECONDS)
        return FinishedLoad(
            self.began * MS_PER_SECOND, done * MS_PER_SECOND, self.expected_seconds * MS_PER_SECOND
        )
