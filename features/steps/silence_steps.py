"""Steps about connections that fall silent: real sockets on loopback, in one process."""

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
    context.limits = [limits_of(connection.transport)]
    connection.close()
    server.close()


@when("a daemon calls another one")
def step_message(context: Any) -> None:
    asyncio.run(_call(context))


async def _call(context: Any) -> None:
    async def answer(message: AnyMessage) -> AnyMessage | None:
        return message

    connector = Connector(user_timeout_ms=constants.TCP_USER_TIMEOUT_MS)
    listening = PeerTransport(answer, connector, Metrics())
    await listening.start(LOCALHOST, 0)
    asking = PeerTransport(answer, connector, Metrics())
    address = f"{LOCALHOST}:{listening.port}"
    await asking.call(address, LeaderQuestion(), OPEN_TIMEOUT_SECONDS)
    ends = [*listening.incoming, asking.connection_to(address)]
    context.limits = [limits_of(end) for end in ends]
    asking.close()
    listening.close()


def limits_of(transport: asyncio.BaseTransport | None) -> tuple[bool, int, int]:
    """Return whether a socket probes, after how many seconds, and how long it bears silence."""
    assert transport is not None
    raw = transport.get_extra_info("socket")
    return (
        bool(raw.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)),
        raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE),
        raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
    )


@then("its own end knows that it is silent after {silence_ms:d} ms")
def step_own_end(context: Any, silence_ms: int) -> None:
    assert context.limits == [(True, 1, silence_ms)], context.limits


@then("each end knows that the link is silent after {silence_ms:d} ms")
def step_each_end(context: Any, silence_ms: int) -> None:
    assert context.limits == [(True, 1, silence_ms)] * 2, context.limits


@then("{probes:d} probes may go unanswered within {silence_ms:d} ms")
def step_probes(context: Any, probes: int, silence_ms: int) -> None:
    assert keepalive_probe_count(silence_ms) == probes
