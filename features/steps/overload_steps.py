"""Steps for servers that get more requests than they have places for."""

from typing import Any

from behave import given, then, when

from features.steps.pool_steps import first_daemon, pool
from features.support.overload import NOTICE_LOAD, NOTICE_SECONDS, Load, OverloadRig
from features.support.pool_site import PoolDaemonProcess
from features.support.processes import wait_until


@given("{count:d} model servers with few places")
def step_servers(context: Any, count: int) -> None:
    context.rig = OverloadRig(pool(context))
    context.rig.add_servers(count)


@given("{count:d} model servers that have 4 places and state {slots:d}")
def step_overstated(context: Any, count: int, slots: int) -> None:
    context.rig = OverloadRig(pool(context))
    context.rig.add_servers(count, slots)


@given("the servers fall over when they reject more than {count:d} requests in a second")
def step_brittle(context: Any, count: int) -> None:
    context.rig.set_faults(max_rejections=count)
    context.rig.play(NOTICE_LOAD, NOTICE_SECONDS)


@when("requests come at {load:f} times what the servers hold, for {seconds:f} s")
def step_load(context: Any, load: float, seconds: float) -> None:
    context.load = context.rig.play(load, seconds)
    print(context.load.summary())


@when("the daemon is killed once the store has the limit, and starts again")
def step_kill_daemon(context: Any) -> None:
    daemon = first_daemon(context)
    wait_until(lambda: bool(_limit_lines(daemon, "stored")), "the limit is stored")
    assert daemon.process is not None
    daemon.process.kill()
    daemon.start()


@then("it has the limit from the store")
def step_limit_from_store(context: Any) -> None:
    daemon = first_daemon(context)
    known = "the limit is known again"
    wait_until(lambda: len(_limit_lines(daemon, "known")) > 1, known)
    assert _limit_lines(daemon, "known")[1]["teller"] == "the store"


def _limit_lines(daemon: PoolDaemonProcess, state: str) -> list[dict[str, Any]]:
    """Return the log lines of changes of the limits."""
    return [
        line
        for line in daemon.log_lines()
        if line.get("message_type") == "loomwind:rejection-limit" and line.get("state") == state
    ]


@then("the servers fell over at most {count:d} times")
def step_falls(context: Any, count: int) -> None:
    load: Load = context.load
    assert load.falls <= count, load.summary()


@then("at least {share:f} of the requests that they could hold were served")
def step_served(context: Any, share: float) -> None:
    load: Load = context.load
    assert load.served >= share * load.possible, load.summary()


@then("every request was served")
def step_all_served(context: Any) -> None:
    load: Load = context.load
    assert not load.unserved, (load.unserved[:5], load.summary())


@then("every rejected request may come back at a given time")
def step_come_back(context: Any) -> None:
    load: Load = context.load
    rejected = [each for each in load.outcomes if each.status == 503]
    assert all(each.retry_after_seconds is not None for each in rejected), load.summary()


@then("no request ended in another way")
def step_only_rejected(context: Any) -> None:
    load: Load = context.load
    others = [each for each in load.outcomes if each.status not in (200, 503)]
    assert not others, (others[:5], load.summary())
