"""Steps for requests that were read whole, in this process and over real connections."""

import asyncio
import inspect
from collections.abc import Callable
from functools import partial
from typing import Any

from behave import given, then, when
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import given as given_examples
from hypothesis import strategies as st

from features.support.local_daemon import (
    HOST,
    LOCALHOST,
    captured_log,
    request_handler,
    running_daemon,
)
from features.support.raw_client import RawReply, exchange_bytes, parse_replies
from loomwind import constants
from loomwind.explain import LogLine, explain_request
from loomwind.http.client import Connector
from loomwind.http.client_connection import ClientConnection
from loomwind.http.errors import ClientDisconnected, ConnectionBroken
from loomwind.http.messages import Headers, HttpRequest, HttpResponse
from loomwind.http.server import Exchange, Handler, HttpServer
from loomwind.http.server_connection import ServerConnection
from loomwind.messages import AnyMessage, LeaderQuestion
from loomwind.metrics import Metrics
from loomwind.peering.errors import PeerUnreachable
from loomwind.peering.transport import PeerTransport
from loomwind.platform.dialect import PlatformDialect
from loomwind.serving.errors import SendFailed
from loomwind.serving.forwarder import Forwarder
from loomwind.serving.handler import RequestHandler
from loomwind.serving.relay_protocol import RelayMetadata, decode_error, is_server_response
from loomwind.serving.relay_service import RelayService
from loomwind.serving.routes import RouteTable
from loomwind.serving.views import CallerRequest, RouteRule, ServerEntry

CAUSE = "the cause of this scenario"
PART = b"part"
LARGE_BODY_BYTES = 16 * constants.MEBIBYTE
WRITE_BYTES = 64 * constants.KIBIBYTE
# Fixes the examples. Without it, derandomize derives the seed from the source text of the test.
EXAMPLES_SEED = 20_261_205
EXAMPLES = settings(
    derandomize=True,
    database=None,
    deadline=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)


def whole_request(path: str, method: str = "POST", headers: str = "") -> bytes:
    """Return a request after whose response the connection is closed."""
    lines = f"{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: r1\r\n"
    return f"{lines}{headers}connection: close\r\ncontent-length: 2\r\n\r\nhi".encode("latin-1")


async def serve_well(exchange: Exchange) -> None:
    """Respond as a server of the platform does."""
    request = exchange.request
    assert request is not None
    headers = (("x-request-id", request.header("x-request-id") or ""), ("x-response-stamp", "s"))
    await exchange.respond(200, headers, b"served")


async def ask_server(handler: Handler, data: bytes, half_close: bool = False) -> bytes:
    """Return what a client receives from an HTTP server with this handler."""
    server = HttpServer(handler)
    await server.start(LOCALHOST, 0)
    try:
        return await exchange_bytes(server.port, data, half_close)
    finally:
        server.close()


# HTTP servers with made handlers.


async def _raise_unexpected(exchange: Exchange) -> None:
    raise KeyError(CAUSE)


async def _lose_server(exchange: Exchange) -> None:
    raise ConnectionBroken(CAUSE)


async def _lose_other_client(exchange: Exchange) -> None:
    raise ClientDisconnected(CAUSE)


async def _wait_for_cancelled(exchange: Exchange) -> None:
    cancelled = asyncio.get_running_loop().create_future()
    cancelled.cancel(CAUSE)
    await cancelled


async def _send_invalid_head(exchange: Exchange) -> None:
    await exchange.respond(200, (("x-odd", f"{CAUSE}\r\n"),), b"body")


async def _send_unencodable_head(exchange: Exchange) -> None:
    await exchange.respond(200, (("x-odd", f"{CAUSE} \u2192"),), b"body")


async def _add_invalid_header(exchange: Exchange) -> None:
    exchange.extra_headers = (("x-odd", f"{CAUSE}\r\n"),)
    await exchange.respond(200, (), b"body")


async def _return(exchange: Exchange) -> None:
    return


