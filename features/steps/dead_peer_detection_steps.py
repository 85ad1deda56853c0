"""Steps about dead peer detection, on loopback sockets in one process."""

import asyncio
import socket
from typing import Any

from behave import then, when

from features.support.site import LOCALHOST
from loomwind import constants
from loomwind.http.client import Connector
from loomwind.http.sockets import keepalive_probe_count
from loomwind.messages import AnyMessage, LeaderQuestion
from loomwind.metrics import Metrics
from loomwind.peering.transport import PeerTransport

OPEN_TIMEOUT_SECONDS = 5.0


@when("a connection is opened for requests")
def step_open(context: Any) -> None:
    asyncio.run(_open(context))


async def _open(context: Any) -> None:
    server = await asyncio.get_running_loop().create_server(asyncio.Protocol, LOCALHOST, 0)
    port = server.sockets[0].getsockname()[1]
    connector = Connector(user_timeout_ms=constants.TCP_USER_TIMEOUT_MS)
    connection = await connector.open(f"{LOCALHOST}:{port}", OPEN_TIMEOUT_SECONDS)
    context.socket_options = [socket_options_of(connection.transport)]
    connection.close()
    server.close()


@when("a daemon calls another one")
def step_call(context: Any) -> None:
    asyncio.run(_call(context))


async def _call(context: Any) -> None:
    async def answer(message: AnyMessage) -> AnyMessage | None:
        return message

    connector = Connector(user_timeout_ms=constants.TCP_USER_TIMEOUT_MS)
    called = PeerTransport(answer, connector, Metrics())
    await called.start(LOCALHOST, 0)
    caller = PeerTransport(answer, connector, Metrics())
    address = f"{LOCALHOST}:{called.port}"
    await caller.call(address, LeaderQuestion(), OPEN_TIMEOUT_SECONDS)
    ends = [*called.incoming, caller.connection_to(address)]
    context.socket_options = [socket_options_of(end) for end in ends]
    caller.close()
    called.close()


def socket_options_of(transport: asyncio.BaseTransport | None) -> tuple[bool, int, int]:
    """Return whether keepalive is enabled, its idle time in s, and the user timeout in ms."""
    assert transport is not None
    raw = transport.get_extra_info("socket")
    return (
        bool(raw.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)),
        raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE),
        raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
    )


@then("its own end sends keepalive probes and times out after {timeout_ms:d} ms")
def step_own_end(context: Any, timeout_ms: int) -> None:
    assert context.socket_options == [(True, 1, timeout_ms)], context.socket_options


@then("both ends of the connection send keepalive probes and time out after {timeout_ms:d} ms")
def step_both_ends(context: Any, timeout_ms: int) -> None:
    assert context.socket_options == [(True, 1, timeout_ms)] * 2, context.socket_options


@then("a timeout of {timeout_ms:d} ms allows {probes:d} unanswered probes")
def step_probes(context: Any, timeout_ms: int, probes: int) -> None:
    assert keepalive_probe_count(timeout_ms) == probes
