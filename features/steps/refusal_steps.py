"""Steps for requests that servers refuse without running them, and for suspect servers.

No processes; time is an argument or bounded.
"""

import asyncio
from typing import Any, cast

from behave import given, then, when

from loomwind.clock import Clock
from loomwind.http.client_connection import ClientConnection
from loomwind.http.messages import HttpRequest
from loomwind.http.server import Exchange
from loomwind.metrics import Metrics
from loomwind.platform.dialect import PlatformDialect
from loomwind.serving.admission import Admission
from loomwind.serving.breaker import ServerHealth
from loomwind.serving.errors import Refused, SendFailed
from loomwind.serving.forwarder import Forwarder, OpenResponse, OutgoingRequest
from loomwind.serving.handler import RequestHandler
from loomwind.serving.origin_log import OriginLog
from loomwind.serving.peer_relay import PeerRelay
from loomwind.serving.permit_owners import PermitOwners
from loomwind.serving.pool import ServerPool
from loomwind.serving.prompt_guard import PromptGuard
from loomwind.serving.replicated_state import ReplicatedState
from loomwind.serving.request_lifecycle import RequestLifecycle
from loomwind.serving.residency import Residency, ServerHolding
from loomwind.serving.resumption import Resumption
from loomwind.serving.views import (
    CallerRequest,
    HeldModel,
    ModelKey,
    RequestKind,
    RouteRule,
    ServerEntry,
    ServerState,
    WeightedService,
)
from loomwind.settings import BoundSettings

SERVICE = "tutor"
TARGET = ModelKey("m1")
MAX_POLLS = 2000
POLL_SECONDS = 0.001
STEP_SECONDS = 0.05


def listing_server() -> ServerEntry:
    """Return the directory entry of a server that lists the model."""
    held = (HeldModel("m1"),)
    return ServerEntry("i-1", SERVICE, "127.0.0.1:9", "zone-a", 8, ServerState.READY, held=held)


class RefusingForwarder:
    """A forwarder whose servers all refuse requests because they lack the model."""

    def __init__(self) -> None:
        self.sends = 0

    def has_idle_connection(self, entry: ServerEntry) -> bool:
        """Return that an idle connection is open."""
        return True

    async def connect(self, entry: ServerEntry, request_id: str) -> ClientConnection:
        """Return a connection that is not used."""
        return ClientConnection(entry.address)

    async def send(
        self,
        connection: ClientConnection,
        outgoing: OutgoingRequest,
        entry: ServerEntry,
        now: float,
        last_event_id: str | None,
    ) -> OpenResponse:
        """Fail like a server that refuses a request without running it."""
        self.sends += 1
        raise SendFailed("not here", may_have_run=False, missing_target=True, at_fault=False)


class VanishingForwarder(RefusingForwarder):
    """A forwarder whose only server runs a request, and vanishes with its answer."""

    def __init__(self, pool: ServerPool) -> None:
        super().__init__()
        self._pool = pool

    async def send(
        self,
        connection: ClientConnection,
        outgoing: OutgoingRequest,
        entry: ServerEntry,
        now: float,
        last_event_id: str | None,
    ) -> OpenResponse:
        """Fail like a server that crashes."""
        self.sends += 1
        self._pool.directory.remove(entry.name, now, False, now)
        raise SendFailed("reset", may_have_run=True)


class NoReplicatedState:
    """State of a daemon without a configuration or a server list."""

    configuration_version = 0
    configuration = None
    list_age_ms = float("inf")


class NoBannedPrompts:
    """A prompt guard that bans nothing."""

    def banned_for_ms(self, caller: CallerRequest) -> float:
        """Return that the request is not banned."""
        return 0.0

    def is_suspected(self, caller: CallerRequest) -> bool:
        """Return that the request is not suspected."""
        return False

    def may_retry(self, caller: CallerRequest) -> bool:
        """Return that the prompt is not suspected."""
        return True


class NoResumption:
    """Requires no software version."""

    async def required_version(self, caller: CallerRequest, service: str) -> None:
        """Return None: no request resumes a stream."""


class UnstartedExchange:
    """An exchange whose response has not begun."""

    started = False
    is_connected = True


@given("a server that lists m1 and refuses it, and an exhausted retry budget")
def step_refusing(context: Any) -> None:
    context.pool_state = ServerPool(BoundSettings(retry_ratio=0.0, retry_allowance=0.0))
    context.pool_state.directory.put(listing_server())
    context.forwarder = RefusingForwarder()


@when("a request for m1 arrives")
def step_request_arrives(context: Any) -> None:
    context.is_waiting = asyncio.run(
        _is_waiting_after_refusal(context.pool_state, context.forwarder)
    )


