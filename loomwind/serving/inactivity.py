"""When a server counts as silent, and which other server may take over from it. No I/O."""

from collections.abc import Iterable

from attrs import frozen

from loomwind.clock import MS_PER_SECOND
from loomwind.serving.views import RequestKind, RouteRule

# A sound server may pause for a second or so. Callers stay for at least 2 s without an event, and
# another server needs the rest of that to go on.
LONGEST_PAUSE_MS = 1300.0
# A peer moves the streams that it relays by itself first, with what that takes.
PEER_SILENCE_MS = LONGEST_PAUSE_MS + 400.0
TIMEOUT_PER_OBJECTIVE = 2.0
MIN_TIMEOUT_MS = 250.0


def start_silence_ms(route: RouteRule) -> float | None:
    """Return how long a server may take to begin a response until it counts as silent.

    :returns: None when the request cannot be repeated, and has to wait for this server.
    """
    if not route.repeatable:
        return None
    timeout_ms = TIMEOUT_PER_OBJECTIVE * route.objective_seconds * MS_PER_SECOND
    if route.kind is RequestKind.STREAMING:
        return max(timeout_ms, LONGEST_PAUSE_MS)
    return max(timeout_ms, MIN_TIMEOUT_MS)


def event_silence_ms(route: RouteRule, events: int, is_peer: bool) -> float | None:
    """Return how long a stream may bring no data until its server counts as silent.

    :param events: the number of events so far, of all attempts.
    :param is_peer: whether a peer relays the stream.
    """
    if not route.repeatable or not events:
        return start_silence_ms(route)
    return PEER_SILENCE_MS if is_peer else LONGEST_PAUSE_MS


@frozen
class Liveness:
    """What this daemon has seen of a server.

    :ivar last_received_ms: when data last came from it.
    :ivar in_flight: the number of this daemon's requests in progress there.
    :ivar is_doubted: whether it failed recently, or is silent itself.
    """

    last_received_ms: float
    in_flight: int
    is_doubted: bool


@frozen
class Silence:
    """The silence of a server that has a request.

    :ivar since_ms: when it last sent data of the request.
    :ivar is_heard: whether it has sent data of other requests since.
    :ivar has_begun: whether the caller has got the head of a response.
    """

    since_ms: float
    is_heard: bool = False
    has_begun: bool = False

    def may_be_taken_over(self, other: Liveness) -> bool:
        """Whether another server may take the request over.

        It has sent data since, or had no reason to. When all servers are silent at once, the cause
        is rarely theirs, and a move gains nothing.
        """
        return not other.is_doubted and (self._has_answered(other) or other.in_flight == 0)

    def is_certain(self, other: Liveness, others: Iterable[Liveness], now_ms: float) -> bool:
        """Whether the other server may be relied on before it has responded.

        Not as long as the silent one may only pause. One that is heard works on other requests
        first; the other one may do the same.

        :param others: all servers but the silent one.
        """
        if self.is_heard or now_ms - self.since_ms < LONGEST_PAUSE_MS:
            return False
        return self._has_answered(other) or any(self._has_answered(each) for each in others)

    def _has_answered(self, other: Liveness) -> bool:
        return other.last_received_ms >= self.since_ms
