"""Steps for the leader, its orders and delayed responses to orders."""

import signal
from typing import Any

from behave import then, when

from features.steps.pool_steps import pool, replies_of
from features.support.processes import wait_until


@when("{count:d} requests for {target} begin at every daemon")
def step_burst(context: Any, count: int, target: str) -> None:
    site = pool(context)
    daemons = list(site.daemons.values())
    site.callers.begin(
        [site.request(daemon, "drill", target) for _ in range(count) for daemon in daemons]
    )


@then("every reply is complete")
def step_all_complete(context: Any) -> None:
    for reply in replies_of(context):
        assert reply.status == 200 and reply.is_complete, (
            reply.status,
            reply.is_complete,
            reply.body[:200],
        )


@then("{target} was ordered at most once at each server and at no more than {count:d} servers")
def step_loads(context: Any, target: str, count: int) -> None:
    """Check the loads: the leader may add a second copy of a busy model, but no more in a burst."""
    ordered = []
    for server in pool(context).servers.values():
        orders = [o for o in server.state()["orders"] if o["model"] == target and not o["adapter"]]
        ordered.append(sum(1 for order in orders if order["op"] == "load"))
    assert max(ordered) == 1 and sum(ordered) <= count, ordered


@when("a server has received an order")
def step_order_received(context: Any) -> None:
    servers = pool(context).servers.values()
    wait_until(lambda: any(s.state()["orders"] for s in servers), "a server got an order")


@when("the paused leader resumes")
def step_resumes(context: Any) -> None:
    context.old_leader.process.signal(signal.SIGCONT)


@then("the fencing tokens of the orders at each server never decrease")
def step_fences(context: Any) -> None:
    for name, server in pool(context).servers.items():
        fences = [order["fencing-token"] for order in server.state()["orders"]]
        assert fences == sorted(fences), (name, fences)


@when("all daemons are killed and restarted")
def step_kill_all(context: Any) -> None:
    site = pool(context)
    for daemon in site.daemons.values():
        assert daemon.process is not None
        daemon.process.kill()
    for daemon in site.daemons.values():
        daemon.start()
    site.wait_ready()
