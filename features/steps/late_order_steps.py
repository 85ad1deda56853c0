"""Steps about orders that were decided while a daemon led, and are written later."""

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any, cast

from attrs import define, field
from behave import given, then, when

from features.steps.control_exchange_steps import RecordingExchange
from features.steps.planner_steps import SERVICE, profile, report
from features.steps.replaced_server_steps import ConfiguredState
from features.support.memory_store import MemoryStore
from features.support.virtual_time import run_in_virtual_time
from loomwind.http.client import Connector, HttpClient
from loomwind.http.client_connection import ClientConnection
from loomwind.leadership.election import Election
from loomwind.leadership.lease import Lease, LeaseHolder
from loomwind.metrics import Metrics
from loomwind.placement.controller import PlacementController
from loomwind.placement.plan import OrderPurpose, PlannedOrder
from loomwind.placement.server_tracker import ServerTracker
from loomwind.platform.engine import PlatformEngineControl
from loomwind.serving.follower import StoreHealth
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
    ServerState,
)
from loomwind.settings import BoundSettings

LOCALHOST = "127.0.0.1"
NAME = "i-1"
MODEL = "b"
LEASE_SECONDS = 30.0
LEASE_TABLE = "lease"
OTHER = LeaseHolder("daemon-2", "life-2", "a:2")
ACCEPTED_RESPONSE = b"HTTP/1.1 202 Accepted\r\ncontent-length: 0\r\n\r\n"
# Ends a hopeless wait.
TIMEOUT_SECONDS = 20.0


class LateConnector(Connector):
    """Opens connections, and returns them once :attr:`may_return` is set.

    :ivar opened: set once a connection is open.
    :ivar connection: the last connection.
    """

    def __init__(self) -> None:
        super().__init__()
        self.opened = asyncio.Event()
        self.may_return = asyncio.Event()
        self.connection: ClientConnection | None = None

    async def open(self, address: str, timeout: float, id_header: str = "") -> ClientConnection:
        """Open a connection, and wait."""
        self.connection = await super().open(address, timeout, id_header)
        self.opened.set()
        await self.may_return.wait()
        return self.connection


@define
class RecordingServer:
    """Keeps what it receives.

    :ivar answers: whether it answers orders.
    :ivar received: all bytes.
    :ivar ended: set once a connection has ended.
    :ivar was_reset: whether that was a reset.
    """

    answers: bool = True
    received: bytearray = field(factory=bytearray)
    ended: asyncio.Event = field(factory=asyncio.Event)
    was_reset: bool = False
    _server: asyncio.Server | None = None

    async def start(self) -> str:
        """Listen on a free port; return the address."""
        self._server = await asyncio.start_server(self._serve, LOCALHOST, 0)
        return f"{LOCALHOST}:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(4096):
                self.received += data
                if self.answers:
                    writer.write(ACCEPTED_RESPONSE)
        except ConnectionResetError:
            self.was_reset = True
        finally:
            writer.close()
            self.ended.set()


