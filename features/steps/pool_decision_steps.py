"""Steps for components without I/O: no processes, and time is an argument."""

from typing import Any

from behave import given, then, when

from loomwind.http.event_stream import EventStreamBuffer
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
    """Return the largest number of times that fall into one window."""
    ordered = sorted(times)
    return max((sum(1 for t in ordered if s <= t < s + window) for s in ordered), default=0)


@given("{count:d} daemons that share {free:d} retries plus {ratio:f} per request in {window:d} s")
def step_budget(context: Any, count: int, free: int, ratio: float, window: int) -> None:
    context.bounds = BoundSettings(
        retry_ratio=ratio, retry_allowance=float(free), retry_window_seconds=float(window)
    )
    context.daemons = count


@when("each gets {rate:d} requests per second for {seconds:d} s, retries if allowed, restarts once")
def step_retries(context: Any, rate: int, seconds: int) -> None:
    context.retries = []
    context.requests = []
    for number in range(context.daemons):
        restart = 10.0 + number
        budget = new_retry_budget(context)
        steps = int(seconds / STEP_SECONDS)
        for step in range(steps):
            now = step * STEP_SECONDS
            if abs(now - restart) < STEP_SECONDS / 2:
                budget = new_retry_budget(context)
            if step % int(1 / (rate * STEP_SECONDS) or 1) == 0:
                budget.record_request(now)
                context.requests.append(now)
            while budget.try_spend(now):
                context.retries.append(now)


def new_retry_budget(context: Any) -> RetryBudget:
    """Return the retry budget of a daemon that has just started and knows its peers."""
    pool = ServerPool(context.bounds)
    pool.set_daemon_count(context.daemons)
    return pool.retry_budget("service")


@then("no window of {window:d} s has more retries than the shared budget")
def step_budget_holds(context: Any, window: int) -> None:
    bounds = context.bounds
    for start in range(0, 20):
        retries = sum(1 for t in context.retries if start <= t < start + window)
        requests = sum(1 for t in context.requests if start <= t < start + window)
        allowed = bounds.retry_ratio * requests + bounds.retry_allowance
        assert retries <= allowed, (start, retries, allowed)


@given("a weight store that allows {rate:f} loads per second over {window:d} s")
def step_weight_store(context: Any, rate: float, window: int) -> None:
    context.rate, context.window = rate, float(window)


@when("a leader starts every load it may, and so does its successor, which knows of these loads")
def step_leader_change(context: Any) -> None:
    limiter = LoadRateLimiter(context.rate, context.window, 0.0)
    context.loads = []
    for step in range(400):
        now = step * STEP_SECONDS
        if step == 200:
            seen = [t for t in context.loads if t >= now - context.window]
            limiter = LoadRateLimiter(context.rate, context.window, now, seen)
        while limiter.allows(now):
            limiter.record(now)
            context.loads.append(now)


@then("no window of {window:d} s exceeds {rate:f} loads per second times {over:f} plus {more:d}")
def step_loads_hold(context: Any, window: int, rate: float, over: float, more: int) -> None:
    assert most_in_window(context.loads, window) <= rate * window * over + more


def make_route(
    prefix: str, host: str = "one", parts: tuple[WeightedService, ...] = ()
) -> RouteRule:
    """Return an idempotent route with one service unless ``parts`` are given."""
    kind = RequestKind.IDEMPOTENT
    return RouteRule(prefix, host, prefix, kind, parts or (WeightedService("s", 1),), 1.0, 0.1)


@given("a route split {one:d} to {other:d}")
def step_split(context: Any, one: int, other: int) -> None:
    context.route = make_route("/", parts=(WeightedService("a", one), WeightedService("b", other)))


@when("{count:d} requests are routed")
def step_routed(context: Any, count: int) -> None:
    turns = WeightedRoundRobin()
    context.chosen = [turns.next(context.route) for _ in range(count)]


@then("the shares are within {slack:f} of the weights")
def step_shares(context: Any, slack: float) -> None:
    share = context.chosen.count("a") / len(context.chosen)
    assert abs(share - 0.9) <= slack, share


@given("routes /a/ and /a/b/ of host one, and /a/ of host two")
def step_routes(context: Any) -> None:
    routes = (make_route("/a/"), make_route("/a/b/"), make_route("/a/", "two"))
    context.route_table = RouteTable(Configuration(1, routes, (), CallerLimits(1, 1, 1.0, 1.0)))


@then("host one routes /a/b/c to /a/b/ and /a/bc to /a/, and host three has no route for /a/")
def step_match(context: Any) -> None:
    matched = context.route_table.match("one:80", "/a/b/c")
    assert matched is not None and matched.prefix == "/a/b/"
    matched = context.route_table.match("ONE", "/a/bc")
    assert matched is not None and matched.prefix == "/a/"
    assert context.route_table.match("three", "/a/") is None


@when("a stream arrives in chunks of {size:d} bytes and is interrupted")
def step_interrupted_stream(context: Any, size: int) -> None:
    events_data = b"".join(b"id: %d\ndata: token\n\n" % number for number in range(1, 6))
    interrupted = events_data[:-9]
    context.event_buffer = EventStreamBuffer()
    chunks = [interrupted[at : at + size] for at in range(0, len(interrupted), size)]
    context.relayed = b"".join(context.event_buffer.feed(piece) for piece in chunks)


@then("only complete events were relayed, and the last event id is known")
def step_complete_events(context: Any) -> None:
    assert context.relayed.endswith(b"\n\n") and context.relayed.count(b"\n\n") == 4
    assert context.event_buffer.last_event_id == "4"


OTHER_HOLDER = LeaseHolder("other", "life-1", "a:1")


@given("a lease of {seconds:d} s held by another daemon")
def step_lease(context: Any, seconds: int) -> None:
    context.lease = Lease(LeaseHolder("own", "life-2", "a:2"), float(seconds), 0.5, 0.3)
    context.lease.record_row(7, OTHER_HOLDER, 100.0)


@then("it is not taken over after {early:f} s, but after {late:f} s if the store is available")
def step_taken_over_on_expiry(context: Any, early: float, late: float) -> None:
    lease: Lease = context.lease
    assert lease.action(100.0 + early, 60.0) is LeaseAction.WAIT
    assert lease.action(100.0 + late, 0.1) is LeaseAction.WAIT
    assert lease.action(100.0 + late, 60.0) is LeaseAction.ACQUIRE


@then("it is taken over at once when the holder is known to have ended")
def step_taken_over_at_once(context: Any) -> None:
    lease: Lease = context.lease
    lease.record_ended_process("life-0", 100.0)
    assert lease.action(100.1, 60.0) is LeaseAction.WAIT
    lease.record_ended_process(OTHER_HOLDER.incarnation, 100.0)
    assert lease.action(100.1, 60.0) is LeaseAction.ACQUIRE


@then("its holder stops leading before another daemon takes it over")
def step_holder_stops_leading(context: Any) -> None:
    holder = Lease(OTHER_HOLDER, 3.0, 0.5, 0.3)
    holder.record_missing_row(0, 90.0)
    holder.record_write(7, 100.0)
    assert holder.is_leader(102.6) and not holder.is_leader(102.8)
    assert holder.fence == 7
