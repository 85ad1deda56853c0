"""Steps for explaining requests from logs."""

import json
import subprocess
import sys
from typing import Any

from behave import given, then, when

from bench.losses import Reason, reasons
from bench.promises import PromiseAccount, promise_account
from features.steps.pool_steps import pool, replies_of
from features.support.processes import wait_until
from loomwind.explain import REQUEST_TYPE, Cause, LogLine, explain_request


@given("models with a load time of {seconds:f} s")
def step_load_time(context: Any, seconds: float) -> None:
    site = pool(context)
    for model in site.models:
        model["load-time-s"] = seconds
    for name in list(site.servers):
        site.servers.pop(name).process.close()
        site.add_model_server(name, "m1")


@when("a request on {name} for {target} is sent to another daemon with a deadline in {seconds:f} s")
def step_other_daemon(context: Any, name: str, target: str, seconds: float) -> None:
    site = pool(context)
    daemon = next(d for d in site.daemons.values() if d is not context.old_leader)
    request = site.request(daemon, name, target, timeout_seconds=seconds)
    context.last_request_id = request.headers["x-request-id"]
    site.callers.begin([request])


@given("one of them has logged that it leads")
def step_leader_logged(context: Any) -> None:
    wait_until(lambda: _is_leader_logged(context), "a daemon has logged that it leads")


def _is_leader_logged(context: Any) -> bool:
    logs = pool(context).folder.glob("daemon-*.log")
    return any('"state":"leader"' in log.read_text() for log in logs)


@then("explain reports the cause {cause}")
def step_explain(context: Any, cause: str) -> None:
    replies = replies_of(context)
    request_id = replies[-1].request_id if replies else context.last_request_id
    wait_until(lambda: find_cause(context, request_id) == cause, f"explain reports {cause}", 5.0)


def find_cause(context: Any, request_id: str) -> str:
    """Return the name of the cause that the command finds in the logs of all daemons."""
    logs = [str(path) for path in sorted(pool(context).folder.glob("*.[0-9]*.log"))]
    command = [sys.executable, "-m", "loomwind", "explain", request_id, *logs, "--json"]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    assert result.returncode == 0, result.stderr
    cause = str(json.loads(result.stdout)["cause"])
    return CAUSE_NAMES.get(cause, cause)


# From the printed value of each cause to its name.
CAUSE_NAMES = {
    "no route in the configuration in force": "no_route",
    "the daemon knew no configuration": "no_configuration",
    "a server took the request and did not answer": "server_silent",
    "a server broke off its answer": "server_broke_off",
    "the servers refused the request unstarted": "servers_refused",
    "no server of the service was known": "no_server",
    "a model server left orders for the model unanswered": "orders_unanswered",
    "the model was not loaded in time": "model_not_loaded",
    "the model was being loaded, and the caller was told when to come back": "told_to_return",
    "the model could not be loaded before the caller would have left": "no_turn",
    "no daemon led, so nothing was loaded": "no_leader",
    "the daemon was stopping as planned": "leaving",
    "the caller went away": "caller_left",
    "the model or adapter was loaded late": "served_late",
    "the server paused between events": "server_paused",
}


@given("log lines of a request that was told to retry, and of one that was late at its server")
def step_loss_lines(context: Any) -> None:
    retry = {"decision": "come-back", "request_id": "a", "target": "m1"}
    ended = {"decision": "given-up", "request_id": "a", "route": "r-1", "waiting": True}
    late = {"decision": "late", "request_id": "b", "target": "m1", "waited_for_model": 0.0}
    context.lines = [LogLine(1.0, "d", REQUEST_TYPE, fields) for fields in (retry, ended, late)]


@given("log lines of a request that waited for its model, and of a store that was {states}")
def step_store_lines(context: Any, states: str) -> None:
    lines = [LogLine(1.0, "d", "loomwind:election", {"state": "leader"})]
    names = ["lost", "answers"] if "regained" in states else ["lost"]
    lines += [
        LogLine(2.0 + n, "d", "loomwind:store", {"state": name}) for n, name in enumerate(names)
    ]
    ended = {"decision": "out-of-time", "request_id": "a", "target": "m1", "waiting": True}
    context.lines = [*lines, LogLine(5.0, "d", REQUEST_TYPE, ended)]


@then("its lines tell the cause {cause}")
def step_told_cause(context: Any, cause: str) -> None:
    assert explain_request("a", context.lines).cause is Cause[cause.upper()]


@then('the reasons are "{first}" on {route} and "{second}" on no known route')
def step_reasons(context: Any, first: str, route: str, second: str) -> None:
    expected = {Reason(route, first): 1, Reason("", second): 1}
    assert reasons(context.lines) == expected, reasons(context.lines)


@given("these refusals of requests whose model was not loaded")
def step_refusals(context: Any) -> None:
    context.lines = [
        LogLine(
            0.1 * number,
            "daemon-1",
            "loomwind:request",
            {
                "decision": row["decision"],
                "own_part": row["caller"],
                "target": "m1",
            },
        )
        for number, row in enumerate(context.table)
    ]


@then(
    "{told_to_retry:d} callers were told to retry and {refused_again:d} of them was refused again, "
    "{told_not_to:d} were told not to and {retried:d} retried"
)
def step_account(
    context: Any, told_to_retry: int, refused_again: int, told_not_to: int, retried: int
) -> None:
    account = promise_account(context.lines)
    assert account == PromiseAccount(told_to_retry, refused_again, told_not_to, retried), account
