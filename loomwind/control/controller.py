"""Controller of a cell: plans loads and unloads, orders them and publishes the routes.

It runs in the leader of the cell. Each step builds a plan with pure functions, writes the intents
to a majority of the voters, and only then sends orders to the engines.
"""

import asyncio
import time
from collections.abc import Callable

from loomwind import constants
from loomwind.catalog.changes import ObjectKind
from loomwind.catalog.model import Catalog
from loomwind.control.cluster_view import (
    cluster_view,
    fenced_engine_names,
    reconcile_intents,
    remote_loads_in_flight,
)
from loomwind.control.demand import DemandAggregator
from loomwind.control.errors import RegisterUnavailable
from loomwind.control.estimates import estimate_loads
from loomwind.control.fleet import Fleet
from loomwind.control.placement import plan
from loomwind.control.register_service import RegisterService
from loomwind.control.remote_load_limiter import RemoteLoadLimiter
from loomwind.control.routing_publisher import RoutingContent, RoutingPublisher
from loomwind.control.usage import UsageTracker, create_policy
from loomwind.control.views import Plan
from loomwind.control.voter_changes import VoterChanges
from loomwind.engines.client import EngineClient
from loomwind.membership.machines import MachineWatcher
from loomwind.membership.service import Membership
from loomwind.messages import (
    ApplicationRoute,
    BackendReport,
    DemandReport,
    Digest,
    Intent,
    LoadEstimate,
    MemberInfo,
    RegisterValue,
    RoutingUpdate,
)
from loomwind.metrics import Metrics
from loomwind.ports.base import Machine, MachineRole, MachineState
from loomwind.settings import Settings

REPAIR_INTERVAL_SECONDS = 0.5
STEP_PAUSE_FACTOR = 5.0
MAX_STEP_PAUSE_SECONDS = 0.1

SendRouting = Callable[[MemberInfo, RoutingUpdate], None]


