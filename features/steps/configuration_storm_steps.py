"""Steps about a follower of the configuration while versions come fast, in virtual time."""

import asyncio
from typing import Any, cast

from behave import given, then, when

from features.support.fake_store import DaemonStoreClient, FakeStore
from features.support.virtual_time import run_in_virtual_time
from loomwind.serving.configuration_polling import mirror_poll_interval_seconds
from loomwind.serving.follower import StoreHealth, TableFollower
from loomwind.serving.ports import Snapshot, Store
from loomwind.settings import BoundSettings

KEY = "config"
QUIET_SECONDS = 5.0


class Watched:
    """When versions of a row were written, and when a follower had them."""

    def __init__(self) -> None:
        self.written_at: dict[int, float] = {}
        self.seen_at: dict[int, float] = {}

    def on_rows(self, snapshot: Snapshot, whole: bool) -> None:
        """Note the version that is in force from now on."""
        for row in snapshot.rows:
            if row.key == KEY:
                self.seen_at[row.version] = asyncio.get_running_loop().time()

    def longest_seconds(self) -> float:
        """Return the longest time from a version's writing until it or a later one was seen."""
        return max(
            min((at for seen, at in self.seen_at.items() if seen >= version), default=float("inf"))
            - written_at
            for version, written_at in self.written_at.items()
        )


@given("a daemon that must have a configuration in force within {bound:f} s")
def step_bound(context: Any, bound: float) -> None:
    context.bounds = BoundSettings(apply_ms=bound * 1000)
    context.bound_seconds = bound


@when("a version is written each {gap:f} s for {length:d} s")
def step_storm(context: Any, gap: float, length: int) -> None:
    run_in_virtual_time(_storm(context, gap, length))


async def _storm(context: Any, gap: float, length: int) -> None:
    store, context.watched = FakeStore(0), Watched()
    context.daemon_store = DaemonStoreClient(store, "d0")
    follower = TableFollower(
        cast(Store, context.daemon_store),
        "op",
        StoreHealth(),
        context.watched.on_rows,
        lambda: mirror_poll_interval_seconds(context.bounds),
    )
    task = asyncio.ensure_future(follower.run())
    await asyncio.sleep(QUIET_SECONDS)
    for _ in range(round(length / gap)):
        store.put(KEY, b"a configuration")
        context.watched.written_at[store.version] = asyncio.get_running_loop().time()
        await asyncio.sleep(gap)
    await asyncio.sleep(QUIET_SECONDS)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


@then("it has called the store at most {most:d} times")
def step_few_calls(context: Any, most: int) -> None:
    assert context.daemon_store.calls <= most, context.daemon_store.calls


@then("each version, or a later one, was in force within the bound")
def step_in_force(context: Any) -> None:
    longest = context.watched.longest_seconds()
    assert longest <= context.bound_seconds, longest
