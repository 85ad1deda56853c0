"""Steps about what connects say of a daemon's way to the servers; no process."""

from typing import Any

from behave import given, then, when

from loomwind.serving.connectivity import ServiceConnectivity

NOW_MS = 1000.0


@given("{count:d} servers that are listed")
def step_listed(context: Any, count: int) -> None:
    context.reach = ServiceConnectivity()
    context.reach.set_servers({str(number) for number in range(1, count + 1)})


@when("server {number} accepts no connection")
def step_failed(context: Any, number: str) -> None:
    context.reach.record_connect_failure(number, NOW_MS)


@when("server {number} accepts a connection")
def step_connected(context: Any, number: str) -> None:
    context.reach.record_connected(NOW_MS)


@then("the daemon is {state:w}")
def step_state(context: Any, state: str) -> None:
    assert context.reach.state.value == state, context.reach.state
