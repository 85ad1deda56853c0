"""Probes the back ends assigned to this daemon, and reports changes of their state.

A restarted back end answers with another instance ID. This is reported as a failure too, so that
the controller reads its inventory again.
"""

import asyncio
from collections.abc import Callable

from msgspec import Struct

from loomwind import constants
from loomwind.engines.client import EngineClient
from loomwind.engines.errors import EngineError
from loomwind.membership.service import Membership
from loomwind.membership.watch_assignment import assigned_backends


class WatchedBackend(Struct, frozen=True):
    """The name and address of a back end to watch."""

    name: str
    address: str


class BackendReporter(Struct, frozen=True):
    """Receives changes of a back end's state.

    :param report: called with the back end's name, whether it is leaving, and whether it failed.
    """

    report: Callable[[str, bool, bool], None]


class BackendWatch:
    """Probes the back ends of the cell that are assigned to this daemon."""

    def __init__(
        self,
        membership: Membership,
        client: EngineClient,
        backends: Callable[[], list[WatchedBackend]],
        reporter: BackendReporter,
    ) -> None:
        self._membership = membership
        self._client = client
        self._backends = backends
        self._reporter = reporter
        self._failures: dict[str, int] = {}
        self._leaving: dict[str, bool] = {}
        self._instances: dict[str, str] = {}

    async def run(self) -> None:
        """Probe the assigned back ends periodically until cancelled."""
        while True:
            await asyncio.gather(*(self._probe(backend) for backend in self._assigned_backends()))
            await asyncio.sleep(constants.ENGINE_PROBE_INTERVAL_SECONDS)

    def _assigned_backends(self) -> list[WatchedBackend]:
        backends = {backend.name: backend for backend in self._backends()}
        daemons = [info.identity.name for info in self._membership.alive()]
        own = self._membership.own.identity.name
        names = assigned_backends(own, sorted(backends), daemons, constants.WATCHERS_PER_ENGINE)
        return [backends[name] for name in names]

    async def _probe(self, backend: WatchedBackend) -> None:
        try:
            status = await self._client.status(
                backend.address, constants.ENGINE_PROBE_TIMEOUT_SECONDS
            )
        except EngineError:
            self._failures[backend.name] = self._failures.get(backend.name, 0) + 1
            if self._failures[backend.name] == constants.ENGINE_FAILURE_THRESHOLD:
                self._reporter.report(backend.name, self._leaving.get(backend.name, False), True)
            return
        self._failures[backend.name] = 0
        previous_instance = self._instances.get(backend.name, status.instance)
        self._instances[backend.name] = status.instance
        if previous_instance != status.instance:
            self._reporter.report(backend.name, status.leaving, True)
        if status.leaving != self._leaving.get(backend.name, False):
            self._leaving[backend.name] = status.leaving
            self._reporter.report(backend.name, status.leaving, False)