def lifecycle(
    pool: ServerPool, forwarder: object, kind: RequestKind, target: ModelKey | None, attempts: int
) -> RequestLifecycle:
    """Return the lifecycle of a request to servers that the forwarder stands for."""
    handler = RequestHandler(
        "zone-a",
        pool,
        cast(Forwarder, forwarder),
        PlatformDialect(),
        Metrics(),
        cast(ReplicatedState, NoReplicatedState()),
        cast(PeerRelay, None),
        cast(PromptGuard, NoBannedPrompts()),
        cast(OriginLog, None),
        cast(Resumption, NoResumption()),
        Admission(pool, cast(PermitOwners, None), Metrics(), Clock()),
    )
    parts = (WeightedService(SERVICE, 1.0),)
    route = RouteRule("r", "h", "/", kind, parts, 30.0, 0.6, attempts)
    caller = CallerRequest("id-1", "h", 30.0, target)
    exchange = cast(Exchange, UnstartedExchange())
    return RequestLifecycle(handler, exchange, HttpRequest("POST", "/"), caller, route, SERVICE)


async def _is_waiting_after_refusal(pool: ServerPool, forwarder: RefusingForwarder) -> bool:
    run = lifecycle(pool, forwarder, RequestKind.STREAMING, TARGET, 1)
    task = asyncio.ensure_future(run.serve())
    is_waiting = False
    for _ in range(MAX_POLLS):
        await asyncio.sleep(POLL_SECONDS)
        report = {(d.service, d.target): d.waiting for d in pool.demand.take_report(0.0)}
        is_waiting = forwarder.sends == 1 and report.get((SERVICE, TARGET), 0) == 1
        if is_waiting:
            break
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    return is_waiting


@then("the demand for m1 has a waiting request after one send")
def step_waits(context: Any) -> None:
    assert context.is_waiting, (
        f"{context.forwarder.sends} sends, and the demand has no waiting request"
    )


@given("a service whose only server crashes with the request that it runs")
def step_vanishing(context: Any) -> None:
    context.pool_state = ServerPool(BoundSettings(retry_ratio=0.0, retry_allowance=1000.0))
    context.pool_state.directory.put(listing_server())
    context.budget_before = _room(context.pool_state)


def _room(pool: ServerPool) -> int:
    """Return how many retries the budget allows, and put them back."""
    budget = pool.retry_budget(SERVICE)
    count = 0
    while budget.try_spend(0.0):
        count += 1
    for _ in range(count):
        budget.refund(0.0)
    return count


@when("a request that may be repeated arrives")
def step_repeatable_arrives(context: Any) -> None:
    asyncio.run(_serve_vanishing(context))


async def _serve_vanishing(context: Any) -> None:
    pool: ServerPool = context.pool_state
    run = lifecycle(pool, VanishingForwarder(pool), RequestKind.IDEMPOTENT, None, 2)
    try:
        await run.serve()
    except Refused as refusal:
        context.refusal = refusal


@then("its refusal does not promise that it has not run")
def step_no_promise(context: Any) -> None:
    assert context.refusal.status == 502, context.refusal.status


@then("the retry that was not sent is in the budget again")
def step_budget_whole(context: Any) -> None:
    assert _room(context.pool_state) == context.budget_before > 1


@given("a server that lists m1")
def step_lister(context: Any) -> None:
    context.residency = Residency()


@when("it refuses m1 whenever it is tried, for {seconds:d} s")
def step_refuses(context: Any, seconds: int) -> None:
    context.tried = 0
    context.now = 0.0
    while context.now < seconds:
        if context.residency.can_run(listing_server(), TARGET, context.now):
            context.tried += 1
            context.residency.record_refusal("i-1", TARGET, context.now)
        context.now += STEP_SECONDS


@then("it was tried at most {most:d} times, and at once after the leader reports its models anew")
def step_tried(context: Any, most: int) -> None:
    assert 3 <= context.tried <= most, context.tried
    residency: Residency = context.residency
    assert not residency.can_run(listing_server(), TARGET, context.now)
    residency.update(ServerHolding("i-1", 4, (HeldModel("m1"),)), context.now)
    assert residency.can_run(listing_server(), TARGET, context.now)


@given("a server with two requests in progress since {now:f} s")
def step_two_requests(context: Any, now: float) -> None:
    context.health = ServerHealth()
    context.health.record_sent(now)
    context.health.record_sent(now + 0.2)


@when("data comes from it at {now:f} s")
def step_data_received(context: Any, now: float) -> None:
    context.health.record_received(now)


@when("both requests have ended")
def step_ended(context: Any) -> None:
    context.health.record_ended()
    context.health.record_ended()


@then("it is suspect at {late:f} s, and not at {early:f} s")
def step_suspect(context: Any, late: float, early: float) -> None:
    assert context.health.is_suspect(late) and not context.health.is_suspect(early)


@then("it is not suspect at {now:f} s")
def step_not_suspect(context: Any, now: float) -> None:
    assert not context.health.is_suspect(now)
