"""Steps for attempts at servers that end before anybody reads the response."""

import asyncio
from typing import Any, cast

from attrs import define, field
from behave import then, when

from features.steps.refusal_steps import NoBannedPrompts
from features.support.virtual_time import run_in_virtual_time
from loomwind.clock import Clock
from loomwind.http.client_connection import ClientConnection
from loomwind.http.messages import HttpRequest, HttpResponse
from loomwind.metrics import Metrics
from loomwind.serving.admission import Admission
from loomwind.serving.forwarder import EVENT_STREAM, OpenResponse, OutgoingRequest
from loomwind.serving.handler import RequestHandler
from loomwind.serving.inactivity import event_silence_ms
from loomwind.serving.permit_owners import PermitOwners
from loomwind.serving.pool import ServerPool
from loomwind.serving.server_attempt import ServerAttempt
from loomwind.serving.views import (
    CallerRequest,
    RequestKind,
    RouteRule,
    ServerEntry,
    ServerState,
    WeightedService,
)
from loomwind.settings import BoundSettings

ENTRY = ServerEntry("one", "tutor", "one:1", "zone-a", 8, ServerState.READY)
ROUTE = RouteRule(
    "drill",
    "h",
    "/",
    RequestKind.STREAMING,
    (WeightedService("tutor", 1),),
    10.0,
    0.6,
    resumable=True,
)


@define
class CountedConnection:
    """A connection that knows whether it was closed."""

    is_closed: bool = False

    def close(self) -> None:
        """Close it."""
        self.is_closed = True


@define
class StreamingForwarder:
    """Sends requests to a server that begins a stream at once."""

    connection: CountedConnection = field(factory=CountedConnection)

    async def connect(self, entry: ServerEntry, request_id: str) -> CountedConnection:
        """Return the connection."""
        return self.connection

    async def send(self, *arguments: object) -> OpenResponse:
        """Return the beginning of a stream."""
        head = HttpResponse(200, (("content-type", EVENT_STREAM),))
        return OpenResponse(cast(ClientConnection, self.connection), head)


@define
class AttemptHandler:
    """The parts of a request handler that an attempt needs."""

    forwarder: StreamingForwarder = field(factory=StreamingForwarder)
    pool: ServerPool = field(factory=lambda: ServerPool(BoundSettings()))

    prompts: NoBannedPrompts = field(factory=NoBannedPrompts)

    @property
    def admission(self) -> Admission:
        """Return an admission without limited servers."""
        return Admission(self.pool, cast(PermitOwners, None), Metrics(), Clock())

    @staticmethod
    def now() -> float:
        """Return the time of the event loop in seconds."""
        return asyncio.get_running_loop().time()


@when("an attempt ends in the moment in which its stream begins")
def step_ends(context: Any) -> None:
    context.connection = run_in_virtual_time(_end_as_stream_begins())


async def _end_as_stream_begins() -> CountedConnection:
    handler = AttemptHandler()
    caller = CallerRequest("id-1", "h", 10.0)
    outgoing = OutgoingRequest(HttpRequest("POST", "/", (), b""), caller, ROUTE, 10.0)
    attempt = ServerAttempt(cast(RequestHandler, handler), outgoing, ENTRY, 0, False)
    attempt.begin()
    await attempt.connect()
    await attempt.send(None)
    attempt.stop()
    await asyncio.sleep(0)
    return handler.forwarder.connection


@then("its connection is closed")
def step_closed(context: Any) -> None:
    assert context.connection.is_closed


@then("a stream counts as silent at a peer at least {later_ms:d} ms later than at a server")
def step_peer_later(context: Any, later_ms: int) -> None:
    at_server_ms = event_silence_ms(ROUTE, 15_000.0, 1, is_peer=False)
    at_peer_ms = event_silence_ms(ROUTE, 15_000.0, 1, is_peer=True)
    assert at_server_ms and at_peer_ms and at_peer_ms >= at_server_ms + later_ms
