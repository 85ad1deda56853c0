"""Steps for requests that meet changes of the configuration, the servers and the settings."""

import asyncio
import json
from typing import Any

from attrs import define, field
from behave import then, when
from hypothesis import given as given_examples
from hypothesis import seed, settings
from hypothesis import strategies as st

from features.steps.unanswered_steps import EXAMPLES, EXAMPLES_SEED
from features.support.local_daemon import (
    HOST,
    LOCALHOST,
    apply_configuration,
    captured_log,
    create_daemon,
)
from features.support.raw_client import RawReply, exchange_bytes, parse_replies
from loomwind.http.server import Exchange, HttpServer
from loomwind.serving.daemon import PoolDaemon
from loomwind.serving.ports import Snapshot, StoredRow
from loomwind.settings import BoundSettings, StoreSettings

DEADLINE_MS = 300
MAX_EVENTS = 14
LOST_DECISIONS = {"failed", "unanswered", "cut"}
KINDS = {"look": "idempotent", "book": "non_idempotent", "talk": "streaming"}
SERVICES = {"look": "orders", "book": "orders", "talk": "tutor"}
LIMITS: tuple[dict[str, int], ...] = (
    {},
    {"idle-timeout-ms": 1000},
    {"max-header-bytes": 400},
    {"max-header-bytes": 65536},
)

Event = tuple[str, Any]
EVENTS = st.one_of(
    st.tuples(st.just("ask"), st.sampled_from((*KINDS, "gone"))),
    st.tuples(
        st.just("configure"),
        st.tuples(
            st.sets(st.sampled_from(sorted(KINDS))),
            st.sampled_from(("orders", "tutor", "nobody", "")),
            st.sampled_from(LIMITS),
        ),
    ),
    st.tuples(st.just("list"), st.sampled_from(("ready", "draining", "gone", "again"))),
    st.tuples(st.just("settings"), st.sampled_from((100.0, 3000.0))),
    st.tuples(st.just("pause"), st.sampled_from((0, 1, 3, 10, 30))),
)


async def _serve(exchange: Exchange) -> None:
    """Serve a request in several steps, as a plain or a model server does."""
    request = exchange.request
    assert request is not None
    headers = (("x-request-id", request.header("x-request-id") or ""), ("x-response-stamp", "s"))
    for _ in range(10):
        await asyncio.sleep(0)
    if request.header("x-model") is None:
        await exchange.respond(200, headers, b"served")
        return
    await exchange.start(200, (*headers, ("content-type", "text/event-stream")))
    for number in range(3):
        await exchange.send(f"id: {number}\ndata: x\n\n".encode())
        await asyncio.sleep(0)
    await exchange.finish()


