"""Steps about loads that callers were promised; no processes, times are in seconds."""

import math
from collections.abc import Sequence
from typing import Any

from attrs import define, evolve, field
from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import strategies as st

from features.support.properties import examples
from loomwind.placement import load_schedule
from loomwind.placement.load_promises import LoadPromises
from loomwind.placement.load_schedule import RequestedLoad, insert_by_weight, schedule_loads

STEP_SECONDS = 0.5
# Rounding of sums of times.
TOLERANCE_SECONDS = 1e-6


@define
class CallerGroup:
    """Callers that wait for a model.

    :ivar leaves_at: when the first and when the last of them leaves.
    """

    count: int
    leaves_at: tuple[float, float]


@define
class PromisingLeader:
    """Schedules loads on places that are each free at a time, and starts them in that order.

    :ivar started_at: when the load of each model started.
    :ivar promised: the first start that was promised for each model.
    """

    free_at: list[float]
    load_seconds: dict[str, float]
    now: float = 0.0
    callers: dict[str, list[CallerGroup]] = field(factory=dict)
    promises: LoadPromises = field(factory=LoadPromises)
    started_at: dict[str, float] = field(factory=dict)
    promised: dict[str, float] = field(factory=dict)
    scheduled: Sequence[RequestedLoad] = ()

    def add_callers(self, name: str, count: int, first_stays: float, last_stays: float) -> None:
        """Let callers wait for a model."""
        leaves_at = (self.now + first_stays, self.now + last_stays)
        self.callers.setdefault(name, []).append(CallerGroup(count, leaves_at))

    def step(self) -> None:
        """Schedule the loads, and promise those that start in time."""
        promised = self.promises.start_in(self.now)
        free_in = [max(0.0, at - self.now) for at in self.free_at]
        loads = [load for name in sorted(self.callers) if (load := self._load(name, promised))]
        self.scheduled = schedule_loads(loads, free_in)
        self.promises.update(self.scheduled, self.now)
        for name, start_in in self.promises.start_in(self.now).items():
            self.promised.setdefault(name, self.now + start_in)

    def _load(self, name: str, promised: Any) -> RequestedLoad | None:
        groups = [g for g in self.callers[name] if g.leaves_at[1] > self.now]
        seconds = self.load_seconds[name]
        if name in self.started_at or not groups:
            return None
        first = min(g.leaves_at[0] for g in groups) - self.now - seconds
        last = max(g.leaves_at[1] for g in groups) - self.now - seconds
        return RequestedLoad(
            name,
            last if last < 0 else max(0.0, first),
            seconds,
            float(sum(g.count for g in groups)),
            1.0,
            0.0,
            last_start_in=last,
            has_callers=True,
            promised_start_in=promised.get(name),
        )

    def start_loads(self) -> None:
        """Start loads on the places that are free now."""
        for load in self.scheduled:
            place = min(range(len(self.free_at)), key=self.free_at.__getitem__, default=None)
            if place is None or self.free_at[place] > self.now + TOLERANCE_SECONDS:
                return
            self.started_at[load.name] = self.now
            self.free_at[place] = self.now + load.load_seconds

    def run(self, until: float) -> None:
        """Schedule and start loads in steps."""
        while self.now < until:
            self.step()
            self.start_loads()
            next_free = min((at for at in self.free_at if at > self.now), default=math.inf)
            self.now = min(until, self.now + STEP_SECONDS, next_free)


@given("a weight store with a place that is free in {free:d} s, and loads of {load:d} s")
def step_place(context: Any, free: int, load: int) -> None:
    context.leader = PromisingLeader([float(free)], dict.fromkeys("abcd", float(load)))


@given("a weight store without a place")
def step_no_place(context: Any) -> None:
    context.leader = PromisingLeader([], {"a": 6.0})


@when("{count:d} callers of {name:w} come and stay for {stays:d} s")
def step_waits(context: Any, count: int, name: str, stays: int) -> None:
    context.leader.add_callers(name, count, stays, stays)
    context.leader.step()


@when("{later:d} s later {count:d} callers of {name:w} come and stay for {stays:d} s")
def step_come_later(context: Any, later: int, count: int, name: str, stays: int) -> None:
    leader: PromisingLeader = context.leader
    leader.now += later
    step_waits(context, count, name, stays)


@when("callers of {name:w} stay for {first:d} to {last:d} s")
def step_group(context: Any, name: str, first: int, last: int) -> None:
    context.leader.add_callers(name, 2, first, last)
    context.leader.step()


@when("the place is said to be free in {free:g} s")
def step_free_later(context: Any, free: float) -> None:
    leader: PromisingLeader = context.leader
    leader.free_at = [leader.now + free]
    leader.step()


@when(
    "the place is said to be free in {free:d} s, "
    "and {count:d} callers of {name:w} come and stay for {stays:d} s"
)
def step_free_and_wait(context: Any, free: int, count: int, name: str, stays: int) -> None:
    leader: PromisingLeader = context.leader
    leader.free_at = [leader.now + free]
    step_waits(context, count, name, stays)


