"""Steps for requests that meet the close of their connection, over real sockets."""

import asyncio
import random
import socket
import time
from typing import Any

from behave import given, then, when

from features.steps.pool_metrics_steps import sum_metric
from features.steps.unanswered_steps import whole_request
from features.support.local_daemon import (
    HOST,
    LOCALHOST,
    apply_configuration,
    configuration,
    create_daemon,
)
from features.support.raw_client import RawReply, parse_replies
from loomwind.http.messages import Headers
from loomwind.http.server import Exchange, HttpServer, ServerLimits
from loomwind.http.server_connection import ServerConnection
from loomwind.serving.daemon import PoolDaemon

MS = 1000
READ_TIMEOUT_SECONDS = 30.0
KEPT_REQUEST = f"GET /x HTTP/1.1\r\nhost: {HOST}\r\n\r\n".encode()
LAST_REQUEST = whole_request("/x")
BODY = b"no route; configuration 1"
ACCEPTED_METRIC = "loomwind_requests_accepted_total"
# The clients of a scenario rest for the same times on every run.
RESTS_SEED = 56
# Keeps the times at which clients send from depending on the work for other clients.
STAGGER_SECONDS = 0.004


async def _respond(exchange: Exchange) -> None:
    await exchange.respond(200, (), b"served")


def _read_to_end(client: socket.socket) -> bytes:
    """Return what a client receives until its connection ends, and close it."""
    received = b""
    client.settimeout(READ_TIMEOUT_SECONDS)
    with client:
        try:
            while data := client.recv(65_536):
                received += data
        except ConnectionResetError:
            pass
    return received


async def _read_replies(clients: list[socket.socket]) -> list[RawReply]:
    received = await asyncio.gather(*(asyncio.to_thread(_read_to_end, each) for each in clients))
    return [parse_replies(data, ["POST"])[0] for data in received]


# Requests that arrive in the moment of a close.


@given("an HTTP server and {count:d} connections that are about to be closed as idle")
def step_many(context: Any, count: int) -> None:
    context.count = count


async def _open_many(server: HttpServer, count: int) -> list[socket.socket]:
    """Return blocking clients: what they send arrives while the loop does not run."""
    await server.start(LOCALHOST, 0)
    clients = []
    for _ in range(count):
        clients.append(socket.create_connection((LOCALHOST, server.port)))
        while len(server.connections) < len(clients):
            await asyncio.sleep(0)
    return clients


@when("a request arrives on each after its idle timer is due, and before it runs")
def step_at_idle_timeout(context: Any) -> None:
    context.replies = asyncio.run(_send_at_idle_timeout(context.count))


async def _send_at_idle_timeout(count: int) -> list[RawReply]:
    """Send the requests in the pass of the loop that also runs the idle timers."""
    server = HttpServer(_respond)
    clients = await _open_many(server, count)
    loop = asyncio.get_running_loop()

    def send() -> None:
        for client in clients:
            client.sendall(LAST_REQUEST)

    # While this blocks the loop, all of the following become due; they run in their order.
    loop.call_later(0.01, time.sleep, 0.1)
    loop.call_later(0.02, send)
    for connection in server.connections:
        connection._idle_timeout_seconds = 0.0
        connection._start_timer(0.03)
    try:
        return await _read_replies(clients)
    finally:
        server.close()


@when("a request arrives on each just before the server stops listening")
def step_at_stop(context: Any) -> None:
    context.replies = asyncio.run(_send_at_stop(context.count))


async def _send_at_stop(count: int) -> list[RawReply]:
    server = HttpServer(_respond)
    clients = await _open_many(server, count)
    for client in clients:
        client.sendall(KEPT_REQUEST)
    server.stop_listening()
    try:
        return await _read_replies(clients)
    finally:
        server.close()


@when("a response on each, which left it open, ends as a request arrives after the server stopped")
def step_at_end_of_response(context: Any) -> None:
    context.replies = asyncio.run(_send_at_end_of_response(context.count))


async def _send_at_end_of_response(count: int) -> list[RawReply]:
    """Send a second request on each connection in the pass of the loop that ends the first one.

    Return the replies to the second requests.
    """
    clients: list[socket.socket] = []
    begun = asyncio.Semaphore(0)
    has_stopped = asyncio.Event()

    async def respond(exchange: Exchange) -> None:
        request = exchange.request
        if request is None or request.method == "POST":
            await exchange.respond(200, (), b"served")
            return
        await exchange.start(200, ())
        begun.release()
        await has_stopped.wait()
        await exchange.finish()
        clients[int(request.path.removeprefix("/"))].sendall(LAST_REQUEST)

    server = HttpServer(respond)
    clients += await _open_many(server, count)
    for number, client in enumerate(clients):
        client.sendall(f"GET /{number} HTTP/1.1\r\nhost: {HOST}\r\n\r\n".encode())
    for _ in clients:
        await begun.acquire()
    server.stop_listening()
    has_stopped.set()
    try:
        ends = await asyncio.gather(*(asyncio.to_thread(_read_to_end, each) for each in clients))
    finally:
        server.close()
    replies = [parse_replies(data, ["GET", "POST"]) for data in ends]
    assert all(first.is_complete for first, _ in replies)
    return [second for _, second in replies]


