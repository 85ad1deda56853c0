"""Steps about a daemon that is partitioned from its servers."""

import itertools
import time
from collections import Counter
from concurrent.futures import Future
from typing import Any

from behave import given, then, when

from features.steps.pool_steps import pool, replies_of
from features.support.caller import Reply
from features.support.pool_site import MODEL_SERVICE, PoolDaemonProcess, PoolSite

ROUND_SECONDS = 0.2
# Route, model, and the caller's timeout in seconds.
REQUEST_KINDS = (("book", "", 1.5), ("drill", "m1", 4.0), ("look", "", 1.5), ("draft", "m2", 4.0))


@given("links between {daemon} and all servers")
def step_links(context: Any, daemon: str) -> None:
    pool(context).add_server_links(daemon)


@given("{count:d} further pool daemons")
def step_add_daemons(context: Any, count: int) -> None:
    site = pool(context)
    for _ in range(count):
        site.add_daemon(f"daemon-{len(site.daemons) + 1}")
    site.wait_ready()


@given("the daemon {name:S} leads")
def step_leads(context: Any, name: str) -> None:
    context.old_leader = pool(context).leader()
    assert context.old_leader is not None and context.old_leader.name == name


@when("all model servers are killed")
def step_kill_model_servers(context: Any) -> None:
    leader = context.old_leader
    context.old_fence = leader.metric("loomwind_lease_fence")
    for server in pool(context).servers.values():
        if server.service == MODEL_SERVICE:
            server.process.kill()


@then("daemon-1 still leads with the same fencing token")
def step_still_leads(context: Any) -> None:
    leader = context.old_leader
    assert leader.leading
    fence = leader.metric("loomwind_lease_fence")
    assert fence == context.old_fence, (fence, context.old_fence)


@when("{name} gets a model request on {route} for {target}")
def step_request_at(context: Any, name: str, route: str, target: str) -> None:
    site = pool(context)
    site.callers.begin([site.request(site.daemons[name], route, target)])
    replies_of(context)


@when("the links to the servers become {state}")
def step_state(context: Any, state: str) -> None:
    link = pool(context).server_link
    assert link is not None
    link.set_state(state)


@when("the links to the servers of {service:w} become {state}")
def step_service_state(context: Any, service: str, state: str) -> None:
    site = pool(context)
    assert site.server_link is not None
    site.server_link.set_state(state, site.addresses_of(service))


@when("callers keep every daemon busy for {seconds:f} s")
def step_busy(context: Any, seconds: float) -> None:
    """Send requests without waiting for them; their results are ignored."""
    _send_rounds(pool(context), seconds)


@when("first attempts come to every daemon for {seconds:f} s")
def step_attempts(context: Any, seconds: float) -> None:
    replies_of(context)
    context.attempts = _send_rounds(pool(context), seconds)


def _send_rounds(site: PoolSite, seconds: float) -> list[tuple[str, Future[Reply]]]:
    """Send one request per round to each daemon; returns daemon names and pending replies."""
    sent: list[tuple[str, Future[Reply]]] = []
    ends = time.monotonic() + seconds
    kinds = itertools.cycle(REQUEST_KINDS)
    while time.monotonic() < ends:
        route, target, timeout = next(kinds)
        for daemon in site.daemons.values():
            sent.append((daemon.name, _begin(site, daemon, route, target, timeout)))
        time.sleep(ROUND_SECONDS)
    return sent


def _begin(
    site: PoolSite, daemon: PoolDaemonProcess, route: str, target: str, timeout: float
) -> Future[Reply]:
    site.callers.begin([site.request(daemon, route, target, timeout_seconds=timeout)])
    return site.callers.pending[-1]


@then("{name} serves at least {part:f} times the share of first attempts that the others serve")
def step_share(context: Any, name: str, part: float) -> None:
    sent: Counter[bool] = Counter()
    served: Counter[bool] = Counter()
    failures = []
    for daemon, future in context.attempts:
        reply = future.result()
        is_partitioned = daemon == name
        good = reply.status == 200 and reply.is_complete
        sent[is_partitioned] += 1
        served[is_partitioned] += good
        if not good:
            failures.append((daemon, reply.status, reply.body[:60], round(reply.seconds, 2)))
    shares = {
        is_partitioned: served[is_partitioned] / sent[is_partitioned] for is_partitioned in sent
    }
    assert shares[True] >= part * shares[False], (shares, sent, failures)
