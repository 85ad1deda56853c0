"""Steps for the metrics of a pool daemon."""

import re
from typing import Any

from behave import given, then, when

from bench.store_calls import CALLS_STATE, STORE_TYPE, calls_by_daemon
from features.steps.pool_steps import first_daemon
from features.support.processes import wait_until
from loomwind.explain import LogLine
from loomwind.metrics import OTHER_SERVERS_LABEL, ServerLabels

SAMPLE = re.compile(r"^(\w+)(?:\{(.*)\})? (\S+)$")


def sum_metric(page: str, name: str, labels: str) -> float:
    """Return the sum of a metric's samples that match all labels, ``name=value, name=value``."""
    wanted = [item.replace("=", '="') + '"' for item in labels.split(", ") if item]
    total = 0.0
    for line in page.splitlines():
        match = SAMPLE.match(line)
        if match and match[1] == name and all(item in (match[2] or "") for item in wanted):
            total += float(match[3])
    return total


def wait_for_metric(context: Any, name: str, labels: str, expected: float, exact: bool) -> None:
    """Wait until a metric of the first daemon reaches a value, or equals it when ``exact``."""

    def reached() -> bool:
        value = sum_metric(first_daemon(context).metrics(), name, labels)
        return value == expected if exact else value >= expected

    wait_until(reached, f"{name} {labels} reaches {expected}")


@then("metric {name:w} is {value:d}")
def step_metric(context: Any, name: str, value: int) -> None:
    wait_for_metric(context, name, "", value, exact=True)


@then("metric {name:w} is at least {value:d}")
def step_metric_least(context: Any, name: str, value: int) -> None:
    wait_for_metric(context, name, "", value, exact=False)


@then("metric {name:w} with {labels} is {value:d}")
def step_metric_labels(context: Any, name: str, labels: str, value: int) -> None:
    wait_for_metric(context, name, labels, value, exact=True)


@then("metric {name:w} with {labels} is at least {value:d}")
def step_metric_labels_least(context: Any, name: str, labels: str, value: int) -> None:
    wait_for_metric(context, name, labels, value, exact=False)


@given("a limit of {count:d} server labels")
def step_labels(context: Any, count: int) -> None:
    context.labels = ServerLabels(count)


@when("{count:d} servers are counted")
def step_counted(context: Any, count: int) -> None:
    context.seen = {context.labels.label_for(f"i-{number}") for number in range(count)}


@then("the labels are the first {count:d} and other")
def step_labels_are(context: Any, count: int) -> None:
    assert context.seen == {f"i-{number}" for number in range(count)} | {OTHER_SERVERS_LABEL}


@given(
    "log lines of a daemon with {first:d} store calls, then {second:d}, "
    "and {after_restart:d} after a restart"
)
def step_call_lines(context: Any, first: int, second: int, after_restart: int) -> None:
    counts = [("a", first), ("a", second), ("b", after_restart)]
    context.call_lines = [
        LogLine(
            float(number),
            "daemon-1",
            STORE_TYPE,
            {"state": CALLS_STATE, "life": incarnation, "calls": {"read servers answered": count}},
        )
        for number, (incarnation, count) in enumerate(counts)
    ]


@then("the table of store calls has {count:d} calls of the daemon")
def step_call_table(context: Any, count: int) -> None:
    calls = calls_by_daemon(context.call_lines)
    assert calls["daemon-1"].total() == count, calls
