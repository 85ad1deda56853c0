"""Steps about a server's surplus responses, in exchanges that control the server.

Real connections; the daemon, its leader and the server run in the loop of the scenario.
"""

import asyncio
import itertools
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar, cast

import msgspec
from attrs import define, field
from behave import given, then, when

from features.steps.planner_steps import SERVICE, profile, report
from features.steps.replaced_server_steps import ConfiguredState, PeerExchangeStub
from features.support.local_daemon import (
    HOST,
    LOCALHOST,
    apply_configuration,
    apply_server,
    configuration,
    create_daemon,
)
from features.support.local_daemon import SERVICE as LOCAL_SERVICE
from features.support.repeating_server import RepeatingServer, ScriptedResponse
from features.support.virtual_time import run_in_virtual_time
from loomwind.daemon import Daemon
from loomwind.demo import demo_settings
from loomwind.engines import protocol
from loomwind.engines.client import EngineClient
from loomwind.leadership.election import Election
from loomwind.messages.serving import PoolDemand, PoolHoldings
from loomwind.metrics import Metrics
from loomwind.placement.controller import PlacementController
from loomwind.placement.server_tracker import ServerTracker
from loomwind.schema import Artifact
from loomwind.serving.daemon import PoolDaemon
from loomwind.serving.demand import TargetDemand
from loomwind.serving.peer_exchange import PeerExchange
from loomwind.serving.pool import ServerPool
from loomwind.serving.ports import EngineControl
from loomwind.serving.replicated_state import ReplicatedState
from loomwind.serving.views import (
    ModelKey,
    Order,
    OrderAnswer,
    OrderKind,
    ServerEntry,
    ServerReport,
    ServerState,
)
from loomwind.settings import BoundSettings

Result = TypeVar("Result")

NAME = "i-1"
MODEL = "b"
REQUEST_PATH = "/book/x"
REPORT_PATH = "/report"
ORDER_PATH = "/order"
ENGINE_ORDER_PATH = "/v1/orders"
FENCE_PATH = "/v1/fence"
# Ends a hopeless wait.
TIMEOUT_SECONDS = 20.0
STARTED_AT_MS = 1000
ANSWER_SECONDS = 0.01
DEMAND_SECONDS = 0.02


class SwitchedElection:
    """An election that this daemon wins or loses as the scenario says."""

    class lease:
        """The lease of the leader."""

        fence = 7

    def __init__(self) -> None:
        self.is_won = True

    def is_leader(self) -> bool:
        """Return whether this daemon leads."""
        return self.is_won

    def remaining_seconds(self, fence: int) -> float:
        """Return for how long it leads."""
        return float(self.is_won and fence == self.lease.fence)


class RecordingExchange(PeerExchangeStub):
    """A peer exchange that keeps the holdings announced to all daemons."""

    def __init__(self) -> None:
        super().__init__()
        self.announced: list[PoolHoldings] = []

    def broadcast_holdings(self, message: object) -> None:
        """Keep the holdings."""
        self.announced.append(cast(PoolHoldings, message))


class ConflictingControl:
    """A server that refuses an order, and whose reports are then older than the first one.

    :ivar read_at: loop times of the reports.
    :ivar ordered_at: loop time of the order, or None.
    """

    def __init__(self, known_revision: int, older_revision: int) -> None:
        self._known_revision = known_revision
        self._older_revision = older_revision
        self.read_at: list[float] = []
        self.ordered_at: float | None = None

    async def read_report(
        self, entry: ServerEntry, timeout: float, on_new_connection: bool = False
    ) -> ServerReport:
        """Return a report, which is old once an order was sent."""
        self.read_at.append(asyncio.get_running_loop().time())
        await asyncio.sleep(ANSWER_SECONDS)
        revision = self._known_revision if self.ordered_at is None else self._older_revision
        return msgspec.structs.replace(report(["a"], {"a"}, revision), started_at_ms=STARTED_AT_MS)

    async def send_order(
        self,
        entry: ServerEntry,
        order: Order,
        timeout: float,
        remaining_seconds: Callable[[], float],
    ) -> OrderAnswer:
        """Refuse the order."""
        await asyncio.sleep(ANSWER_SECONDS)
        self.ordered_at = asyncio.get_running_loop().time()
        return OrderAnswer.CONFLICT


