"""How long a server may be silent before a request goes elsewhere. Pure."""

from loomwind.serving.views import RequestKind, RouteRule

MIN_STREAM_TIMEOUT_SECONDS = 1.2
TIMEOUT_PER_OBJECTIVE = 2.0
MIN_TIMEOUT_SECONDS = 0.25


def inactivity_timeout_seconds(route: RouteRule, runs: int, has_other: bool) -> float | None:
    """Return the longest silence before an answer; None when the request must wait.

    :param runs: how often the request may have run already.
    :param has_other: whether another server could run it.
    """
    if not route.repeatable or runs + 1 >= route.max_attempts or not has_other:
        return None
    timeout = TIMEOUT_PER_OBJECTIVE * route.objective_seconds
    if route.kind is RequestKind.STREAMING:
        return max(timeout, MIN_STREAM_TIMEOUT_SECONDS)
    return max(timeout, MIN_TIMEOUT_SECONDS)
