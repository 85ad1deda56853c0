"""Steps for pools of servers that daemons serve with the metadata store."""

import signal
import time
from typing import Any

from behave import given, then, when

from features.support.caller import Reply, disconnect_during_response
from features.support.pool_site import PoolDaemonProcess, PoolSite
from features.support.processes import wait_until


def pool(context: Any) -> PoolSite:
    """Return the site of the scenario; the first call creates it."""
    if context.pool is None:
        context.pool = PoolSite()
    site: PoolSite = context.pool
    return site


def first_daemon(context: Any) -> PoolDaemonProcess:
    """Return the daemon that was added first."""
    return next(iter(pool(context).daemons.values()))


def replies_of(context: Any) -> list[Reply]:
    """Wait for pending replies and return all replies of the scenario."""
    context.replies += pool(context).callers.finish()
    replies: list[Reply] = context.replies
    return replies


@given("a model server {name} that holds {held}")
def step_model_server(context: Any, name: str, held: str) -> None:
    pool(context).add_model_server(name, "" if held == "nothing" else held)


@given("a plain server {name}")
def step_plain_server(context: Any, name: str) -> None:
    pool(context).add_plain_server(name)


@given("{count:d} pool daemons")
def step_daemons(context: Any, count: int) -> None:
    site = pool(context)
    site.configure()
    for number in range(count):
        site.add_daemon(f"daemon-{number + 1}")
    site.wait_ready()


@given("server {name} has faults {faults}")
@when("server {name} has faults {faults}")
def step_faults(context: Any, name: str, faults: str) -> None:
    pool(context).servers[name].fault(**parse_faults(faults))


@given("the store has faults {faults}")
@when("the store has faults {faults}")
def step_store_faults(context: Any, faults: str) -> None:
    pool(context).set_store_faults(**parse_faults(faults))


@when("the store recovers")
def step_store_recovers(context: Any) -> None:
    pool(context).set_store_faults()


def parse_faults(text: str) -> dict[str, object]:
    """Parse ``name=value, name=value`` into a dict."""
    faults: dict[str, object] = {}
    for item in text.split(", "):
        name, _, value = item.partition("=")
        if value in ("true", "false"):
            faults[name] = value == "true"
        else:
            faults[name] = float(value) if value.replace(".", "").isdigit() else value
    if "http_version" in faults:
        faults["http_version"] = str(faults["http_version"])
    if "cut_after_events" in faults:
        faults["cut_after_events"] = int(str(faults["cut_after_events"]).partition(".")[0])
    return faults


@when("a plain request on {name} is sent")
def step_send(context: Any, name: str) -> None:
    begin(context, name)
    replies_of(context)


@when("a model request on {name} for {target} is sent")
def step_send_for(context: Any, name: str, target: str) -> None:
    begin(context, name, target)
    replies_of(context)


@when("a stream on {name} for {target} with {events:d} events begins")
def step_begin_events(context: Any, name: str, target: str, events: int) -> None:
    begin(context, name, target, events)


@when("a plain request on {name} begins with {seconds:f} s to its deadline")
def step_begin_deadline(context: Any, name: str, seconds: float) -> None:
    begin(context, name, timeout_seconds=seconds)


@when("a model request on {name} for {target} begins with {seconds:f} s to its deadline")
def step_begin_target_deadline(context: Any, name: str, target: str, seconds: float) -> None:
    begin(context, name, target, timeout_seconds=seconds)


def begin(
    context: Any, name: str, target: str = "", events: int = 3, timeout_seconds: float = 6.0
) -> None:
    """Send a request to the first daemon without waiting for its reply."""
    site = pool(context)
    request = site.request(first_daemon(context), name, target, events, timeout_seconds)
    context.last_request_id = request.headers["x-request-id"]
    site.callers.begin([request])


@when("it runs at server {name}")
def step_runs_at(context: Any, name: str) -> None:
    server = pool(context).servers[name]
    request_id = context.last_request_id
    wait_until(lambda: request_id in server.state()["runs"], f"{request_id} runs at {name}")


@when("the first daemon gets {name}")
def step_signal(context: Any, name: str) -> None:
    process = first_daemon(context).process
    assert process is not None
    process.signal(signal.Signals[name])


@when("the leader receives {name}")
def step_end_leader(context: Any, name: str) -> None:
    leader = pool(context).leader()
    assert leader is not None and leader.process is not None
    context.old_leader = leader
    leader.process.signal(signal.Signals[name])


@then("another pool daemon becomes the leader")
def step_other_leads(context: Any) -> None:
    site = pool(context)
    old = context.old_leader

    def other_leads() -> bool:
        others = [d for d in site.daemons.values() if d is not old]
        return any(d.leading for d in others)

    wait_until(other_leads, "another pool daemon becomes the leader")


def event_ids(reply: Reply) -> list[int]:
    """Return the ids of the events in a reply, in their order."""
    return [int(line[4:]) for line in reply.body.split(b"\n") if line.startswith(b"id: ")]


@then("the last reply has status {status:d}")
def step_status(context: Any, status: int) -> None:
    reply = replies_of(context)[-1]
    assert reply.status == status, (reply.status, reply.body[:200])