@define
class ControlSite:
    """A server that repeats its responses, and what was seen of it.

    :ivar answers: the answers to the orders.
    :ivar report: the report that was read last.
    """

    runner: asyncio.Runner
    server: RepeatingServer
    daemon: PoolDaemon
    answers: list[OrderAnswer] = field(factory=list)
    report: ServerReport | None = None
    exchange: RecordingExchange = field(factory=RecordingExchange)

    def run(self, work: Coroutine[Any, Any, Result]) -> Result:
        """Run a coroutine in the loop of the scenario."""
        return self.runner.run(asyncio.wait_for(work, TIMEOUT_SECONDS))

    @property
    def control(self) -> EngineControl:
        """Return what reads the daemon's reports and sends its orders."""
        return self.daemon._controller._control

    @property
    def entry(self) -> ServerEntry:
        """Return the server's entry."""
        return ServerEntry(NAME, SERVICE, self.server.address, "zone-a", 8, ServerState.READY)

    async def start(self) -> None:
        """Start the server, and the daemon's listener for callers."""
        await self.server.start()
        await self.daemon.callers.start(LOCALHOST, 0)
        apply_configuration(self.daemon, configuration(1, {"book": LOCAL_SERVICE}))
        apply_server(self.daemon, self.server.port, NAME)

    async def stop(self) -> None:
        """End the daemon and the server, and wait until their connections have ended."""
        self.daemon.close()
        self.server.close()
        while self.server.open_connections:
            await asyncio.sleep(0)

    async def send_request(self) -> None:
        """Send a request through the daemon, and wait for its response."""
        reader, writer = await asyncio.open_connection(LOCALHOST, self.daemon.callers.port)
        head = (f"GET {REQUEST_PATH} HTTP/1.1", f"host: {HOST}", "x-request-id: r1", "", "")
        writer.write("\r\n".join(head).encode())
        await reader.readuntil(b"\r\n\r\n")
        writer.close()
        assert self.server.received[-1] == REQUEST_PATH, self.server.received

    async def read_report(self) -> None:
        """Read a report, over a connection that may have been used."""
        self.report = await self.control.read_report(self.entry, TIMEOUT_SECONDS)

    async def send_order(self) -> None:
        """Send an order."""
        order = Order(OrderKind.LOAD, ModelKey(MODEL), NAME, "daemon-1", 7, 5)
        self.answers.append(
            await self.control.send_order(
                self.entry, order, TIMEOUT_SECONDS, lambda: TIMEOUT_SECONDS
            )
        )


def site(context: Any) -> ControlSite:
    """Return the site of the scenario."""
    return cast(ControlSite, context.control_site)


def _report_body(revision: int) -> bytes:
    return msgspec.json.encode({"seq": revision, "models": [{"name": "a"}]})


@given("a server that repeats each response where the next one on its connection is due")
def step_server(context: Any) -> None:
    runner = asyncio.Runner()
    context.add_cleanup(runner.close)
    context.control_site = runner.run(_start_site(runner))
    context.add_cleanup(lambda: runner.run(site(context).stop()))


async def _start_site(runner: asyncio.Runner) -> ControlSite:
    control_site = ControlSite(runner, RepeatingServer(), create_daemon())
    await control_site.start()
    return control_site


@given("it answers requests with {status:d}, and orders with {order_status:d}")
def step_requests_and_orders(context: Any, status: int, order_status: int) -> None:
    site(context).server.answer(REQUEST_PATH, [ScriptedResponse(status)])
    site(context).server.answer(ORDER_PATH, [ScriptedResponse(order_status)])


@given("it has the revision {revision:d}")
def step_revision(context: Any, revision: int) -> None:
    site(context).server.answer(REPORT_PATH, [ScriptedResponse(200, _report_body(revision))])


@given("it has the revision {revision:d}, and answers orders with {status:d}")
def step_report_and_order(context: Any, revision: int, status: int) -> None:
    step_revision(context, revision)
    site(context).server.answer(ORDER_PATH, [ScriptedResponse(status)])


@given("it has the revision {revision:d}, and answers orders with {first:d} and {second:d}")
def step_report_and_orders(context: Any, revision: int, first: int, second: int) -> None:
    step_revision(context, revision)
    site(context).server.answer(ORDER_PATH, [ScriptedResponse(first), ScriptedResponse(second)])


@given("it has the revision {revision:d}, and answers requests with {status:d}")
def step_report_and_request(context: Any, revision: int, status: int) -> None:
    step_revision(context, revision)
    site(context).server.answer(REQUEST_PATH, [ScriptedResponse(status)])


@when("a request is served, and then an order is sent")
def step_request_then_order(context: Any) -> None:
    site(context).run(site(context).send_request())
    site(context).run(site(context).send_order())


@when("a report is read, and then an order is sent")
def step_report_then_order(context: Any) -> None:
    site(context).run(site(context).read_report())
    site(context).run(site(context).send_order())


@when("two orders are sent")
def step_two_orders(context: Any) -> None:
    site(context).run(site(context).send_order())
    site(context).run(site(context).send_order())


@when("an order is sent, and then a report is read")
def step_order_then_report(context: Any) -> None:
    site(context).run(site(context).send_order())
    site(context).run(site(context).read_report())


