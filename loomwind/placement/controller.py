"""Carries the plan out while this daemon leads: reads servers, gives orders, tells the daemons."""

import asyncio
from collections.abc import Coroutine

from loomwind.clock import MS_PER_SECOND
from loomwind.leadership.election import Election
from loomwind.logs import log_state
from loomwind.messages.serving import PoolDemand, PoolExpectations, PoolHoldings
from loomwind.metrics import Metrics
from loomwind.placement.demand_view import DemandView
from loomwind.placement.expectation_notices import ExpectationNotices
from loomwind.placement.ledger import ADAPTER_SETTLES_SECONDS, ServerLedger, store_load_of
from loomwind.placement.load_window import LoadWindow
from loomwind.placement.plan import PlanInput, PlannedOrder
from loomwind.placement.planner import Planner
from loomwind.placement.shortage_log import ShortageLog
from loomwind.placement.store_pace import StorePace
from loomwind.serving.beliefs import Beliefs
from loomwind.serving.expectations import ExpectedTarget
from loomwind.serving.peer_exchange import PeerExchange
from loomwind.serving.pool import ServerPool
from loomwind.serving.ports import EngineControl
from loomwind.serving.residency import ServerHolding
from loomwind.serving.views import Configuration, Order, OrderAnswer, OrderKind, ServerEntry
from loomwind.settings import BoundSettings

STEP_SECONDS = 0.1
# Between two steps in a small fleet; longer in a large one, in which more reports come.
SHORTEST_STEP_SECONDS = 0.005
SETTLED_READ_SECONDS = 2.0
WORKING_READ_SECONDS = 0.1
EARLY_READ_SECONDS = -0.2
SILENT_READ_SECONDS = 0.4
REPORT_TIMEOUT_SECONDS = 0.5
ORDER_TIMEOUT_SECONDS = 0.4
TELL_ALL_SECONDS = 2.0
STAGE_AFTER_SECONDS = 2.0


