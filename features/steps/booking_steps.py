"""Steps that send requests to application servers, and count at the back ends what ran."""

from typing import Any

from behave import given, then, when

from features.support.acting import controller_of, finished
from features.support.caller import plain
from features.support.processes import wait_until
from features.support.site import DaemonProcess, Site

SLOT = "/book/slot"


def post(
    context: Any,
    daemons: list[DaemonProcess],
    count: int,
    timeout_seconds: float = 10.0,
    method: str = "POST",
) -> None:
    """Begin ``count`` requests without a key to each daemon."""
    requests = [
        plain(daemon.address, method, SLOT, b"x", timeout_seconds)
        for _ in range(count)
        for daemon in daemons
    ]
    context.sent = getattr(context, "sent", []) + requests
    context.site.callers.begin(requests)


def book(context: Any, daemon: DaemonProcess) -> None:
    """Begin the scenario's bookings through a daemon."""
    requests = [
        plain(daemon.address, "POST", SLOT, key.encode(), idempotency_key=key)
        for key in context.bookings
    ]
    context.sent = getattr(context, "sent", []) + requests
    context.site.callers.begin(requests)


def new_bookings(context: Any, count: int) -> None:
    """Choose the keys of the scenario's bookings."""
    context.bookings = [f"booking-{number}" for number in range(count)]


def runs_of_bookings(context: Any) -> dict[str, int]:
    """Return how often each booking ran, without the group that scopes its key."""
    executions: dict[str, int] = context.site.executions()
    return {key: executions.get(key, 0) for key in context.bookings}


@given("group {group} may have {count:d} requests waiting")
def step_group_limit(context: Any, group: str, count: int) -> None:
    context.site.catalog["groups"] = [{"name": group, "max_waiting": count}]


@when("{count:d} callers send each daemon a POST to /book/slot")
def step_post(context: Any, count: int) -> None:
    post(context, list(context.site.daemons.values()), count)
    finished(context)


@when("{count:d} callers send each daemon a GET to /book/slot")
def step_get(context: Any, count: int) -> None:
    post(context, list(context.site.daemons.values()), count, method="GET")
    finished(context)


@when("{count:d} callers send each daemon a POST to /book/slot within {seconds:g} s")
def step_post_within(context: Any, count: int, seconds: float) -> None:
    post(context, list(context.site.daemons.values()), count, seconds)
    finished(context)


@when("{count:d} callers begin to send each daemon a POST to /book/slot")
def step_post_begin(context: Any, count: int) -> None:
    post(context, list(context.site.daemons.values()), count)


@when("the back end {name} has a request")
def step_has_request(context: Any, name: str) -> None:
    application = context.site.applications[name]
    wait_until(lambda: bool(application.control("/_executions")), f"{name} has a request")


@when("the back end {name} is killed")
def step_kill_backend(context: Any, name: str) -> None:
    context.site.applications[name].process.kill()


@then("the back end {name} ran nothing")
def step_ran_nothing(context: Any, name: str) -> None:
    assert context.site.applications[name].control("/_executions") == {}


@then("nothing that was refused as not-run ran")
def step_not_run(context: Any) -> None:
    executions = context.site.executions()
    refused = [r.request_id for r in finished(context) if r.outcome == "not-run"]
    ran = [request_id for request_id in refused if executions.get(request_id)]
    assert not ran, ran


@then("nothing ran twice")
def step_twice(context: Any) -> None:
    finished(context)
    twice = {key: count for key, count in context.site.executions().items() if count > 1}
    assert not twice, twice


@when("{count:d} bookings are sent through all daemons at once, each with its own key")
def step_book_all(context: Any, count: int) -> None:
    new_bookings(context, count)
    for daemon in context.site.daemons.values():
        book(context, daemon)
    finished(context)


@when("{count:d} bookings are sent through {name}, each with its own key")
def step_book(context: Any, count: int, name: str) -> None:
    new_bookings(context, count)
    site: Site = context.site
    book(context, controller_of(context) if name == "the controller" else site.daemons[name])
    finished(context)


@when("{count:d} bookings begin through {name}, each with its own key")
def step_book_begin(context: Any, count: int, name: str) -> None:
    new_bookings(context, count)
    book(context, context.site.daemons[name])


@when("all {count:d} bookings run")
def step_all_run(context: Any, count: int) -> None:
    wait_until(lambda: sum(runs_of_bookings(context).values()) == count, "all bookings run")


@when("the same bookings are sent again through {name}")
def step_book_again(context: Any, name: str) -> None:
    book(context, context.site.daemons[name])
    finished(context)


@then("each booking ran exactly once")
def step_once(context: Any) -> None:
    finished(context)
    runs = runs_of_bookings(context)
    assert all(count == 1 for count in runs.values()), runs
