"""Steps about daemons that are cut off from each other and from the store while one leads."""

import signal
import time
from typing import Any

from behave import given, then, when

from features.steps.pool_steps import pool
from features.support.leadership import LeadershipRecord
from features.support.pool_site import PoolDaemonProcess
from features.support.processes import wait_until

DAEMON_TABLE = "loomwind"
LEASE_TABLE = "loomwind-lease"
# Of ``lease_ms``: what the lease lasts without a renewal.
LEASE_FRACTION = 0.6


@given("{count:d} pool daemons with links to the store and to each other")
def step_linked_daemons(context: Any, count: int) -> None:
    site = pool(context)
    site.configure()
    site.add_linked_daemons([f"daemon-{number + 1}" for number in range(count)])
    site.wait_ready()
    wait_until(lambda: len(listed(context)) == count, "all daemons are listed")


@given("it is recorded who leads")
def step_record(context: Any) -> None:
    site = pool(context)
    context.old_leader = site.leader()
    context.old_fence = context.old_leader.metric("loomwind_lease_fence")
    context.leadership = LeadershipRecord(list(site.daemons.values()))
    context.leadership.start()
    context.add_cleanup(context.leadership.finish)


def listed(context: Any) -> set[str]:
    """Return the names of the daemons that have a row in the store."""
    keys = (row["key"] for row in pool(context).rows(DAEMON_TABLE))
    return {key.removeprefix("daemon/") for key in keys if key.startswith("daemon/")}


def others(context: Any) -> list[PoolDaemonProcess]:
    """Return all daemons but the one that led first."""
    return [d for d in pool(context).daemons.values() if d is not context.old_leader]


@when("all other daemons have stopped and are listed no more")
def step_stop_others(context: Any) -> None:
    for daemon in others(context):
        assert daemon.process is not None
        daemon.process.signal(signal.SIGTERM)
    wait_until(
        lambda: not any(d.process and d.process.alive for d in others(context)), "they have ended"
    )
    wait_until(lambda: listed(context) == {context.old_leader.name}, "only the leader is listed")


@when("all other daemons start again")
def step_start_others(context: Any) -> None:
    for daemon in others(context):
        daemon.start()


@when("the links between the leader and its peers become {state:w}")
def step_peer_links(context: Any, state: str) -> None:
    pool(context).set_peer_links(context.old_leader, state)


@when("the link between the leader and the store becomes {state:w}")
def step_store_link(context: Any, state: str) -> None:
    pool(context).set_store_link(context.old_leader, state)


@when("the lease is renewed {count:d} times")
def step_renewed(context: Any, count: int) -> None:
    versions: set[int] = set()

    def renewed() -> bool:
        versions.update(row["ver"] for row in pool(context).rows(LEASE_TABLE))
        return len(versions) > count

    wait_until(renewed, f"the lease has been renewed {count} times")


@then("the leader still leads under the same fencing token")
def step_still_leads(context: Any) -> None:
    leader = context.old_leader
    fence = leader.metric("loomwind_lease_fence")
    assert leader.leading and fence == context.old_fence, (leader.leading, fence, context.old_fence)


@then("no two daemons have led at once")
def step_one_leader(context: Any) -> None:
    context.leadership.finish()
    simultaneous = context.leadership.simultaneous()
    assert not simultaneous, simultaneous[:3]


@then("the lease has changed hands at most once per lease duration")
def step_few_changes(context: Any) -> None:
    context.leadership.finish()
    record = context.leadership
    duration_s = LEASE_FRACTION * pool(context).lease_ms / 1000
    allowed = (time.monotonic() - record.started_s) / duration_s
    taken = sorted({(term.fence, term.daemon) for term in record.terms})
    assert len(taken) - 1 <= allowed, (taken, allowed)


@when("the old leader starts again")
def step_old_leader_starts(context: Any) -> None:
    leader = context.old_leader
    wait_until(lambda: not leader.process.alive, "the old leader has ended")
    leader.start()


@then("a pool daemon leads")
def step_any_leads(context: Any) -> None:
    wait_until(lambda: pool(context).leader() is not None, "a pool daemon leads")


@then("no pool daemon leads")
def step_none_leads(context: Any) -> None:
    wait_until(lambda: pool(context).leader() is None, "no pool daemon leads")