class Controller:
    """Controls the cell for one term of leadership of a daemon."""

    def __init__(
        self,
        settings: Settings,
        register: RegisterService,
        voter_changes: VoterChanges,
        membership: Membership,
        machines: MachineWatcher,
        engines: EngineClient,
        catalog: Callable[[], Catalog],
        send_routing: SendRouting,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._register = register
        self._voter_changes = voter_changes
        self._membership = membership
        self._machines = machines
        self._catalog = catalog
        self._send_routing = send_routing
        self._wake_event = asyncio.Event()
        self._demand = DemandAggregator()
        self._publisher = RoutingPublisher()
        self._usage = UsageTracker(create_policy(settings.keep_alive))
        self._estimates: tuple[LoadEstimate, ...] = ()
        self._leaving_applications: set[str] = set()
        self._content: RoutingContent | None = None
        self._recipients: tuple[list[MemberInfo], tuple[MemberInfo, ...], int] | None = None
        self._next_allocation_at = 0.0
        self._step_cpu_seconds = 0.0
        self._load_limiter = RemoteLoadLimiter(
            settings.weight_store.loads_per_second,
            settings.weight_store.parallel_loads,
            membership.now,
        )
        self.fleet = Fleet(
            engines,
            metrics,
            register.candidate.generation,
            register.candidate.ballot,
            self.wake,
            register.step_down,
        )

    def wake(self) -> None:
        """Trigger the next step."""
        self._wake_event.set()

    async def run(self) -> None:
        """Run until cancelled or superseded."""
        next_repair = 0.0
        try:
            while self._register.leading:
                started = time.process_time()
                self._update_machines()
                await self._step()
                self._step_cpu_seconds = time.process_time() - started
                if self._membership.now >= next_repair:
                    if await self._voter_changes.repair():
                        # Publish the new voters at once, since the old ones no longer grant claims.
                        self._publish()
                        await self._register.publish_voters()
                    next_repair = self._membership.now + REPAIR_INTERVAL_SECONDS
                await self._wait()
        except RegisterUnavailable:
            return
        finally:
            self.fleet.close()

    async def _wait(self) -> None:
        """Wait for the next wake-up or tick; wake-ups during the pause share one step.

        The pause is a multiple of the CPU time of the last step, so that the controller leaves the
        daemon's event loop to requests in cells of any size.
        """
        pause = min(STEP_PAUSE_FACTOR * self._step_cpu_seconds, MAX_STEP_PAUSE_SECONDS)
        await asyncio.sleep(pause)
        try:
            async with asyncio.timeout(constants.CONTROLLER_TICK_SECONDS):
                await self._wake_event.wait()
        except TimeoutError:
            pass
        self._wake_event.clear()

    def _update_machines(self) -> None:
        for machine in self._machines.in_role(MachineRole.ENGINE):
            if machine.state is MachineState.GONE:
                self.fleet.remove(machine.name)
            else:
                drained = self._catalog().is_drained(machine.name)
                leaving = drained or machine.state is MachineState.LEAVING
                self.fleet.watch(machine.name, machine.address, machine.zone, leaving)
        for machine in self._machines.in_role(MachineRole.DAEMON):
            if machine.state is MachineState.GONE:
                self._membership.detector.mark_gone(machine.name)

    async def _step(self) -> None:
        """Publish routes, make a plan, commit its intents and send the orders."""
        self._publish()
        now = self._membership.now
        self._demand.drop_expired(now)
        value = self._register.committed
        tracker = self.fleet.tracker
        intents = reconcile_intents(tracker, value)
        fenced = fenced_engine_names(tracker, value)
        new_plan = self._make_plan(value, intents, fenced, now)
        added = tuple(
            Intent(load.engine, load.instance, load.artifact, load.memory_mib)
            for load in new_plan.loads
        )
        new_intents = tuple(sorted({*intents, *added}))
        if (new_intents, fenced) != (value.intents, value.fenced_engines):
            await self._register.write(new_intents, fenced)
        self._send_orders(new_plan)
        self._publish()

    def _make_plan(
        self, value: RegisterValue, intents: tuple[Intent, ...], fenced: tuple[str, ...], now: float
    ) -> Plan:
        reconciled = RegisterValue(
            value.stamp, value.voters, value.joint, value.epoch, fenced, intents
        )
        in_flight = remote_loads_in_flight(self.fleet.tracker)
        view = cluster_view(
            self._catalog(),
            self.fleet.tracker,
            reconciled,
            self._demand.views(),
            self._usage,
            self._load_limiter.available(now, in_flight),
            now,
        )
        new_plan = plan(view)
        self._estimates = estimate_loads(view, new_plan, self._load_limiter, in_flight, now)
        return new_plan

    def _send_orders(self, new_plan: Plan) -> None:
        catalog = self._catalog()
        now = self._membership.now
        for unload in new_plan.unloads:
            self.fleet.send_unload(unload.engine, unload.artifact)
        for load in new_plan.loads:
            if load.remote:
                self._load_limiter.record_start(now)
            self.fleet.send_load(load, catalog.load_seconds(load.artifact))
        delay = self._load_limiter.seconds_until_start(now)
        if new_plan.waiting and delay > 0:
            asyncio.get_running_loop().call_at(now + delay, self.wake)

    def _publish(self) -> None:
        """Send routing updates to the routers that need one."""
        now = self._membership.now
        routers = self._membership.alive()
        content = RoutingContent(
            self.fleet.tracker,
            self._demand,
            self._shares(),
            routers,
            self._applications(),
            self._estimates,
            self._content if now < self._next_allocation_at else None,
        )
        if now >= self._next_allocation_at:
            self._next_allocation_at = now + constants.SLOT_ALLOCATION_INTERVAL_SECONDS
        value = self._register.committed
        voters = self._register.voter_infos()
        recipients = (routers, voters, value.epoch)
        if content == self._content and recipients == self._recipients:
            return
        self._content, self._recipients = content, recipients
        updates = self._publisher.updates(content, self._settings.cell, value, routers, voters)
        for router, update in updates:
            self._send_routing(router, update)

    def _shares(self) -> dict[str, float]:
        entries = self._catalog().entries_of_kind(ObjectKind.GROUP)
        return {entry.group.name: entry.group.share for entry in entries if entry.group}

    def _applications(self) -> tuple[ApplicationRoute, ...]:
        machines = self._machines.in_role(MachineRole.APPLICATION)
        return tuple(
            ApplicationRoute(m.application, m.name, m.address, m.zone)
            for m in machines
            if self._accepts_requests(m)
        )

    def _accepts_requests(self, machine: Machine) -> bool:
        drained = self._catalog().is_drained(machine.name)
        leaving = drained or machine.name in self._leaving_applications
        return machine.state is MachineState.LIVE and not leaving

    def on_demand(self, report: DemandReport) -> None:
        """Handle a router's demand report."""
        now = self._membership.now
        self._demand.update(report, now)
        for entry in report.entries:
            self._usage.record(entry.artifact, entry.arrivals, entry.waiting + entry.running, now)
        if any(entry.waiting for entry in report.entries):
            self.wake()

    def on_backend_report(self, report: BackendReport) -> None:
        """Handle a report that a back end is leaving, or that a watcher found it changed."""
        if report.leaving:
            self.fleet.tracker.mark_leaving(report.backend)
            self._leaving_applications.add(report.backend)
        else:
            self._leaving_applications.discard(report.backend)
        self.fleet.recheck(report.backend)
        self.wake()

    def on_digest(self, member: MemberInfo, digest: Digest) -> None:
        """Resend the last routing update to a router that has missed it."""
        missed = self._publisher.missed_update(member.identity, digest)
        if missed is not None:
            self._send_routing(member, missed)
