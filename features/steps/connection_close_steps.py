"""Steps for the counter and the log lines of closed connections of callers."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from attrs import define, evolve
from behave import given, then, when
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client import Counter as CounterMetric

from features.steps.pool_metrics_steps import sum_metric
from features.steps.unanswered_steps import EndlessWork, whole_request
from features.support.local_daemon import (
    HOST,
    LOCALHOST,
    apply_configuration,
    captured_log,
    configuration,
    create_daemon,
)
from loomwind.clock import ManualClock
from loomwind.http.close_log import CloseLog
from loomwind.http.connection_close import ClosedBy, CloseReason, ConnectionClose
from loomwind.http.server import Exchange
from loomwind.serving.daemon import PoolDaemon

IDLE_SECONDS = 0.05
CLOSED_METRIC = "loomwind_connections_closed_total"
KEPT_REQUEST = f"GET /x HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: r1\r\n\r\n".encode()
PART_OF_BODY = (
    f"POST /x HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: r1\r\ncontent-length: 5\r\n\r\nabc"
)
LARGE_REQUEST = f"POST /x HTTP/1.1\r\nhost: {HOST}\r\ncontent-length: {1 << 30}\r\n\r\nabc"


@define
class Caller:
    """A caller's connection to a daemon, whose handler the scenario chooses."""

    daemon: PoolDaemon
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    work: EndlessWork

    async def send(self, data: bytes | str) -> None:
        """Send bytes, and wait until the daemon has read them."""
        self.writer.write(data if isinstance(data, bytes) else data.encode())
        (connection,) = self.daemon.callers.connections
        while connection._recorder is None or not connection._recorder.has_read:
            await asyncio.sleep(0)

    async def begin_request(self) -> None:
        """Send a request that is worked on without end."""
        self.daemon.callers.handler = self.work.handle
        await self.send(KEPT_REQUEST)
        await self.work.began.wait()

    def reset(self) -> None:
        """Reset the connection."""
        raw = self.writer.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.close()


async def _respond(exchange: Exchange) -> None:
    bad_request = exchange.bad_request
    await exchange.respond(bad_request.status if bad_request else 200, (), b"body")


async def _respond_in_part(exchange: Exchange) -> None:
    await exchange.start(200, ())
    await exchange.send(b"part")


async def _rest(caller: Caller) -> None:
    """Leave the connection idle until the daemon closes it."""


async def _stop_listening(caller: Caller) -> None:
    caller.daemon.callers.stop_listening()


async def _shut_down(caller: Caller) -> None:
    caller.daemon.close()


async def _shut_down_while_serving(caller: Caller) -> None:
    await caller.begin_request()
    caller.daemon.close()


async def _shut_down_while_reading(caller: Caller) -> None:
    await caller.send(PART_OF_BODY)
    caller.daemon.close()


async def _cut_response(caller: Caller) -> None:
    caller.daemon.callers.handler = _respond_in_part
    await caller.send(KEPT_REQUEST)


async def _send_unreadable(caller: Caller) -> None:
    await caller.send(b"no request\r\n\r\n")
    await caller.reader.read()
    caller.writer.close()


async def _send_too_large(caller: Caller) -> None:
    await caller.send(LARGE_REQUEST)


async def _reset_while_served(caller: Caller) -> None:
    await caller.begin_request()
    caller.reset()


async def _end_while_served(caller: Caller) -> None:
    await caller.begin_request()
    caller.writer.close()


async def _end_inside_head(caller: Caller) -> None:
    await caller.send(b"GET / HTT")
    caller.writer.close()


async def _end_while_idle(caller: Caller) -> None:
    await caller.send(KEPT_REQUEST)
    await caller.reader.readuntil(b"body")
    caller.writer.close()


async def _ask_for_close(caller: Caller) -> None:
    await caller.send(whole_request("/x"))


async def _send_old_request(caller: Caller) -> None:
    async def respond(exchange: Exchange) -> None:
        await exchange.start(200, ())
        await exchange.finish()

    caller.daemon.callers.handler = respond
    await caller.send(b"GET /x HTTP/1.0\r\n\r\n")


async def _drain(caller: Caller) -> None:
    caller.daemon.callers.start_draining()
    await caller.send(KEPT_REQUEST)


ENDS: dict[str, Callable[[Caller], Awaitable[None]]] = {
    "the idle timeout is over": _rest,
    "the daemon stops listening": _stop_listening,
    "the daemon shuts down": _shut_down,
    "the daemon shuts down while a request is served": _shut_down_while_serving,
    "the daemon shuts down while a body is read": _shut_down_while_reading,
    "the daemon cuts a response": _cut_response,
    "a request cannot be read": _send_unreadable,
    "the client goes on sending a request too large": _send_too_large,
    "the client resets it while a request is served": _reset_while_served,
    "the client ends it while a request is served": _end_while_served,
    "the client ends it inside a head": _end_inside_head,
    "the client ends it while it is idle": _end_while_idle,
    "the client asks for it with its request": _ask_for_close,
    "a response to HTTP 1.0 has no length": _send_old_request,
    "the daemon drains while it serves": _drain,
}


@given("a daemon whose callers' connections end as {cause}")
def step_cause(context: Any, cause: str) -> None:
    context.end = ENDS[cause]


@when("the connection of a caller has ended")
def step_end(context: Any) -> None:
    with captured_log() as context.lines:
        context.page = asyncio.run(_end_connection(context.end))


