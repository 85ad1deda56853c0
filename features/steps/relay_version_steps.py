"""Steps about the version of the configuration by which a peer serves a request."""

import asyncio
from typing import Any, cast

from behave import given, then, when

from loomwind.http.client import ClientConnection, Connector, HttpClient
from loomwind.http.messages import HttpRequest, HttpResponse
from loomwind.metrics import Metrics
from loomwind.platform.dialect import PlatformDialect
from loomwind.serving.forwarder import Outgoing
from loomwind.serving.peer_relay import PeerRelay
from loomwind.serving.peers import PeerEntry, PeerTable
from loomwind.serving.relay_protocol import RelayMetadata, configuration_headers
from loomwind.serving.views import RequestKind, RouteRule, WeightedService

PEER = PeerEntry("peer:1", "zone-b", "life-2", "peer:2")


class ServedConnection:
    """A connection to a peer that has served a request by a version of its own."""

    def __init__(self, version: int) -> None:
        self._version = version

    def send_request(self, request: HttpRequest) -> None:
        """Take a request."""

    async def read_head(self) -> HttpResponse:
        """Return the head of a server's answer."""
        return HttpResponse(200, configuration_headers(self._version))


@given("a daemon that has version {version:d} in force")
def step_version(context: Any, version: int) -> None:
    context.version = version


@when("a peer has served a request of it by version {version:d}")
def step_served(context: Any, version: int) -> None:
    context.heard = []
    asyncio.run(_serve_by_peer(context, version))


async def _serve_by_peer(context: Any, version: int) -> None:
    relay = PeerRelay(
        "zone-a",
        cast(PeerTable, None),
        HttpClient(Connector()),
        PlatformDialect(),
        Metrics(),
        lambda address, newer: context.heard.append((address, newer)),
    )
    request = HttpRequest("POST", "/r/", ())
    caller = PlatformDialect().read_request(request)
    parts = (WeightedService("web", 1.0),)
    route = RouteRule("r", "h", "/r/", RequestKind.IDEMPOTENT, parts, 1.0, 1.0, 1)
    connection = cast(ClientConnection, ServedConnection(version))
    outgoing = Outgoing(request, caller, route, 1.0)
    await relay.send(
        connection, PEER, "web", outgoing, 0.0, None, RelayMetadata(0, context.version)
    )


@then("it knows that the peer has version {version:d}")
def step_knows(context: Any, version: int) -> None:
    assert context.heard == [(PEER.address, version)], context.heard
