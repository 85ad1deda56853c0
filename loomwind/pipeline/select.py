"""Fifth stage: selects a back end, and counts the slots in use."""

from collections import Counter

from msgspec import Struct

from loomwind.pipeline.circuit import CircuitBreaker
from loomwind.pipeline.routing_table import RoutingTable
from loomwind.pipeline.types import AdmittedRequest, Backend, SelectedRequest, Target

APPLICATION_SLOTS = 256
SERVICE_TIME_SMOOTHING = 0.1


class Candidate(Struct, frozen=True):
    """A back end that serves the target of a request.

    :param running: the number of requests of this daemon that run there.
    :param same_zone: whether it is in the same zone as the daemon.
    """

    backend: Backend
    running: int
    slots: int
    same_zone: bool


def least_loaded(candidates: list[Candidate]) -> Candidate | None:
    """Return the least loaded candidate with a free slot; at equal load, one in the same zone."""
    free = [c for c in candidates if c.running < c.slots]
    return min(
        free, key=lambda c: (c.running / c.slots, not c.same_zone, c.backend.name), default=None
    )


class Selector:
    """Selects back ends by load, and tracks slots, circuit breakers and service times."""

    def __init__(self, table: RoutingTable, zone: str) -> None:
        self.running: Counter[str] = Counter()
        self.running_by_target: Counter[tuple[Target, str]] = Counter()
        self._table = table
        self._zone = zone
        self._circuits: dict[str, CircuitBreaker] = {}
        self._service_seconds: dict[Target, float] = {}

    def circuit(self, backend: str) -> CircuitBreaker:
        """Return the circuit breaker of a back end."""
        return self._circuits.setdefault(backend, CircuitBreaker())

    def candidates(self, target: Target, now: float) -> list[Candidate]:
        """Return the back ends that serve a target and whose circuit breaker allows a request."""
        candidates = []
        for backend in self._table.backends(target):
            if self.circuit(backend.name).allows(now):
                slots = self._table.slots(backend.name) or APPLICATION_SLOTS
                same_zone = backend.zone == self._zone
                running = self.running[backend.name]
                candidates.append(Candidate(backend, running, slots, same_zone))
        return candidates

    def has_free_slot(self, target: Target, now: float) -> bool:
        """Return whether a request for a target could be sent now."""
        return least_loaded(self.candidates(target, now)) is not None

    def select(self, admitted: AdmittedRequest, now: float) -> SelectedRequest | None:
        """Assign a slot to a request; return None if no back end has a free one."""
        chosen = least_loaded(self.candidates(admitted.target, now))
        if chosen is None:
            return None
        self.circuit(chosen.backend.name).record_sent()
        self.running[chosen.backend.name] += 1
        self.running_by_target[(admitted.target, admitted.identified.group)] += 1
        return SelectedRequest(admitted, chosen.backend)

    def record_service_time(self, target: Target, seconds: float) -> None:
        """Add the slot time of an answered request to the target's moving average."""
        average = self._service_seconds.get(target, seconds)
        self._service_seconds[target] = average + SERVICE_TIME_SMOOTHING * (seconds - average)

    def queue_seconds(self, target: Target, waiting: int, now: float) -> float:
        """Return the expected wait behind the waiting requests; 0 if no service time is known."""
        candidates = self.candidates(target, now)
        slots = sum(candidate.slots for candidate in candidates)
        service = self._service_seconds.get(target, 0.0)
        return waiting * service / slots if slots else 0.0

    def release(self, selected: SelectedRequest) -> None:
        """Release the slot of a request."""
        self.running[selected.backend.name] -= 1
        identified = selected.admitted.identified
        self.running_by_target[(identified.target, identified.group)] -= 1