FAILING_HANDLERS: dict[str, Handler] = {
    "raises an unexpected error": _raise_unexpected,
    "loses a connection to a server": _lose_server,
    "loses the connection of another client": _lose_other_client,
    "waits for something that is cancelled": _wait_for_cancelled,
    "sends a head that HTTP does not allow": _send_invalid_head,
    "sends a head that cannot be encoded": _send_unencodable_head,
    "adds an invalid header to all its heads": _add_invalid_header,
    "returns without a response": _return,
}
OTHER_CAUSES = {
    "sends a head that cannot be encoded": "'latin-1' codec can't encode",
    "returns without a response": "handler-failed",
}


@given("an HTTP server whose handler {failure}")
def step_handler(context: Any, failure: str) -> None:
    context.handler = FAILING_HANDLERS[failure]
    context.cause = OTHER_CAUSES.get(failure, CAUSE)


@when("a client sends it a whole request")
def step_send_whole(context: Any) -> None:
    with captured_log() as context.lines:
        received = asyncio.run(ask_server(context.handler, whole_request("/")))
    context.reply = parse_replies(received, ["POST"])[0]


@then("the client gets a whole response with status {status:d}")
def step_whole_response(context: Any, status: int) -> None:
    reply: RawReply = context.reply
    assert (reply.status, reply.is_complete) == (status, True), (reply, context.lines)


@then("exactly one line of its log has the cause")
def step_logged_once(context: Any) -> None:
    cause = getattr(context, "cause", CAUSE)
    with_cause = [line for line in context.lines if cause in " ".join(map(str, line.values()))]
    assert len(with_cause) == 1, context.lines


@then("no line of its log says {decision}")
def step_not_logged(context: Any, decision: str) -> None:
    assert decision not in [line.get("decision") for line in context.lines], context.lines


# Handlers that end anywhere.

ERRORS: dict[str, Callable[[], BaseException]] = {
    "error": lambda: ValueError(CAUSE),
    "lost server": lambda: ConnectionBroken(CAUSE),
    "recursion": lambda: RecursionError(CAUSE),
    "cancelled": lambda: asyncio.CancelledError(CAUSE),
    "timeout": lambda: TimeoutError(CAUSE),
}
ACTIONS = ("yield", "invalid head", "head", "part", "end")


def ending_handler(actions: list[str], error: str) -> Handler:
    """Return a handler that takes the actions and then raises the error, if there is one."""

    async def handle(exchange: Exchange) -> None:
        for action in actions:
            if action == "yield":
                await asyncio.sleep(0)
            elif action == "head" and not exchange.started:
                await exchange.start(200, ())
            elif action == "invalid head" and not exchange.started:
                await exchange.start(200, (("x-odd", f"{CAUSE}\r\n"),))
            elif action == "part" and exchange.started:
                await exchange.send(b"part")
            elif action == "end" and exchange.started:
                await exchange.finish()
                break
        if error:
            raise ERRORS[error]()

    return handle


@when("{count:d} handlers end at any point of their response, with any error")
def step_end_anywhere(context: Any, count: int) -> None:
    context.ends = []

    @seed(EXAMPLES_SEED)
    @settings(EXAMPLES, max_examples=count)
    @given_examples(
        st.lists(st.sampled_from(ACTIONS), max_size=5), st.sampled_from(("", *sorted(ERRORS)))
    )
    def run(actions: list[str], error: str) -> None:
        with captured_log() as lines:
            handler = ending_handler(actions, error)
            received = asyncio.run(ask_server(handler, whole_request("/")))
        reply = parse_replies(received, ["POST"])[0]
        context.ends.append((actions, error, reply, [line for line in lines if CAUSE in str(line)]))

    run()


@then("each request ended with a whole response, or with a head and a closed connection")
def step_ends(context: Any) -> None:
    for actions, error, reply, _ in context.ends:
        expected = 200 if _head_is_valid(actions) else 500
        assert reply.status == expected, (actions, error, reply)
        assert reply.is_complete == (expected == 500 or _is_finished(actions)), (actions, reply)


@then("each that ended with an error left exactly one line")
def step_one_line(context: Any) -> None:
    for actions, error, _, lines in context.ends:
        failed = bool(error) or ("invalid head" in actions and not _head_is_valid(actions))
        assert len(lines) == failed, (actions, error, lines)


def _head_is_valid(actions: list[str]) -> bool:
    """Whether the first head of a handler's actions is valid."""
    return next((action == "head" for action in actions if action.endswith("head")), False)


