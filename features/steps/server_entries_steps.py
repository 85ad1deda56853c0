"""Steps for server entries as the store or another writer may produce them."""

import asyncio
import time
from typing import Any

import msgspec
from behave import given, then, when

from features.steps.server_list_steps import replicated_state
from loomwind.platform.store import parse_rows
from loomwind.serving.ports import Snapshot, StoredRow
from loomwind.serving.residency import ServerHolding
from loomwind.serving.views import HeldModel, ModelKey

SERVICE = "tutor"


def now() -> float:
    """Return the time of the event loops that the steps run."""
    return time.monotonic()


def read_entry(context: Any, name: str, value: bytes) -> None:
    """Pass an entry to the daemon as a row of the store."""
    context.version = getattr(context, "version", 0) + 1
    row = StoredRow(name, context.version, value)
    asyncio.run(_read(context, Snapshot((row,), context.version)))


async def _read(context: Any, snapshot: Snapshot) -> None:
    context.replicated_state.on_server_rows(snapshot, False)


def entry(started_at_ms: int, model: str, **changes: object) -> bytes:
    """Return a server entry as servers write it."""
    fields = {"service": SERVICE, "address": "a:1", "zone": "z", "state": "ready"}
    models = [{"name": model}]
    return msgspec.json.encode(fields | {"born": started_at_ms, "models": models} | changes)


def usable(context: Any) -> list[Any]:
    """Return the servers that may get requests."""
    found: list[Any] = context.replicated_state.pool.reachable_candidates(SERVICE, None, now())
    return found


@given("a daemon that knows {name:w}, started at {started_at:d} ms, with {model}")
def step_known_server(context: Any, name: str, started_at: int, model: str) -> None:
    context.replicated_state = replicated_state()
    read_entry(context, name, entry(started_at, model))


@given("the leader has announced that {name:w} holds {first:w} and {second:w}")
def step_announced(context: Any, name: str, first: str, second: str) -> None:
    held = (HeldModel(first), HeldModel(second))
    instance = usable(context)[0].instance
    context.replicated_state.pool.residency.update(ServerHolding(instance, 4, held), now())


@when("{name:w} is listed as started at {started_at:d} ms, with {model}")
def step_listed(context: Any, name: str, started_at: int, model: str) -> None:
    read_entry(context, name, entry(started_at, model))


@when("{name:w} is listed as draining for {left:d} ms more")
def step_draining(context: Any, name: str, left: int) -> None:
    read_entry(context, name, entry(1000, "m1", state="draining", **{"remaining-ms": left}))


@when("another server answers at the address of {name:w}")
def step_replaced(context: Any, name: str) -> None:
    context.replicated_state.pool.directory.record_replaced(usable(context)[0])


@when("{name:w} is listed as {text}")
def step_listed_as(context: Any, name: str, text: str) -> None:
    raw = text.encode().decode("unicode_escape").encode("latin-1")
    read_entry(context, name, b"" if text == "nothing" else raw)


@then("{name:w} is listed once")
def step_once(context: Any, name: str) -> None:
    assert [found.name for found in usable(context)] == [name]


@then("{name:w} can run {model:w} but neither {first:w} nor {second:w}")
def step_can_run(context: Any, name: str, model: str, first: str, second: str) -> None:
    pool = context.replicated_state.pool
    assert [e.name for e in pool.reachable_candidates(SERVICE, ModelKey(model), now())] == [name]
    assert not pool.reachable_candidates(SERVICE, ModelKey(first), now())
    assert not pool.reachable_candidates(SERVICE, ModelKey(second), now())


@then("only {name:w} is usable")
def step_only(context: Any, name: str) -> None:
    assert [found.name for found in usable(context)] == [name]


@then("no server is usable")
def step_none(context: Any) -> None:
    assert usable(context) == []


@when("the store lists {first:w} with a valid value and {second:w} with invalid base64")
def step_base64(context: Any, first: str, second: str) -> None:
    rows = [{"key": first, "ver": 1, "value": "e30="}, {"key": second, "ver": 2, "value": "e30=="}]
    context.rows = parse_rows(msgspec.json.encode({"ver": 2, "rows": rows}))


@then("the rows are {first:w} with its entry and {second:w} with an empty value")
def step_rows(context: Any, first: str, second: str) -> None:
    found = [(row.key, row.value) for row in context.rows]
    assert found == [(first, b"{}"), (second, b"")], found
