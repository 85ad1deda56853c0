"""Tracks whether this daemon can connect to the servers of a service. Does no I/O.

One failed connect indicates a fault of that server. If several servers refuse connections and none
accepts one in between, the fault is more likely on this daemon's side of the network.
"""

import enum
from collections.abc import Callable

from loomwind.logs import log_state

# With a lower limit, the crash of one server would look like a network partition.
MIN_FAILED_SERVERS = 2


class ConnectivityState(enum.Enum):
    """Whether the servers of a service are considered reachable."""

    REACHABLE = "reached"
    SUSPECT = "doubted"
    UNREACHABLE = "cut"


class ServiceConnectivity:
    """The connectivity of one service, derived from connection attempts to its servers."""

    def __init__(
        self,
        service: str = "",
        on_probe_needed: Callable[[], None] = lambda: None,
        on_recovered: Callable[[], None] = lambda: None,
    ) -> None:
        """Start in the reachable state.

        :param on_probe_needed: called when a probe should check the connectivity.
        :param on_recovered: called when unreachable servers become reachable again.
        """
        self._service = service
        self._on_probe_needed = on_probe_needed
        self._on_recovered = on_recovered
        self._probe_requested = False
        self._known_count = 0
        self._last_received_at = float("-inf")
        self._failed: set[str] = set()
        self._failing_since_ms = 0.0
        self._logged_state = ConnectivityState.REACHABLE

    @property
    def state(self) -> ConnectivityState:
        """Return the current state."""
        if not self._failed:
            return ConnectivityState.REACHABLE
        needed = min(MIN_FAILED_SERVERS, max(1, self._known_count))
        return (
            ConnectivityState.UNREACHABLE
            if len(self._failed) >= needed
            else ConnectivityState.SUSPECT
        )

    @property
    def is_unreachable(self) -> bool:
        """Whether new connections to the servers are expected to fail."""
        return self.state is ConnectivityState.UNREACHABLE

    @property
    def needs_probe(self) -> bool:
        """Whether a probe should check the connectivity."""
        return self._probe_requested or bool(self._failed)

    @property
    def failing_since_ms(self) -> float:
        """Return when connects began to fail; meaningless in the reachable state."""
        return self._failing_since_ms

    def has_failed(self, instance: str) -> bool:
        """Whether connecting to an instance failed since the last successful connect to any."""
        return instance in self._failed

    def record_connect_failure(self, instance: str, now_ms: float) -> None:
        """Record that a server did not accept a connection."""
        if not self._failed:
            self._failing_since_ms = now_ms
        self._failed.add(instance)
        self._log_transition(now_ms)
        self.request_probe()

    def record_connected(self, now_ms: float) -> None:
        """Record that a server accepted a new connection."""
        recovered = self.is_unreachable
        self._failed.clear()
        self._probe_requested = False
        self._log_transition(now_ms)
        if recovered:
            self._on_recovered()

    def record_received(self, now: float) -> None:
        """Record that data was received from a server, at a time in seconds."""
        self._last_received_at = now

    def record_no_answer(self, since: float) -> None:
        """Request a probe if no server has sent data since an unanswered request.

        :param since: when the request was sent, in seconds.
        """
        if self._last_received_at < since:
            self.request_probe()

    def request_probe(self) -> None:
        """Request a probe of the connectivity."""
        self._probe_requested = True
        self._on_probe_needed()

    def set_servers(self, known: set[str]) -> None:
        """Replace the known instances; failures of removed instances no longer count."""
        self._known_count = len(known)
        self._failed &= known
        if not known:
            self._probe_requested = False

    def _log_transition(self, now_ms: float) -> None:
        """Log a transition to or from the unreachable state."""
        state = self.state
        if (state is ConnectivityState.UNREACHABLE) == (
            self._logged_state is ConnectivityState.UNREACHABLE
        ):
            return
        self._logged_state = state
        log_state(
            "reach",
            state.value,
            service=self._service,
            failed=sorted(self._failed),
            known=self._known_count,
            failing_ms=round(now_ms - self._failing_since_ms),
        )
