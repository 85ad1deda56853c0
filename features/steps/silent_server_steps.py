"""Steps for a server whose process is suspended for a while."""

import signal
import threading
from typing import Any

from behave import then, when

from features.steps.pool_steps import pool
from features.support.caller import Reply


@when("server {name:w} is suspended for {seconds:f} s")
def step_suspended(context: Any, name: str, seconds: float) -> None:
    process = pool(context).servers[name].process
    process.signal(signal.SIGSTOP)
    threading.Timer(seconds, process.signal, (signal.SIGCONT,)).start()


@then("every first attempt is served and ran exactly once")
def step_all_served(context: Any) -> None:
    replies: list[Reply] = [future.result() for _, future in context.attempts]
    runs: dict[str, int] = {}
    for server in pool(context).servers.values():
        for request_id, count in server.state()["runs"].items():
            runs[request_id] = runs.get(request_id, 0) + count
    bad = [
        (
            reply.status,
            reply.is_complete,
            reply.body[:60],
            runs.get(reply.request_id),
            reply.seconds,
        )
        for reply in replies
        if reply.status != 200 or not reply.is_complete or runs.get(reply.request_id) != 1
    ]
    assert not bad, bad


@then("no model server was ordered to load a model")
def step_no_loads(context: Any) -> None:
    """Check orders for models only: adapters are always loaded in advance."""
    orders = [
        order
        for server in pool(context).servers.values()
        for order in server.state()["orders"]
        if order["op"] == "load" and not order["adapter"]
    ]
    assert not orders, orders
