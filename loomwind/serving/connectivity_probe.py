"""Probes the servers of a service while their connectivity is uncertain.

A probe opens new connections, preferably to servers that have not failed yet. A connection that is
accepted goes to the pool and is used for requests.
"""

import asyncio
import random

from loomwind.serving.connectivity import MIN_FAILED_SERVERS
from loomwind.serving.errors import SendFailed
from loomwind.serving.forwarder import Forwarder
from loomwind.serving.pool import ServerPool
from loomwind.serving.views import ServerEntry

PROBE_INTERVAL_SECONDS = 0.25


class ConnectivityProbe:
    """Probes the servers of all services whose connectivity is uncertain."""

    def __init__(self, pool: ServerPool, forwarder: Forwarder) -> None:
        self._pool = pool
        self._forwarder = forwarder

    async def run(self) -> None:
        """Probe whenever the pool asks for it; never returns."""
        while True:
            await self._pool.probe_needed.wait()
            self._pool.probe_needed.clear()
            while services := self._pool.services_to_probe():
                async with asyncio.TaskGroup() as group:
                    for service in services:
                        group.create_task(self._probe(service))
                await asyncio.sleep(PROBE_INTERVAL_SECONDS)

    async def _probe(self, service: str) -> None:
        """Connect to a few servers concurrently."""
        async with asyncio.TaskGroup() as group:
            for entry in self._choose(service):
                group.create_task(self._connect(entry))

    def _choose(self, service: str) -> list[ServerEntry]:
        """Return the servers to connect to, preferring those that have not failed."""
        entries = self._pool.directory.usable(service, self._pool.now())
        random.shuffle(entries)
        connectivity = self._pool.connectivity_of(service)
        entries.sort(key=lambda entry: connectivity.has_failed(entry.instance))
        return entries[:MIN_FAILED_SERVERS]

    async def _connect(self, entry: ServerEntry) -> None:
        try:
            self._forwarder.release(await self._forwarder.open_connection(entry))
        except SendFailed as failure:
            self._pool.record_failure(entry, None, failure, self._pool.now())
