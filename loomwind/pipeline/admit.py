"""Third stage: refuses requests that cannot meet their deadline. Pure; times in seconds."""

from msgspec import Struct

from loomwind.pipeline.errors import Problem, RequestRefused
from loomwind.pipeline.queue import check_queue_limit
from loomwind.pipeline.types import AdmittedRequest, IdentifiedRequest

CONTROLLER_RETRY_AFTER_SECONDS = 5.0


class AdmissionView(Struct, frozen=True):
    """The state that an admission decision depends on.

    :param ready: whether any back end serves the target now.
    :param estimate_seconds: the expected time until one does; None if unknown.
    :param has_controller: whether the cell has a controller, or had one recently.
    :param waiting: the number of requests of the group in this daemon's queue.
    :param queue_seconds: the expected wait in the queue; 0 if unknown.
    """

    ready: bool
    estimate_seconds: float | None
    has_controller: bool
    waiting: int
    queue_seconds: float


def admit(identified: IdentifiedRequest, view: AdmissionView, now: float) -> AdmittedRequest:
    """Return the admitted request.

    :raises RequestRefused: the queue is full, or the request cannot be served in time.
    """
    check_queue_limit(view.waiting, identified.max_waiting, identified.group)
    refusal = refusal_for(identified, view, now)
    if refusal is not None:
        raise refusal
    return AdmittedRequest(identified)


def refusal_for(
    identified: IdentifiedRequest, view: AdmissionView, now: float
) -> RequestRefused | None:
    """Return a refusal if the request cannot be served in time, otherwise None."""
    remaining = identified.parsed.deadline - now
    if view.ready:
        if view.queue_seconds > remaining:
            return _too_late(remaining, view.queue_seconds)
        return None
    if view.estimate_seconds is not None and view.estimate_seconds > remaining:
        return _too_late(remaining, view.estimate_seconds)
    if not view.has_controller:
        detail = "the target is not ready, and the cell has no controller to make it so"
        return RequestRefused(
            Problem.NO_CONTROLLER, detail, retry_after_seconds=CONTROLLER_RETRY_AFTER_SECONDS
        )
    return None


def _too_late(remaining: float, needed: float) -> RequestRefused:
    detail = f"{max(remaining, 0.0):.2f} s are left, {needed:.2f} s are needed"
    return RequestRefused(Problem.CANNOT_MEET_DEADLINE, detail, retry_after_seconds=needed)