@define
class Race:
    """A daemon, its servers, and the requests that were sent to it."""

    daemon: PoolDaemon
    server: HttpServer
    version: int = 0
    starts: int = 0
    requests: list["asyncio.Task[bytes]"] = field(factory=list)

    async def act(self, event: Event) -> None:
        """Let an event happen."""
        name, value = event
        match name:
            case "ask":
                self.ask(value)
            case "configure":
                self.configure(*value)
            case "list":
                self.list_servers(value)
            case "settings":
                self.change_settings(value)
            case _:
                for _ in range(value):
                    await asyncio.sleep(0)

    def ask(self, route: str) -> None:
        """Send a request."""
        model = "x-model: m1\r\nx-token-usage: 10,3\r\n" if route == "talk" else ""
        lines = f"POST /{route}/item HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: r{self.version}\r\n"
        rest = f"x-deadline-ms: {DEADLINE_MS}\r\nconnection: close\r\ncontent-length: 2\r\n\r\nhi"
        data = (lines + model + rest).encode()
        request = exchange_bytes(self.daemon.callers.port, data)
        self.requests.append(asyncio.ensure_future(request))

    def configure(self, routes: set[str], service: str, limits: dict[str, int]) -> None:
        """Activate a new configuration with these routes.

        :param service: the service of all routes; empty for the one that each has at the start.
        """
        self.version += 1
        document = {
            "version": self.version,
            "routes": [
                {
                    "name": name,
                    "host": HOST,
                    "path-prefix": f"/{name}/",
                    "kind": KINDS[name],
                    "timeout-ms": 2000,
                    "target-latency-ms": 100,
                    "max-attempts": 2,
                    "service": service or SERVICES[name],
                }
                for name in sorted(routes)
            ],
            "services": [],
            "limits": limits,
        }
        apply_configuration(self.daemon, json.dumps(document).encode(), self.version)

    def list_servers(self, state: str) -> None:
        """Change the entries of both servers."""
        self.starts += state == "again"
        version = self.daemon.replicated_state.server_version + 1
        rows = tuple(
            StoredRow(f"i-{service}", version, self._entry(service, state), state == "gone")
            for service in ("orders", "tutor")
        )
        self.daemon.replicated_state.on_server_rows(Snapshot(rows, version), False)

    def _entry(self, service: str, state: str) -> bytes:
        entry = {
            "service": service,
            "address": f"{LOCALHOST}:{self.server.port}",
            "zone": "z",
            "state": "draining" if state == "draining" else "ready",
            "born": 1000 + self.starts,
            "models": [{"name": "m1"}],
        }
        return json.dumps(entry).encode()

    def change_settings(self, lease_ms: float) -> None:
        """Apply other bounds and another address of the store."""
        bounds = BoundSettings(lease_ms=round(lease_ms))
        changed = self.daemon.settings.__class__(
            "daemon-1", store=StoreSettings(f"store:{round(lease_ms)}"), bounds=bounds
        )
        self.daemon.apply_settings(changed, ("bounds", "store"))


async def _run(events: list[Event]) -> list[RawReply]:
    race = Race(create_daemon(), HttpServer(_serve))
    await race.server.start(LOCALHOST, 0)
    await race.daemon.callers.start(LOCALHOST, 0)
    race.configure(set(KINDS), "", {})
    race.list_servers("ready")
    try:
        for event in events:
            await race.act(event)
        received = await asyncio.gather(*race.requests)
    finally:
        race.daemon.close()
        race.server.close()
    return [parse_replies(each, ["POST"])[0] for each in received]


@when("{count:d} series of requests and changes of configuration, servers and settings overlap")
def step_overlap(context: Any, count: int) -> None:
    context.results = []

    @seed(EXAMPLES_SEED)
    @settings(EXAMPLES, max_examples=count)
    @given_examples(st.lists(EVENTS, min_size=4, max_size=MAX_EVENTS))
    def run(events: list[Event]) -> None:
        with captured_log() as lines:
            replies = asyncio.run(_run(events))
        context.results.append((events, replies, lines))

    run()


@when("requests of every kind are sent while nothing changes")
def step_no_change(context: Any) -> None:
    with captured_log() as lines:
        replies = asyncio.run(_run([("ask", name) for name in KINDS]))
    context.results = [([], replies, lines)]


@then("every request got a whole response")
def step_whole(context: Any) -> None:
    assert any(replies for _, replies, _ in context.results)
    for events, replies, lines in context.results:
        assert all(reply.is_complete for reply in replies), (events, replies, lines)


@then("every request got a whole response with status {status:d}")
def step_whole_status(context: Any, status: int) -> None:
    for _, replies, lines in context.results:
        got = [(reply.status, reply.is_complete) for reply in replies]
        assert got == [(status, True)] * len(KINDS), (got, lines)


@then("no line of the log says failed, handler-failed, unanswered or cut")
def step_no_loss(context: Any) -> None:
    for events, _, lines in context.results:
        lost = [
            line
            for line in lines
            if line.get("decision") in LOST_DECISIONS or line.get("state") == "handler-failed"
        ]
        assert not lost, (events, lost)
