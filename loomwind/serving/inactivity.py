"""Inactivity timeouts: when a request stops waiting for a server that sends nothing. No I/O."""

from loomwind.serving.views import RequestKind, RouteRule

MIN_STREAM_TIMEOUT_SECONDS = 1.2
TIMEOUT_PER_OBJECTIVE = 2.0
MIN_TIMEOUT_SECONDS = 0.25


def inactivity_timeout_seconds(route: RouteRule, runs: int, has_other: bool) -> float | None:
    """Return the time to wait for the start of a response; None for no timeout.

    There is none when the request cannot be retried at another server.

    :param runs: how many attempts at the request may have run.
    :param has_other: whether another server could run it.
    """
    if not route.repeatable or runs + 1 >= route.max_attempts or not has_other:
        return None
    timeout = TIMEOUT_PER_OBJECTIVE * route.objective_seconds
    if route.kind is RequestKind.STREAMING:
        return max(timeout, MIN_STREAM_TIMEOUT_SECONDS)
    return max(timeout, MIN_TIMEOUT_SECONDS)
