"""Third filter: refuses at once what cannot be served in time. Pure decisions, times in seconds."""

from msgspec import Struct

from loomwind.pipeline.errors import Problem, RequestRefused
from loomwind.pipeline.queue import check_queue_limit
from loomwind.pipeline.types import AdmittedRequest, IdentifiedRequest

CONTROLLER_RETRY_SECONDS = 5.0


class AdmissionView(Struct, frozen=True):
    """What admission decides on.

    :param ready: whether some back end serves the target now.
    :param estimate_seconds: when one is expected to; None when unknown.
    :param controlled: whether the cell has a controller, or had one a moment ago.
    :param waiting: requests of the group that wait here.
    :param queue_seconds: expected wait behind those ahead; 0 when unknown.
    """

    ready: bool
    estimate_seconds: float | None
    controlled: bool
    waiting: int
    queue_seconds: float


def admit(identified: IdentifiedRequest, view: AdmissionView, now: float) -> AdmittedRequest:
    """Return the admitted request.

    :raises RequestRefused: it cannot be served in time.
    """
    check_queue_limit(view.waiting, identified.max_waiting, identified.group)
    refusal = refusal_for(identified, view, now)
    if refusal is not None:
        raise refusal
    return AdmittedRequest(identified)


def refusal_for(
    identified: IdentifiedRequest, view: AdmissionView, now: float
) -> RequestRefused | None:
    """Return the refusal of a request that cannot be served in time, or None."""
    left = identified.parsed.deadline - now
    if view.ready:
        if view.queue_seconds > left:
            return _too_late(left, view.queue_seconds)
        return None
    if view.estimate_seconds is not None and view.estimate_seconds > left:
        return _too_late(left, view.estimate_seconds)
    if not view.controlled:
        detail = "the target is not ready, and the cell has no controller to make it so"
        return RequestRefused(
            Problem.NO_CONTROLLER, detail, retry_after_seconds=CONTROLLER_RETRY_SECONDS
        )
    return None


def _too_late(left: float, needed: float) -> RequestRefused:
    detail = f"{max(left, 0.0):.2f} s are left, {needed:.2f} s are needed"
    return RequestRefused(Problem.CANNOT_MEET_DEADLINE, detail, retry_after_seconds=needed)
