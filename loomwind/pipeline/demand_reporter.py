"""Reports queued and running requests to the controller, on changes and at a keepalive interval."""

import asyncio
from collections import Counter, defaultdict

from loomwind import constants
from loomwind.membership.service import Membership
from loomwind.messages import DemandEntry, DemandReport
from loomwind.peering.transport import PeerTransport
from loomwind.pipeline.queue import RequestQueue
from loomwind.pipeline.select import Selector
from loomwind.schema import Artifact


class DemandReporter:
    """Sends this router's demand reports, at most one per interval."""

    def __init__(
        self,
        membership: Membership,
        transport: PeerTransport,
        queue: RequestQueue,
        selector: Selector,
    ) -> None:
        self._membership = membership
        self._transport = transport
        self._queue = queue
        self._selector = selector
        self._changed = asyncio.Event()
        self._last_entries: tuple[DemandEntry, ...] = ()

    def notify(self) -> None:
        """Request a report because the demand changed."""
        self._changed.set()

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            try:
                async with asyncio.timeout(constants.DEMAND_KEEPALIVE_SECONDS):
                    await self._changed.wait()
            except TimeoutError:
                pass
            self._changed.clear()
            self._report()
            await asyncio.sleep(constants.DEMAND_INTERVAL_SECONDS)

    def _report(self) -> None:
        contact = self._membership.controller_contact()
        if contact is None:
            return
        entries = self._entries()
        if not entries and not self._last_entries:
            return
        self._last_entries = entries
        own = self._membership.own
        message = DemandReport(own.cell, own.identity, entries)
        self._transport.send(contact.address, message)

    def _entries(self) -> tuple[DemandEntry, ...]:
        now = asyncio.get_running_loop().time()
        waiting: Counter[tuple[Artifact, str]] = Counter()
        nearest: dict[tuple[Artifact, str], float] = defaultdict(
            lambda: constants.MAX_REQUEST_TIMEOUT_SECONDS
        )
        for request in self._queue.waiting():
            if isinstance(request.target, Artifact):
                key = (request.target, request.identified.group)
                waiting[key] += 1
                nearest[key] = min(nearest[key], request.deadline - now)
        running = {
            (target, group): count
            for (target, group), count in self._selector.running_by_target.items()
            if count > 0 and isinstance(target, Artifact)
        }
        arrivals = {
            (target, group): count
            for (target, group), count in self._queue.arrivals.items()
            if isinstance(target, Artifact)
        }
        self._queue.arrivals.clear()
        return tuple(
            DemandEntry(
                artifact=key[0],
                group=key[1],
                waiting=waiting[key],
                running=running.get(key, 0),
                arrivals=arrivals.get(key, 0),
                nearest_deadline_seconds=nearest[key],
            )
            for key in sorted({*waiting, *running, *arrivals})
        )