def _is_finished(actions: list[str]) -> bool:
    """Whether actions with a valid head also finish the response."""
    return "end" in actions[actions.index("head") :]


# Daemons with a step that fails.


class BreakingForwarder(Forwarder):
    """A forwarder whose connections break in a way that the serving of a request misses."""

    def __init__(self) -> None:
        """Create a forwarder that needs nothing."""

    def has_idle_connection(self, entry: ServerEntry) -> bool:
        """Return that none is open."""
        return False

    async def connect(self, entry: ServerEntry, request_id: str) -> ClientConnection:
        """Fail as a lost connection does."""
        raise ConnectionBroken(CAUSE)


class CancelledForwarder(BreakingForwarder):
    """A forwarder that waits for something that another task cancels."""

    async def connect(self, entry: ServerEntry, request_id: str) -> ClientConnection:
        """Fail as a wait for a cancelled future does."""
        raise asyncio.CancelledError(CAUSE)


class UnreadableDialect(PlatformDialect):
    """A dialect that fails to decode requests."""

    def read_request(self, request: HttpRequest) -> CallerRequest:
        """Fail in a way that nothing expects."""
        raise IndexError(CAUSE)


class OddResponseDialect(PlatformDialect):
    """A dialect that returns headers that cannot be sent."""

    def response_headers(self, head: HttpResponse) -> Headers:
        """Return a header with a line break."""
        return (("x-odd", f"{CAUSE}\r\n"),)


class BrokenRoutes(RouteTable):
    """Routes that fail to match."""

    def match(self, host: str, path: str) -> RouteRule | None:
        """Fail in a way that nothing expects."""
        raise LookupError(CAUSE)


def _fail_on_version() -> int:
    raise LookupError(CAUSE)


def _break_step(handler: RequestHandler, step: str) -> None:
    if step == "decoding of requests":
        handler.dialect = UnreadableDialect()
    elif step == "choice of a route":
        state = handler._replicated_state
        assert state.configuration is not None
        state.routes = BrokenRoutes(state.configuration)
    elif step == "configuration":
        handler.configuration_version = _fail_on_version  # type: ignore[method-assign]
    elif step == "connection to servers":
        handler.forwarder = BreakingForwarder()
    elif step == "wait for a server":
        handler.forwarder = CancelledForwarder()
    else:
        handler.dialect = OddResponseDialect()


@given("a daemon whose connections to servers break with an error that nothing expects")
def step_breaking(context: Any) -> None:
    step_well(context)
    context.failing_step = "connection to servers"


@given("a daemon whose {step} fails with an error that nothing expects")
def step_failing(context: Any, step: str) -> None:
    step_well(context)
    context.failing_step = step


@when("a caller sends a plain request on {name:w}")
def step_send(context: Any, name: str) -> None:
    _ask_daemon(context, whole_request(f"/{name}/item"), is_relayed=False)


@when("a peer relays a plain request on {name:w}")
def step_relay(context: Any, name: str) -> None:
    metadata = "".join(f"{key}: {value}\r\n" for key, value in RelayMetadata(0, 0).headers)
    _ask_daemon(context, whole_request(f"/{name}/item", headers=metadata), is_relayed=True)


def _ask_daemon(context: Any, data: bytes, is_relayed: bool) -> None:
    with captured_log() as context.lines:
        received = asyncio.run(_exchange_with_daemon(context, data, is_relayed))
    context.reply = parse_replies(received, ["POST"])[0]


async def _exchange_with_daemon(context: Any, data: bytes, is_relayed: bool) -> bytes:
    async with running_daemon(context.serve, *context.server) as site:
        handler = request_handler(site.daemon)
        relay = RelayService(handler)
        if hasattr(context, "failing_step"):
            _break_step(handler, context.failing_step)
        if hasattr(context, "has_ended_requests"):
            handler.end_all_requests()
        if is_relayed:
            return await ask_server(relay.handle, data)
        return await exchange_bytes(site.daemon.callers.port, data)


# Responses without a body.


@given("an HTTP server that responds to everything with {status:d} and 4 bytes")
def step_fixed_response(context: Any, status: int) -> None:
    async def handle(exchange: Exchange) -> None:
        bad_request = exchange.bad_request
        await exchange.respond(bad_request.status if bad_request else status, (), b"body")

    context.handler = handle