@when("the servers of {name:w} have {count:d} requests too many")
def step_overloaded(context: Any, name: str, count: int) -> None:
    leader: PromisingLeader = context.leader
    leader.step()
    copy = RequestedLoad(name, math.inf, leader.load_seconds[name], float(count), 0.0, 0.0)
    free_in = [max(0.0, at - leader.now) for at in leader.free_at]
    leader.scheduled = list(leader.scheduled)
    insert_by_weight(leader.scheduled, copy, free_in)


@then("{name:w} is promised")
def step_promised(context: Any, name: str) -> None:
    assert name in context.leader.promised, context.leader.scheduled


@then("{name:w} is not promised")
def step_not_promised(context: Any, name: str) -> None:
    assert name not in context.leader.promised, context.leader.scheduled


def _started_in_time(leader: PromisingLeader, name: str) -> bool:
    leaves_at = leader.callers[name][0].leaves_at[0]
    started_at = leader.started_at.get(name, math.inf)
    return started_at + leader.load_seconds[name] <= leaves_at + TOLERANCE_SECONDS


@then("the load of {name:w} starts before its caller leaves")
def step_starts(context: Any, name: str) -> None:
    leader: PromisingLeader = context.leader
    leader.run(leader.now + 30)
    assert _started_in_time(leader, name), leader.started_at


@then("callers of {one:w} or {other:w} hear at once that their load comes too late")
def step_hear(context: Any, one: str, other: str) -> None:
    assert not {one, other} <= set(context.leader.promised), context.leader.promised


@then("the loads of {one:w} and {other:w} start before their callers leave, {first:w} first")
def step_both_start(context: Any, one: str, other: str, first: str) -> None:
    leader: PromisingLeader = context.leader
    leader.run(leader.now + 30)
    assert _started_in_time(leader, one) and _started_in_time(leader, other), leader.started_at
    assert min(leader.started_at, key=leader.started_at.__getitem__) == first


@then("the schedule is {names}")
def step_order(context: Any, names: str) -> None:
    assert [load.name for load in context.leader.scheduled] == names.split(", ")


@given("a weight store with 1 to 4 places, and loads of 4 to 7 s")
def step_any_places(context: Any) -> None:
    context.broken = []


EVENTS = st.lists(
    st.tuples(
        st.integers(0, 29),
        st.integers(1, 5),
        st.integers(0, 60).map(lambda halves: halves / 2),
        st.integers(8, 60).map(lambda halves: halves / 2),
        st.integers(0, 30).map(lambda halves: halves / 2),
    ),
    max_size=60,
)


@when(
    "callers of up to {models:d} models come at any time and stay for any time, in {count:d} runs"
)
def step_any_callers(context: Any, models: int, count: int) -> None:
    @examples(count)
    @hypothesis_given(EVENTS, st.integers(1, 4), st.integers(0, 3))
    def run(events: list[tuple[int, int, float, float, float]], places: int, spread: int) -> None:
        seconds = {f"m{number}": 4.0 + number % (1 + spread) for number in range(models)}
        leader = PromisingLeader([0.0] * places, seconds)
        for number, callers, at, stays, longer in sorted(events, key=lambda event: event[2]):
            leader.run(at)
            leader.add_callers(f"m{number}", callers, stays, stays + longer)
        leader.run(leader.now + 60)
        for name, start_by in leader.promised.items():
            started_at = leader.started_at.get(name, math.inf)
            if started_at > start_by + TOLERANCE_SECONDS:
                context.broken.append((name, start_by, started_at, events))

    run()


@then("each load that was promised once has started in time")
def step_kept(context: Any) -> None:
    assert not context.broken, (len(context.broken), context.broken[0])


@given(
    "a weight store with {places:d} places, and 1 caller of each of {few:d} and of {many:d} models"
)
def step_many(context: Any, places: int, few: int, many: int) -> None:
    context.checks = {}
    original = load_schedule.queue_ends
    context.add_cleanup(setattr, load_schedule, "queue_ends", original)
    for count in (few, many):
        checked = [0]

        def counting(seconds: Any, free_in: Any, checked: list[int] = checked) -> list[float]:
            durations = list(seconds)
            checked[0] += len(durations)
            return original(durations, free_in)

        setattr(load_schedule, "queue_ends", counting)  # noqa: B010
        load = RequestedLoad("", 0.0, 6.9, 1.0, 1.0, 0.0)
        loads = [
            evolve(load, name=f"m{number}", latest_start_in=0.1 + number % 190 / 10)
            for number in range(count)
        ]
        schedule_loads(loads, [0.0] * places)
        context.checks[count] = checked[0]


@then("scheduling {many:d} of them checks at most {factor:d} times as many starts as {few:d}")
def step_linear(context: Any, many: int, factor: int, few: int) -> None:
    assert context.checks[many] <= factor * context.checks[few], context.checks
