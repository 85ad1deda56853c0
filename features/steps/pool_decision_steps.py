"""Steps about pure decisions: no process, no clock."""

from typing import Any

from behave import given, then, when

from loomwind.http.event_stream import EventCutter
from loomwind.leadership.lease import Lease, LeaseAction, LeaseHolder
from loomwind.placement.load_rate_limiter import LoadRateLimiter
from loomwind.serving.budget import RetryBudget
from loomwind.serving.pool import ServerPool
from loomwind.serving.routes import RouteTable, WeightedRoundRobin
from loomwind.serving.views import (
    CallerLimits,
    Configuration,
    RequestKind,
    RouteRule,
    WeightedService,
)
from loomwind.settings import BoundSettings

STEP_SECONDS = 0.05


def most_in_window(times: list[float], window: float) -> int:
    """Return the largest number of times in any window."""
    ordered = sorted(times)
    return max((sum(1 for t in ordered if s <= t < s + window) for s in ordered), default=0)


@given("{count:d} daemons that share {free:d} free repeats and {ratio:f} a request in {window:d} s")
def step_budget(context: Any, count: int, free: int, ratio: float, window: int) -> None:
    context.bounds = BoundSettings(
        retry_ratio=ratio, retry_allowance=float(free), retry_window_seconds=float(window)
    )
    context.daemons = count


@when("each gets {rate:d} requests a second for {seconds:d} s, repeats all it may, restarts once")
def step_spend(context: Any, rate: int, seconds: int) -> None:
    context.repeats = []
    context.requests = []
    for number in range(context.daemons):
        restart = 10.0 + number
        budget = fresh_budget(context)
        steps = int(seconds / STEP_SECONDS)
        for step in range(steps):
            now = step * STEP_SECONDS
            if abs(now - restart) < STEP_SECONDS / 2:
                budget = fresh_budget(context)
            if step % int(1 / (rate * STEP_SECONDS) or 1) == 0:
                budget.record_request(now)
                context.requests.append(now)
            while budget.try_spend(now):
                context.repeats.append(now)


def fresh_budget(context: Any) -> RetryBudget:
    """Return the budget of a daemon that has just started and knows its peers."""
    pool = ServerPool(context.bounds)
    pool.set_daemon_count(context.daemons)
    return pool.retry_budget("service")


@then("no {window:d} s saw more repeats than the shared budget")
def step_budget_holds(context: Any, window: int) -> None:
    bounds = context.bounds
    for start in range(0, 20):
        repeats = sum(1 for t in context.repeats if start <= t < start + window)
        requests = sum(1 for t in context.requests if start <= t < start + window)
        allowed = bounds.retry_ratio * requests + bounds.retry_allowance
        assert repeats <= allowed, (start, repeats, allowed)


@given("a weight store that allows {rate:f} loads a second over {window:d} s")
def step_weight_store(context: Any, rate: float, window: int) -> None:
    context.rate, context.window = rate, float(window)


@when("one leader begins all the loads it may, and the next one that was told of them does too")
def step_two_leaders(context: Any) -> None:
    first = LoadRateLimiter(context.rate, context.window, 0.0)
    context.loads = []
    for step in range(400):
        now = step * STEP_SECONDS
        if step == 200:
            seen = [t for t in context.loads if t >= now - context.window]
            first = LoadRateLimiter(context.rate, context.window, now, seen)
        while first.allows(now):
            first.record(now)
            context.loads.append(now)


@then("no {window:d} s saw more loads than {rate:f} a second times {over:f} and {more:d} more")
def step_loads_hold(context: Any, window: int, rate: float, over: float, more: int) -> None:
    assert most_in_window(context.loads, window) <= rate * window * over + more


def rule(prefix: str, host: str = "one", parts: tuple[WeightedService, ...] = ()) -> RouteRule:
    """Return a route."""
    kind = RequestKind.IDEMPOTENT
    return RouteRule(prefix, host, prefix, kind, parts or (WeightedService("s", 1),), 1.0, 0.1)


@given("a route split {one:d} to {other:d}")
def step_split(context: Any, one: int, other: int) -> None:
    context.route = rule("/", parts=(WeightedService("a", one), WeightedService("b", other)))


@when("{count:d} requests are routed")
def step_routed(context: Any, count: int) -> None:
    turns = WeightedRoundRobin()
    context.chosen = [turns.next(context.route) for _ in range(count)]


@then("the shares lie within {slack:f} of the weights")
def step_shares(context: Any, slack: float) -> None:
    share = context.chosen.count("a") / len(context.chosen)
    assert abs(share - 0.9) <= slack, share


@given("routes /a/ and /a/b/ of host one, and /a/ of host two")
def step_routes(context: Any) -> None:
    routes = (rule("/a/"), rule("/a/b/"), rule("/a/", "two"))
    context.route_table = RouteTable(Configuration(1, routes, (), CallerLimits(1, 1, 1.0, 1.0)))


@then("one /a/b/c goes to /a/b/ and one /a/bc goes to /a/ and three /a/ goes nowhere")
def step_match(context: Any) -> None:
    found = context.route_table.match("one:80", "/a/b/c")
    assert found is not None and found.prefix == "/a/b/"
    found = context.route_table.match("ONE", "/a/bc")
    assert found is not None and found.prefix == "/a/"
    assert context.route_table.match("three", "/a/") is None


@when("a stream comes in pieces of {size:d} bytes and breaks off")
def step_pieces(context: Any, size: int) -> None:
    whole = b"".join(b"id: %d\ndata: token\n\n" % number for number in range(1, 6))
    cut = whole[:-9]
    context.cutter = EventCutter()
    pieces = [cut[at : at + size] for at in range(0, len(cut), size)]
    context.passed = b"".join(context.cutter.feed(piece) for piece in pieces)


@then("only whole events went through, and the last id is known")
def step_whole(context: Any) -> None:
    assert context.passed.endswith(b"\n\n") and context.passed.count(b"\n\n") == 4
    assert context.cutter.last_event_id == "4"


OTHER = LeaseHolder("other", "life-1", "a:1")


@given("a lease of {seconds:d} s held by another daemon")
def step_lease(context: Any, seconds: int) -> None:
    context.lease = Lease(LeaseHolder("own", "life-2", "a:2"), float(seconds), 0.5, 0.3)
    context.lease.note_row(7, OTHER, 100.0)


@then("it is not taken after {early:f} s, and is taken after {late:f} s of a store that answers")
def step_not_taken(context: Any, early: float, late: float) -> None:
    lease: Lease = context.lease
    assert lease.action(100.0 + early, 60.0) is LeaseAction.WAIT
    assert lease.action(100.0 + late, 0.1) is LeaseAction.WAIT
    assert lease.action(100.0 + late, 60.0) is LeaseAction.TAKE


@then("it is taken at once when the holder is known to have ended")
def step_taken_at_once(context: Any) -> None:
    lease: Lease = context.lease
    lease.note_dead("life-0", 100.0)
    assert lease.action(100.1, 60.0) is LeaseAction.WAIT
    lease.note_dead(OTHER.life, 100.0)
    assert lease.action(100.1, 60.0) is LeaseAction.TAKE


@then("its holder stops to act before anyone takes it")
def step_holder_stops(context: Any) -> None:
    holder = Lease(OTHER, 3.0, 0.5, 0.3)
    holder.note_no_row(0, 90.0)
    holder.wrote(7, 100.0)
    assert holder.leads(102.6) and not holder.leads(102.8)
    assert holder.fence == 7
