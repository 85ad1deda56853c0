"""Steps about requests that come while their daemon is being stopped.

Real connections; the daemon and its server run in the loop of the scenario.
"""

import asyncio
import json
from collections.abc import Coroutine
from typing import Any, cast

from attrs import define, field
from behave import given, then, when

from features.support.local_daemon import (
    HOST,
    LOCALHOST,
    SERVICE,
    apply_configuration,
    apply_server,
    configuration,
    create_daemon,
    request_handler,
)
from features.support.raw_client import RawReply, exchange_bytes, parse_replies
from loomwind.http.messages import HttpRequest
from loomwind.http.server import Exchange, HttpServer
from loomwind.serving.daemon import PoolDaemon
from loomwind.serving.planned_stop import PlannedStop, ServedRequest
from loomwind.serving.relay_protocol import OUTCOME_HEADER, RelayMetadata, RelayOutcome
from loomwind.serving.relay_service import RelayService
from loomwind.serving.views import CallerRequest, RequestKind, RouteRule

# Ends a hopeless wait.
TIMEOUT_SECONDS = 20.0
ROUTE_METHODS = {"book": "POST", "look": "GET"}
DRAFT = "draft"
MODEL = "m1"
ENGINE = {
    "slots": 8,
    "weights-mb": 100.0,
    "adapter-slots": 2,
    "loads-per-s": 4.0,
    "models": [{"name": MODEL, "weights-mb": 10.0, "load-time-s": 0.3}],
}


