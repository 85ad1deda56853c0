"""Decides which requests a daemon that is being stopped can still serve. Does no I/O."""

import math
from collections import defaultdict, deque

from attrs import field, frozen

from loomwind.serving.views import CallerRequest, RouteRule

# Recent requests of a route from which the duration of the next one is expected.
RECENT_REQUESTS = 32
# A request may take somewhat longer than the longest recent one.
DURATION_MARGIN = 1.25


@frozen
class ServedRequest:
    """A request that was served to its end.

    :ivar seconds: time from its first send to a server to its end.
    :ivar new_tokens: the number of tokens that it asked for; 0 if it did not say.
    """

    seconds: float
    new_tokens: int


def _recent() -> defaultdict[str, deque[ServedRequest]]:
    return defaultdict(lambda: deque(maxlen=RECENT_REQUESTS))


@frozen
class RouteDurations:
    """How long recent requests took, by the name of their route."""

    _recent: defaultdict[str, deque[ServedRequest]] = field(factory=_recent)

    def record(self, route: str, request: ServedRequest) -> None:
        """Record a request that was served."""
        self._recent[route].append(request)

    def expected_seconds(self, route: str, new_tokens: int) -> float | None:
        """Return how long a request may take; None if none of its route was served.

        It is the longest of the recent ones, scaled up if the request asks for more tokens.
        """
        recent = self._recent.get(route)
        if not recent:
            return None
        return max(
            each.seconds * max(1.0, new_tokens / each.new_tokens if each.new_tokens else 1.0)
            for each in recent
        )

    def retain(self, routes: set[str]) -> None:
        """Forget routes that are not configured any more."""
        for route in self._recent.keys() - routes:
            del self._recent[route]


class PlannedStop:
    """The end of this daemon, once it is being stopped. Times are those of the event loop.

    :ivar durations: how long requests take.
    :ivar ends_at: when all requests have to have ended; infinite while the daemon is not stopped.
    """

    def __init__(self) -> None:
        self.durations = RouteDurations()
        self.ends_at = math.inf

    def begin(self, ends_at: float) -> None:
        """Record that the daemon is being stopped.

        :param ends_at: see :attr:`ends_at`.
        """
        self.ends_at = ends_at

    def limit(self, deadline: float) -> float:
        """Return the time until which a request with this deadline is served."""
        return min(deadline, self.ends_at)

    def has_time_for(
        self, route: RouteRule, caller: CallerRequest, now: float, deadline: float
    ) -> bool:
        """Whether a request that is sent to a server now is expected to end before the daemon does.

        One of a route without served requests is expected to take until its deadline.

        :param deadline: when its caller stops waiting for it.
        """
        if deadline <= self.ends_at:
            return True
        expected = self.durations.expected_seconds(route.name, caller.max_new_tokens)
        return expected is not None and now + DURATION_MARGIN * expected <= self.ends_at
