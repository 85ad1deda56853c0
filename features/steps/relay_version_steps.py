"""Steps about the versions that a peer names in its response to a relayed request."""

import asyncio
from typing import Any, cast

from behave import given, then, when

from loomwind.http.client import Connector, HttpClient
from loomwind.http.client_connection import ClientConnection
from loomwind.http.messages import HttpRequest, HttpResponse
from loomwind.metrics import Metrics
from loomwind.platform.dialect import PlatformDialect
from loomwind.serving.forwarder import OutgoingRequest
from loomwind.serving.peer_relay import PeerRelay
from loomwind.serving.peers import PeerEntry, PeerTable
from loomwind.serving.relay_protocol import (
    RelayMetadata,
    configuration_headers,
    origin_version_of,
)
from loomwind.serving.stream_origins import UNKNOWN_VERSION
from loomwind.serving.views import RequestKind, RouteRule, WeightedService

PEER = PeerEntry("peer:1", "zone-b", "life-2", "peer:2")


class PeerConnectionStub:
    """A connection stub to a peer that served a request with a given configuration version."""

    def __init__(self, version: int) -> None:
        self._version = version

    def send_request(self, request: HttpRequest) -> None:
        """Accept a request."""

    async def read_head(self) -> HttpResponse:
        """Return the head of a server's response."""
        return HttpResponse(200, configuration_headers(self._version))


@given("a daemon with configuration version {version:d}")
def step_version(context: Any, version: int) -> None:
    context.version = version


@when("a peer serves a relayed request with configuration version {version:d}")
def step_served(context: Any, version: int) -> None:
    context.peer_versions = []
    asyncio.run(_serve_by_peer(context, version))


async def _serve_by_peer(context: Any, version: int) -> None:
    relay = PeerRelay(
        "zone-a",
        cast(PeerTable, None),
        HttpClient(Connector()),
        PlatformDialect(),
        Metrics(),
        lambda address, version: context.peer_versions.append((address, version)),
    )
    request = HttpRequest("POST", "/r/", ())
    caller = PlatformDialect().read_request(request)
    parts = (WeightedService("web", 1.0),)
    route = RouteRule("r", "h", "/r/", RequestKind.IDEMPOTENT, parts, 1.0, 1.0, 1)
    connection = cast(ClientConnection, PeerConnectionStub(version))
    outgoing = OutgoingRequest(request, caller, route, 1.0)
    await relay.send(
        connection, PEER, "web", outgoing, 0.0, None, RelayMetadata(0, context.version)
    )


@then("the daemon knows that the peer has version {version:d}")
def step_knows(context: Any, version: int) -> None:
    assert context.peer_versions == [(PEER.address, version)], context.peer_versions


@when("a peer sends the head of a relayed stream with {headers}")
def step_head(context: Any, headers: str) -> None:
    fields = [] if headers == "no version" else headers.split(" and ")
    pairs = (field.partition("=") for field in fields)
    context.head = HttpResponse(200, tuple((name, value) for name, _, value in pairs))


@then(
    "the version of its first event is {version:w}, and of an event that must have v1 it is {at:w}"
)
def step_event_version(context: Any, version: str, at: str) -> None:
    expected = UNKNOWN_VERSION if version == "unknown" else version
    assert origin_version_of(context.head, None) == expected
    assert origin_version_of(context.head, "v1") == at