@when("a request is served, and then a report is read")
def step_request_then_report(context: Any) -> None:
    site(context).run(site(context).send_request())
    site(context).run(site(context).read_report())


@then("the orders were answered as {names}")
def step_answers(context: Any, names: str) -> None:
    answers = [answer.value for answer in site(context).answers]
    assert answers == names.split(", "), answers


@then("the report has the revision {revision:d}")
def step_report_revision(context: Any, revision: int) -> None:
    read = site(context).report
    assert read is not None and read.revision == revision, read


# A leader.


def _controller(
    control_site: ControlSite,
    election: SwitchedElection,
    metrics: Metrics,
    control: EngineControl | ConflictingControl,
) -> PlacementController:
    pool = ServerPool(BoundSettings())
    pool.directory.put(control_site.entry)
    return PlacementController(
        "daemon-1",
        cast(Election, election),
        pool,
        cast(ReplicatedState, ConfiguredState()),
        cast(EngineControl, control),
        cast(PeerExchange, control_site.exchange),
        BoundSettings(),
        metrics,
    )


@when("a daemon leads until an order for a model is answered")
def step_lead(context: Any) -> None:
    site(context).run(_lead_until_answer(site(context)))


async def _lead_until_answer(control_site: ControlSite) -> None:
    metrics = Metrics()
    controller = _controller(control_site, SwitchedElection(), metrics, control_site.control)
    leading = asyncio.create_task(controller.run())
    while not any(sample.value for sample in _order_samples(metrics)):
        waiting = TargetDemand(SERVICE, ModelKey(MODEL), 1, 0.0, 1, 8.0)
        control_site.exchange.inbox.put(PoolDemand("daemon-1", (waiting,), ()))
        await asyncio.sleep(0)
    leading.cancel()


def _order_samples(metrics: Metrics) -> list[Any]:
    (family,) = metrics.orders.collect()
    return [sample for sample in family.samples if sample.name.endswith("_total")]


@then("it has announced that the server loads the model")
def step_announced_load(context: Any) -> None:
    announced = site(context).exchange.announced
    loading = [each.loading for message in announced for each in message.holdings]
    assert MODEL in loading, announced


@when(
    "a daemon leads, loses the lease until the server has the revision {revision:d}, "
    "and leads again"
)
def step_lead_again(context: Any, revision: int) -> None:
    site(context).run(_lead_again(site(context), revision))


async def _lead_again(control_site: ControlSite, revision: int) -> None:
    election, metrics = SwitchedElection(), Metrics()
    announced = control_site.exchange.announced
    controller = _controller(control_site, election, metrics, control_site.control)
    leading = asyncio.create_task(controller.run())
    while not announced:
        await asyncio.sleep(0)
    election.is_won = False
    while controller._leading:
        await asyncio.sleep(0)
    announced.clear()
    body = _report_body(revision)
    control_site.server.answer(REPORT_PATH, [ScriptedResponse(200, body)])
    election.is_won = True
    while not announced:
        await asyncio.sleep(0)
    leading.cancel()


@then("the first holdings that it announces then have the revision {revision:d}")
def step_first_holdings(context: Any, revision: int) -> None:
    first = site(context).exchange.announced[0]
    assert [each.revision for each in first.holdings] == [revision], first


# What a leader believes.


@given("a leader that knows the revision {revision:d} of a process with a start time")
def step_known_process(context: Any, revision: int) -> None:
    _track(context, revision, STARTED_AT_MS)


@given("a leader that knows the revision {revision:d} of a process without a known start time")
def step_unknown_process(context: Any, revision: int) -> None:
    _track(context, revision, None)


def _track(context: Any, revision: int, started_at_ms: int | None) -> None:
    entry = msgspec.structs.replace(site(context).entry, started_at_ms=started_at_ms)
    context.started_at_ms = started_at_ms
    context.tracker = ServerTracker(entry, profile(100))
    context.tracker.record_report(_process_report(context, revision), 1.0)


def _process_report(context: Any, revision: int) -> ServerReport:
    known = report(["a"], {"a"}, revision)
    return msgspec.structs.replace(known, started_at_ms=context.started_at_ms)


@when("an order is answered with 409, and then a report of that process at revision 5 arrives")
def step_conflict_then_report(context: Any) -> None:
    tracker: ServerTracker = context.tracker
    order = Order(OrderKind.LOAD, ModelKey(MODEL), tracker.entry.instance, "daemon-1", 7, 6)
    tracker.record_answer(order, OrderAnswer.CONFLICT, 1.1)
    context.is_used = tracker.record_report(_process_report(context, 5), 1.2)