@define
class StopSite:
    """A daemon, the server behind it, and what callers got.

    :ivar may_answer: the server answers while it is set.
    :ivar requests: what the server has received.
    :ivar left_seconds: the time that the daemon had left when it was told to stop.
    """

    runner: asyncio.Runner
    daemon: PoolDaemon
    server: HttpServer
    may_answer: asyncio.Event
    arrived: asyncio.Event
    requests: list[HttpRequest] = field(factory=list)
    replies: list[RawReply] = field(factory=list)
    stopping: asyncio.Task[None] | None = None

    def run(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the loop of the scenario."""
        self.runner.run(asyncio.wait_for(work, TIMEOUT_SECONDS))

    async def serve(self, exchange: Exchange) -> None:
        """Answer a request at the server, once that is allowed."""
        assert exchange.request is not None
        self.requests.append(exchange.request)
        self.arrived.set()
        await self.may_answer.wait()
        request_id = exchange.request.header("x-request-id") or ""
        headers = (("x-response-stamp", "1"), ("x-request-id", request_id))
        await exchange.respond(200, headers, b"done")

    def stop_daemon(self) -> None:
        """Tell the daemon to stop."""
        self.stopping = asyncio.get_running_loop().create_task(self.daemon.stop())

    async def close(self) -> None:
        """End the daemon and the server."""
        if self.stopping is not None:
            self.stopping.cancel()
        self.daemon.close()
        self.server.close()

    async def exchange(self, data: bytes, routes: list[str]) -> None:
        """Send bytes on one connection, and keep the replies to requests on these routes."""
        received = await exchange_bytes(self.daemon.callers.port, data)
        methods = [ROUTE_METHODS.get(route, "POST") for route in routes]
        self.replies += parse_replies(received, methods)


def site(context: Any) -> StopSite:
    """Return the site of the scenario."""
    return cast(StopSite, context.stop_site)


@given("a daemon whose server answers when told to")
def step_site(context: Any) -> None:
    _set_up(context, configuration(1, {route: SERVICE for route in ROUTE_METHODS}))


@given("a daemon whose server holds no model")
def step_model_site(context: Any) -> None:
    document = json.loads(configuration(1, {DRAFT: SERVICE}))
    document["routes"][0]["kind"] = "streaming"
    document["services"] = [{"name": SERVICE, "engine": ENGINE}]
    _set_up(context, json.dumps(document).encode())


def _set_up(context: Any, document: bytes) -> None:
    runner = asyncio.Runner()
    context.add_cleanup(runner.close)
    context.stop_site = runner.run(_start(runner, document))
    context.add_cleanup(lambda: runner.run(site(context).close()))


async def _start(runner: asyncio.Runner, document: bytes) -> StopSite:
    async def serve(exchange: Exchange) -> None:
        await stop_site.serve(exchange)

    server = HttpServer(serve)
    stop_site = StopSite(runner, create_daemon(), server, asyncio.Event(), asyncio.Event())
    await server.start(LOCALHOST, 0)
    await stop_site.daemon.callers.start(LOCALHOST, 0)
    apply_configuration(stop_site.daemon, document)
    apply_server(stop_site.daemon, server.port)
    return stop_site


def _request(route: str, number: int, *headers: str) -> bytes:
    method = ROUTE_METHODS.get(route, "POST")
    lines = [f"{method} /{route}/x HTTP/1.1", f"host: {HOST}", f"x-request-id: r{number}"]
    return "\r\n".join([*lines, *headers, "", ""]).encode()


@given("the server answers")
@when("the server answers")
def step_answer(context: Any) -> None:
    site(context).may_answer.set()


@when("a request on {route:w} is at the server, and the daemon is told to stop")
def step_request_and_stop(context: Any, route: str) -> None:
    async def run() -> None:
        stop_site = site(context)
        reader, writer = await asyncio.open_connection(LOCALHOST, stop_site.daemon.callers.port)
        writer.write(_request(route, 1))
        await stop_site.arrived.wait()
        stop_site.stop_daemon()
        context.caller_connection = reader, writer
        context.caller_routes = [route]

    site(context).run(run())


@when(
    "a request on {route:w}, which may take longer than the daemon lives, follows on the same "
    "connection"
)
def step_second_request(context: Any, route: str) -> None:
    context.caller_routes.append(route)
    context.caller_connection[1].write(_request(route, 2, "connection: close"))


def _read_replies(context: Any) -> None:
    async def run() -> None:
        reader, writer = context.caller_connection
        received = await reader.read()
        writer.close()
        methods = [ROUTE_METHODS[route] for route in context.caller_routes]
        site(context).replies += parse_replies(received, methods)

    if not site(context).replies:
        site(context).run(run())


@then("the first request is answered by the server")
def step_first_answered(context: Any) -> None:
    _read_replies(context)
    assert site(context).replies[0].status == 200, site(context).replies


@then("the last one is refused at once with 503 and a time to come back")
def step_last_refused(context: Any) -> None:
    reply = site(context).replies[-1]
    assert reply.status == 503 and "retry-after" in reply.headers, reply
    stopping = site(context).stopping
    assert stopping is not None and not stopping.done()


@then("the server has received one request")
def step_one_request(context: Any) -> None:
    assert len(site(context).requests) == 1, site(context).requests


@when("a request on look was served, the daemon is told to stop, and another one comes")
def step_served_then_stop(context: Any) -> None:
    async def run() -> None:
        stop_site = site(context)
        await stop_site.exchange(_request("look", 1, "connection: close"), ["look"])
        stop_site.stop_daemon()
        await asyncio.sleep(0)
        context.left_seconds = stop_site.daemon.settings.bounds.grace_seconds
        await stop_site.exchange(_request("look", 2, "connection: close"), ["look"])

    site(context).run(run())


@then("both requests are answered by the server")
def step_both_answered(context: Any) -> None:
    assert [reply.status for reply in site(context).replies] == [200, 200], site(context).replies


@then("the server was given no more time for the last one than the daemon has left")
def step_limited_time(context: Any) -> None:
    limit_ms = int(site(context).requests[-1].header("x-deadline-ms") or "0")
    assert 0 < limit_ms <= 1000 * context.left_seconds - 600, limit_ms


@when("a request waits for its model, and the daemon is told to stop")
def step_model_wait(context: Any) -> None:
    async def run() -> None:
        stop_site = site(context)
        fields = f"x-model: {MODEL}", "x-token-usage: 10,3", "connection: close"
        request = _request(DRAFT, 1, *fields)
        exchange = asyncio.create_task(stop_site.exchange(request, [DRAFT]))
        while not request_handler(stop_site.daemon).pool.demand.has_waiting_requests:
            await asyncio.sleep(0)
        stop_site.stop_daemon()
        await exchange

    site(context).run(run())


# A peer's request.


@when("the daemon is told to stop, and a peer relays a request on look")
def step_relay(context: Any) -> None:
    async def run() -> None:
        stop_site = site(context)
        relay = HttpServer(RelayService(request_handler(stop_site.daemon)).handle)
        await relay.start(LOCALHOST, 0)
        stop_site.stop_daemon()
        await asyncio.sleep(0)
        terms = [f"{name}: {value}" for name, value in RelayMetadata(0, 1).headers]
        request = _request("look", 1, *terms, "connection: close")
        received = await exchange_bytes(relay.port, request)
        stop_site.replies += parse_replies(received, ["GET"])
        relay.close()

    site(context).run(run())


@then("the peer's request is declined")
def step_declined(context: Any) -> None:
    (reply,) = site(context).replies
    assert reply.headers.get(OUTCOME_HEADER) == RelayOutcome.DECLINED.value, reply
    assert not site(context).requests


# What is expected of a request.


@given("requests on look that took {served} s with {tokens:d} tokens")
def step_served(context: Any, served: str, tokens: int) -> None:
    context.planned_stop = PlannedStop()
    for seconds in served.split(","):
        if seconds != "none":
            request = ServedRequest(float(seconds), tokens)
            context.planned_stop.durations.record("look", request)


@when("the daemon ends in {left:g} s and a request for {new:d} tokens has {time:g} s")
def step_decide(context: Any, left: float, new: int, time: float) -> None:
    stop: PlannedStop = context.planned_stop
    stop.begin(100.0 + left)
    route = RouteRule("look", HOST, "/look/", RequestKind.IDEMPOTENT, (), time, 1.0)
    caller = CallerRequest("r1", HOST, None, max_new_tokens=new)
    context.is_taken = stop.has_time_for(route, caller, 100.0, 100.0 + time)


@then("the request is taken")
def step_taken(context: Any) -> None:
    assert context.is_taken


@then("the request is refused")
def step_refused(context: Any) -> None:
    assert not context.is_taken
