"""The servers as one daemon sees them: listed, resident, healthy; with the budgets for retries."""

import asyncio
from collections import defaultdict
from collections.abc import Iterable
from functools import partial

from loomwind.clock import MS_PER_SECOND
from loomwind.serving.breaker import ServerHealth
from loomwind.serving.budget import RetryBudget
from loomwind.serving.connectivity import ServiceConnectivity
from loomwind.serving.demand import DemandBoard
from loomwind.serving.directory import ServerDirectory
from loomwind.serving.errors import SendFailed
from loomwind.serving.expectations import Expectations, ExpectedTarget
from loomwind.serving.residency import Residency, ServerHolding
from loomwind.serving.views import ModelKey, ServerEntry
from loomwind.settings import BoundSettings

# A daemon that restarts forgets what it has spent, so it may spend its allowance twice in a window.
RESTART_PART = 0.5
# Before the list of daemons is known, so many are taken to share the budget.
UNKNOWN_DAEMONS = 32


class ServerPool:
    """What requests need to know about servers.

    :ivar probe_needed: set when it should be found out whether the servers of a service are
        reached.
    """

    def __init__(self, bounds: BoundSettings) -> None:
        self.directory = ServerDirectory(bounds.drain_seconds)
        self.residency = Residency()
        self.demand = DemandBoard()
        self.expectations = Expectations()
        self.probe_needed = asyncio.Event()
        self._connectivities: dict[str, ServiceConnectivity] = {}
        self._bounds = bounds
        self._daemons = UNKNOWN_DAEMONS
        self._health: dict[str, ServerHealth] = {}
        self._budgets: dict[str, RetryBudget] = {}

    def able(self, service: str, target: ModelKey | None, now: float) -> list[ServerEntry]:
        """Return the servers of a service that can run a request for the target now."""
        usable = self.directory.usable(service, now)
        reachable = [e for e in usable if not self.health(e).is_unreachable(now)]
        if target is None:
            return reachable or usable
        usable = reachable
        return [entry for entry in usable if self.residency.can_run(entry, target, now)]

    def holders(self, service: str, target: ModelKey | None, now: float) -> list[ServerEntry]:
        """Return the servers that could run a request for the target, reached or not."""
        usable = self.directory.usable(service, now)
        if target is None:
            return usable
        return [entry for entry in usable if self.residency.can_run(entry, target, now)]

    def gets_work(self, entry: ServerEntry) -> bool:
        """Whether a server, in the life that an entry names, may still get new work."""
        return self.directory.gets_work(entry, self.now())

    def health(self, entry: ServerEntry) -> ServerHealth:
        """Return what this daemon has seen of a server."""
        health = self._health.get(entry.instance)
        if health is None:
            health = ServerHealth(self.connectivity_of(entry.service).record_received)
            self._health[entry.instance] = health
        return health

    def connectivity_of(self, service: str) -> ServiceConnectivity:
        """Return whether this daemon reaches the servers of a service."""
        if service not in self._connectivities:
            forget = partial(self._forget_unreachable, service)
            connectivity = ServiceConnectivity(service, self.probe_needed.set, forget)
            connectivity.set_servers(self._instances_by_service()[service])
            self._connectivities[service] = connectivity
        return self._connectivities[service]

    def _instances_by_service(self) -> defaultdict[str, set[str]]:
        by_service: defaultdict[str, set[str]] = defaultdict(set)
        for entry in self.directory.entries():
            by_service[entry.service].add(entry.instance)
        return by_service

    def services_to_probe(self) -> list[str]:
        """Return the services of which it should be found out whether they are reached."""
        return [
            service
            for service, connectivity in self._connectivities.items()
            if connectivity.needs_probe
        ]

    def unreachable_services(self) -> tuple[str, ...]:
        """Return the services whose servers accept no connection of this daemon."""
        return tuple(
            service
            for service, connectivity in self._connectivities.items()
            if connectivity.is_unreachable
        )

    def budget(self, service: str) -> RetryBudget:
        """Return the budget for repeated sends to a service."""
        if service not in self._budgets:
            bounds = self._bounds
            self._budgets[service] = RetryBudget(
                bounds.retry_ratio * bounds.retry_safety,
                self._allowance(),
                bounds.retry_window_seconds,
            )
        return self._budgets[service]

    def _allowance(self) -> float:
        part = self._bounds.retry_safety * RESTART_PART
        return self._bounds.retry_allowance * part / self._daemons

    def set_bounds(self, bounds: BoundSettings) -> None:
        """Hold to other bounds from now on; what was spent of a retry budget stays spent."""
        self._bounds = bounds
        self.directory.set_drain(bounds.drain_seconds)
        for budget in self._budgets.values():
            budget.set_limits(
                bounds.retry_ratio * bounds.retry_safety,
                self._allowance(),
                bounds.retry_window_seconds,
            )

    def set_daemons(self, count: int) -> None:
        """Share the retry budget with so many daemons."""
        self._daemons = max(1, count)
        for budget in self._budgets.values():
            budget.set_allowance(self._allowance())

    def note_failure(
        self, entry: ServerEntry, target: ModelKey | None, failure: SendFailed, now: float
    ) -> None:
        """Learn from a send that failed."""
        if failure.unsent:
            return
        if failure.other_instance:
            self.directory.note_replaced(entry)
        elif failure.missing_target and target is not None:
            self.residency.note_absent(entry.instance, target, now)
        elif failure.unreachable:
            self.health(entry).note_unreachable(now)
        elif not failure.ran and target is not None:
            self.residency.note_refused(entry.instance, target, now)
        elif failure.at_fault:
            self.health(entry).failed(now)

    def tell(self, holdings: tuple[ServerHolding, ...]) -> None:
        """Take in what the leader has read, and wake requests that wait."""
        for holding in holdings:
            self.residency.tell(holding, self.now())
        self.demand.wake()

    def expect(self, expected: Iterable[ExpectedTarget]) -> None:
        """Take in when the leader expects models to be there, and let those that wait look."""
        self.expectations.note(expected, self.now() * MS_PER_SECOND)
        self.demand.wake()

    def note_broken(self, address: str) -> None:
        """An idle connection has ended without a proper end; does nothing for one of no server."""
        for entry in self.directory.entries():
            if entry.address == address:
                self.connectivity_of(entry.service).request_probe()

    def _forget_unreachable(self, service: str) -> None:
        """Forget which servers accepted no connection: the fault was on this daemon's side."""
        for entry in self.directory.usable(service, self.now()):
            self.health(entry).note_reachable()
        self.demand.wake()

    def refresh(self) -> None:
        """Forget servers that are gone, and wake requests that wait."""
        known = {entry.instance for entry in self.directory.entries()}
        self.residency.forget(known)
        by_service = self._instances_by_service()
        for service, connectivity in self._connectivities.items():
            connectivity.set_servers(by_service[service])
        self._health = {name: health for name, health in self._health.items() if name in known}
        self.demand.wake()

    @staticmethod
    def now() -> float:
        """Return the loop's steady time in seconds."""
        return asyncio.get_running_loop().time()