@when(
    "an order is accepted and the next one is answered with 409, and then a report of that process "
    "at revision 5 arrives"
)
def step_accepted_conflict_then_report(context: Any) -> None:
    tracker: ServerTracker = context.tracker
    accepted = Order(OrderKind.LOAD, ModelKey(MODEL), tracker.entry.instance, "daemon-1", 7, 5)
    tracker.record_answer(accepted, OrderAnswer.ACCEPTED, 1.0)
    step_conflict_then_report(context)


@given(
    "a leader whose orders a server at revision {known:d} answers with 409, and whose reports are "
    "then of revision {older:d}"
)
def step_conflicting_server(context: Any, known: int, older: int) -> None:
    context.conflicting = ConflictingControl(known, older)


@when("it leads for {seconds:f} s while daemons report demand often")
def step_lead_conflicting(context: Any, seconds: float) -> None:
    run_in_virtual_time(_lead_conflicting(context.conflicting, site(context), seconds))


async def _lead_conflicting(
    control: ConflictingControl, control_site: ControlSite, seconds: float
) -> None:
    exchange = control_site.exchange
    leading = asyncio.create_task(
        _controller(control_site, SwitchedElection(), Metrics(), control).run()
    )
    for _ in range(round(seconds / DEMAND_SECONDS)):
        waiting = TargetDemand(SERVICE, ModelKey(MODEL), 1, 0.0, 1, 8.0)
        exchange.inbox.put(PoolDemand("daemon-1", (waiting,), ()))
        await asyncio.sleep(DEMAND_SECONDS)
    leading.cancel()


@then("the server has been read at most every {seconds:f} s since the last order")
def step_read_pace(context: Any, seconds: float) -> None:
    control: ConflictingControl = context.conflicting
    assert control.ordered_at is not None
    later = [at for at in control.read_at if at > control.ordered_at]
    assert len(later) > 1, control.read_at
    assert all(b - a >= seconds for a, b in itertools.pairwise(later)), later


@then("the leader {decision} the report")
def step_decision(context: Any, decision: str) -> None:
    used = context.tracker.report is not None
    assert used == (decision == "uses"), context.tracker.report


# The project's own engines.


@given("it answers an engine's orders as done, and then as out of memory")
def step_engine_orders(context: Any) -> None:
    results = (protocol.OrderResult.DONE, protocol.OrderResult.NO_MEMORY)
    answers = [protocol.OrderAnswer(result, _inventory(1)) for result in results]
    responses = [ScriptedResponse(200, msgspec.json.encode(answer)) for answer in answers]
    site(context).server.answer(ENGINE_ORDER_PATH, responses)


@given("it answers fences with the generations {first:d} and {second:d}")
def step_engine_fences(context: Any, first: int, second: int) -> None:
    bodies = [msgspec.json.encode(_inventory(number)) for number in (first, second)]
    site(context).server.answer(FENCE_PATH, [ScriptedResponse(200, body) for body in bodies])


def _inventory(generation: int) -> protocol.Inventory:
    return protocol.Inventory("e@1", protocol.Fence(generation), 16_000, 8, False)


def _engine_client(context: Any) -> EngineClient:
    return Daemon(demo_settings(1, site(context).server.port))._engines


@when("two orders are sent to the engine")
def step_send_engine_orders(context: Any) -> None:
    client, address = _engine_client(context), site(context).server.address
    artifact = Artifact(MODEL, "v1")
    order = protocol.Order(protocol.Fence(1), "e@1", protocol.Action.LOAD, artifact)
    context.engine_answers = [
        site(context).run(client.order(address, order, TIMEOUT_SECONDS)).result.value
        for _ in range(2)
    ]


@then("the engine's answers are {names}")
def step_engine_answers(context: Any, names: str) -> None:
    assert context.engine_answers == names.split(", "), context.engine_answers


@when("two fences are raised")
def step_raise_fences(context: Any) -> None:
    client, address = _engine_client(context), site(context).server.address
    request = protocol.FenceRequest(protocol.Fence(2))
    context.generations = [
        site(context).run(client.fence(address, request, TIMEOUT_SECONDS)).fence.generation
        for _ in range(2)
    ]


@then("the inventories have the generations {first:d}, {second:d}")
def step_generations(context: Any, first: int, second: int) -> None:
    assert context.generations == [first, second], context.generations


@when("a request is served, a report is read, and the daemon ends")
def step_end(context: Any) -> None:
    site(context).run(_use_and_end(site(context)))


async def _use_and_end(control_site: ControlSite) -> None:
    await control_site.send_request()
    await control_site.read_report()
    control_site.daemon.close()
    await asyncio.sleep(0)


@then("the server has no open connection")
def step_no_connection(context: Any) -> None:
    site(context).run(_wait_until_closed(site(context).server))


async def _wait_until_closed(server: RepeatingServer) -> None:
    while server.open_connections:
        await asyncio.sleep(0)
