"""Fourth filter: holds requests until a back end has a free slot, fairly among groups."""

import asyncio
from collections import Counter
from collections.abc import Callable

from loomwind.pipeline.errors import Problem, RequestRefused
from loomwind.pipeline.fair_queue import FairQueue
from loomwind.pipeline.select import Selector
from loomwind.pipeline.types import AdmittedRequest, SelectedRequest, Target


class WaitingRequest:
    """A request in the queue, and the future that ends its wait."""

    def __init__(
        self, admitted: AdmittedRequest, selection: asyncio.Future[SelectedRequest]
    ) -> None:
        self.admitted = admitted
        self.selection = selection


class RequestQueue:
    """The waiting requests of one daemon."""

    def __init__(self, selector: Selector, weight: Callable[[str], float | None]) -> None:
        """Make an empty queue.

        :param weight: the places that this router was lent for a group, if any.
        """
        self._lent_slots = weight
        self.on_demand_changed: Callable[[], None] = lambda: None
        self.arrivals: Counter[tuple[Target, str]] = Counter()
        self._selector = selector
        self._queue: FairQueue[WaitingRequest] = FairQueue()
        self._waiting_by_target: Counter[Target] = Counter()

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    def waiting(self) -> list[AdmittedRequest]:
        """Return all waiting requests."""
        return [entry.admitted for entry in self._queue]

    def waiting_for(self, target: Target) -> int:
        """Return how many requests wait for a target."""
        return self._waiting_by_target[target]

    def waiting_in_group(self, group: str) -> int:
        """Return how many requests of a group wait."""
        return self._queue.count(group)

    async def wait(self, admitted: AdmittedRequest) -> SelectedRequest:
        """Wait for a slot at a back end.

        :raises RequestRefused: the wait was ended by :meth:`refuse_where`.
        """
        identified = admitted.identified
        selection: asyncio.Future[SelectedRequest] = asyncio.get_running_loop().create_future()
        entry = WaitingRequest(admitted, selection)
        weight = self._lent_slots(identified.group) or identified.share
        self._queue.push(identified.priority, identified.group, weight, entry)
        self._waiting_by_target[admitted.target] += 1
        self.dispatch()
        if not selection.done():
            self.on_demand_changed()
        try:
            return await selection
        except asyncio.CancelledError:
            self._withdraw(entry)
            raise
        finally:
            self._waiting_by_target[admitted.target] -= 1

    def _withdraw(self, entry: WaitingRequest) -> None:
        """Take a request out whose caller or deadline ended the wait."""
        identified = entry.admitted.identified
        self._queue.remove(identified.priority, identified.group, entry)
        if (
            entry.selection.done()
            and not entry.selection.cancelled()
            and not entry.selection.exception()
        ):
            self._selector.release(entry.selection.result())
            self.dispatch()
        self.on_demand_changed()

    def dispatch(self) -> None:
        """Give free slots to waiting requests, in fair order."""
        now = self._now()
        while True:
            entry = self._queue.pop(lambda e: self._selector.has_free_slot(e.admitted.target, now))
            if entry is None:
                return
            selected = self._selector.select(entry.admitted, now)
            if selected is None or entry.selection.done():
                continue
            entry.selection.set_result(selected)

    def refuse_matching(
        self, refusal_for: Callable[[AdmittedRequest], RequestRefused | None]
    ) -> None:
        """End the wait of each request for which ``judge`` returns a refusal."""
        for entry in list(self._queue):
            refusal = refusal_for(entry.admitted)
            if refusal is not None and not entry.selection.done():
                identified = entry.admitted.identified
                self._queue.remove(identified.priority, identified.group, entry)
                entry.selection.set_exception(refusal)


def check_queue_limit(waiting: int, limit: int, group: str) -> None:
    """Check that a group may have one more request waiting.

    :raises RequestRefused: it has as many as it may.
    """
    if waiting >= limit:
        detail = f"{waiting} requests of group {group} wait, the limit is {limit}"
        raise RequestRefused(Problem.TOO_MANY_WAITING, detail, retry_after_seconds=1.0)
