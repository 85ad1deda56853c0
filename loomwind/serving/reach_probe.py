"""Finds out whether this daemon reaches the servers of a service, while that is in doubt.

A probe is a new connection to servers that have not failed yet; one that is accepted is kept for
requests.
"""

import asyncio
import random

from loomwind.serving.errors import SendFailed
from loomwind.serving.forwarder import Forwarder
from loomwind.serving.pool import ServerPool
from loomwind.serving.reach import SERVERS_OF_A_CUT
from loomwind.serving.views import ServerEntry

PAUSE_SECONDS = 0.25


class ReachProbe:
    """Probes while there is a doubt."""

    def __init__(self, pool: ServerPool, forwarder: Forwarder) -> None:
        self._pool = pool
        self._forwarder = forwarder

    async def run(self) -> None:
        """Probe for ever, whenever there is a doubt."""
        while True:
            await self._pool.probe_needed.wait()
            self._pool.probe_needed.clear()
            while services := self._pool.services_to_probe():
                async with asyncio.TaskGroup() as group:
                    for service in services:
                        group.create_task(self._probe(service))
                await asyncio.sleep(PAUSE_SECONDS)

    async def _probe(self, service: str) -> None:
        """Connect to a few servers at once."""
        async with asyncio.TaskGroup() as group:
            for entry in self._choose(service):
                group.create_task(self._connect(entry))

    def _choose(self, service: str) -> list[ServerEntry]:
        """Return servers to connect to: those first that have not failed."""
        entries = self._pool.directory.usable(service, self._pool.now())
        random.shuffle(entries)
        reach = self._pool.connectivity_of(service)
        entries.sort(key=lambda entry: reach.failed_at(entry.instance))
        return entries[:SERVERS_OF_A_CUT]

    async def _connect(self, entry: ServerEntry) -> None:
        try:
            self._forwarder.release(await self._forwarder.open_connection(entry))
        except SendFailed as failure:
            self._pool.record_failure(entry, None, failure, self._pool.now())
