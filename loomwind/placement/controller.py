"""The leader's control loop: polls servers, executes the plan and informs the daemons."""

import asyncio
from collections.abc import Coroutine
from functools import partial

from loomwind.clock import MS_PER_SECOND
from loomwind.leadership.election import Election
from loomwind.logs import log_state
from loomwind.messages.serving import PoolDemand, PoolExpectations, PoolHoldings
from loomwind.metrics import Metrics
from loomwind.placement.demand_view import DemandView
from loomwind.placement.expectation_notices import ExpectationNotices
from loomwind.placement.load_promises import LoadPromises
from loomwind.placement.load_rate_limiter import LoadRateLimiter
from loomwind.placement.plan import PlanInput, PlannedOrder
from loomwind.placement.planner import Planner
from loomwind.placement.server_tracker import ADAPTER_LOAD_SECONDS, ServerTracker
from loomwind.placement.shortage_log import ShortageLog
from loomwind.placement.store_concurrency import StoreConcurrencyLimit
from loomwind.placement.store_pace import StorePace
from loomwind.serving.expectations import ExpectedTarget
from loomwind.serving.peer_exchange import PeerExchange
from loomwind.serving.pool import ServerPool
from loomwind.serving.ports import EngineControl
from loomwind.serving.replicated_state import ReplicatedState
from loomwind.serving.residency import ServerHolding
from loomwind.serving.views import Configuration, Order, OrderAnswer, OrderKind, ServerEntry
from loomwind.settings import BoundSettings

STEP_SECONDS = 0.1
# Minimum pause between steps in a small fleet; large fleets send more reports and use a longer one.
MIN_STEP_SECONDS = 0.005
IDLE_READ_SECONDS = 2.0
BUSY_READ_SECONDS = 0.1
# Negative: a server is first read this long after the expected end of its load.
READ_BEFORE_END_SECONDS = -0.2
FAILED_READ_RETRY_SECONDS = 0.4
REPORT_TIMEOUT_SECONDS = 0.5
ORDER_TIMEOUT_SECONDS = 0.4
HOLDINGS_INTERVAL_SECONDS = 2.0
STAGING_DELAY_SECONDS = 2.0


