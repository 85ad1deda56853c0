"""Steps for requests at a daemon that has just started, in virtual time."""

import asyncio
from typing import Any, cast

from behave import given, then

from features.steps.resumption_steps import run
from features.support.fake_store import configuration_document
from loomwind.http.messages import HttpRequest
from loomwind.metrics import Metrics
from loomwind.platform.documents import PlatformDocumentParser
from loomwind.serving.errors import Refused
from loomwind.serving.follower import StoreHealth
from loomwind.serving.handler import RequestHandler
from loomwind.serving.pool import ServerPool
from loomwind.serving.ports import Snapshot, StoredRow
from loomwind.serving.replicated_state import ReplicatedState
from loomwind.serving.views import CallerRequest
from loomwind.settings import BoundSettings


@given("a daemon that has just started, whose configuration arrives after {seconds:f} s")
def step_just_started(context: Any, seconds: float) -> None:
    pool = ServerPool(BoundSettings())
    parser = PlatformDocumentParser()
    state = ReplicatedState(parser, "config", pool, StoreHealth(), Metrics())
    absent = cast(Any, None)
    context.state = state
    context.configured_after_seconds = seconds
    context.handler = RequestHandler(
        "z", pool, absent, absent, Metrics(), state, absent, absent, absent, absent, absent
    )


async def _refusal(context: Any, last_event_id: str | None) -> Refused:
    """Return the refusal of a request that no configuration has a route for."""
    caller = CallerRequest("r", "h", 10.0, last_event_id=last_event_id)
    try:
        await context.handler.route_request(None, HttpRequest("POST", "/"), caller)
    except Refused as refusal:
        return refusal
    raise AssertionError("the request was not refused")


@then("a new stream is refused at once, as no configuration is known")
def step_new_refused(context: Any) -> None:
    async def refuse() -> tuple[int, float]:
        began_at = asyncio.get_running_loop().time()
        refusal = await _refusal(context, None)
        return refusal.status, asyncio.get_running_loop().time() - began_at

    assert run(context, refuse()) == (503, 0.0)


@then("a resumed stream is handled by the configuration")
def step_resumed_handled(context: Any) -> None:
    async def refuse() -> int:
        resuming = asyncio.ensure_future(_refusal(context, "3"))
        await asyncio.sleep(context.configured_after_seconds)
        row = StoredRow("config", 1, configuration_document(1))
        context.state.on_configuration_rows(Snapshot((row,), 1), True)
        return (await resuming).status

    assert run(context, refuse()) == 404
