"""Steps for departures learned from a peer, the store, or while a request is being sent."""

from collections.abc import Callable
from typing import Any, cast

from behave import given, then, when

from features.support.fake_store import SERVICE, server_document
from features.support.virtual_time import run_in_virtual_time
from loomwind.http.client import HttpClient
from loomwind.http.messages import HttpRequest
from loomwind.messages.serving import ServerDeparture, ServerDepartures
from loomwind.metrics import Metrics
from loomwind.platform.dialect import PlatformDialect
from loomwind.platform.documents import PlatformDocumentParser
from loomwind.serving.errors import SendFailed
from loomwind.serving.follower import StoreHealth
from loomwind.serving.forwarder import Forwarder, OutgoingRequest
from loomwind.serving.pool import ServerPool
from loomwind.serving.ports import Snapshot, StoredRow
from loomwind.serving.replicated_state import ReplicatedState
from loomwind.serving.views import CallerRequest, RequestKind, RouteRule, WeightedService
from loomwind.settings import BoundSettings


@given("a daemon that lists server {name:w} as ready at version {version:d}")
def step_listed(context: Any, name: str, version: int) -> None:
    context.health = StoreHealth()
    context.replicated_state = ReplicatedState(
        PlatformDocumentParser(), "config", ServerPool(BoundSettings()), context.health, Metrics()
    )
    context.forwarded = []
    context.replicated_state.on_departures = context.forwarded.append
    _apply_row(context, name, version)


def _apply_row(context: Any, name: str, version: int) -> None:
    row = StoredRow(name, version, server_document("ready", held=version))
    run_in_virtual_time(
        _call_in_loop(context.replicated_state.on_server_rows, Snapshot((row,), version), False)
    )


async def _call_in_loop(function: Callable[..., None], *arguments: object) -> None:
    """Call a function inside a running loop, since it reads the loop's time."""
    function(*arguments)


@given("whose call to the store has just failed")
def step_store_failed(context: Any) -> None:
    context.health.record_failure(0.0, "reset")


@when("a peer reports at version {version:d} that {name:w} is draining")
def step_peer_reports_draining(context: Any, version: int, name: str) -> None:
    _apply_notice(context, ServerDeparture(name, name, version, listed=True))


@when("a peer reports at version {version:d} that the entry of {name:w} was removed")
def step_peer_reports_removed(context: Any, version: int, name: str) -> None:
    _apply_notice(context, ServerDeparture(name, name, version, listed=False))


def _apply_notice(context: Any, departure: ServerDeparture) -> None:
    notice = ServerDepartures("peer:1", (departure,))
    run_in_virtual_time(_call_in_loop(context.replicated_state.on_departure_notice, notice))


@when("the store's feed lists {name:w} at version {version:d} as ready with another model")
def step_feed_lists(context: Any, name: str, version: int) -> None:
    _apply_row(context, name, version)


@then("{name:w} gets no requests, and its departure is forwarded once")
def step_no_requests(context: Any, name: str) -> None:
    assert context.replicated_state.pool.directory.usable(SERVICE, 0.0) == []
    assert [departure.name for (departure,) in context.forwarded] == [name]


@then("{name:w} gets requests")
def step_requests(context: Any, name: str) -> None:
    assert [
        entry.name for entry in context.replicated_state.pool.directory.usable(SERVICE, 0.0)
    ] == [name]


@when(
    "one feed response removes the entry of {name:w} at version {removed:d} "
    "and adds it again at version {added:d}"
)
def step_removed_and_added(context: Any, name: str, removed: int, added: int) -> None:
    rows = (
        StoredRow(name, removed, deleted=True),
        StoredRow(name, added, server_document("ready", held=added)),
    )
    run_in_virtual_time(
        _call_in_loop(context.replicated_state.on_server_rows, Snapshot(rows, added), False)
    )


@then("{name:w} gets requests, and nothing is forwarded")
def step_nothing_forwarded(context: Any, name: str) -> None:
    step_requests(context, name)
    assert context.forwarded == []


class CallbackClient:
    """Opens connections on which nothing may be sent, after calling a function."""

    def __init__(self, before: Callable[[], None]) -> None:
        self._before = before
        self.kept: list[UnusableConnection] = []

    def take_idle(self, address: str, request_id: str) -> None:
        """Return no connection: none is idle."""

    async def open(self, address: str, timeout: float) -> "UnusableConnection":
        """Return a new connection."""
        self._before()
        return UnusableConnection()

    def release(self, connection: "UnusableConnection") -> None:
        """Take a connection back."""
        self.kept.append(connection)


class UnusableConnection:
    """A connection on which sending fails the test."""

    def send_request(self, request: HttpRequest) -> None:
        """Fail the test."""
        raise AssertionError(f"sent: {request.target}")

    def close(self) -> None:
        """Do nothing."""


@when("a request is sent to {name:w}, which starts draining before the connection is open")
def step_draining_during_connect(context: Any, name: str) -> None:
    draining_row = StoredRow(name, 9, server_document("draining"))
    replicated_state: ReplicatedState = context.replicated_state
    context.client = CallbackClient(
        lambda: replicated_state.on_server_rows(Snapshot((draining_row,), 9), False)
    )
    context.failure = run_in_virtual_time(_send(context.client, replicated_state.pool, name))


async def _send(client: CallbackClient, pool: ServerPool, name: str) -> SendFailed | None:
    entry = pool.directory.get(name)
    assert entry is not None
    parts = (WeightedService(SERVICE, 1.0),)
    route = RouteRule("r", "h", "/", RequestKind.IDEMPOTENT, parts, 30.0, 0.6)
    outgoing = OutgoingRequest(
        HttpRequest("POST", "/"), CallerRequest("id-1", "h", 30.0), route, 30.0
    )
    forwarder = Forwarder(
        cast(HttpClient, client), PlatformDialect(), pool.connectivity_of, pool.accepts_requests
    )
    try:
        connection = await forwarder.connect(entry, "id-1")
        await forwarder.send(connection, outgoing, entry, 0.0, None)
    except SendFailed as failure:
        return failure
    return None


@then("nothing was sent, the connection is kept, and the request may go to another server")
def step_nothing_sent(context: Any) -> None:
    failure: SendFailed | None = context.failure
    assert failure is not None and failure.not_sent and not failure.may_have_run, failure
    assert len(context.client.kept) == 1
