"""A daemon's copy of the platform's machine list, which lags and may be unavailable."""

import asyncio
from collections.abc import Callable

from msgspec import structs

from loomwind import constants
from loomwind.ports.base import Machine, MachineList, MachineRole, MachineState
from loomwind.ports.errors import PlatformUnavailable
from loomwind.settings import BackendSettings


class MachineWatcher:
    """Polls the machine list. A machine that is no longer listed counts as gone.

    Back ends from the settings are always present, whether they are listed or not.
    """

    def __init__(
        self,
        machine_list: MachineList | None,
        backends: tuple[BackendSettings, ...],
        cell: str,
        should_read: Callable[[], bool],
    ) -> None:
        self.on_change: Callable[[], None] = lambda: None
        self._source = machine_list
        self._cell = cell
        self._should_read = should_read
        self.machines: dict[str, Machine] = {
            backend.name: _machine(backend, cell) for backend in backends
        }
        self._static = set(self.machines)

    async def run(self) -> None:
        """Poll the list until cancelled; skip reads when not needed and machines are known."""
        while self._source is not None:
            if self._should_read() or not self.machines:
                await self._read(self._source)
            await asyncio.sleep(constants.MACHINE_LIST_INTERVAL_SECONDS)

    async def _read(self, source: MachineList) -> None:
        try:
            listed = {m.name: m for m in await source.machines(self._cell)}
        except PlatformUnavailable:
            return
        previous = dict(self.machines)
        for name, machine in previous.items():
            if name not in listed and name not in self._static:
                self.machines[name] = structs.replace(machine, state=MachineState.GONE)
        self.machines.update(listed)
        if self.machines != previous:
            self.on_change()

    def in_role(self, role: MachineRole) -> list[Machine]:
        """Return the machines of a role in any state, by name."""
        return [machine for _, machine in sorted(self.machines.items()) if machine.role is role]


def _machine(backend: BackendSettings, cell: str) -> Machine:
    role = MachineRole.APPLICATION if backend.application else MachineRole.ENGINE
    return Machine(
        name=backend.name,
        address=backend.address,
        zone=backend.zone,
        cell=cell,
        role=role,
        application=backend.application,
    )
