"""Steps about orders to a server instance whose address another one has taken over.

The controller runs in virtual time, with stubs for the servers and the peers.
"""

import asyncio
from collections.abc import Callable
from typing import Any, cast

import msgspec
from behave import given, then, when

from features.steps.planner_steps import SERVICE, profile, report
from features.support.virtual_time import run_in_virtual_time
from loomwind.http.client import HttpClient
from loomwind.http.messages import HttpRequest, HttpResponse
from loomwind.leadership.election import Election
from loomwind.messages.serving import PoolDemand
from loomwind.metrics import Metrics
from loomwind.placement.controller import PlacementController
from loomwind.platform.engine import PlatformEngineControl
from loomwind.serving.demand import TargetDemand
from loomwind.serving.peer_exchange import DemandInbox, PeerExchange
from loomwind.serving.pool import ServerPool
from loomwind.serving.ports import EngineControl
from loomwind.serving.replicated_state import ReplicatedState
from loomwind.serving.views import (
    CallerLimits,
    Configuration,
    ModelKey,
    Order,
    OrderAnswer,
    ServerEntry,
    ServerReport,
    ServerState,
    ServiceProfile,
)
from loomwind.settings import BoundSettings

ANSWER_SECONDS = 0.01
BUSY_UNTIL_SECONDS = 0.5
STEP_SECONDS = 0.1
HELD_MODEL = "a"
LIMITS = CallerLimits(1, 1, 1.0, 1.0)


class ReplacedServerControl:
    """Servers of which one is gone; the process at its address reports no models.

    The other one executes an order of an earlier leader at first.

    :ivar orders: the instance and the target of each order.
    """

    def __init__(self, gone: str) -> None:
        self.gone = gone
        self.orders: list[tuple[str, str]] = []

    async def read_report(
        self, entry: ServerEntry, timeout: float, on_new_connection: bool = False
    ) -> ServerReport:
        """Return the report of an empty server, whichever process answers."""
        await asyncio.sleep(ANSWER_SECONDS)
        now = asyncio.get_running_loop().time()
        is_busy = entry.instance != self.gone and now < BUSY_UNTIL_SECONDS
        return msgspec.structs.replace(report([], set()), busy=is_busy)

    async def send_order(
        self,
        entry: ServerEntry,
        order: Order,
        timeout: float,
        remaining_seconds: Callable[[], float],
    ) -> OrderAnswer:
        """Accept an order, unless it is for the instance that is gone."""
        await asyncio.sleep(ANSWER_SECONDS)
        self.orders.append((entry.instance, order.target.model))
        is_gone = entry.instance == self.gone
        return OrderAnswer.OTHER_INSTANCE if is_gone else OrderAnswer.ACCEPTED


class MisdirectedClient:
    """Connections to one server, which answers its first orders with 421 and then accepts them.

    Its reports do not name the instance. Its only model is the one of :data:`HELD_MODEL`.

    :ivar orders: the targets of the orders.
    """

    def __init__(self, misdirected: int, named_instance: str) -> None:
        self._misdirected = misdirected
        self._headers = (("x-instance-id", named_instance),) if named_instance else ()
        self.orders: list[str] = []

    async def request(
        self,
        address: str,
        request: HttpRequest,
        timeout: float,
        max_bytes: int,
        remaining_seconds: Callable[[], float] | None = None,
    ) -> HttpResponse:
        """Answer the request for a report, or an order."""
        await asyncio.sleep(ANSWER_SECONDS)
        if request.path == "/report":
            return HttpResponse(200, (), msgspec.json.encode({"models": [{"name": HELD_MODEL}]}))
        body = msgspec.json.decode(request.body)
        self.orders.append(str(ModelKey(body["model"], body.get("adapter", ""))))
        if len(self.orders) <= self._misdirected:
            return HttpResponse(421, self._headers)
        return HttpResponse(202)


class LeadingElection:
    """An election that this daemon has won."""

    class lease:
        """The lease of the leader."""

        fence = 7

    def is_leader(self) -> bool:
        """Return that this daemon leads."""
        return True

    def remaining_seconds(self, fence: int) -> float:
        """Return for how long it leads."""
        return 1.0


class PeerExchangeStub:
    """A peer exchange without peers."""

    def __init__(self) -> None:
        self.inbox = DemandInbox()

    def scale_interval(self, seconds: float) -> float:
        """Return the interval of a small fleet."""
        return seconds

    def observe_report(self, entry: ServerEntry, report: ServerReport) -> None:
        """Ignore a report."""

    def broadcast_holdings(self, message: object) -> None:
        """Send nothing."""

    def send_expectations(self, daemon: str, message: object) -> None:
        """Send nothing."""


class ConfiguredState:
    """The state of a daemon that has a configuration."""

    def __init__(self) -> None:
        engine = profile(100)
        models = tuple(
            msgspec.structs.replace(model, adapters=1, adapter_mb=1.0) for model in engine.models
        )
        engine = msgspec.structs.replace(engine, models=models)
        services = (ServiceProfile(SERVICE, "/health", 10, engine),)
        self.configuration = Configuration(1, (), services, LIMITS)


@given("a leader with two empty servers, of which {name:w} is gone and its address is taken over")
def step_leader(context: Any, name: str) -> None:
    context.server_names = ("one", "two")
    context.engine_control = ReplacedServerControl(name)


@given(
    "a leader with a server one that holds a and answers its first order with 421, naming {name}"
)
def step_misdirected(context: Any, name: str) -> None:
    context.server_names = ("one",)
    named = "" if name == "no instance" else name
    context.client = MisdirectedClient(1, named)
    client = cast(HttpClient, context.client)
    context.engine_control = PlatformEngineControl(client, client)


@when("requests wait for {target} for {seconds:f} s")
def step_wait(context: Any, target: str, seconds: float) -> None:
    model, _, adapter = target.partition("/")
    run_in_virtual_time(_lead(context, ModelKey(model, adapter), seconds))


async def _lead(context: Any, target: ModelKey, seconds: float) -> None:
    pool = ServerPool(BoundSettings())
    for name in context.server_names:
        pool.directory.put(ServerEntry(name, SERVICE, f"{name}:1", "zone-a", 8, ServerState.READY))
    exchange = PeerExchangeStub()
    controller = PlacementController(
        "own",
        cast(Election, LeadingElection()),
        pool,
        cast(ReplicatedState, ConfiguredState()),
        cast(EngineControl, context.engine_control),
        cast(PeerExchange, exchange),
        BoundSettings(),
        Metrics(),
    )
    leading = asyncio.create_task(controller.run())
    for _ in range(round(seconds / STEP_SECONDS)):
        waiting = TargetDemand(SERVICE, target, 1, 0.0, 1, 8.0)
        exchange.inbox.put(PoolDemand("daemon-1", (waiting,), ()))
        await asyncio.sleep(STEP_SECONDS)
    leading.cancel()
    context.usable = [
        entry.name for entry in pool.directory.usable(SERVICE, asyncio.get_running_loop().time())
    ]


@then("{name:w} was sent one order, and then {other:w} was ordered to load c")
def step_orders(context: Any, name: str, other: str) -> None:
    assert context.engine_control.orders == [(name, "c"), (other, "c")], (
        context.engine_control.orders
    )


@then("the server is ordered to load {target} again, and stays usable")
def step_ordered_again(context: Any, target: str) -> None:
    assert context.client.orders == [target, target], context.client.orders
    assert context.usable == ["one"]


@then("the server is sent no further order, and is not usable")
def step_no_further_order(context: Any) -> None:
    assert len(context.client.orders) == 1, context.client.orders
    assert not context.usable, context.usable
