"""Finds out whether this daemon reaches the servers as soon as there is a doubt, and when again.

A probe is a new connection to servers that have not failed yet; one that is accepted is kept for
requests.
"""

import asyncio
import random

from loomwind.serving.errors import SendFailed
from loomwind.serving.forwarder import Forwarder
from loomwind.serving.pool import ServerPool
from loomwind.serving.reach import SERVERS_OF_A_CUT, ReachState
from loomwind.serving.views import ServerEntry

PAUSE_SECONDS = 0.25


class ReachProbe:
    """Probes while there is a doubt."""

    def __init__(self, pool: ServerPool, forwarder: Forwarder) -> None:
        self._pool = pool
        self._reach = pool.reach
        self._forwarder = forwarder

    async def run(self) -> None:
        """Probe for ever, whenever there is a doubt."""
        while True:
            await self._reach.doubt.wait()
            self._reach.doubt.clear()
            await self._probe()
            while self._reach.state is not ReachState.REACHED:
                await asyncio.sleep(PAUSE_SECONDS)
                await self._probe()

    async def _probe(self) -> None:
        """Connect to a few servers at once."""
        async with asyncio.TaskGroup() as group:
            for entry in self._choose():
                group.create_task(self._connect(entry))

    def _choose(self) -> list[ServerEntry]:
        """Return servers to connect to: those first that have not failed."""
        entries = self._pool.directory.all_usable(self._pool.now())
        random.shuffle(entries)
        entries.sort(key=lambda entry: self._reach.failed_at(entry.instance))
        return entries[:SERVERS_OF_A_CUT]

    async def _connect(self, entry: ServerEntry) -> None:
        try:
            self._forwarder.release(await self._forwarder.connect_anew(entry))
        except SendFailed as failure:
            self._pool.note_failure(entry, None, failure, self._pool.now())
