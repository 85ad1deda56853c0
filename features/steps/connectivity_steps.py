"""Steps about the connectivity of a service, without processes."""

from typing import Any

from behave import given, then, when

from loomwind.serving.connectivity import ServiceConnectivity

NOW_MS = 1000.0


@given("{count:d} listed servers")
def step_listed(context: Any, count: int) -> None:
    context.connectivity = ServiceConnectivity()
    context.connectivity.set_servers({str(number) for number in range(1, count + 1)})


@when("connecting to server {number} fails")
def step_failed(context: Any, number: str) -> None:
    context.connectivity.record_connect_failure(number, NOW_MS)


@when("connecting to server {number} succeeds")
def step_connected(context: Any, number: str) -> None:
    context.connectivity.record_connected(NOW_MS)


@then("the connectivity state is {state:w}")
def step_state(context: Any, state: str) -> None:
    assert context.connectivity.state.value == state, context.connectivity.state