@when("a client sends it {method:w} twice on one connection")
def step_send_twice(context: Any, method: str) -> None:
    first = f"{method} / HTTP/1.1\r\nhost: {HOST}\r\n\r\n".encode()
    received = asyncio.run(ask_server(context.handler, first + whole_request("/", method)))
    context.replies = parse_replies(received, [method, method])


@when("a client sends it a HEAD request that announces a body over the limit")
def step_send_large_head_request(context: Any) -> None:
    data = f"HEAD / HTTP/1.1\r\nhost: {HOST}\r\ncontent-length: {1 << 30}\r\n\r\n".encode()
    context.replies = parse_replies(asyncio.run(ask_server(context.handler, data)), ["HEAD"])


@then("the client gets {count:d} whole responses with status {status:d} and no body")
def step_bodiless(context: Any, count: int, status: int) -> None:
    got = [(reply.status, reply.is_complete, reply.body) for reply in context.replies]
    assert got == [(status, True, b"")] * count, context.replies


@then("they announce {length}")
def step_length(context: Any, length: str) -> None:
    expected = None if length == "no length" else length.removeprefix("length ")
    lengths = {reply.headers.get("content-length") for reply in context.replies}
    assert lengths == {expected}, context.replies


# Clients that close their sending side.


class EndlessWork:
    """The handler of a server that works until it is cancelled."""

    def __init__(self) -> None:
        self.began = asyncio.Event()
        self.cancelled = asyncio.Event()

    async def handle(self, exchange: Exchange) -> None:
        """Work without end."""
        self.began.set()
        try:
            await asyncio.Event().wait()
        finally:
            self.cancelled.set()


@when("a client sends it a whole request and closes its sending side")
def step_half_close(context: Any) -> None:
    data = whole_request("/")
    received = asyncio.run(ask_server(context.handler, data, half_close=True))
    context.lines = []
    context.reply = parse_replies(received, ["POST"])[0]


@given("an HTTP server that sends a part of a response without a length")
def step_part(context: Any) -> None:
    """Leave the rest to the steps that cut it."""


@when("{cause} after a client of HTTP 1.0 has received the part")
def step_cut(context: Any, cause: str) -> None:
    context.has_reset = asyncio.run(_is_reset_when_cut(cause))


async def _is_reset_when_cut(cause: str) -> bool:
    """Return whether the connection of a client is reset when its response is cut."""
    end = asyncio.Event()

    async def handle(exchange: Exchange) -> None:
        await exchange.start(200, ())
        await exchange.send(PART)
        await end.wait()
        if cause == "the handler raises an error":
            raise KeyError(CAUSE)

    server = HttpServer(handle)
    await server.start(LOCALHOST, 0)
    reader, writer = await asyncio.open_connection(LOCALHOST, server.port)
    cuts: dict[str, Callable[[], object]] = {
        "the client closes its sending side": writer.write_eof,
        "the handler raises an error": end.set,
        "the handler returns": end.set,
        "the server ends its exchanges": partial(server.end_exchanges, 1.0),
        "the server closes": server.close,
        "the server aborts": server.abort,
    }
    writer.write(b"GET / HTTP/1.0\r\n\r\n")
    try:
        await reader.readuntil(PART)
        result = cuts[cause]()
        if inspect.isawaitable(result):
            await result
        await reader.read()
    except ConnectionResetError:
        return True
    finally:
        writer.close()
        server.close()
    return False


@then("the connection of the client was reset")
def step_reset(context: Any) -> None:
    assert context.has_reset


@given("a daemon whose server works without end")
def step_endless(context: Any) -> None:
    context.cause = "caller-left"


@when("a caller sends a plain request on {name:w} and closes its {side}")
def step_send_and_close(context: Any, name: str, side: str) -> None:
    data = whole_request(f"/{name}/item")
    context.work = EndlessWork()
    with captured_log() as context.lines:
        received = asyncio.run(_ask_and_close(context.work, data, side == "sending side"))
    context.reply = parse_replies(received, ["POST"])[0]


