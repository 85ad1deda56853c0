"""Steps about which servers are taken to load from the weight store; times are in seconds."""

from typing import Any

import msgspec
from behave import then, when

from features.steps.planner_steps import FENCE, SERVICE, plan_input, profile, report
from loomwind.clock import MS_PER_SECOND
from loomwind.messages.serving import PoolDemand
from loomwind.placement.planner import Planner
from loomwind.placement.server_tracker import ServerTracker
from loomwind.serving.demand import TargetDemand
from loomwind.serving.residency import Residency, ServerHolding
from loomwind.serving.views import (
    HeldModel,
    ModelKey,
    Order,
    OrderAnswer,
    OrderKind,
    ServerReport,
)


def _order(tracker: ServerTracker, kind: OrderKind, model: str, revision: int) -> Order:
    instance = tracker.entry.instance
    return Order(kind, ModelKey(model), instance, "daemon", FENCE, revision)


def _busy(tracker: ServerTracker, revision: int) -> ServerReport:
    known = tracker.report or report([], set())
    return ServerReport(revision, True, tuple(HeldModel(model.name) for model in known.held))


@when("{name:w} refuses an order to load {model} at {now:f} s, since another order is under way")
def step_conflict(context: Any, name: str, model: str, now: float) -> None:
    tracker: ServerTracker = context.trackers[name]
    assert tracker.report is not None
    order = _order(tracker, OrderKind.LOAD, model, tracker.report.revision)
    tracker.record_answer(order, OrderAnswer.CONFLICT, now)


@when("a report of {name:w} at {now:f} s shows that it is busy, at revision {revision:d}")
def step_busy(context: Any, name: str, now: float, revision: int) -> None:
    tracker: ServerTracker = context.trackers[name]
    tracker.record_report(_busy(tracker, revision), now)


@when("a report of {name:w} at {now:f} s shows that it is done, at revision {revision:d}")
def step_idle(context: Any, name: str, now: float, revision: int) -> None:
    tracker: ServerTracker = context.trackers[name]
    tracker.complete_due_load(now, 0)
    tracker.record_report(msgspec.structs.replace(_busy(tracker, revision), busy=False), now)
    finished = tracker.pop_finished_load()
    context.finished = [*getattr(context, "finished", []), *([finished] if finished else [])]


@then("one load of {seconds:d} s has ended")
def step_one_ended(context: Any, seconds: int) -> None:
    durations = [load.done_ms - load.began_ms for load in context.finished]
    assert durations == [1000.0 * seconds], durations


@when("{name:w} leaves an order to unload {model} unanswered at {now:f} s, at revision 0")
def step_unanswered(context: Any, name: str, model: str, now: float) -> None:
    tracker: ServerTracker = context.trackers[name]
    order = _order(tracker, OrderKind.UNLOAD, model, 0)
    tracker.record_answer(order, OrderAnswer.UNKNOWN, now)


@when(
    "{name:w} is sent an order to load {model}, is reported busy at {early:f} s, "
    "and accepts the order at {late:f} s"
)
def step_late_answer(context: Any, name: str, model: str, early: float, late: float) -> None:
    tracker: ServerTracker = context.trackers[name]
    order = _order(tracker, OrderKind.LOAD, model, 0)
    tracker.in_flight = order
    tracker.record_report(_busy(tracker, 1), early)
    tracker.record_answer(order, OrderAnswer.ACCEPTED, late)


@when("another leader learns of it, and reads at {now:f} s that {name:w} is busy")
def step_new_leader(context: Any, now: float, name: str) -> None:
    earlier: ServerTracker = context.trackers[name]
    assert earlier.report is not None
    residency = Residency()
    holding = ServerHolding(
        name, earlier.report.revision, earlier.report.held, earlier.loading, earlier.unloading
    )
    residency.update(holding, now)
    tracker = ServerTracker(
        earlier.entry,
        profile(100),
        residency.announced_load(name),
        now,
        residency.announced_unload(name),
    )
    tracker.record_report(_busy(tracker, earlier.report.revision), now)
    context.trackers[name] = tracker


@when("the memory is reserved for {model} at {now:f} s at {name:w}")
def step_reserve(context: Any, model: str, now: float, name: str) -> None:
    context.trackers[name].reserve_memory(model, now)


@when("a caller of {model:w} waits at {now:f} s")
def step_caller(context: Any, model: str, now: float) -> None:
    context.now = now
    requested = TargetDemand(SERVICE, ModelKey(model), 1, 1.0, 1, 16.0, 0, None, 16.0)
    context.demand.add_report(PoolDemand("daemon-1", (requested,), ()), now)


@then("{model:w} is not expected before {at:f} s")
def step_not_expected(context: Any, model: str, at: float) -> None:
    planner = Planner(plan_input(context))
    planner.plan()
    ready_in = {e.key.target.model: e.ready_in_ms for e in planner.expectations()}
    assert context.now + ready_in[model] / MS_PER_SECOND >= at, ready_in


@then("no load from the weight store is in progress at {now:f} s")
def step_no_load(context: Any, now: float) -> None:
    assert not _loading(context, now), _loading(context, now)


@then("only {name:w} loads from the weight store at {now:f} s")
def step_only(context: Any, name: str, now: float) -> None:
    assert _loading(context, now) == [name], _loading(context, now)


def _loading(context: Any, now: float) -> list[str]:
    return [name for name, tracker in context.trackers.items() if tracker.uses_store(now)]


@then("{name:w} is known to unload {model}")
def step_unloads(context: Any, name: str, model: str) -> None:
    tracker: ServerTracker = context.trackers[name]
    assert tracker.unloading == model and not tracker.idle, tracker.operation


@then("{name:w} is known to load {model}")
def step_loads(context: Any, name: str, model: str) -> None:
    assert context.trackers[name].loading == model, context.trackers[name].operation
