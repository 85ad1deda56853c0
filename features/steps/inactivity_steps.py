"""Steps for how long a server may take to begin a response; no processes or clock."""

from typing import Any

from behave import given, then, when

from loomwind.serving.inactivity import start_silence_ms
from loomwind.serving.views import RequestKind, RouteRule, WeightedService

MS = 1000.0
TOLERANCE_MS = 1e-6


@given(
    "a {kind} route with an objective of {objective:g} s, "
    "whose callers wait up to {event} s for an event"
)
def step_route(context: Any, kind: str, objective: float, event: str) -> None:
    context.route = RouteRule(
        "any",
        "h",
        "/",
        RequestKind(kind),
        (WeightedService("any", 1),),
        timeout_seconds=25.0,
        objective_seconds=objective,
        resumable=True,
        event_timeout_seconds=float(event),
    )


@when("a caller has {left:g} s left")
def step_left(context: Any, left: float) -> None:
    context.timeout_ms = left * MS


@then("the first server may take {silence:g} s to begin")
def step_silence(context: Any, silence: float) -> None:
    found_ms = start_silence_ms(context.route, context.timeout_ms)
    assert found_ms is not None and abs(found_ms - silence * MS) < TOLERANCE_MS, found_ms
