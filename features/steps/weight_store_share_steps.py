"""Steps for the priority of first and further copies at the weight store. Pure."""

from typing import Any

from behave import then, when

from features.steps.planner_steps import SERVICE, plan
from loomwind.messages.serving import PoolDemand
from loomwind.serving.demand import DECAY_PER_SECOND, TargetDemand
from loomwind.serving.views import ModelKey


@when("{model} is requested {rate:d} times per second at {now:f} s")
def step_requested_often(context: Any, model: str, rate: int, now: float) -> None:
    context.now = now
    arrivals = rate / DECAY_PER_SECOND
    requested = TargetDemand(SERVICE, ModelKey(model), 0, arrivals)
    context.demand.add_report(PoolDemand("daemon-2", (requested,), ()), now)
    context.demand.reset_unserved(SERVICE, held_models(context))


@when("{model} has {count:d} unserved requests at {now:f} s")
def step_unserved(context: Any, model: str, count: int, now: float) -> None:
    requested = TargetDemand(SERVICE, ModelKey(model), 0, count)
    context.demand.add_report(PoolDemand("daemon-3", (requested,), ()), now)


def held_models(context: Any) -> list[str]:
    """Return the models that any server holds."""
    reports = [tracker.report for tracker in context.trackers.values() if tracker.report]
    return [held.name for known in reports for held in known.held]


@when("{count} load from the weight store may begin")
def step_loads_left(context: Any, count: str) -> None:
    context.store_loads_left = 0 if count == "no" else int(count)


@then("the plan loads {model} at {count:d} server, as {purpose}")
def step_loads_once(context: Any, model: str, count: int, purpose: str) -> None:
    orders = [order for order in plan(context) if order.target == ModelKey(model)]
    assert len(orders) == count, orders
    assert {order.purpose.value for order in orders} == {purpose}, orders


@then("the plan loads nothing else from the weight store")
def step_no_other_store_load(context: Any) -> None:
    orders = [order for order in plan(context) if order.from_store]
    assert len(orders) <= context.store_loads_left, orders
