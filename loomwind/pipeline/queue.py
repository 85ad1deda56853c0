"""Fourth stage: queues requests until a back end has a free slot, with fairness among groups."""

import asyncio
from collections import Counter
from collections.abc import Callable

from loomwind.pipeline.errors import Problem, RequestRefused
from loomwind.pipeline.fair_queue import FairQueue
from loomwind.pipeline.select import Selector
from loomwind.pipeline.types import AdmittedRequest, SelectedRequest, Target


class WaitingRequest:
    """A request in the queue, and the future of its selected back end."""

    def __init__(
        self, admitted: AdmittedRequest, selection: asyncio.Future[SelectedRequest]
    ) -> None:
        self.admitted = admitted
        self.selection = selection


class RequestQueue:
    """The queue of one daemon."""

    def __init__(self, selector: Selector, group_slots: Callable[[str], float | None]) -> None:
        """Create an empty queue.

        :param group_slots: returns the slots allocated to this router for a group, if any.
        """
        self._group_slots = group_slots
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
        """Return the number of requests that wait for a target."""
        return self._waiting_by_target[target]

    def waiting_in_group(self, group: str) -> int:
        """Return the number of waiting requests of a group."""
        return self._queue.count(group)

    async def wait(self, admitted: AdmittedRequest) -> SelectedRequest:
        """Wait for a slot at a back end.

        :raises RequestRefused: :meth:`refuse_matching` refused the request.
        """
        identified = admitted.identified
        selection: asyncio.Future[SelectedRequest] = asyncio.get_running_loop().create_future()
        entry = WaitingRequest(admitted, selection)
        weight = self._group_slots(identified.group) or identified.share
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
        """Remove a cancelled request, and release its slot if it was just assigned one."""
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
        """Assign free slots to waiting requests in fair order."""
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
        """Remove each request for which ``refusal_for`` returns a refusal; its wait raises that."""
        for entry in list(self._queue):
            refusal = refusal_for(entry.admitted)
            if refusal is not None and not entry.selection.done():
                identified = entry.admitted.identified
                self._queue.remove(identified.priority, identified.group, entry)
                entry.selection.set_exception(refusal)


def check_queue_limit(waiting: int, limit: int, group: str) -> None:
    """Check that the queue limit of a group allows another request.

    :raises RequestRefused: the group has reached its limit.
    """
    if waiting >= limit:
        detail = f"{waiting} requests of group {group} wait, the limit is {limit}"
        raise RequestRefused(Problem.TOO_MANY_WAITING, detail, retry_after_seconds=1.0)
