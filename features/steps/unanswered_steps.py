"""Steps for requests that were read whole, in this process and over real connections."""

import asyncio
from collections.abc import Callable
from typing import Any

from behave import given, then, when

from features.support.local_daemon import HOST, captured_log, request_handler, running_daemon
from features.support.raw_client import RawReply, exchange_bytes, parse_replies
from loomwind.http.client import ClientConnection
from loomwind.http.errors import ConnectionBroken
from loomwind.http.exchange import Exchange
from loomwind.serving.forwarder import Forwarder
from loomwind.serving.handler import RequestHandler
from loomwind.serving.views import ServerEntry

CAUSE = "the cause of this scenario"
Prepare = Callable[[RequestHandler], None]


class BreakingForwarder(Forwarder):
    """A forwarder whose connections break in a way that the serving of a request misses."""

    def __init__(self) -> None:
        """Create a forwarder that needs nothing."""

    def has_idle_connection(self, entry: ServerEntry) -> bool:
        """Return that none is open."""
        return False

    async def connect(self, entry: ServerEntry) -> ClientConnection:
        """Fail as a lost connection does."""
        raise ConnectionBroken(CAUSE)


def whole_request(path: str, method: str = "POST", headers: str = "") -> bytes:
    """Return a request after whose response the connection is closed."""
    lines = f"{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: r1\r\n"
    return f"{lines}{headers}connection: close\r\ncontent-length: 2\r\n\r\nhi".encode("latin-1")


async def _serve_well(exchange: Exchange) -> None:
    """Respond as a server of the platform does."""
    request = exchange.request
    assert request is not None
    headers = (("x-request-id", request.header("x-request-id") or ""), ("x-response-stamp", "s"))
    await exchange.respond(200, headers, b"served")


def _break_forwarder(handler: RequestHandler) -> None:
    handler.forwarder = BreakingForwarder()


@given("a daemon whose connections to servers break with an error that nothing expects")
def step_breaking(context: Any) -> None:
    context.prepare = _break_forwarder


@when("a caller sends a plain request on {name:w}")
def step_send(context: Any, name: str) -> None:
    context.reply, context.lines = asyncio.run(
        _ask_daemon(context.prepare, whole_request(f"/{name}/item"))
    )


async def _ask_daemon(prepare: Prepare, data: bytes) -> tuple[RawReply, list[dict[str, Any]]]:
    with captured_log() as lines:
        async with running_daemon(_serve_well) as site:
            prepare(request_handler(site.daemon))
            received = await exchange_bytes(site.daemon.callers.port, data)
    return parse_replies(received, ["POST"])[0], lines


@then("no line of its log says {decision}")
def step_not_logged(context: Any, decision: str) -> None:
    assert decision not in [line.get("decision") for line in context.lines], context.lines


@then("exactly one line of its log has the cause")
def step_logged_once(context: Any) -> None:
    with_cause = [line for line in context.lines if CAUSE in str(line)]
    assert len(with_cause) == 1, context.lines
