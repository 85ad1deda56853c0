"""The router of one daemon: the pipeline, its shared state and updates from other daemons."""

import asyncio
import random
from collections.abc import Callable

from loomwind.catalog.model import Catalog
from loomwind.control.claim_service import ClaimService
from loomwind.http.client import HttpClient
from loomwind.membership.service import Membership
from loomwind.messages import BackendReport, RoutingUpdate
from loomwind.metrics import Metrics
from loomwind.peering.transport import PeerTransport
from loomwind.pipeline.admit import AdmissionView, refusal_for
from loomwind.pipeline.demand_reporter import DemandReporter
from loomwind.pipeline.errors import RequestRefused
from loomwind.pipeline.forward import Forwarder
from loomwind.pipeline.handler import RequestHandler
from loomwind.pipeline.queue import RequestQueue
from loomwind.pipeline.relay import Relay
from loomwind.pipeline.routing_table import RoutingTable
from loomwind.pipeline.select import Selector
from loomwind.pipeline.types import AdmittedRequest, IdentifiedRequest
from loomwind.settings import LimitSettings

RECHECK_INTERVAL_SECONDS = 0.1
CONTROLLER_GRACE_SECONDS = 5.0


class Router:
    """Creates the pipeline of one daemon, and keeps its routing state up to date."""

    def __init__(
        self,
        limits: LimitSettings,
        catalog: Callable[[], Catalog],
        membership: Membership,
        transport: PeerTransport,
        client: HttpClient,
        claims: Callable[["Router"], ClaimService],
        metrics: Metrics,
    ) -> None:
        self.table = RoutingTable()
        self.selector = Selector(self.table, membership.own.zone)
        self.queue = RequestQueue(self.selector, self.table.group_slots)
        self.reporter = DemandReporter(membership, transport, self.queue, self.selector)
        self.queue.on_demand_changed = self.reporter.notify
        self._membership = membership
        self._transport = transport
        self._metrics = metrics
        self._started_at = membership.now
        self._random = random.Random(membership.own.identity.incarnation)
        forwarder = Forwarder(client, self.on_leaving)
        self.handler = RequestHandler(
            limits,
            catalog,
            self.table,
            self.selector,
            self.queue,
            forwarder,
            Relay(client, forwarder, metrics.relayed_bytes, limits.stream_stall_seconds),
            claims(self),
            self.admission_view,
            metrics,
        )

    def admission_view(self, identified: IdentifiedRequest) -> AdmissionView:
        """Return the admission inputs for a request that is not queued yet."""
        target = identified.target
        waiting = self.queue.waiting_for(target)
        queue_seconds = self.selector.queue_seconds(target, waiting, self._membership.now)
        return self._admission_view_with(identified, queue_seconds)

    def _admission_view_with(
        self, identified: IdentifiedRequest, queue_seconds: float
    ) -> AdmissionView:
        return AdmissionView(
            ready=bool(self.table.backends(identified.target)),
            estimate_seconds=self.table.estimate_seconds(identified.target),
            has_controller=self._has_controller(),
            waiting=self.queue.waiting_in_group(identified.group),
            queue_seconds=queue_seconds,
        )

    def _has_controller(self) -> bool:
        """Return whether the cell has a controller, or had one within the grace period."""
        uptime_seconds = self._membership.now - self._started_at
        silence_seconds = min(self._membership.leader_silence_seconds(), uptime_seconds)
        return silence_seconds < CONTROLLER_GRACE_SECONDS

    async def run(self) -> None:
        """Recheck the waiting requests periodically, until cancelled."""
        while True:
            await asyncio.sleep(RECHECK_INTERVAL_SECONDS)
            self.recheck_waiting()

    def recheck_waiting(self) -> None:
        """Dispatch requests to free slots, and refuse those that cannot meet their deadline."""
        self.queue.dispatch()
        self.queue.refuse_matching(self._refusal_for)

    def _refusal_for(self, request: AdmittedRequest) -> RequestRefused | None:
        # The wait in the queue was checked on admission. Only load estimates and the presence of a
        # controller can change afterwards.
        view = self._admission_view_with(request.identified, queue_seconds=0.0)
        return refusal_for(request.identified, view, self._membership.now)

    def on_routing(self, update: RoutingUpdate) -> bool:
        """Apply a routing update, and return whether it was newer."""
        if not self.table.apply(update):
            return False
        self._metrics.replicas.set(sum(len(engine.replicas) for engine in update.engines))
        self.recheck_waiting()
        return True

    def on_leaving(self, backend: str) -> None:
        """Record that a back end announced its shutdown, and report it to the cell."""
        self.report(backend, leaving=True, failed=False)

    def report(self, backend: str, leaving: bool, failed: bool) -> None:
        """Record the state of a back end, and report it to the cell if it changed or failed."""
        if not self.table.mark_leaving(backend, leaving) and not failed:
            return
        message = BackendReport(self._membership.own.cell, backend, leaving, failed)
        for info in self._membership.alive():
            self._transport.send(info.address, message)

    def on_backend_report(self, report: BackendReport) -> None:
        """Apply another daemon's report about a back end."""
        self.table.mark_leaving(report.backend, report.leaving)
        self.queue.dispatch()
