"""Steps for the placement of models during a release, on the simulated pool."""

from typing import Any

from behave import given, then, when

from features.support.simulated_pool import STEP_SECONDS, SimulatedPool
from loomwind.placement.plan import PlannedOrder
from loomwind.serving.views import OrderKind

MODELS = 12
SEED = 56
STEPS_PER_REQUEST = 5
STEPS_TO_READ_ALL = 20


def names(text: str) -> list[str]:
    """Return the names of a list such as "a, b and c"."""
    return text.replace(" and ", ", ").split(", ")


@given("servers of {version:w} hold {held}, each with room for 2 models")
def step_servers(context: Any, version: str, held: str) -> None:
    context.simulated_pool = SimulatedPool(0, MODELS, SEED)
    context.streams = {}
    context.steps_without_copy = {}
    for models in held.split(", "):
        context.simulated_pool.preload(context.simulated_pool.add_server(version), names(models))
    run_steps(context, STEPS_TO_READ_ALL, plans=False)


def run_steps(context: Any, count: int, requested: str = "", plans: bool = True) -> None:
    """Advance the pool, with requests for a model at regular times."""
    for number in range(count):
        if requested and number % STEPS_PER_REQUEST == 0:
            context.simulated_pool.add_requests(int(requested.removeprefix("m")), 1, False)
        if context.streams:
            context.simulated_pool.run_streams(context.streams)
        context.simulated_pool.step(plans)
        for key in context.streams:
            if not context.simulated_pool.holders(*key):
                context.steps_without_copy.setdefault(key, []).append(number)


@given("{count:d} streams of {model:w} run at {version}")
def step_streams(context: Any, count: int, model: str, version: str) -> None:
    context.streams[(model, version)] = count


@given("these streams run at {server:w}, which has 1 slot")
def step_streams_at_server(context: Any, server: str) -> None:
    ((model, _), count), *others = context.streams.items()
    assert not others, others
    context.simulated_pool.run_requests(server, model, count)


@when("{count:d} empty servers of {version} join")
def step_join(context: Any, count: int, version: str) -> None:
    for _ in range(count):
        context.simulated_pool.add_server(version)
    run_steps(context, STEPS_TO_READ_ALL // 4, plans=False)


@when("1 server of {version} that holds {models} joins")
def step_join_with_models(context: Any, version: str, models: str) -> None:
    context.simulated_pool.preload(context.simulated_pool.add_server(version), names(models))
    run_steps(context, STEPS_TO_READ_ALL // 4, plans=False)


@when("the leader loads models ahead, in place of those that servers have on disk")
def step_staging(context: Any) -> None:
    context.simulated_pool.cache_held_models()
    context.simulated_pool.staging_allowed = True


@when("{seconds:f} s pass without requests")
def step_time_passes(context: Any, seconds: float) -> None:
    run_steps(context, round(seconds / STEP_SECONDS))


@when("{seconds:f} s pass with requests for {model:w}")
def step_requests(context: Any, seconds: float, model: str) -> None:
    run_steps(context, round(seconds / STEP_SECONDS), model)


@when("a server of {version} that holds {model:w} drains")
def step_drain(context: Any, version: str, model: str) -> None:
    holders = context.simulated_pool.holders(model, version)
    assert holders, context.simulated_pool.orders
    context.simulated_pool.drain_server(holders[0])


@when("the pool gets requests that wait for {models}")
def step_requests_wait(context: Any, models: str) -> None:
    for model in names(models):
        context.simulated_pool.add_requests(int(model.removeprefix("m")), 1, True)


@when("memory at {server:w} is reserved for {model:w} at {now:f} s")
def step_reserve(context: Any, server: str, model: str, now: float) -> None:
    context.trackers[server].reserve_memory(model, now)


@then("{model:w} is held at {version}")
def step_held(context: Any, model: str, version: str) -> None:
    assert context.simulated_pool.holders(model, version), context.simulated_pool.orders


@then("{model:w} was held at {version} after each step")
def step_held_throughout(context: Any, model: str, version: str) -> None:
    assert (model, version) in context.streams, context.streams
    missing = context.steps_without_copy.get((model, version))
    assert not missing, (missing, context.simulated_pool.orders)


@then("{model:w} is being loaded at {version}")
def step_loading(context: Any, model: str, version: str) -> None:
    assert context.simulated_pool.loading(model, version), context.simulated_pool.orders


@then("{model:w} is held by {count:d} servers of {version}")
def step_held_by(context: Any, model: str, count: int, version: str) -> None:
    holders = context.simulated_pool.holders(model, version)
    assert len(holders) == count, (holders, context.simulated_pool.orders)


@then("{count:d} models were evicted")
def step_evicted(context: Any, count: int) -> None:
    evictions = [order for order in context.simulated_pool.orders if order.kind is OrderKind.UNLOAD]
    assert len(evictions) == count, evictions


@then("{model:w} was not evicted")
def step_not_evicted(context: Any, model: str) -> None:
    orders = context.simulated_pool.orders
    evictions = [order for order in orders if order.kind is OrderKind.UNLOAD]
    assert evictions and model not in {order.target.model for order in evictions}, orders


@then("no load was ordered")
def step_no_load(context: Any) -> None:
    assert not context.simulated_pool.orders, context.simulated_pool.orders


@then("the first {count:d} loads were for {models}")
def step_first_loads(context: Any, count: int, models: str) -> None:
    loads: list[PlannedOrder] = [
        order for order in context.simulated_pool.orders if order.kind is OrderKind.LOAD
    ]
    assert sorted(load.target.model for load in loads[:count]) == sorted(names(models)), loads
