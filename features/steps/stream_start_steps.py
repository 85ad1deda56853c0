"""Steps for what a replacement has to bring until a request moves to it. No processes."""

import asyncio
from typing import Any, cast

from attrs import define, field
from behave import then, when

from features.steps.attempt_steps import ENTRY, ROUTE, AttemptHandler, StreamingForwarder
from features.support.virtual_time import run_in_virtual_time
from loomwind.http.errors import BodyTruncated
from loomwind.http.messages import HttpRequest
from loomwind.serving.errors import SendFailed
from loomwind.serving.forwarder import OutgoingRequest
from loomwind.serving.handler import RequestHandler
from loomwind.serving.server_attempt import ServerAttempt
from loomwind.serving.views import CallerRequest

EVENT = b"id: 2\ndata: two\n\n"
HALF = len(EVENT) // 2
PART_SECONDS = 0.1
LONG_SECONDS = 5.0
# The parts of a body: an empty one ends it, None breaks it off; after the last one, nothing comes.
BODIES: dict[str, list[bytes | None]] = {
    "brings an event": [EVENT],
    "brings an event in two parts": [EVENT[:HALF], EVENT[HALF:]],
    "breaks": [None],
    "breaks in an event": [EVENT[:HALF], None],
    "brings part of an event, and nothing": [EVENT[:HALF]],
    "ends": [b""],
}


@define
class ScriptedConnection:
    """A connection that brings the parts of a body one after the other, and then nothing."""

    parts: list[bytes | None]
    is_closed: bool = False

    async def read_body(self) -> bytes:
        """Return the next part."""
        if not self.parts:
            await asyncio.Event().wait()
        await asyncio.sleep(PART_SECONDS)
        part = self.parts.pop(0)
        if part is None:
            raise BodyTruncated("cut")
        return part

    def close(self) -> None:
        """Close it."""
        self.is_closed = True


@define
class ScriptedForwarder(StreamingForwarder):
    """Begins a stream on a scripted connection."""

    connection: Any = field(kw_only=True)

    async def connect_anew(self, entry: object) -> Any:
        """Return the connection."""
        return self.connection


@when("a replacement's stream {brings} after its head")
def step_replacement(context: Any, brings: str) -> None:
    connection = ScriptedConnection(list(BODIES[brings]))
    context.state = run_in_virtual_time(_state(connection))


async def _state(connection: ScriptedConnection) -> str:
    handler = AttemptHandler(ScriptedForwarder(connection=connection))
    caller = CallerRequest("id-1", "h", 10.0)
    outgoing = OutgoingRequest(HttpRequest("POST", "/", (), b""), caller, ROUTE, 10.0)
    attempt = ServerAttempt(cast(RequestHandler, handler), outgoing, ENTRY, 1, True)
    attempt.begin()
    await attempt.connect()
    answering = attempt.send("1")
    await asyncio.wait({answering}, timeout=LONG_SECONDS)
    if not answering.done():
        attempt.abandon()
        return "not begun"
    try:
        stream = answering.result().stream
    except SendFailed:
        return "failed, and its connection is closed" if connection.is_closed else "failed"
    assert stream is not None
    data = await stream.read_body()
    return {EVENT: "begun, and the whole event is read", b"": "begun, and no event is read"}[data]


@then("the replacement counts as {state}")
def step_state(context: Any, state: str) -> None:
    assert context.state == state, context.state
