"""When a server counts as silent, and which other server may take over from it. No I/O."""

from attrs import frozen

from loomwind.clock import MS_PER_SECOND
from loomwind.serving.views import RequestKind, RouteRule

# A sound server may pause for a second or so. Callers stay for at least 2 s without an event, and
# another server needs the rest of that to go on.
LONGEST_PAUSE_MS = 1300.0
# A peer moves the streams that it relays by itself first, with what that takes.
PEER_SILENCE_MS = LONGEST_PAUSE_MS + 400.0
# Of the time that a caller stays, the first server gets half, and another one the rest.
START_FRACTION = 0.5
# So many requests at once may be moved to a server that has fewer in progress.
MIN_MOVES_AT_ONCE = 2


def start_silence_ms(route: RouteRule, timeout_ms: float) -> float | None:
    """Return how long a server may take to begin a response until it counts as silent.

    :param timeout_ms: how long the caller waits for the whole response, from its request on.
    :returns: None when the request cannot be repeated, and has to wait for this server.
    """
    if not route.repeatable:
        return None
    stays_ms = min(route.event_timeout_seconds * MS_PER_SECOND, timeout_ms)
    if route.kind is RequestKind.STREAMING:
        return max(START_FRACTION * stays_ms, LONGEST_PAUSE_MS)
    return START_FRACTION * stays_ms


def event_silence_ms(
    route: RouteRule, timeout_ms: float, events: int, is_peer: bool
) -> float | None:
    """Return how long a stream may bring no data until its server counts as silent.

    :param timeout_ms: how long the caller waits for the whole response, from its request on.
    :param events: the number of events so far, of all attempts.
    :param is_peer: whether a peer relays the stream.
    """
    if not route.repeatable or not events:
        return start_silence_ms(route, timeout_ms)
    return PEER_SILENCE_MS if is_peer else LONGEST_PAUSE_MS


@frozen
class Liveness:
    """The state of a server, as this daemon observes it.

    :ivar last_received_ms: when data last came from it.
    :ivar in_flight: the number of this daemon's requests in progress there, with those that are
        being moved to it.
    :ivar is_suspect: whether it failed recently, or is silent itself.
    :ivar moves: the number of requests that are being moved to it.
    """

    last_received_ms: float
    in_flight: int
    is_suspect: bool
    moves: int = 0

    @property
    def may_take_more(self) -> bool:
        """Whether one more request may be moved to it: moves at most double what it works on."""
        return self.moves < max(MIN_MOVES_AT_ONCE, self.in_flight - self.moves)


@frozen
class Silence:
    """The silence of a server that has a request.

    :ivar since_ms: when it last sent data of the request.
    :ivar has_begun: whether the caller has got the head of a response.
    """

    since_ms: float
    has_begun: bool = False

    def may_be_taken_over(self, other: Liveness) -> bool:
        """Whether the request may be sent to another server as well.

        It has sent data since, or had no reason to. When all servers are silent at once, the cause
        is rarely theirs, and a move gains nothing.
        """
        if other.is_suspect or not other.may_take_more:
            return False
        return other.last_received_ms >= self.since_ms or other.in_flight == 0
