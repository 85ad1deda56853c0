"""Steps for following the configuration while versions change fast, in virtual time."""

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


class VersionTimes:
    """Records when versions of a row were written and when a follower received them."""

    def __init__(self) -> None:
        self.written_at: dict[int, float] = {}
        self.received_at: dict[int, float] = {}

    def on_rows(self, snapshot: Snapshot, is_full: bool) -> None:
        """Record the time at which a version was received."""
        for row in snapshot.rows:
            if row.key == KEY:
                self.received_at[row.version] = asyncio.get_running_loop().time()

    def max_delay_seconds(self) -> float:
        """Return the longest time from the write of a version until it or a later one arrived."""
        return max(
            min(
                (at for seen, at in self.received_at.items() if seen >= version),
                default=float("inf"),
            )
            - written_at
            for version, written_at in self.written_at.items()
        )


@given("a daemon that must apply a configuration within {bound:f} s")
def step_bound(context: Any, bound: float) -> None:
    context.bounds = BoundSettings(apply_ms=bound * 1000)
    context.bound_seconds = bound


@when("a version is written every {interval:f} s for {duration:d} s")
def step_write_versions(context: Any, interval: float, duration: int) -> None:
    run_in_virtual_time(_write_versions(context, interval, duration))


async def _write_versions(context: Any, interval: float, duration: int) -> None:
    store, context.version_times = FakeStore(0), VersionTimes()
    context.daemon_store = DaemonStoreClient(store, "d0")
    follower = TableFollower(
        cast(Store, context.daemon_store),
        "op",
        StoreHealth(),
        context.version_times.on_rows,
        lambda: mirror_poll_interval_seconds(context.bounds),
    )
    task = asyncio.ensure_future(follower.run())
    await asyncio.sleep(QUIET_SECONDS)
    for _ in range(round(duration / interval)):
        store.put(KEY, b"a configuration")
        context.version_times.written_at[store.version] = asyncio.get_running_loop().time()
        await asyncio.sleep(interval)
    await asyncio.sleep(QUIET_SECONDS)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


@then("it has called the store at most {limit:d} times")
def step_few_calls(context: Any, limit: int) -> None:
    assert context.daemon_store.calls <= limit, context.daemon_store.calls


@then("each version, or a later one, was applied within the bound")
def step_in_force(context: Any) -> None:
    max_delay = context.version_times.max_delay_seconds()
    assert max_delay <= context.bound_seconds, max_delay
