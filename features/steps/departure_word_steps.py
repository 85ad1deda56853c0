"""Steps about a daemon that hears that a server leaves, from a peer or in the middle of a send."""

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
from loomwind.platform.documents import PlatformDocuments
from loomwind.serving.errors import SendFailed
from loomwind.serving.follower import StoreHealth
from loomwind.serving.forwarder import Forwarder, OutgoingRequest
from loomwind.serving.pool import ServerPool
from loomwind.serving.ports import Snapshot, StoredRow
from loomwind.serving.replicated_state import ReplicatedState
from loomwind.serving.views import CallerRequest, RequestKind, RouteRule, WeightedService
from loomwind.settings import BoundSettings


@given("a daemon that lists server {name:w} as ready at version {version:d}")
def step_lists(context: Any, name: str, version: int) -> None:
    context.health = StoreHealth()
    context.listing = ReplicatedState(
        PlatformDocuments(), "config", ServerPool(BoundSettings()), context.health, Metrics()
    )
    context.passed_on = []
    context.listing.on_departures = context.passed_on.append
    _hear_row(context, name, version)


def _hear_row(context: Any, name: str, version: int) -> None:
    row = StoredRow(name, version, server_document("ready", held=version))
    run_in_virtual_time(_at_once(context.listing.on_server_rows, Snapshot((row,), version), False))


async def _at_once(hear: Callable[..., None], *arguments: object) -> None:
    """Call a function inside a loop, whose time it reads."""
    hear(*arguments)


@given("whose call of the store has just failed")
def step_store_failed(context: Any) -> None:
    context.health.record_failure(0.0, "reset")


@when("a peer says that {name:w} leaves as of version {version:d}")
def step_peer_says_leaves(context: Any, name: str, version: int) -> None:
    _hear_departure(context, ServerDeparture(name, name, version, listed=True))


@when("a peer says that the entry of {name:w} has gone as of version {version:d}")
def step_peer_says_gone(context: Any, name: str, version: int) -> None:
    _hear_departure(context, ServerDeparture(name, name, version, listed=False))


def _hear_departure(context: Any, departure: ServerDeparture) -> None:
    notice = ServerDepartures("peer:1", (departure,))
    run_in_virtual_time(_at_once(context.listing.on_departure_notice, notice))


@when("the store's feed says at version {version:d} that {name:w} is ready and holds another model")
def step_feed_says(context: Any, version: int, name: str) -> None:
    _hear_row(context, name, version)


@then("{name:w} gets no new work, and that is passed on once")
def step_no_work(context: Any, name: str) -> None:
    assert context.listing.pool.directory.usable(SERVICE, 0.0) == []
    assert [departure.name for (departure,) in context.passed_on] == [name]


@then("{name:w} gets new work")
def step_work(context: Any, name: str) -> None:
    assert [entry.name for entry in context.listing.pool.directory.usable(SERVICE, 0.0)] == [name]


@when(
    "the store's feed says in one answer that the entry of {name:w} went at version {gone:d} "
    "and came at version {back:d}"
)
def step_went_and_came(context: Any, name: str, gone: int, back: int) -> None:
    rows = (
        StoredRow(name, gone, deleted=True),
        StoredRow(name, back, server_document("ready", held=back)),
    )
    run_in_virtual_time(_at_once(context.listing.on_server_rows, Snapshot(rows, back), False))


@then("{name:w} gets new work, and nothing is passed on")
def step_work_and_nothing_passed_on(context: Any, name: str) -> None:
    step_work(context, name)
    assert context.passed_on == []


class SlowClient:
    """Makes connections on which nothing may be sent; something happens before each is made."""

    def __init__(self, before: Callable[[], None]) -> None:
        self._before = before
        self.kept: list[SilentConnection] = []

    def take_idle(self, address: str) -> None:
        """Return no connection: none is idle."""

    async def open(self, address: str, timeout: float) -> "SilentConnection":
        """Return a new connection."""
        self._before()
        return SilentConnection()

    def release(self, connection: "SilentConnection") -> None:
        """Take a connection back."""
        self.kept.append(connection)


class SilentConnection:
    """A connection that must not be used."""

    def send_request(self, request: HttpRequest) -> None:
        """Fail the test."""
        raise AssertionError(f"sent: {request.target}")

    def close(self) -> None:
        """Do nothing."""


@when("a request is sent to {name:w}, which says that it leaves before the connection is made")
def step_sent_meanwhile(context: Any, name: str) -> None:
    leaving = StoredRow(name, 9, server_document("draining"))
    replicated_state: ReplicatedState = context.listing
    context.client = SlowClient(
        lambda: replicated_state.on_server_rows(Snapshot((leaving,), 9), False)
    )
    context.failure = run_in_virtual_time(_send(context.client, replicated_state.pool, name))


async def _send(client: SlowClient, pool: ServerPool, name: str) -> SendFailed | None:
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
        connection = await forwarder.connect(entry)
        await forwarder.send(connection, outgoing, entry, 0.0, None)
    except SendFailed as failure:
        return failure
    return None


@then("nothing was sent, the connection is kept, and the request may go to another server")
def step_nothing_sent(context: Any) -> None:
    failure: SendFailed | None = context.failure
    assert failure is not None and failure.not_sent and not failure.may_have_run, failure
    assert len(context.client.kept) == 1
