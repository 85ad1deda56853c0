"""Whether this daemon reaches the servers of a service. Pure; time is passed in, in milliseconds.

A connect that fails speaks of one server. Where several servers, one after the other, accept no
connection, and none accepts one in between, the fault is more likely on this daemon's own side.
"""

import enum
from collections.abc import Callable

from loomwind.logs import log_state

# With fewer, a crash of one server would look the same.
MIN_FAILED_SERVERS = 2


class ConnectivityState(enum.Enum):
    """What is believed of the way to the servers."""

    REACHABLE = "reached"
    SUSPECT = "doubted"
    UNREACHABLE = "cut"


class ServiceConnectivity:
    """What connects say of the way to the servers of a service."""

    def __init__(
        self,
        service: str = "",
        on_probe_needed: Callable[[], None] = lambda: None,
        on_recovered: Callable[[], None] = lambda: None,
    ) -> None:
        """Begin with servers that are reached.

        :param on_doubt: called when a connect should tell whether they are.
        :param on_regained: called when a cut has ended.
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
        """Return what is believed now."""
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
        """Whether new connections to servers are not worth a try."""
        return self.state is ConnectivityState.UNREACHABLE

    @property
    def needs_probe(self) -> bool:
        """Whether a connect should tell whether the servers are reached."""
        return self._probe_requested or bool(self._failed)

    @property
    def failing_since_ms(self) -> float:
        """Return when the first connect failed since one was accepted; not while reached."""
        return self._failing_since_ms

    def has_failed(self, instance: str) -> bool:
        """Whether a server has accepted no connection since any server did."""
        return instance in self._failed

    def record_connect_failure(self, instance: str, now_ms: float) -> None:
        """A server accepted no connection."""
        if not self._failed:
            self._failing_since_ms = now_ms
        self._failed.add(instance)
        self._log_transition(now_ms)
        self.request_probe()

    def record_connected(self, now_ms: float) -> None:
        """A server accepted a new connection."""
        recovered = self.is_unreachable
        self._failed.clear()
        self._probe_requested = False
        self._log_transition(now_ms)
        if recovered:
            self._on_recovered()

    def record_received(self, now: float) -> None:
        """Something has come from a server, at a time in seconds."""
        self._last_received_at = now

    def record_no_answer(self, since: float) -> None:
        """A server has not answered a request that it was sent at a time, in seconds."""
        if self._last_received_at < since:
            self.request_probe()

    def request_probe(self) -> None:
        """Let it be found out whether the servers are reached."""
        self._probe_requested = True
        self._on_probe_needed()

    def set_servers(self, known: set[str]) -> None:
        """Take in which servers are listed now; one that has gone says nothing any more."""
        self._known_count = len(known)
        self._failed &= known
        if not known:
            self._probe_requested = False

    def _log_transition(self, now_ms: float) -> None:
        """Log a change between a cut and what is none."""
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