class PlacementController:
    """Places models on servers while this daemon leads.

    Every order carries the fencing token of the lease, and is written only while this daemon leads
    under that token: since it was decided, the process may have been stopped, or the lease lost.
    """

    def __init__(
        self,
        name: str,
        election: Election,
        pool: ServerPool,
        replicated_state: ReplicatedState,
        control: EngineControl,
        exchange: PeerExchange,
        bounds: BoundSettings,
        metrics: Metrics,
    ) -> None:
        self._name = name
        self._election = election
        self._directory = pool.directory
        self._residency = pool.residency
        self._replicated_state = replicated_state
        self._control = control
        self._exchange = exchange
        self._bounds = bounds
        self._metrics = metrics
        metrics.leading.set_function(lambda: float(election.is_leader()))
        metrics.lease_fence.set_function(lambda: float(election.lease.fence or 0))
        self._demand = DemandView()
        self._trackers: dict[str, ServerTracker] = {}
        self._paces: dict[str, StorePace] = {}
        self._reported: set[str] = set()
        self._notices: dict[str, ExpectationNotices] = {}
        self._promises: dict[str, LoadPromises] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._order_tasks: set[asyncio.Task[None]] = set()
        self._wake = exchange.inbox.arrived
        self._holdings_sent_at = -1e9
        self._shortages = ShortageLog(metrics)
        self._leading = False
        self._leading_since = 0.0
        self._known_under_fence: int | None = None

    def set_bounds(self, bounds: BoundSettings) -> None:
        """Use new bounds from the next change of leader on; paced services keep theirs."""
        self._bounds = bounds

    def _receive_demand(self) -> None:
        """Process the demand reports received since the last step."""
        for report in self._exchange.inbox.drain():
            self._demand.add_report(report, self._now())
            self._recheck_holders(report)
            self._reported.add(report.sender)

    def _recheck_holders(self, report: PoolDemand) -> None:
        """Mark servers that hold a target a daemon waits for: it may be unable to reach them."""
        for demand in report.demand:
            if not demand.waiting:
                continue
            for tracker in self._trackers.values():
                if tracker.has_version(demand.software_version) and tracker.holds(demand.target):
                    tracker.record_unreachable(demand.target, self._now())

    def _update_leadership(self) -> bool:
        """Update the leadership state and return whether this daemon leads.

        What is known of servers and demand lasts as long as the fencing token: until another daemon
        has written the lease row, nobody else may have given orders. A lease that ends and is
        renewed takes away the right to act only.
        """
        is_leading, fence = self._election.is_leader(), self._election.lease.fence
        if fence != self._known_under_fence:
            self._forget()
            self._known_under_fence = fence
            self._leading_since = self._now()
            if fence is not None:
                self._metrics.elections.inc()
        elif is_leading and not self._leading:
            self._resume()
        if self._leading and not is_leading:
            self._shortages.record_unserved(())
        self._leading = is_leading
        return is_leading

    def _forget(self) -> None:
        """Discard what is known of servers and demand; a leader rebuilds it from reports."""
        self._demand = DemandView()
        self._trackers.clear()
        self._paces.clear()
        self._notices.clear()
        self._promises.clear()

    def _resume(self) -> None:
        """Use what is known again, and read what may have changed in the meantime."""
        self._notices.clear()
        for tracker in self._trackers.values():
            tracker.recheck_due = True
        log_state("controller", "resumed", fence=self._known_under_fence)

    async def run(self) -> None:
        """Run the control loop; it only records demand while another daemon leads."""
        while True:
            try:
                async with asyncio.timeout(STEP_SECONDS):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            try:
                is_leading = self._update_leadership()
                self._receive_demand()
                if is_leading:
                    self._step()
            except Exception as error:
                log_state("controller", "failed", error=repr(error))
            await asyncio.sleep(self._exchange.scale_interval(MIN_STEP_SECONDS))

    def _step(self) -> None:
        configuration = self._replicated_state.configuration
        if configuration is None:
            return
        self._update_trackers(configuration)
        self._complete_due_loads()
        for tracker in self._trackers.values():
            if self._should_read(tracker):
                tracker.reading = True
                self._spawn(self._read(tracker))
        for service in configuration.services:
            if service.engine is not None:
                self._plan(service.name, service.engine.loads_per_second)
        self._reported.clear()
        if self._now() - self._holdings_sent_at > self._exchange.scale_interval(
            HOLDINGS_INTERVAL_SECONDS
        ):
            self._holdings_sent_at = self._now()
            self._send_holdings(list(self._trackers.values()))
            self._shortages.record_unserved(self._demand.unserved_models())

    def _update_trackers(self, configuration: Configuration) -> None:
        listed: dict[str, ServerEntry] = {}
        for service in configuration.services:
            if service.engine is None:
                continue
            for entry in self._directory.usable(service.name, self._now()):
                listed[entry.instance] = entry
                tracker = self._trackers.get(entry.instance)
                if tracker is None:
                    tracker = ServerTracker(
                        entry,
                        service.engine,
                        self._residency.announced_load(entry.instance),
                        self._now(),
                        self._residency.announced_unload(entry.instance),
                    )
                    self._inherit_orders(tracker)
                    self._trackers[entry.instance] = tracker
                tracker.entry = entry
                tracker.profile = service.engine
        for instance in [name for name in self._trackers if name not in listed]:
            del self._trackers[instance]

    def _inherit_orders(self, tracker: ServerTracker) -> None:
        """Pass the unanswered orders of a server's earlier instances on to its new one."""
        for earlier in self._trackers.values():
            if tracker.entry.name == earlier.entry.name:
                tracker.unanswered_orders.inherit(earlier.unanswered_orders)

    def _complete_due_loads(self) -> None:
        """Assume that loads are complete once due, and schedule a step for the next one."""
        now = self._now()
        running = self._demand.running_by_instance(now)
        completed = []
        for tracker in self._trackers.values():
            count = running[tracker.entry.instance]
            if tracker.complete_due_load(now, count) or tracker.complete_due_adapters(now):
                completed.append(tracker)
            elif 0 < tracker.assumed_done_at(count) - now < STEP_SECONDS:
                delay = tracker.assumed_done_at(count) - now
                asyncio.get_running_loop().call_later(delay, self._wake.set)
        if completed:
            self._send_holdings(completed)

    # Reading servers.

    def _should_read(self, tracker: ServerTracker) -> bool:
        if tracker.reading or tracker.in_flight is not None:
            return False
        now = self._now()
        age = now - tracker.read_at
        if tracker.recheck_due and age >= BUSY_READ_SECONDS:
            return True
        if tracker.failed_reads:
            return age >= FAILED_READ_RETRY_SECONDS
        if tracker.report is None:
            return age >= BUSY_READ_SECONDS
        operation = tracker.operation
        if operation is not None:
            due = now >= operation.done_at - READ_BEFORE_END_SECONDS
            return due and age >= BUSY_READ_SECONDS
        if tracker.report.busy or tracker.report.pending_adapters or tracker.no_orders_until > now:
            return age >= BUSY_READ_SECONDS
        return age >= IDLE_READ_SECONDS

    async def _read(self, tracker: ServerTracker) -> None:
        report = await self._control.read_report(
            tracker.entry, REPORT_TIMEOUT_SECONDS, on_new_connection=tracker.report is None
        )
        tracker.reading = False
        tracker.recheck_due = False
        if report is None:
            tracker.record_failed_read()
            tracker.read_at = self._now()
            return
        self._exchange.observe_report(tracker.entry, report)
        busy_before = tracker.report is None or not tracker.idle
        if tracker.record_report(report, self._now()):
            self._send_holdings([tracker])
        finished = tracker.pop_finished_load()
        pace = self._paces.get(tracker.entry.service)
        if finished is not None and pace is not None:
            pace.record_finished(finished, self._now())
        if busy_before and tracker.idle:
            self._wake.set()

    def _send_holdings(self, trackers: list[ServerTracker]) -> None:
        fence = self._election.lease.fence
        if fence is None:
            return
        holdings = tuple(
            ServerHolding(
                tracker.entry.instance,
                tracker.report.revision,
                tracker.report.held,
                tracker.loading,
                tracker.unloading,
            )
            for tracker in trackers
            if tracker.report is not None
        )
        if holdings:
            learned = tuple(each.learned(service) for service, each in self._paces.items())
            self._exchange.broadcast_holdings(PoolHoldings(fence, holdings, learned))

    # Orders.

    def _plan(self, service: str, loads_per_second: float) -> None:
        now = self._now()
        pace = self._pace(service, loads_per_second, now)
        servers = [
            tracker
            for tracker in self._trackers.values()
            if tracker.entry.service == service and not tracker.failed_reads
        ]
        pace.observe(servers, now)
        promises = self._promises.setdefault(service, LoadPromises())
        plan_input = PlanInput(
            service,
            servers,
            self._demand,
            self._demand.running(now),
            now,
            pace.allows(now),
            self._staging_allowed(now),
            pace.free_loads,
            promises.start_in(now),
        )
        planner = Planner(plan_input)
        orders = planner.plan()
        broken = promises.update(planner.scheduled_loads(), now)
        self._shortages.record_broken_promises(service, broken)
        self._shortages.record_store_use(
            service,
            servers,
            pace.limit,
            planner.models_needing_copy(),
            len(promises.start_in(now)),
            now * MS_PER_SECOND,
        )
        self._shortages.record_versions(service, planner.version_demand, now * MS_PER_SECOND)
        self._demand.reset_unserved(service, plan_input.index.holders)
        self._send_expectations(service, planner.expectations())
        for planned in orders:
            if planned.from_store:
                if not pace.allows(now):
                    continue
                pace.record_start(now)
                self._metrics.store_loads.labels(planned.purpose.value).inc()
            if (
                plan_input.staging_allowed
                and planned.kind is OrderKind.LOAD
                and not planned.target.adapter
            ):
                self._trackers[planned.instance].staged += 1
            self._start_order(planned)

    def _pace(self, service: str, loads_per_second: float, now: float) -> StorePace:
        """Return the pace of a service, initially as the previous leader left it."""
        if service not in self._paces:
            window_seconds = self._bounds.load_window_seconds
            recent_loads = self._residency.loads_since(now - window_seconds)
            self._paces[service] = StorePace(
                LoadRateLimiter(loads_per_second, window_seconds, now, recent_loads),
                StoreConcurrencyLimit(
                    self._residency.store_limits.get(service), now * MS_PER_SECOND
                ),
            )
        return self._paces[service]

    def _send_expectations(self, service: str, expected: tuple[ExpectedTarget, ...]) -> None:
        """Send daemons the expected ready times of the targets their requests wait for."""
        fence = self._election.lease.fence
        if fence is None:
            return
        now = self._now()
        notices = self._notices.setdefault(service, ExpectationNotices())
        due = notices.due(
            self._demand.waiting_by_daemon(now),
            {each.key: each for each in expected},
            self._reported,
            now * MS_PER_SECOND,
        )
        for daemon, known in due.items():
            self._exchange.send_expectations(daemon, PoolExpectations(fence, known))

    def _staging_allowed(self, now: float) -> bool:
        """Whether to load ahead of demand: this daemon has led for a while and seen no request."""
        return (
            now - self._leading_since > STAGING_DELAY_SECONDS and not self._demand.has_seen_requests
        )

    def _start_order(self, planned: PlannedOrder) -> None:
        tracker = self._trackers[planned.instance]
        report = tracker.report
        fence = self._election.lease.fence
        if report is None or fence is None or not self._election.is_leader():
            return
        order = Order(
            planned.kind, planned.target, planned.instance, self._name, fence, report.revision
        )
        tracker.in_flight = order
        if planned.evicts_for:
            tracker.reserve_memory(planned.evicts_for, self._now())
        self._spawn_order(self._send_order(tracker, order, planned))

    async def _send_order(
        self, tracker: ServerTracker, order: Order, planned: PlannedOrder
    ) -> None:
        answer = await self._control.send_order(
            tracker.entry,
            order,
            ORDER_TIMEOUT_SECONDS,
            partial(self._election.remaining_seconds, order.fence),
        )
        now = self._now()
        tracker.record_answer(
            order,
            answer,
            now,
            self._demand.has_running_requests(order.instance, order.target.model, now),
        )
        self._metrics.orders.labels(answer.value).inc()
        log_state(
            "order",
            answer.value,
            server=order.instance,
            kind=order.kind.value,
            target=str(order.target),
            purpose=planned.purpose.value,
            from_store=planned.from_store,
            makes_way_for=planned.evicts_for,
            fence=order.fence,
            revision=order.expected_revision,
        )
        if answer is OrderAnswer.OTHER_INSTANCE:
            # Its reports come from the process that has taken over the address.
            self._directory.record_replaced(tracker.entry)
        elif answer is OrderAnswer.ACCEPTED:
            if order.target.adapter:
                loop = asyncio.get_running_loop()
                loop.call_later(ADAPTER_LOAD_SECONDS, self._wake.set)
            else:
                self._send_holdings([tracker])
        self._wake.set()

    async def finish_orders(self) -> None:
        """Wait until every order is answered, or has timed out and can't arrive any more."""
        while self._order_tasks:
            await asyncio.wait(self._order_tasks)

    def _spawn_order(self, coroutine: Coroutine[None, None, None]) -> None:
        task = self._spawn(coroutine)
        self._order_tasks.add(task)
        task.add_done_callback(self._order_tasks.discard)

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_state("controller", "task-failed", error=repr(task.exception()))

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
