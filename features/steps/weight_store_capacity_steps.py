"""Steps for what a leader learns of a simulated weight store; times are in milliseconds."""

import math
from typing import Any

from attrs import evolve
from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import strategies as st

from features.support.properties import examples
from features.support.simulated_store import (
    LOAD_MS,
    SERVICE,
    STEP_MS,
    StoreRun,
    StoreScenario,
    run_store,
)
from loomwind.placement.store_capacity import LoadTimeline
from loomwind.placement.store_concurrency import FinishedLoad, LoadInProgress, StoreConcurrencyLimit
from loomwind.serving.residency import LearnedConcurrencyLimit

SEED = 1
SPAN_MS = 1000.0
CHANGES = st.lists(st.integers(1, 20), min_size=1, max_size=30)


@given("a weight store that serves {capacity:d} loads")
def step_constant(context: Any, capacity: int) -> None:
    context.store_scenario = StoreScenario(lambda now_ms: float(capacity))


@given("a weight store that serves {capacity:d} loads, {later:d} after {seconds:d} s")
def step_changing(context: Any, capacity: int, later: int, seconds: int) -> None:
    context.store_scenario = StoreScenario(
        lambda now_ms: float(capacity if now_ms < 1000 * seconds else later)
    )


@given("a weight store that serves {capacity:d} loads, of which {share:f} are {fate:w}")
def step_faulty(context: Any, capacity: int, share: float, fate: str) -> None:
    step_constant(context, capacity)
    shares = {"slow": "slow_share", "lost": "lost_share"}
    context.store_scenario = evolve(context.store_scenario, **{shares[fate]: share})


@given("a weight store that serves {capacity:d} loads, with a new leader each {seconds:d} s")
def step_leaders(context: Any, capacity: int, seconds: int) -> None:
    step_constant(context, capacity)
    changes = tuple(1000.0 * seconds * number for number in range(1, 7))
    context.store_scenario = evolve(context.store_scenario, leader_changes_ms=changes)


@given("a weight store that serves {capacity:d} loads, each with a fixed share")
def step_fixed_shares(context: Any, capacity: int) -> None:
    step_constant(context, capacity)
    context.store_scenario = evolve(context.store_scenario, fixed_shares=True)


@given("a leader with a limit of {limit:d} that has begun {count:d} loads")
def step_few_loads(context: Any, limit: int, count: int) -> None:
    context.store_limit = StoreConcurrencyLimit(LearnedConcurrencyLimit(SERVICE, limit, False))
    context.store_limit.observe(count, 0.0)


@when("{more:d} more loads begin {later:f} s later, and the first {count:d} end at full speed")
def step_more_loads(context: Any, more: int, later: float, count: int) -> None:
    context.store_limit.observe(count + more, 1000 * later)
    for _ in range(count):
        context.store_limit.record_finished(FinishedLoad(0.0, LOAD_MS, LOAD_MS), LOAD_MS)


@given(
    "a leader that takes over a limit of {limit:d} at {start:f} s, "
    "and knows {few:d} load then and {count:d} from {later:f} s on"
)
def step_takes_over(
    context: Any, limit: int, start: float, few: int, count: int, later: float
) -> None:
    learned = LearnedConcurrencyLimit(SERVICE, limit, True)
    context.store_limit = StoreConcurrencyLimit(learned, 1000 * start)
    context.store_limit.observe(few, 1000 * start)
    context.store_limit.observe(count, 1000 * later)


@when("the {count:d} loads, which began at {began:f} s, are overdue until {until:f} s")
def step_overdue(context: Any, count: int, began: float, until: float) -> None:
    loads = [LoadInProgress(1000 * began, LOAD_MS)] * count
    context.store_limit.check_overdue(loads, 1000 * until)


@then("the limit is still {limit:d}")
def step_limit(context: Any, limit: int) -> None:
    assert context.store_limit.limit == limit, context.store_limit.limit


@given("an earlier leader has learned a limit of {limit:d}")
def step_learned(context: Any, limit: int) -> None:
    context.store_scenario = evolve(context.store_scenario, start_limit=limit)


@when("a leader runs as many loads as its limit allows for {seconds:d} s")
def step_run(context: Any, seconds: int) -> None:
    context.store_run = run_store(context.store_scenario, seconds, SEED)


@then("the store has done at least {share:f} of what it could")
def step_done(context: Any, share: float) -> None:
    run: StoreRun = context.store_run
    assert run.progress >= share * run.possible, (run.progress / run.possible, run.limits[::120])


@then("the limit has never been below {least:d}")
def step_never_below(context: Any, least: int) -> None:
    assert min(context.store_run.limits) >= least, context.store_run.limits[::120]


@then("it has been at most {most:d} in the last {seconds:d} s")
def step_at_most(context: Any, most: int, seconds: int) -> None:
    last = context.store_run.limits[-int(1000 * seconds / STEP_MS) :]
    assert max(last) <= most, context.store_run.limits[::120]


@given("any course of the number of loads in progress, in {count:d} runs")
def step_courses(context: Any, count: int) -> None:
    context.wrong, context.too_low, context.below = [], [], []

    @examples(count)
    @hypothesis_given(CHANGES, st.integers(1, 12))
    def run(counts: list[int], capacity: int) -> None:
        timeline = LoadTimeline()
        for i, in_progress in enumerate(counts):
            timeline.record(in_progress, i * SPAN_MS)
        end_ms = len(counts) * SPAN_MS
        progress_ms = sum(SPAN_MS * min(1.0, capacity / n) for n in counts)
        measured = timeline.shared_capacity(0.0, end_ms, progress_ms)
        if max(counts) > capacity and not math.isclose(measured, capacity, rel_tol=0.05):
            context.wrong.append((counts, capacity, measured))
        if timeline.capacity(0.0, end_ms, 1.1 * progress_ms) < capacity:
            context.too_low.append((counts, capacity))
        fixed_progress_ms = end_ms * min(1.0, capacity / counts[0])
        for expected_ms in (progress_ms, fixed_progress_ms):
            if timeline.capacity(0.0, end_ms, expected_ms) < min(capacity, max(counts)) - 0.05:
                context.below.append((counts, capacity, expected_ms))

    run()


@then("each load that was slowed down measures the capacity within 0.05")
def step_measures(context: Any) -> None:
    assert not context.wrong, context.wrong[0]


@then("a load in progress gives an upper bound")
def step_upper_bound(context: Any) -> None:
    assert not context.too_low, context.too_low[0]


@then("no load measures less, also where each keeps the share that it gets at its start")
def step_not_below(context: Any) -> None:
    assert not context.below, context.below[0]
