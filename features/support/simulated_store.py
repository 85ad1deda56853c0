"""Simulates a weight store whose loads share its capacity, and a leader that always has loads left.

No processes and no clock; times are in milliseconds.
"""

import random
from collections.abc import Callable

import attrs

from loomwind.placement.store_concurrency import FinishedLoad, LoadInProgress, StoreConcurrencyLimit
from loomwind.serving.residency import LearnedConcurrencyLimit

STEP_MS = 50.0
LOAD_MS = 6500.0
SERVICE = "tutor"
# How much later than their end the leader learns of finished loads.
NOTICE_MS = 200.0


@attrs.frozen
class StoreScenario:
    """A weight store and its leader.

    :ivar capacity: the loads that it serves at full speed, as a function of the time.
    :ivar slow_share: the share of loads that take half as long again, at their servers.
    :ivar lost_share: the share of loads whose servers end midway.
    :ivar leader_changes_ms: when another leader takes over.
    :ivar start_limit: the limit that an earlier leader has learned; 0 for none.
    :ivar fixed_shares: whether each load keeps the share of the capacity that it gets at its start.
    """

    capacity: Callable[[float], float]
    slow_share: float = 0.0
    lost_share: float = 0.0
    leader_changes_ms: tuple[float, ...] = ()
    start_limit: int = 0
    fixed_shares: bool = False


@attrs.define
class _Load:
    began_ms: float
    remaining_ms: float
    speed: float
    lost_at_ms: float
    share: float


@attrs.define
class StoreRun:
    """What a run brought.

    :ivar progress: the loads that were carried out, those in progress by their part.
    :ivar possible: the loads that the store could have carried out.
    :ivar limits: the limit at each step.
    :ivar late: finished loads that took more than one and a half times their time.
    """

    progress: float = 0.0
    possible: float = 0.0
    late: int = 0
    limits: list[int] = attrs.field(factory=list)


def run_store(scenario: StoreScenario, seconds: int, seed: int) -> StoreRun:
    """Let a leader load as much as its limit allows."""
    chance, run = random.Random(seed), StoreRun()
    learned = LearnedConcurrencyLimit(SERVICE, scenario.start_limit, False)
    limit = StoreConcurrencyLimit(learned if scenario.start_limit else None)
    loads: list[_Load] = []
    finished: list[tuple[float, FinishedLoad]] = []
    for step in range(int(seconds * 1000 / STEP_MS)):
        now_ms = step * STEP_MS
        if now_ms in scenario.leader_changes_ms:
            limit = StoreConcurrencyLimit(limit.snapshot(SERVICE), now_ms)
        while len(loads) < limit.limit:
            loads.append(_begin(scenario, chance, now_ms, len(loads) + 1))
        limit.observe(len(loads), now_ms)
        capacity = scenario.capacity(now_ms)
        for load in list(loads):
            share = load.share if scenario.fixed_shares else min(1.0, capacity / len(loads))
            progress_ms = STEP_MS * share * load.speed
            load.remaining_ms -= progress_ms
            run.progress += progress_ms / LOAD_MS
            if load.remaining_ms <= 0:
                done_ms = now_ms + STEP_MS
                finished.append(
                    (done_ms + NOTICE_MS, FinishedLoad(load.began_ms, done_ms, LOAD_MS))
                )
                run.late += done_ms - load.began_ms > 1.5 * LOAD_MS
        loads = [load for load in loads if load.remaining_ms > 0 and load.lost_at_ms > now_ms]
        for known_ms, each in list(finished):
            if known_ms <= now_ms:
                finished.remove((known_ms, each))
                limit.record_finished(each, now_ms)
        limit.check_overdue([LoadInProgress(load.began_ms, LOAD_MS) for load in loads], now_ms)
        run.possible += STEP_MS * capacity / LOAD_MS
        run.limits.append(limit.limit)
    return run


def _begin(
    scenario: StoreScenario, chance: random.Random, now_ms: float, in_progress: int
) -> _Load:
    is_slow = chance.random() < scenario.slow_share
    is_lost = chance.random() < scenario.lost_share
    lost_at_ms = now_ms + chance.random() * LOAD_MS if is_lost else float("inf")
    share = min(1.0, scenario.capacity(now_ms) / in_progress)
    return _Load(now_ms, LOAD_MS, 2 / 3 if is_slow else 1.0, lost_at_ms, share)