@then("all {count:d} requests are answered")
def step_all_answered(context: Any, count: int) -> None:
    answered = sum(reply.is_complete for reply in context.replies)
    assert answered == count, f"{answered} of {count}"


@then("all {count:d} requests are answered, and say that the connection closes")
def step_all_answered_closing(context: Any, count: int) -> None:
    step_all_answered(context, count)
    assert {reply.headers.get("connection") for reply in context.replies} == {"close"}


@when("the {part} of a request arrives as the stopping daemon looks for its last requests")
def step_arrives_at_stop(context: Any, part: str) -> None:
    context.replies = [asyncio.run(_arrive_at_stop(part))]


async def _arrive_at_stop(part: str) -> RawReply:
    """Return the reply to a request of which a part arrives just before the daemon looks."""
    daemon = create_daemon()
    apply_configuration(daemon, configuration(1, {}))
    (client,) = await _open_many(daemon.callers, 1)
    loop = asyncio.get_running_loop()
    separators = {"first line": b"\r\n", "head": b"\r\n\r\n"}
    end = len(LAST_REQUEST)
    if part in separators:
        end = LAST_REQUEST.index(separators[part]) + len(separators[part])
    client.sendall(LAST_REQUEST[:end])
    loop.call_later(0.2, client.sendall, LAST_REQUEST[end:])
    await daemon._finish_requests(loop.time() + READ_TIMEOUT_SECONDS)
    daemon.close()
    (reply,) = await _read_replies([client])
    return reply


@then("the daemon waits for the rest, and the request is answered")
def step_waited(context: Any) -> None:
    (reply,) = context.replies
    assert (reply.status, reply.is_complete) == (404, True), reply


# What is announced.


@given("an HTTP server that keeps idle connections for {seconds:f} s")
@given("an HTTP server that keeps idle connections for {seconds:d} s")
def step_kept(context: Any, seconds: float) -> None:
    context.limits = ServerLimits(idle_timeout_seconds=float(seconds))


@when("a client sends it a request that leaves the connection open")
def step_ask(context: Any) -> None:
    context.replies = [asyncio.run(_ask(context.limits, KEPT_REQUEST))]


@when("a client sends it a request whose handler announces {seconds:d} s")
def step_ask_announcing(context: Any, seconds: int) -> None:
    headers = (("Keep-Alive", f"timeout={seconds}"),)
    context.replies = [asyncio.run(_ask(context.limits, KEPT_REQUEST, headers))]


@when("a client sends it a request on a connection that {state}")
def step_ask_closing(context: Any, state: str) -> None:
    requests = {
        "closes since the client asks": LAST_REQUEST,
        "closes since it is one of HTTP 1.0": b"GET /x HTTP/1.0\r\n\r\n",
    }
    request = requests.get(state, KEPT_REQUEST)
    drains = state == "closes since the server drains"
    context.replies = [asyncio.run(_ask(context.limits, request, drains=drains))]


async def _ask(
    limits: ServerLimits, request: bytes, headers: Headers = (), drains: bool = False
) -> RawReply:
    async def respond(exchange: Exchange) -> None:
        await exchange.respond(200, headers, b"served")

    server = HttpServer(respond, limits)
    (client,) = await _open_many(server, 1)
    if drains:
        server.start_draining()
    client.sendall(request)
    while server.connections and not any(map(_has_responded, server.connections)):
        await asyncio.sleep(0)
    server.close()
    (reply,) = await _read_replies([client])
    return reply


def _has_responded(connection: ServerConnection) -> bool:
    """Return whether a connection is idle after a request."""
    recorder = connection._recorder
    return connection.is_idle and recorder is not None and recorder.requests > 0


@then("its response announces that the connection is kept for {seconds:d} s")
def step_announced(context: Any, seconds: int) -> None:
    (reply,) = context.replies
    assert reply.headers.get("keep-alive") == f"timeout={seconds}", reply


@then("its response does not announce how long the connection is kept")
def step_not_announced(context: Any) -> None:
    (reply,) = context.replies
    assert reply.is_complete and "keep-alive" not in reply.headers, reply


# Clients that use their connections again.


async def _start_daemon(idle_seconds: float) -> PoolDaemon:
    daemon = create_daemon()
    limits = {"idle_timeout_ms": round(idle_seconds * MS)}
    apply_configuration(daemon, configuration(1, {}, **limits))
    await daemon.callers.start(LOCALHOST, 0)
    return daemon