async def _end_connection(end: Callable[[Caller], Awaitable[None]]) -> str:
    """Return the metrics of a daemon after the connection of its only caller has ended."""
    daemon = create_daemon()
    apply_configuration(daemon, configuration(1, {}))
    if end is _rest:
        limits = daemon.callers.limits
        changed = msgspec.structs.replace(limits, idle_timeout_seconds=IDLE_SECONDS)
        daemon.callers.limits = changed
    daemon.callers.handler = _respond
    await daemon.callers.start(LOCALHOST, 0)
    reader, writer = await asyncio.open_connection(LOCALHOST, daemon.callers.port)
    while not daemon.callers.connections:
        await asyncio.sleep(0)
    try:
        await end(Caller(daemon, reader, writer, EndlessWork()))
        while daemon.callers.connections:
            await asyncio.sleep(0.001)
        daemon._close_log.flush()
        return daemon.metrics.expose().decode()
    finally:
        writer.close()
        daemon.close()


@then("the metrics count one close by {side} for {reason}")
def step_counted(context: Any, side: str, reason: str) -> None:
    labels = f"by={side}, reason={reason}"
    assert sum_metric(context.page, CLOSED_METRIC, labels) == 1, context.lines
    assert sum_metric(context.page, CLOSED_METRIC, "") == 1, context.lines


@then("one line says that {side} closed it for {reason}, with {what}")
def step_line(context: Any, side: str, reason: str, what: str) -> None:
    (line,) = _connection_lines(context.lines, "closed")
    assert (line["closed_by"], line["reason"]) == (side, reason), line
    assert line["is_request_open"] is ("no open request" not in what), line
    assert line["request_id"] == ("r1" if what.startswith("the open request") else ""), line
    expected_bytes = int(what.split()[-2]) if what.endswith("bytes") else 0
    if reason not in ("unreadable-request", "linger-over"):
        assert line["buffered_bytes"] == expected_bytes, line
    assert not _connection_lines(context.lines, "closed-without-line"), context.lines


def _connection_lines(lines: list[dict[str, Any]], state: str) -> list[dict[str, Any]]:
    return [
        line
        for line in lines
        if line["message_type"] == "loomwind:connection" and line["state"] == state
    ]


@then("the line about closes without a line counts one by {side} for {reason}")
def step_summary(context: Any, side: str, reason: str) -> None:
    assert not _connection_lines(context.lines, "closed"), context.lines
    (line,) = _connection_lines(context.lines, "closed-without-line")
    assert (line["count"], line["closes"]) == (1, {f"{side} {reason}": 1}), line


# Volume.

OPEN_REQUEST = ConnectionClose(
    ClosedBy.CLIENT,
    CloseReason.CLIENT_END,
    error="",
    client="192.0.2.1:1",
    phase="handling",
    requests=1,
    request_id="r1",
    is_request_open=True,
    buffered_bytes=0,
    unread_bytes=0,
    unsent_bytes=0,
    last_byte_age_ms=1.0,
    age_ms=1.0,
)
IDLE = evolve(
    OPEN_REQUEST,
    closed_by=ClosedBy.SERVER,
    reason=CloseReason.IDLE_TIMEOUT,
    phase="idle",
    is_request_open=False,
)


@when("{open_count:d} connections close at once in requests, and {idle:d} idle ones")
def step_burst(context: Any, open_count: int, idle: int) -> None:
    context.registry = CollectorRegistry()
    metric = CounterMetric(CLOSED_METRIC, "", ["by", "reason"], registry=context.registry)
    log = CloseLog(metric, ManualClock(), lambda headers: "")
    context.closes = open_count + idle
    with captured_log() as context.lines:
        for close in [*[OPEN_REQUEST] * open_count, *[IDLE] * idle]:
            log.on_close(close)
        log.flush()


@then("at most {count:d} lines say so, and the summary counts all others")
def step_bounded(context: Any, count: int) -> None:
    lines = _connection_lines(context.lines, "closed")
    assert 0 < len(lines) <= count, len(lines)
    assert {line["reason"] for line in lines} == {"client-end", "idle-timeout"}
    (summary,) = _connection_lines(context.lines, "closed-without-line")
    assert summary["count"] == context.closes - len(lines), summary


@then("the metrics count {count:d} closes")
def step_count(context: Any, count: int) -> None:
    page = generate_latest(context.registry).decode()
    assert sum_metric(page, CLOSED_METRIC, "") == count


@when("a daemon aborts a connection with {count:d} bytes that it has not read")
def step_abort(context: Any, count: int) -> None:
    with captured_log() as context.lines:
        asyncio.run(_abort_with_unread(count))


async def _abort_with_unread(count: int) -> None:
    daemon = create_daemon()
    await daemon.callers.start(LOCALHOST, 0)
    # A blocking socket: its bytes arrive while the daemon's loop does not run.
    with socket.create_connection((LOCALHOST, daemon.callers.port)) as client:
        while not daemon.callers.connections:
            await asyncio.sleep(0)
        client.sendall(bytes(count))
        daemon.callers.abort()
    daemon.close()


@then("its line says that {count:d} bytes were unread")
def step_unread(context: Any, count: int) -> None:
    (line,) = _connection_lines(context.lines, "closed")
    assert (line["reason"], line["unread_bytes"]) == ("aborted", count), line