@define
class LateOrderSite:
    """A leader, and the server that it gives orders to."""

    runner: asyncio.Runner
    store: MemoryStore
    election: Election
    connector: LateConnector
    server: RecordingServer
    controller: PlacementController
    metrics: Metrics
    entry: ServerEntry
    sending: asyncio.Task[None] | None = None

    def run(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the loop of the scenario."""
        self.runner.run(asyncio.wait_for(work, TIMEOUT_SECONDS))

    def start_order(self) -> None:
        """Begin to send an order under the present fencing token."""
        fence = self.election.lease.fence
        assert fence is not None
        order = Order(OrderKind.LOAD, ModelKey(MODEL), NAME, "daemon-1", fence, 0)
        planned = PlannedOrder(NAME, order.kind, order.target, OrderPurpose.WANTED)
        tracker = ServerTracker(self.entry, profile(100))
        tracker.record_report(report([], set()), 0.0)
        work = self.controller._send_order(tracker, order, planned)
        self.sending = asyncio.get_running_loop().create_task(work)

    async def wait_for_order(self) -> None:
        """Wait until the order has an answer or has ended without one."""
        assert self.sending is not None
        await self.sending

    async def stop(self) -> None:
        """End the server."""
        self.server.close()


def site(context: Any) -> LateOrderSite:
    """Return the site of the scenario."""
    return cast(LateOrderSite, context.late_order_site)


@given("a leader whose connections to the server are opened late")
def step_site(context: Any) -> None:
    runner = asyncio.Runner()
    context.add_cleanup(runner.close)
    context.late_order_site = runner.run(_start(runner))
    context.add_cleanup(lambda: runner.run(site(context).stop()))


async def _start(runner: asyncio.Runner) -> LateOrderSite:
    store, health, server, metrics = MemoryStore(), StoreHealth(), RecordingServer(), Metrics()
    connector = LateConnector()
    own = LeaseHolder("daemon-1", "life-1", "a:1")
    election = Election(store, LEASE_TABLE, own, Lease(own, LEASE_SECONDS, 1.0, 0.3), health)
    await election.read_row()
    await election._step()
    assert election.is_leader()
    address = await server.start()
    entry = ServerEntry(NAME, SERVICE, address, "zone-a", 8, ServerState.READY)
    client = HttpClient(connector, max_idle_per_address=0)
    control = PlatformEngineControl(client, client)
    controller = _controller(election, control, metrics)
    return LateOrderSite(runner, store, election, connector, server, controller, metrics, entry)


def _controller(
    election: Election, control: EngineControl, metrics: Metrics
) -> PlacementController:
    return PlacementController(
        "daemon-1",
        election,
        ServerPool(BoundSettings()),
        cast(ReplicatedState, ConfiguredState()),
        control,
        cast(PeerExchange, RecordingExchange()),
        BoundSettings(),
        metrics,
    )


# An order whose connection is opened late.


def _lose(election: Election) -> None:
    election.record_announced_row(election.lease.version + 1, OTHER)


def _step_down(election: Election) -> None:
    suspended = election.suspended()
    suspended.__enter__()


def _lead_again(election: Election) -> None:
    _lose(election)
    loop_time = asyncio.get_running_loop().time()
    election.lease.record_write(election.lease.version + 1, loop_time)
    assert election.is_leader()


CHANGES: dict[str, Callable[[Election], object]] = {
    "loses the lease": _lose,
    "releases the lease": Election.release,
    "steps down for a while": _step_down,
    "leads again under another fencing token": _lead_again,
}


@when("it has decided on an order, and it {change} before the connection is open")
def step_change(context: Any, change: str) -> None:
    site(context).run(_send_order(site(context), CHANGES[change]))


@when("it has decided on an order, and the connection is open soon after")
def step_no_change(context: Any) -> None:
    site(context).run(_send_order(site(context), lambda election: None))


async def _send_order(late: LateOrderSite, change: Callable[[Election], object]) -> None:
    late.start_order()
    await late.connector.opened.wait()
    change(late.election)
    late.connector.may_return.set()
    await late.wait_for_order()
    await late.server.ended.wait()


@then("the server has received nothing")
def step_nothing_received(context: Any) -> None:
    assert not site(context).server.received, bytes(site(context).server.received)


@then("the server has received the order")
def step_received(context: Any) -> None:
    received = bytes(site(context).server.received)
    assert received.startswith(b"POST /order "), received


@then("the order has ended as {name}")
def step_answer(context: Any, name: str) -> None:
    (family,) = site(context).metrics.orders.collect()
    counts = {
        sample.labels["result"]: sample.value
        for sample in family.samples
        if sample.name.endswith("_total") and sample.value
    }
    assert counts == {name: 1.0}, counts


# An order that is not acknowledged.


@when("it has sent an order that the server does not answer")
def step_unanswered(context: Any) -> None:
    site(context).server.answers = False
    site(context).run(_send_unanswered(site(context)))


async def _send_unanswered(late: LateOrderSite) -> None:
    late.connector.may_return.set()
    late.start_order()
    while not late.server.received:
        await asyncio.sleep(0)


@then("the kernel drops what is not acknowledged when the lease ends")
def step_kernel_timeout(context: Any) -> None:
    connection = site(context).connector.connection
    assert connection is not None and connection.transport is not None
    raw = connection.transport.get_extra_info("socket")
    timeout_ms = raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    assert 0 < timeout_ms <= 1000 * LEASE_SECONDS, timeout_ms


@when("the order has timed out")
def step_timed_out(context: Any) -> None:
    site(context).run(site(context).wait_for_order())


@then("its connection was reset")
def step_reset(context: Any) -> None:
    async def wait() -> None:
        await site(context).server.ended.wait()

    site(context).run(wait())
    assert site(context).server.was_reset


# A release while an order is out.


class SlowControl:
    """A server that answers orders late.

    :ivar answered_at: loop times of the answers.
    """

    def __init__(self, answer_seconds: float) -> None:
        self._answer_seconds = answer_seconds
        self.answered_at: list[float] = []

    async def send_order(self, *arguments: object) -> OrderAnswer:
        """Accept an order."""
        await asyncio.sleep(self._answer_seconds)
        self.answered_at.append(asyncio.get_running_loop().time())
        return OrderAnswer.ACCEPTED


@given("a leader whose orders are answered after {seconds:f} s")
def step_slow_orders(context: Any, seconds: float) -> None:
    context.slow_control = SlowControl(seconds)


@when("it waits for its orders before it releases the lease")
def step_finish_orders(context: Any) -> None:
    context.finished_at = run_in_virtual_time(_finish_orders(context.slow_control))


async def _finish_orders(control: SlowControl) -> float:
    own = LeaseHolder("daemon-1", "life-1", "a:1")
    lease = Lease(own, LEASE_SECONDS, 1.0, 0.3)
    election = Election(MemoryStore(), LEASE_TABLE, own, lease, StoreHealth())
    await election.read_row()
    await election._step()
    controller = _controller(election, cast(EngineControl, control), Metrics())
    entry = ServerEntry(NAME, SERVICE, "a:9", "zone-a", 8, ServerState.READY)
    tracker = ServerTracker(entry, profile(100))
    tracker.record_report(report([], set()), 0.0)
    controller._trackers[NAME] = tracker
    planned = PlannedOrder(NAME, OrderKind.LOAD, ModelKey(MODEL), OrderPurpose.WANTED)
    controller._start_order(planned)
    await controller.finish_orders()
    return asyncio.get_running_loop().time()


@then("each order was answered before the wait ended")
def step_answered(context: Any) -> None:
    answered_at = context.slow_control.answered_at
    assert len(answered_at) == 1 and answered_at[0] <= context.finished_at, answered_at