def _accepted(daemon: PoolDaemon) -> float:
    return sum_metric(daemon.metrics.expose().decode(), ACCEPTED_METRIC, "")


async def _ask_once(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> RawReply:
    """Return the reply to a request that leaves its connection open; empty if there is none."""
    writer.write(KEPT_REQUEST)
    try:
        received = await reader.readuntil(BODY)
    except (asyncio.IncompleteReadError, ConnectionError):
        return RawReply()
    return parse_replies(received, ["POST"])[0]


@when(
    "{count:d} clients use their connections {uses:d} times each, "
    "after up to the time that was announced"
)
def step_heed(context: Any, count: int, uses: int) -> None:
    context.ends = asyncio.run(_heed_all(context.first_seconds, count, uses))


async def _heed_all(idle_seconds: float, count: int, uses: int) -> list[list[RawReply]]:
    daemon = await _start_daemon(idle_seconds)
    source = random.Random(RESTS_SEED)
    shares = [[source.uniform(0.9, 1.0) for _ in range(uses)] for _ in range(count)]
    try:
        return await asyncio.gather(*(_heed(daemon, each) for each in shares))
    finally:
        daemon.close()


async def _heed(daemon: PoolDaemon, shares: list[float]) -> list[RawReply]:
    """Rest for shares of the announced time; a client that is late opens a new connection."""
    loop = asyncio.get_running_loop()
    reader, writer = await asyncio.open_connection(LOCALHOST, daemon.callers.port)
    replies = [await _ask_once(reader, writer)]
    for share in shares:
        idle_from = loop.time()
        announced = float(replies[-1].headers["keep-alive"].removeprefix("timeout="))
        await asyncio.sleep(share * announced)
        if loop.time() - idle_from >= announced:
            writer.close()
            reader, writer = await asyncio.open_connection(LOCALHOST, daemon.callers.port)
        replies.append(await _ask_once(reader, writer))
    writer.close()
    return replies


@then("each request is answered on the connection that was kept for it")
def step_each_answered(context: Any) -> None:
    missing = [reply for replies in context.ends for reply in replies if not reply.is_complete]
    assert not missing, f"{len(missing)} without an answer"


@when(
    "{count:d} clients each send a second request up to {spread_ms:d} ms before, at or after that "
    "time"
)
def step_around(context: Any, count: int, spread_ms: int) -> None:
    context.around = asyncio.run(_send_around(context.first_seconds, count, spread_ms))


async def _send_around(
    idle_seconds: float, count: int, spread_ms: int
) -> tuple[float, list[tuple[RawReply, bool]]]:
    """Return the number of requests that were read, and each second reply.

    The replies come with whether their connection had ended.
    """
    daemon = await _start_daemon(idle_seconds)
    source = random.Random(RESTS_SEED)
    rests = [idle_seconds + source.uniform(-spread_ms, spread_ms) / MS for _ in range(count)]
    loop = asyncio.get_running_loop()

    async def run(number: int, rest_seconds: float) -> tuple[RawReply, bool]:
        await asyncio.sleep(number * STAGGER_SECONDS)
        reader, writer = await asyncio.open_connection(LOCALHOST, daemon.callers.port)
        assert (await _ask_once(reader, writer)).is_complete
        idle_since = await _idle_since(daemon, writer)
        await asyncio.sleep(idle_since + rest_seconds - loop.time())
        reply = await _ask_once(reader, writer)
        has_ended = reader.at_eof() or reader.exception() is not None
        writer.close()
        return reply, has_ended

    try:
        ends = await asyncio.gather(*(run(i, rest) for i, rest in enumerate(rests)))
        return _accepted(daemon), ends
    finally:
        daemon.close()


async def _idle_since(daemon: PoolDaemon, writer: asyncio.StreamWriter) -> float:
    """Return when the connection of a client became idle, by the daemon."""
    own_address = writer.get_extra_info("sockname")
    for connection in daemon.callers.connections:
        assert connection._transport is not None
        if connection._transport.get_extra_info("peername") == own_address:
            while not connection.is_idle:
                await asyncio.sleep(0)
            return connection._idle_since
    raise AssertionError("the connection has ended")


@then("the daemon has answered all requests that it has read")
def step_read_answered(context: Any) -> None:
    accepted, ends = context.around
    answered = len(ends) + sum(reply.is_complete for reply, _ in ends)
    print(f"{answered - len(ends)} of {len(ends)} second requests were answered")
    assert accepted == answered, (accepted, answered)


@then("each client without an answer found its connection closed")
def step_found_closed(context: Any) -> None:
    _, ends = context.around
    assert all(has_ended for reply, has_ended in ends if not reply.is_complete)
