"""Steps for plans whose models are listed in different orders; no processes or clock."""

from collections.abc import Sequence
from typing import Any

from attrs import frozen
from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import strategies as st

from features.steps.planner_steps import (
    DISK_LOAD_S,
    MODEL_MB,
    SERVICE,
    STORE_LOAD_S,
    plan,
    report,
)
from features.support.properties import examples
from loomwind.messages.serving import PoolDemand
from loomwind.placement.demand_view import DemandView
from loomwind.placement.plan import PlanInput, PlannedOrder
from loomwind.placement.planner import Planner
from loomwind.placement.server_tracker import ServerTracker
from loomwind.serving.demand import DECAY_PER_SECOND, TargetDemand
from loomwind.serving.expectations import ExpectedTarget
from loomwind.serving.views import (
    EngineProfile,
    ModelKey,
    ModelProfile,
    OrderKind,
    ServerEntry,
    ServerState,
)

MODELS = 12
MODELS_PER_SERVER = 3
MAX_SERVERS = 4
NOW = 20.0
REPORT_INTERVAL_S = 0.5


@frozen
class ServerCase:
    """A server with the models that it holds, and those on its disk."""

    held: tuple[int, ...]
    on_disk: frozenset[int]


@frozen
class DemandCase:
    """Requests for a model, and how many of them wait."""

    model: int
    arrivals: int
    waiting: int


@frozen
class FleetCase:
    """A fleet, its demand, and another order of its models."""

    servers: tuple[ServerCase, ...]
    demand: tuple[DemandCase, ...]
    listed: tuple[int, ...]
    staging_allowed: bool
    store_loads_left: int


@frozen
class PlannedStep:
    """What the leader orders and expects in one step."""

    orders: tuple[PlannedOrder, ...]
    queue: tuple[str, ...]
    expected: tuple[ExpectedTarget, ...]


NUMBERS = st.integers(0, MODELS - 1)
SERVERS = st.builds(
    ServerCase,
    st.lists(NUMBERS, max_size=MODELS_PER_SERVER, unique=True).map(tuple),
    st.frozensets(NUMBERS, max_size=6),
)
DEMAND = st.builds(DemandCase, NUMBERS, st.integers(0, 4), st.integers(0, 3))
FLEETS = st.builds(
    FleetCase,
    st.lists(SERVERS, min_size=1, max_size=MAX_SERVERS).map(tuple),
    st.lists(DEMAND, max_size=8, unique_by=lambda each: each.model).map(tuple),
    st.permutations(range(MODELS)).map(tuple),
    st.booleans(),
    st.integers(0, 4),
)


def model_name(number: int) -> str:
    """Return the name of a model."""
    return f"m{number:02}"


def model_profiles(listed: Sequence[int]) -> tuple[ModelProfile, ...]:
    """Return models in a given order, all of one size."""
    times = (STORE_LOAD_S, DISK_LOAD_S, DISK_LOAD_S)
    return tuple(ModelProfile(model_name(n), MODEL_MB, *times) for n in listed)


def server_tracker(
    name: str,
    models: tuple[ModelProfile, ...],
    held: Sequence[str],
    on_disk: Sequence[str] = (),
    places: int = MODELS_PER_SERVER,
) -> ServerTracker:
    """Return an idle server that has reported what it holds."""
    profile = EngineProfile(places * MODEL_MB, 8, 4.0, models, 8)
    entry = ServerEntry(name, SERVICE, "a:1", "zone-a", 8, ServerState.READY)
    tracker = ServerTracker(entry, profile)
    tracker.record_report(report(list(held), {*held, *on_disk}), 9.0)
    return tracker


def planned_step(fleet: FleetCase, listed: Sequence[int]) -> PlannedStep:
    """Return the plan for a fleet whose models are listed in a given order."""
    models = model_profiles(listed)
    trackers = [
        server_tracker(
            f"s{number}",
            models,
            [model_name(n) for n in case.held],
            [model_name(n) for n in case.on_disk],
        )
        for number, case in enumerate(fleet.servers)
    ]
    demand = DemandView()
    for case in fleet.demand:
        key = ModelKey(model_name(case.model))
        requested = TargetDemand(SERVICE, key, case.waiting, case.arrivals, 1, 8.0)
        demand.add_report(PoolDemand(f"daemon-{case.model}", (requested,), ()), NOW)
    planner = Planner(
        PlanInput(
            SERVICE, trackers, demand, {}, NOW, True, fleet.staging_allowed, fleet.store_loads_left
        )
    )
    orders = tuple(planner.plan())
    return PlannedStep(orders, planner.models_needing_copy(), planner.expectations())


@given(
    "fleets of up to {servers:d} model servers with some of {models:d} models each, "
    "and requests for some of them"
)
def step_fleets(context: Any, servers: int, models: int) -> None:
    assert (servers, models) == (MAX_SERVERS, MODELS)