@then("the last reply is complete with {count:d} events in order")
def step_events(context: Any, count: int) -> None:
    reply = replies_of(context)[-1]
    ids = event_ids(reply)
    assert reply.status == 200 and reply.is_complete, (
        reply.status,
        reply.is_complete,
        reply.body[:300],
    )
    assert ids == list(range(1, count + 1)), ids


@then("the last reply is truncated after {count:d} events in order")
def step_truncated_after(context: Any, count: int) -> None:
    reply = replies_of(context)[-1]
    assert reply.status == 200 and not reply.is_complete, (reply.status, reply.is_complete)
    assert event_ids(reply) == list(range(1, count + 1)), reply.body


@then("the last reply is truncated after a complete event")
def step_truncated(context: Any) -> None:
    reply = replies_of(context)[-1]
    assert reply.status == 200 and not reply.is_complete, (reply.status, reply.is_complete)
    assert reply.body == b"" or reply.body.endswith(b"\n\n"), reply.body


@then("the last request ran {count:d} times")
def step_ran(context: Any, count: int) -> None:
    reply = replies_of(context)[-1]
    ran = pool(context).runs(reply)
    assert ran == count, ran


@then('the last reply\'s body is "{text}"')
def step_body(context: Any, text: str) -> None:
    reply = replies_of(context)[-1]
    assert reply.body.decode() == text, reply.body


@then("the first daemon exits with status {status:d}")
def step_exited(context: Any, status: int) -> None:
    process = first_daemon(context).process
    assert process is not None
    wait_until(lambda: not process.alive, "the daemon has ended")
    assert process.exit_status == status, process.exit_status


@then("the first daemon is not ready")
def step_not_ready(context: Any) -> None:
    daemon = first_daemon(context)
    wait_until(lambda: daemon.ready_status() == 503, "the daemon says that it is not ready")


@then("server {name} holds {target}")
def step_holds(context: Any, name: str, target: str) -> None:
    server = pool(context).servers[name]
    wait_until(lambda: target in server.state()["held"], f"{name} holds {target}")


@then("no order overcommitted a server")
def step_no_violation(context: Any) -> None:
    violations = {name: s.state()["violations"] for name, s in pool(context).servers.items()}
    assert not any(violations.values()), violations


@when("a running daemon gets a request on {name} for {target}")
def step_send_running(context: Any, name: str, target: str) -> None:
    site = pool(context)
    stopped_leader = getattr(context, "old_leader", None)
    running = [
        daemon
        for daemon in site.daemons.values()
        if daemon is not stopped_leader and daemon.process is not None and daemon.process.alive
    ]
    site.callers.begin([site.request(running[0], name, target)])
    replies_of(context)


@then("every reply has the body of its own request")
def step_own_bodies(context: Any) -> None:
    for reply in replies_of(context):
        assert reply.status == 200, reply.status
        assert reply.body == b"POST /book/item hello", reply.body


@when("a caller disconnects during a stream for {target}")
def step_disconnect(context: Any, target: str) -> None:
    site = pool(context)
    request = site.request(first_daemon(context), "drill", target, 200)
    context.last_request_id = request.headers["x-request-id"]
    disconnect_during_response(request)


@then("its execution on server {name} is cancelled")
def step_cancelled(context: Any, name: str) -> None:
    server = pool(context).servers[name]
    request_id = context.last_request_id
    wait_until(lambda: request_id in server.state()["cancelled"], f"{request_id} is cancelled")


@when("it waits at the first daemon")
def step_waits(context: Any) -> None:
    daemon = first_daemon(context)
    wait_until(lambda: daemon.metric("loomwind_requests_waiting") >= 1, "a request waits")


@given("leases of {seconds:d} s")
def step_leases(context: Any, seconds: int) -> None:
    pool(context).lease_ms = 1000 * seconds


@given("routes with a target latency of {seconds:d} s")
def step_target_latency(context: Any, seconds: int) -> None:
    for route_fields in pool(context).routes:
        route_fields["target-latency-ms"] = 1000 * seconds


@when("twice the lease duration passes")
def step_wait_two_leases(context: Any) -> None:
    """Wait for twice the lease duration."""
    site = pool(context)
    started_at = time.monotonic()
    wait_until(
        lambda: time.monotonic() - started_at > 2 * site.lease_ms / 1000, "two leases have passed"
    )


@given("servers with {memory:d} MB")
def step_memory(context: Any, memory: int) -> None:
    pool(context).memory_mb = float(memory)


@when("server {name} is unloading")
def step_unloading(context: Any, name: str) -> None:
    server = pool(context).servers[name]
    wait_until(
        lambda: any(order["op"] == "unload" for order in server.state()["orders"]),
        f"{name} got an order to unload",
    )


@when("server {name} restarts with the same instance id and no models")
def step_restart_server(context: Any, name: str) -> None:
    pool(context).restart_model_server(name)


@when("server {name} is killed")
def step_kill_server(context: Any, name: str) -> None:
    pool(context).servers.pop(name).process.close()