async def _ask_and_close(work: EndlessWork, data: bytes, is_half_closed: bool) -> bytes:
    """Close a connection, or its sending side, once a server works on its request."""
    async with running_daemon(work.handle) as site:
        reader, writer = await asyncio.open_connection(LOCALHOST, site.daemon.callers.port)
        writer.write(data)
        await work.began.wait()
        received = b""
        if is_half_closed:
            writer.write_eof()
            received = await reader.read()
        writer.close()
        await work.cancelled.wait()
    return received


@then("the work of the server was cancelled")
def step_cancelled(context: Any) -> None:
    assert context.work.cancelled.is_set()


# Odd values in headers, and servers that nothing can be sent to.

ODD_SERVERS = {
    "name has a line break": ("i-1\nx-other: 1", LOCALHOST),
    "name is not in Latin letters": ("\u0441\u0435\u0440\u0432\u0435\u0440", LOCALHOST),
    "address has an empty label": ("i-1", "a..b"),
}


HEADER_VALUES = {
    "x-prompt-prefix": "a:{0}",
    "x-token-usage": "{0},{0}",
    "x-deadline-ms": "{0}",
    "keep-alive": "timeout={0}",
}


def odd_value(header: str, value: str) -> str:
    """Return a header value of a scenario."""
    if value.endswith(" digits"):
        value = "9" * int(value.removesuffix(" digits"))
    return HEADER_VALUES[header].format(value)


@given("a daemon and a server that responds well")
def step_well(context: Any) -> None:
    context.serve = serve_well
    context.server = ("i-1", LOCALHOST)


@given("a daemon and a server that responds with keep-alive of {value}")
def step_keep_alive(context: Any, value: str) -> None:
    async def serve(exchange: Exchange) -> None:
        exchange.extra_headers = (("keep-alive", odd_value("keep-alive", value)),)
        await serve_well(exchange)

    step_well(context)
    context.serve = serve


@given("a daemon and a server whose {odd_property}")
def step_odd_server(context: Any, odd_property: str) -> None:
    step_well(context)
    context.server = ODD_SERVERS[odd_property]


@when("a caller sends a plain request on {name:w} with {header} of {value}")
def step_send_odd(context: Any, name: str, header: str, value: str) -> None:
    data = whole_request(f"/{name}/item", headers=f"{header}: {odd_value(header, value)}\r\n")
    _ask_daemon(context, data, is_relayed=False)


@then("it is told when to come back")
def step_retry_after(context: Any) -> None:
    assert float(context.reply.headers["retry-after"]) > 0


@given("a daemon and a server that closes its connections without a response")
def step_closing(context: Any) -> None:
    async def serve(exchange: Exchange) -> None:
        exchange.abort()

    step_well(context)
    context.serve = serve


@then("its reason says {reason}")
def step_reason(context: Any, reason: str) -> None:
    assert reason in context.reply.body.decode(), context.reply
    failed = [line["reason"] for line in context.lines if line.get("decision") == "send-failed"]
    assert failed and all(reason in each for each in failed), failed


@then("explain says that {cause}")
def step_explain(context: Any, cause: str) -> None:
    lines = [
        LogLine(line["timestamp"], "daemon-1", line["message_type"], line) for line in context.lines
    ]
    assert explain_request("r1", lines).cause.value == cause, context.lines


@when("a client sends it a body far over the limit, and reads when all is sent")
def step_send_large_body(context: Any) -> None:
    context.replies = parse_replies(asyncio.run(_send_large_body(context.handler)), ["POST"])


