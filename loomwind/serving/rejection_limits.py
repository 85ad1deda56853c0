"""Which servers fall over when they reject too many requests, by what they say. No I/O.

What a server has said to this daemon counts first. A server that has not answered here yet is taken
to be like the others of its service, as any daemon has heard them.
"""

from collections.abc import Iterable

from attrs import define, field
from msgspec import Struct

from loomwind.serving.views import ServerEntry

# Answers of different servers overlap while their service changes its word.
OVERLAP_MS = 2000.0
# Without a word for so long, nothing is known any more.
FORGET_AFTER_MS = 60_000.0


class ServiceRejectionLimit(Struct, frozen=True, array_like=True):
    """How many rejections in a second the servers of a service stand, as a daemon has heard.

    :param known_for_ms: the time since it was first heard.
    :param age_ms: the time since it was last heard.
    """

    service: str
    max_per_second: int
    known_for_ms: float
    age_ms: float


@define
class _ServiceState:
    """What is known of a service.

    :ivar since_ms: when a limit was first heard.
    :ivar said_ms: when a limit was last heard.
    :ivar unsaid_ms: when a server last answered without one.
    :ivar by_instance: what each server has said to this daemon; None for no limit.
    """

    max_per_second: int
    since_ms: float
    said_ms: float
    unsaid_ms: float = float("-inf")
    by_instance: dict[str, int | None] = field(factory=dict)

    def is_active(self, now_ms: float) -> bool:
        """Whether servers that have not answered yet are taken to have the limit."""
        return not self.is_withdrawn() and now_ms - self.said_ms < FORGET_AFTER_MS

    def is_withdrawn(self) -> bool:
        """Whether servers have answered without a limit since they last stated one."""
        return self.unsaid_ms > self.said_ms + OVERLAP_MS


class RejectionLimits:
    """The limits of all services."""

    def __init__(self) -> None:
        self._services: dict[str, _ServiceState] = {}

    def observe(self, entry: ServerEntry, max_per_second: int | None, now_ms: float) -> bool:
        """Record what a server's answer says; returns whether a limit of its service is news."""
        state = self._services.get(entry.service)
        if max_per_second is None:
            if state is not None:
                state.unsaid_ms = now_ms
                state.by_instance[entry.instance] = None
            return False
        is_news = state is None or not state.is_active(now_ms)
        if state is None or is_news:
            state = _ServiceState(max_per_second, now_ms, now_ms)
            self._services[entry.service] = state
        state.said_ms = now_ms
        state.max_per_second = max_per_second
        state.by_instance[entry.instance] = max_per_second
        return is_news

    def adopt(self, limits: Iterable[ServiceRejectionLimit], now_ms: float) -> bool:
        """Record what a peer has heard; returns whether any of it is news."""
        is_news = False
        for limit in limits:
            state = self._services.get(limit.service)
            said_ms = now_ms - limit.age_ms
            if state is not None and said_ms <= max(state.said_ms, state.unsaid_ms - OVERLAP_MS):
                continue
            if state is None or not state.is_active(now_ms):
                since_ms = now_ms - limit.known_for_ms
                state = _ServiceState(limit.max_per_second, since_ms, said_ms)
                self._services[limit.service] = state
                is_news = True
            state.said_ms = said_ms
            state.max_per_second = limit.max_per_second
        return is_news

    def limit_of(self, entry: ServerEntry, now_ms: float) -> int | None:
        """Return how many rejections in a second a server stands; None for any number."""
        state = self._services.get(entry.service)
        if state is None:
            return None
        if entry.instance in state.by_instance:
            return state.by_instance[entry.instance]
        return state.max_per_second if state.is_active(now_ms) else None

    def is_known(self, service: str) -> bool:
        """Whether a limit of a service was ever heard."""
        return service in self._services

    def is_withdrawn(self, service: str) -> bool:
        """Whether the servers of a service state no limit any more."""
        state = self._services.get(service)
        return state is not None and state.is_withdrawn()

    def known_for_ms(self, service: str, now_ms: float) -> float:
        """Return the time since a limit of a service was first heard; 0 if there is none."""
        state = self._services.get(service)
        return 0.0 if state is None else now_ms - state.since_ms

    def active(self, now_ms: float) -> tuple[ServiceRejectionLimit, ...]:
        """Return the limits that peers should know."""
        return tuple(
            ServiceRejectionLimit(
                service, state.max_per_second, now_ms - state.since_ms, now_ms - state.said_ms
            )
            for service, state in self._services.items()
            if state.is_active(now_ms)
        )

    def retain_only(self, instances: set[str]) -> None:
        """Drop what is known of all servers but the given ones."""
        for state in self._services.values():
            state.by_instance = {
                name: limit for name, limit in state.by_instance.items() if name in instances
            }