@when("each plan is computed again with the models listed in another order, in {count:d} runs")
def step_plan_again(context: Any, count: int) -> None:
    context.different = []

    @examples(count)
    @hypothesis_given(FLEETS)
    def run(fleet: FleetCase) -> None:
        first, second = planned_step(fleet, range(MODELS)), planned_step(fleet, fleet.listed)
        if first != second:
            context.different.append((fleet, first, second))

    run()


@then("no plan differs")
def step_no_difference(context: Any) -> None:
    assert not context.different, (len(context.different), context.different[0])


@given(
    "a model server that holds a model that nobody has asked for, listed first, "
    "and one requested every {seconds:d} s, listed last"
)
def step_first_and_last(context: Any, seconds: int) -> None:
    models = model_profiles(range(MODELS))
    held = [model_name(0), model_name(MODELS - 1)]
    context.trackers = [server_tracker("s0", models, held, places=2)]
    context.demand = DemandView()
    requested = TargetDemand(SERVICE, ModelKey(model_name(MODELS - 1)), 0, 1.0)
    for now in range(0, 61, seconds):
        context.demand.add_report(PoolDemand("daemon-1", (requested,), ()), float(now))
    context.demand.reset_unserved(SERVICE, held)
    context.now = 70.0


@when("a request waits for a model that needs the place of one of them")
def step_needs_place(context: Any) -> None:
    requested = TargetDemand(SERVICE, ModelKey(model_name(5)), 1, 1.0, 1, 8.0)
    context.demand.add_report(PoolDemand("daemon-2", (requested,), ()), context.now)
    _plan(context, staging_allowed=False)


@then("the model that nobody has asked for is evicted")
def step_evicted(context: Any) -> None:
    assert _evicted(context) == [model_name(0)], context.orders


@given(
    "an idle model server, and models without any copy that take {first:d} s, {second:d} s "
    "and {third:d} s to load"
)
def step_load_times(context: Any, first: int, second: int, third: int) -> None:
    models = tuple(
        ModelProfile(model_name(n), MODEL_MB, float(seconds), DISK_LOAD_S, DISK_LOAD_S)
        for n, seconds in enumerate((first, second, third))
    )
    context.trackers = [server_tracker("s0", models, [])]
    context.demand, context.now = DemandView(), NOW


@when("no request has come yet")
@when("a model without any copy is staged")
def step_stage(context: Any) -> None:
    _plan(context, staging_allowed=True)


@then("the model that takes {seconds:d} s is staged first")
def step_staged(context: Any, seconds: int) -> None:
    (order,) = context.orders
    loaded = context.trackers[0].profile.model(order.target.model)
    assert order.kind is OrderKind.LOAD and loaded.load_seconds == seconds, order


@given(
    "two model servers, each with a copy of a busy model, "
    "one with the only copy of another model as well"
)
def step_several_copies(context: Any) -> None:
    models = model_profiles(range(MODELS))
    context.trackers = [
        server_tracker("s0", models, [model_name(1), model_name(7)], places=2),
        server_tracker("s1", models, [model_name(1)], places=1),
    ]
    context.demand, context.now = DemandView(), NOW


@then("the only copy of the other model is evicted for it")
def step_only_copy_evicted(context: Any) -> None:
    assert _evicted(context) == [model_name(7)], context.orders


def _plan(context: Any, staging_allowed: bool) -> None:
    inputs = PlanInput(
        SERVICE, context.trackers, context.demand, {}, context.now, True, staging_allowed
    )
    context.orders = Planner(inputs).plan()


def _evicted(context: Any) -> list[str]:
    return [order.target.model for order in context.orders if order.kind is OrderKind.UNLOAD]


@given("one has a copy of c on its disk as well")
def step_copy_on_disk(context: Any) -> None:
    context.trackers["one"].record_report(report(["a"], {"a", "c"}), 9.0)


@when("a gets {rate:f} requests a second at {now:f} s, and a request waits for c")
def step_rate(context: Any, rate: float, now: float) -> None:
    context.now = now
    requested = TargetDemand(SERVICE, ModelKey("a"), 0, rate / DECAY_PER_SECOND)
    context.demand.add_report(PoolDemand("daemon-1", (requested,), ()), now)
    context.demand.reset_unserved(SERVICE, ["a"])
    waiting = TargetDemand(SERVICE, ModelKey("c"), 1, 1.0, 1, 15.0, 0, None, 15.0)
    context.demand.add_report(PoolDemand("daemon-2", (waiting,), ()), now)


@then("c is loaded at {server:w}")
def step_loaded_at(context: Any, server: str) -> None:
    (order,) = plan(context)
    assert order.instance == server and "c" in (order.target.model, order.evicts_for), order