class PlacementController:
    """The leader's work. Every order is given under the lease's fence, checked just before."""

    def __init__(
        self,
        name: str,
        election: Election,
        pool: ServerPool,
        beliefs: Beliefs,
        control: EngineControl,
        exchange: PeerExchange,
        bounds: BoundSettings,
        metrics: Metrics,
    ) -> None:
        self._name = name
        self._election = election
        self._directory = pool.directory
        self._residency = pool.residency
        self._beliefs = beliefs
        self._control = control
        self._exchange = exchange
        self._bounds = bounds
        self._metrics = metrics
        self._demand = DemandView()
        self._ledgers: dict[str, ServerLedger] = {}
        self._windows: dict[str, LoadWindow] = {}
        self._reported: set[str] = set()
        self._notices: dict[str, ExpectationNotices] = {}
        self._paces: dict[str, StorePace] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._wake = exchange.inbox.arrived
        self._told_all_at = -1e9
        self._shortages = ShortageLog(metrics)
        self._leading = False
        self._led_since = 0.0

    def set_bounds(self, bounds: BoundSettings) -> None:
        """Hold to other bounds from the next change of leader on; windows that run keep theirs."""
        self._bounds = bounds

    def _take_demand(self) -> None:
        """Take in what daemons have told since the last step."""
        for report in self._exchange.inbox.drain():
            self._demand.note(report, self._now())
            self._doubt_holders(report)
            self._reported.add(report.sender)

    def _doubt_holders(self, report: PoolDemand) -> None:
        """Read servers soon that should have what a daemon waits for: it may not reach them."""
        for demand in report.demand:
            if not demand.waiting:
                continue
            for ledger in self._ledgers.values():
                if ledger.holds(demand.target):
                    ledger.note_doubt(demand.target, self._now())

    def _note_leadership(self) -> bool:
        """Begin or end to lead, and return whether this daemon leads.

        What an earlier leader knew is read anew.
        """
        leads = self._election.leads()
        if leads == self._leading:
            return leads
        self._leading = leads
        self._led_since = self._now()
        self._demand = DemandView()
        self._ledgers.clear()
        self._windows.clear()
        self._paces.clear()
        self._notices.clear()
        self._shortages.note_unserved(())
        self._metrics.leading.set(leads)
        self._metrics.lease_fence.set(self._election.lease.fence or 0)
        if leads:
            self._metrics.elections.inc()
        return leads

    async def run(self) -> None:
        """Work for ever; idle while another daemon leads."""
        while True:
            try:
                async with asyncio.timeout(STEP_SECONDS):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            try:
                leads = self._note_leadership()
                self._take_demand()
                if leads:
                    self._step()
            except Exception as error:
                log_state("controller", "failed", error=repr(error))
            await asyncio.sleep(self._exchange.scale_interval(SHORTEST_STEP_SECONDS))

    def _step(self) -> None:
        configuration = self._beliefs.configuration
        if configuration is None:
            return
        self._update_ledgers(configuration)
        self._settle_loads()
        for ledger in self._ledgers.values():
            if self._should_read(ledger):
                ledger.reading = True
                self._spawn(self._read(ledger))
        for service in configuration.services:
            if service.engine is not None:
                self._plan(service.name, service.engine.loads_per_second)
        self._reported.clear()
        if self._now() - self._told_all_at > self._exchange.scale_interval(TELL_ALL_SECONDS):
            self._told_all_at = self._now()
            self._tell_holdings(list(self._ledgers.values()))
            self._shortages.note_unserved(self._demand.asked_in_vain())

    def _update_ledgers(self, configuration: Configuration) -> None:
        listed: dict[str, ServerEntry] = {}
        for service in configuration.services:
            if service.engine is None:
                continue
            for entry in self._directory.usable(service.name, self._now()):
                listed[entry.instance] = entry
                ledger = self._ledgers.get(entry.instance)
                if ledger is None:
                    heard = self._residency.load_under_way(entry.instance)
                    ledger = ServerLedger(entry, service.engine, heard)
                    self._inherit_orders(ledger)
                    self._ledgers[entry.instance] = ledger
                ledger.entry = entry
                ledger.profile = service.engine
        for instance in [name for name in self._ledgers if name not in listed]:
            del self._ledgers[instance]

    def _inherit_orders(self, ledger: ServerLedger) -> None:
        """Let a new life of a server count on orders that an earlier one left unanswered."""
        for earlier in self._ledgers.values():
            if ledger.entry.name == earlier.entry.name:
                ledger.late_orders.inherit(earlier.late_orders)

    def _settle_loads(self) -> None:
        """Take loads as done whose time is over, and look again when the next one's is."""
        now = self._now()
        running = self._demand.running_by_instance(now)
        settled = []
        for ledger in self._ledgers.values():
            count = running[ledger.entry.instance]
            if ledger.settle(now, count) or ledger.settle_adapters(now):
                settled.append(ledger)
            elif 0 < ledger.settles_at(count) - now < STEP_SECONDS:
                delay = ledger.settles_at(count) - now
                asyncio.get_running_loop().call_later(delay, self._wake.set)
        if settled:
            self._tell_holdings(settled)

    # Reading servers.

    def _should_read(self, ledger: ServerLedger) -> bool:
        if ledger.reading or ledger.in_flight is not None:
            return False
        now = self._now()
        age = now - ledger.read_at
        if ledger.doubted and age >= WORKING_READ_SECONDS:
            return True
        if ledger.failed_reads:
            return age >= SILENT_READ_SECONDS
        if ledger.report is None:
            return True
        operation = ledger.operation
        if operation is not None:
            near = now >= operation.done_at - EARLY_READ_SECONDS
            return near and age >= WORKING_READ_SECONDS
        if ledger.report.busy or ledger.report.pending_adapters or ledger.quiet_until > now:
            return age >= WORKING_READ_SECONDS
        return age >= SETTLED_READ_SECONDS

    async def _read(self, ledger: ServerLedger) -> None:
        report = await self._control.report(ledger.entry, REPORT_TIMEOUT_SECONDS)
        ledger.reading = False
        ledger.doubted = False
        if report is None:
            ledger.note_silence()
            ledger.read_at = self._now()
            return
        busy_before = ledger.report is None or not ledger.idle
        if ledger.note_report(report, self._now()):
            self._tell_holdings([ledger])
        self._learn_pace(ledger)
        if busy_before and ledger.idle:
            self._wake.set()

    def _learn_pace(self, ledger: ServerLedger) -> None:
        finished = ledger.take_finished()
        pace = self._paces.get(ledger.entry.service)
        if finished is None or pace is None:
            return
        before = pace.limit
        pace.note(finished, self._now() * MS_PER_SECOND)
        if pace.limit != before:
            log_state(
                "weight-store",
                "paced",
                loads_at_once=pace.limit,
                slowness=round(finished.slowness, 2),
            )

    def _tell_holdings(self, ledgers: list[ServerLedger]) -> None:
        fence = self._election.lease.fence
        if fence is None:
            return
        holdings = tuple(
            ServerHolding(
                ledger.entry.instance, ledger.report.revision, ledger.report.held, ledger.coming
            )
            for ledger in ledgers
            if ledger.report is not None
        )
        if holdings:
            paces = tuple(pace.learned(service) for service, pace in self._paces.items())
            self._exchange.broadcast_holdings(PoolHoldings(fence, holdings, paces))

    # Orders.

    def _plan(self, service: str, loads_per_second: float) -> None:
        now = self._now()
        window = self._windows.get(service)
        if window is None:
            seconds = self._bounds.load_window_seconds
            seen = self._residency.loads_since(now - seconds)
            window = LoadWindow(loads_per_second, seconds, now, seen)
            self._windows[service] = window
        pace = self._pace_of(service, now)
        servers = [
            ledger
            for ledger in self._ledgers.values()
            if ledger.entry.service == service and not ledger.failed_reads
        ]
        store_loads = sum(server.uses_store(now) for server in servers)
        pace.observe(store_loads, now * MS_PER_SECOND)
        pace.note_under_way(
            [load for load in map(store_load_of, servers) if load is not None],
            now * MS_PER_SECOND,
        )
        given = PlanInput(
            service,
            servers,
            self._demand,
            self._demand.running(now),
            now,
            window.allows(now),
            self._may_stage(now),
            max(0, pace.limit - store_loads),
        )
        planner = Planner(given)
        orders = planner.plan()
        loading = (server for server in servers if server.loads_from_store_now)
        self._shortages.note_store_use(
            service, loading, pace.limit, planner.lacking(), now * MS_PER_SECOND
        )
        self._demand.note_available(service, given.index.holders)
        self._tell_expectations(service, planner.expectations())
        for planned in orders:
            if planned.from_store:
                if not window.allows(now):
                    continue
                window.note(now)
                self._metrics.store_loads.labels(planned.purpose.value).inc()
            if given.may_stage and planned.kind is OrderKind.LOAD and not planned.target.adapter:
                self._ledgers[planned.instance].staged += 1
            self._begin_order(planned)

    def _pace_of(self, service: str, now: float) -> StorePace:
        """Return the weight store's pace; the first is what the leader before has learned."""
        if service not in self._paces:
            learned = self._residency.paces.get(service)
            self._paces[service] = StorePace(learned, now * MS_PER_SECOND)
        return self._paces[service]

    def _tell_expectations(self, service: str, expected: tuple[ExpectedTarget, ...]) -> None:
        """Tell daemons when should be there what their requests wait for."""
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

    def _may_stage(self, now: float) -> bool:
        """Whether no request for a model has been heard of since this daemon began to lead."""
        return now - self._led_since > STAGE_AFTER_SECONDS and not self._demand.any_yet

    def _begin_order(self, planned: PlannedOrder) -> None:
        ledger = self._ledgers[planned.instance]
        report = ledger.report
        fence = self._election.lease.fence
        if report is None or fence is None or not self._election.leads():
            return
        order = Order(
            planned.kind,
            planned.target,
            planned.instance,
            self._name,
            fence,
            report.revision,
        )
        ledger.in_flight = order
        if planned.makes_way_for:
            ledger.reserve_room(planned.makes_way_for, self._now())
        self._spawn(self._give(ledger, order, planned))

    async def _give(self, ledger: ServerLedger, order: Order, planned: PlannedOrder) -> None:
        answer = await self._control.order(ledger.entry, order, ORDER_TIMEOUT_SECONDS)
        now = self._now()
        ledger.note_answer(
            order, answer, now, self._demand.runs_at(order.instance, order.target.model, now)
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
            makes_way_for=planned.makes_way_for,
            fence=order.fence,
            revision=order.expected_revision,
        )
        if answer is OrderAnswer.ACCEPTED:
            if order.target.adapter:
                loop = asyncio.get_running_loop()
                loop.call_later(ADAPTER_SETTLES_SECONDS, self._wake.set)
            else:
                self._tell_holdings([ledger])
        self._wake.set()

    async def finish_orders(self) -> None:
        """Wait until each order that was sent is answered, or can be waited for no longer."""
        under_way = [task for task in self._tasks if not task.done()]
        if under_way:
            await asyncio.wait(under_way, timeout=ORDER_TIMEOUT_SECONDS)

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_state("controller", "task-failed", error=repr(task.exception()))

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
