"""Steps about back ends that are leaving."""

import signal
from typing import Any

from behave import then, when

from features.support.acting import ask, client_for
from features.support.processes import wait_until
from features.support.site import BackendProcess, Site
from loomwind.ports.base import MachineState


def holder(site: Site, artifact: str) -> BackendProcess:
    """Return the engine that holds an artifact."""
    for engine in site.engines.values():
        holdings = engine.control("/_statistics")["holdings"]
        if any(h["artifact"] == artifact and not h["ended"] for h in holdings):
            return engine
    raise AssertionError(f"no engine holds {artifact}")


@when("the engine that holds {artifact} says that it is leaving")
def step_says(context: Any, artifact: str) -> None:
    context.leaving = holder(context.site, artifact)
    context.leaving.fault(leaving=True)


@when("the engine that holds {artifact} is paused")
def step_pause(context: Any, artifact: str) -> None:
    holder(context.site, artifact).process.signal(signal.SIGSTOP)


@when("the engine that holds {artifact} is listed as leaving")
def step_listed(context: Any, artifact: str) -> None:
    context.leaving = holder(context.site, artifact)
    context.leaving.state = MachineState.LEAVING
    context.site.list_machines()


@when("an operator drains the engine that holds {artifact}")
def step_drain(context: Any, artifact: str) -> None:
    context.leaving = holder(context.site, artifact)
    daemon = next(iter(context.site.daemons.values()))
    client_for(daemon).drain(context.leaving.name)


@then("soon no daemon sends that engine new work")
def step_no_work(context: Any) -> None:
    site: Site = context.site

    def unused() -> bool:
        statuses = [client_for(daemon).status() for daemon in site.daemons.values()]
        return all(r.engine != context.leaving.name for s in statuses for r in s.replicas)

    wait_until(unused, "no daemon has a replica on the leaving engine")
    context.before = sum(context.leaving.control("/_executions").values())


@then("{count:d} callers ask each daemon for {model} and all are answered by another engine")
def step_elsewhere(context: Any, count: int, model: str) -> None:
    site: Site = context.site
    ask(context, list(site.daemons.values()), count, [model])
    replies = site.callers.finish()
    assert all(reply.status == 200 for reply in replies), [r.body[:200] for r in replies]
    assert sum(context.leaving.control("/_executions").values()) == context.before