async def _send_large_body(handler: Handler) -> bytes:
    server = HttpServer(handler)
    await server.start(LOCALHOST, 0)
    reader, writer = await asyncio.open_connection(LOCALHOST, server.port)
    try:
        lines = f"POST / HTTP/1.1\r\nhost: {HOST}\r\ncontent-length: {LARGE_BODY_BYTES}\r\n\r\n"
        writer.write(lines.encode())
        for _ in range(LARGE_BODY_BYTES // WRITE_BYTES):
            writer.write(bytes(WRITE_BYTES))
            await writer.drain()
        return await reader.read()
    finally:
        writer.close()
        server.close()


@then("the client gets {count:d} whole responses with status {status:d} and the reason")
def step_refused_body(context: Any, count: int, status: int) -> None:
    got = [(reply.status, reply.is_complete, reply.body) for reply in context.replies]
    assert got == [(status, True, b"body")] * count, context.replies


# Clients that send while a request of theirs is handled.

# The most that one read adds to what is buffered already.
READ_BYTES = 256 * constants.KIBIBYTE


@given("an HTTP server that is still handling a request")
def step_still_handling(context: Any) -> None:
    """Start it with the data that its client sends."""


@when("its client sends {count:d} further requests with bodies of {size:d} bytes")
def step_send_further(context: Any, count: int, size: int) -> None:
    further = post_request(size) * (count - 1) + whole_request("/")
    asyncio.run(_send_while_handling(context, post_request(2), further))


@when("its client sends {size:d} bytes after a request that closes the connection")
def step_send_after(context: Any, size: int) -> None:
    asyncio.run(_send_while_handling(context, whole_request("/"), bytes(size)))


def post_request(body_bytes: int) -> bytes:
    """Return a request after whose response the connection stays open."""
    head = f"POST / HTTP/1.1\r\nhost: {HOST}\r\ncontent-length: {body_bytes}\r\n\r\n"
    return head.encode() + bytes(body_bytes)


async def _send_while_handling(context: Any, first: bytes, further: bytes) -> None:
    """Send all at once, and have the first request handled when the server reads no more."""
    is_read = asyncio.Event()

    async def handle(exchange: Exchange) -> None:
        await is_read.wait()
        await exchange.respond(200, (), b"body")

    server = HttpServer(handle)
    await server.start(LOCALHOST, 0)
    reader, writer = await asyncio.open_connection(LOCALHOST, server.port)
    writer.write(first + further)
    while not server.open_exchanges:
        await asyncio.sleep(0.001)
    (connection,) = server.connections
    transport = connection._transport
    assert transport is not None
    # Ends when the server stops reading, or when it has read everything.
    while transport.is_reading() and len(_unread(connection)) < len(further):
        await asyncio.sleep(0.001)
    context.buffered_bytes = len(_unread(connection))
    is_read.set()
    context.received = await reader.read()
    writer.close()
    server.close()


def _unread(connection: ServerConnection) -> bytes:
    """Return what a connection has buffered of further requests."""
    return connection._h11.trailing_data[0]


@then("the server stops reading within its limit on buffered data")
def step_stops_reading(context: Any) -> None:
    limit = constants.READ_BUFFER_HIGH_WATER_BYTES + READ_BYTES
    assert context.buffered_bytes <= limit, context.buffered_bytes


@then(
    "all {count:d} requests get a whole response with status {status:d} once the first is handled"
)
def step_all_responses(context: Any, count: int, status: int) -> None:
    replies = parse_replies(context.received, ["POST"] * count)
    got = [(reply.status, reply.is_complete) for reply in replies]
    assert got == [(status, True)] * count, got


@then("the peer takes it for a failed attempt that may have run")
def step_failed_attempt(context: Any) -> None:
    reply: RawReply = context.reply
    head = HttpResponse(reply.status, tuple(reply.headers.items()))
    assert not is_server_response(head), reply
    error = decode_error(head, reply.body)
    assert isinstance(error, SendFailed) and error.may_have_run, error


@when("a peer is disconnected while a call waits for a connection to it")
def step_disconnect(context: Any) -> None:
    context.error = asyncio.run(_disconnect_during_connect())


async def _disconnect_during_connect() -> BaseException:
    """Return how a call ends whose connection is given up while it is being made."""
    server = await asyncio.start_server(lambda reader, writer: None, LOCALHOST, 0)
    address = f"{LOCALHOST}:{server.sockets[0].getsockname()[1]}"

    async def ignore(message: AnyMessage) -> None:
        """Answer nothing."""

    transport = PeerTransport(ignore, Connector(), Metrics())
    call = asyncio.ensure_future(transport.call(address, LeaderQuestion()))
    while transport._client(address)._connecting is None:
        await asyncio.sleep(0)
    transport.disconnect(address)
    (end,) = await asyncio.gather(call, return_exceptions=True)
    server.close()
    assert isinstance(end, BaseException), end
    return end


@then("the call fails as one to an unreachable peer")
def step_unreachable(context: Any) -> None:
    assert isinstance(context.error, PeerUnreachable), repr(context.error)
