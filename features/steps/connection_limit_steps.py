"""Steps for connections that are open while the limits change or their server stops."""

import asyncio
from typing import Any

from behave import given, then, when

from features.steps.unanswered_steps import EndlessWork, step_well, whole_request
from features.support.local_daemon import (
    HOST,
    LOCALHOST,
    apply_configuration,
    captured_log,
    configuration,
    create_daemon,
    request_handler,
    running_daemon,
)
from features.support.raw_client import exchange_bytes, parse_replies
from loomwind.http.server import Exchange, HttpServer
from loomwind.serving.daemon import PoolDaemon

FIRST_REQUEST = f"GET /nowhere HTTP/1.1\r\nhost: {HOST}\r\n\r\n".encode()
FIRST_BODY = b"no route; configuration 1"


@given("a daemon whose configuration has a head limit of {head_bytes:d} bytes")
def step_head_limit(context: Any, head_bytes: int) -> None:
    context.head_limits = [head_bytes]


@given("a caller's connection that has served a request")
def step_used_connection(context: Any) -> None:
    """The connection is opened with the request that follows."""


@when("a version with a head limit of {head_bytes:d} bytes is activated")
def step_new_head_limit(context: Any, head_bytes: int) -> None:
    context.head_limits.append(head_bytes)


@when("a request with a head of {head_bytes:d} bytes is sent on that connection")
def step_large_head(context: Any, head_bytes: int) -> None:
    context.reply = parse_replies(asyncio.run(_send_after_change(context, head_bytes)), ["POST"])[0]


@then("it gets a response with status {status:d}")
def step_status(context: Any, status: int) -> None:
    assert (context.reply.status, context.reply.is_complete) == (status, True), context.reply


async def _send_after_change(context: Any, head_bytes: int) -> bytes:
    """Return the response to a request whose head comes after the limit changed.

    It comes in two parts if the limit was raised, the first of them above the limit before.
    """
    daemon = create_daemon()
    first, second = context.head_limits
    apply_configuration(daemon, configuration(1, {}, max_header_bytes=first))
    await daemon.callers.start(LOCALHOST, 0)
    reader, writer = await asyncio.open_connection(LOCALHOST, daemon.callers.port)
    try:
        writer.write(FIRST_REQUEST)
        await reader.readuntil(FIRST_BODY)
        await _until_idle(daemon, is_idle=True)
        apply_configuration(daemon, configuration(2, {}, max_header_bytes=second), 2)
        data = whole_request("/nowhere", headers=f"x-filler: {'a' * head_bytes}\r\n")
        if second > first:
            part_bytes = (first + head_bytes) // 2
            writer.write(data[:part_bytes])
            await _until_idle(daemon, is_idle=False)
            data = data[part_bytes:]
        writer.write(data)
        return await reader.read()
    finally:
        writer.close()
        daemon.close()


async def _until_idle(daemon: PoolDaemon, is_idle: bool) -> None:
    """Wait until all connections of callers are idle, or one is not."""
    while all(each.is_idle for each in daemon.callers.connections) is not is_idle:
        await asyncio.sleep(0)


# Servers that stop.


@given("an HTTP server that serves {count:d} requests that came together on one connection")
def step_pipelined(context: Any, count: int) -> None:
    request = f"POST / HTTP/1.1\r\nhost: {HOST}\r\ncontent-length: 2\r\n\r\nhi".encode()
    context.pipelined = count * request
    context.pipelined_count = count


@when("it {state} while it serves the first")
def step_stop_during_first(context: Any, state: str) -> None:
    context.received = asyncio.run(_serve_pipelined(context.pipelined, state))


async def _serve_pipelined(data: bytes, state: str) -> bytes:
    async def handle(exchange: Exchange) -> None:
        if state == "stops listening":
            server.stop_listening()
        else:
            server.start_draining()
        await exchange.respond(200, (), b"served")

    server = HttpServer(handle)
    await server.start(LOCALHOST, 0)
    try:
        return await exchange_bytes(server.port, data)
    finally:
        server.close()


@then("all {count:d} get a whole response, and only the last says that the connection closes")
def step_all_served(context: Any, count: int) -> None:
    replies = parse_replies(context.received, ["POST"] * count)
    got = [(reply.status, reply.is_complete) for reply in replies]
    assert got == [(200, True)] * count, got
    closes = [reply.headers.get("connection") == "close" for reply in replies]
    assert closes == [False] * (count - 1) + [True], closes


@given("a daemon that has ended all requests, as it stops")
def step_ended(context: Any) -> None:
    step_well(context)
    context.has_ended_requests = True


@when("a daemon ends its two requests, one of which has just run out of time")
def step_end_all(context: Any) -> None:
    context.ends = asyncio.run(_end_all_requests())


async def _end_all_requests() -> list[BaseException | None]:
    """Return how the requests ended."""
    daemon = create_daemon()
    handler = request_handler(daemon)
    loop = asyncio.get_running_loop()

    async def run_until(deadline: float) -> None:
        async with asyncio.timeout_at(deadline) as timeout:
            handler.timeouts.add(timeout)
            await asyncio.Event().wait()

    tasks = [asyncio.ensure_future(run_until(loop.time() + late)) for late in (0.0, 60.0)]
    while not any(timeout.expired() for timeout in handler.timeouts):
        await asyncio.sleep(0)
    handler.end_all_requests()
    ends = await asyncio.gather(*tasks, return_exceptions=True)
    daemon.close()
    return ends


@then("both have ended")
def step_both_ended(context: Any) -> None:
    assert [type(end) for end in context.ends] == [TimeoutError, TimeoutError], context.ends


@when("it closes its connections while it serves a request")
def step_close_connections(context: Any) -> None:
    with captured_log() as context.lines:
        asyncio.run(_cut_off())


async def _cut_off() -> None:
    """Close the connections of a daemon's callers while a server works on a request."""
    work = EndlessWork()
    async with running_daemon(work.handle) as site:
        port = site.daemon.callers.port
        reply = asyncio.ensure_future(exchange_bytes(port, whole_request("/look/item")))
        await work.began.wait()
        site.daemon.callers.close()
        await reply
        await work.cancelled.wait()


@then("its log says that the request is unanswered")
def step_unanswered(context: Any) -> None:
    assert "unanswered" in [line.get("decision") for line in context.lines], context.lines


@given("an HTTP server that works on {count:d} requests without end, as it stops")
def step_endless_requests(context: Any, count: int) -> None:
    context.request_count = count


@when("it ends its exchanges")
def step_end_exchanges(context: Any) -> None:
    context.received = asyncio.run(_end_exchanges(context.request_count))


async def _end_exchanges(count: int) -> list[bytes]:
    work = EndlessWork()
    server = HttpServer(work.handle)
    await server.start(LOCALHOST, 0)
    data = whole_request("/")
    replies = [asyncio.ensure_future(exchange_bytes(server.port, data)) for _ in range(count)]
    while server.open_exchanges < count:
        await asyncio.sleep(0)
    server.stop_listening()
    await server.end_exchanges(timeout_seconds=5.0)
    server.close()
    return list(await asyncio.gather(*replies))


@then("all {count:d} get a whole response with status {status:d}")
def step_all_ended(context: Any, count: int, status: int) -> None:
    replies = [parse_replies(received, ["POST"])[0] for received in context.received]
    got = [(reply.status, reply.is_complete) for reply in replies]
    assert got == [(status, True)] * count, got
