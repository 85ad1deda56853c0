"""Steps for the concurrency limit of a simulated weight store; times are in milliseconds."""

from typing import Any

import attrs
from behave import given, then, when

from loomwind.placement.store_concurrency import FinishedLoad, StoreConcurrencyLimit

STEP_MS = 50.0
MS = 1000.0


@attrs.define
class SimulatedLoad:
    """A load that the simulated store serves."""

    began_ms: float
    remaining_ms: float


@given("a weight store that serves {served:d} concurrent loads at full speed, {seconds:d} s each")
def step_store(context: Any, served: int, seconds: int) -> None:
    context.store_concurrency, context.load_ms = served, seconds * MS


@when("a leader runs as many loads as its limit allows on {servers:d} servers, for {seconds:d} s")
def step_run_loads(context: Any, servers: int, seconds: int) -> None:
    limit = StoreConcurrencyLimit()
    loads: list[SimulatedLoad] = []
    context.in_progress, context.finished_count, context.seconds = [], 0, seconds
    for step in range(int(seconds * MS / STEP_MS)):
        now_ms = step * STEP_MS
        while len(loads) < min(limit.limit, servers):
            loads.append(SimulatedLoad(now_ms, context.load_ms))
        limit.observe(len(loads), now_ms)
        speed = min(1.0, context.store_concurrency / len(loads))
        for load in loads:
            load.remaining_ms -= STEP_MS * speed
        for load in [load for load in loads if load.remaining_ms <= 0]:
            loads.remove(load)
            context.finished_count += 1
            done_ms = now_ms + STEP_MS
            limit.record_finished(FinishedLoad(load.began_ms, done_ms, context.load_ms), done_ms)
        context.in_progress.append((now_ms, min(limit.limit, servers)))
    context.servers = servers


@then("it runs {least:d} to {most:d} loads in the last {seconds:d} s")
def step_concurrency(context: Any, least: int, most: int, seconds: int) -> None:
    after_ms = (context.seconds - seconds) * MS
    counts = {count for now_ms, count in context.in_progress if now_ms >= after_ms}
    assert least <= min(counts) and max(counts) <= most, counts


@then("at most one in {part:d} of the possible loads was not done")
def step_done(context: Any, part: int) -> None:
    concurrency = min(context.store_concurrency, context.servers)
    possible = concurrency * context.seconds * MS / context.load_ms
    assert context.finished_count >= possible * (1 - 1 / part), (context.finished_count, possible)


@when("every third load takes twice as long for another reason")
def step_every_third(context: Any) -> None:
    context.limit = StoreConcurrencyLimit()
    for number in range(24):
        began_ms = number * context.load_ms
        factor = 2.0 if number % 3 == 0 else 1.0
        context.limit.observe(context.limit.limit, began_ms)
        done_ms = began_ms + factor * context.load_ms
        context.limit.record_finished(FinishedLoad(began_ms, done_ms, context.load_ms), done_ms)


@then("the limit is {count:d} or more")
def step_limit_at_least(context: Any, count: int) -> None:
    assert context.limit.limit >= count, context.limit.limit
