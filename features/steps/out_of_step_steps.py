"""Steps for daemons that miss changes of the versions, and for questions between daemons."""

import asyncio
from typing import Any

from behave import given, then, when

from features.steps.resumption_steps import (
    SERVICE,
    Daemon,
    list_servers,
    run,
    run_for,
    server_rows,
)
from loomwind.serving.ports import Snapshot, StoredRow
from loomwind.serving.replicated_state import ReplicatedState
from loomwind.serving.views import CallerRequest


@when("{name:S} is out of step")
def step_out_of_step(context: Any, name: str) -> None:
    context.out_of_step.add(name)


@given("the daemons ask each other")
def step_ask_each_other(context: Any) -> None:
    context.known_peers.update(context.daemons)


@when("{name:S} is in step again")
def step_in_step(context: Any, name: str) -> None:
    context.out_of_step.discard(name)
    run(context, list_servers(context))


@when("{seconds:d} s pass")
def step_pass(context: Any, seconds: int) -> None:
    run(context, asyncio.sleep(seconds))


@when("{name:S} does not answer its peers")
def step_silent(context: Any, name: str) -> None:
    context.silent.add(name)


@when("questions to {name:S} fail unexpectedly")
def step_broken(context: Any, name: str) -> None:
    context.known_peers.add(name)
    context.transport.broken.add(name)


@then("{name:S} continues that stream at {version:w}, when it is in step again after {seconds:f} s")
def step_continues_with_list(context: Any, name: str, version: str, seconds: float) -> None:
    daemon: Daemon = context.daemons[name]

    async def resume() -> bool:
        caller = CallerRequest("r", "h", 10.0, last_event_id="3", origin_id=context.streams[-1])
        assert await daemon.resumption.required_version(caller, SERVICE) == version
        return daemon.state.pool.versions.is_listed(SERVICE, version)

    async def resume_while_out_of_step() -> bool:
        resuming = asyncio.ensure_future(resume())
        await asyncio.sleep(seconds)
        context.out_of_step.discard(name)
        await list_servers(context)
        return await resuming

    assert run(context, resume_while_out_of_step())


@then("{name:S} continues all streams at {version:w}, with one call to its peer")
def step_continues_all(context: Any, name: str, version: str) -> None:
    async def resume_all() -> list[str | None]:
        callers = [
            CallerRequest("r", "h", 10.0, last_event_id="3", origin_id=stream)
            for stream in context.streams
        ]
        find = context.daemons[name].resumption.required_version
        found: list[str | None] = await asyncio.gather(*(find(each, SERVICE) for each in callers))
        return found

    assert set(run(context, resume_all())) == {version}
    assert context.transport.calls == 1, context.transport.calls


@when("{name:S} replicates origins for {seconds:f} s")
def step_replicate(context: Any, name: str, seconds: float) -> None:
    run(context, run_for(context.daemons[name].peer_origins.run(), seconds))


async def _apply_feed(context: Any, names: list[str], version: str, is_removed: bool) -> None:
    """Give a change of the server list to some daemons."""
    rows = server_rows(context.list_version, [version]).rows
    if is_removed:
        rows = tuple(StoredRow(row.key, context.list_version, deleted=True) for row in rows)
    for name in names:
        state = context.daemons[name].state
        state.on_server_rows(Snapshot(rows, context.list_version), is_full=False)
        state.servers_fresh_at = asyncio.get_running_loop().time()


@when("a server of {version:w} joins")
def step_joins(context: Any, version: str) -> None:
    context.list_version += 1
    in_step = [name for name in context.daemons if name not in context.out_of_step]
    run(context, _apply_feed(context, in_step, version, is_removed=False))


@when("the server of {version:w} leaves")
def step_leaves(context: Any, version: str) -> None:
    context.list_version += 1
    in_step = [name for name in context.daemons if name not in context.out_of_step]
    run(context, _apply_feed(context, in_step, version, is_removed=True))


@when("{name:S} learns only that the server of {version:w} has left")
def step_learns_departure(context: Any, name: str, version: str) -> None:
    context.list_version += 1
    run(context, _apply_feed(context, [name], version, is_removed=True))


@when("{name:S} takes the list of {sender:S}")
def step_takes_list(context: Any, name: str, sender: str) -> None:
    async def take() -> None:
        state: ReplicatedState = context.daemons[name].state
        copy = context.daemons[sender].state.directory_changes(state.server_version)
        state.on_directory_copy(copy, sender)
        state.servers_fresh_at = asyncio.get_running_loop().time()

    run(context, take())
