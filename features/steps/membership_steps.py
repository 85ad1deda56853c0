"""Steps about daemons that fail, stop, restart, or are cut off."""

import signal
from typing import Any

from behave import given, then, when

from features.support.acting import ask, controller_of, finished, running, voters
from features.support.caller import chat, send
from features.support.processes import wait_until
from features.support.site import DaemonProcess, Site

CELL_VOTERS = 3


@given("a spare daemon {name} in {zone}")
def step_spare(context: Any, name: str, zone: str) -> None:
    site: Site = context.site
    site.start_daemon(site.add_daemon(name, zone))
    wait_until(lambda: site.daemons[name].ready, f"{name} is ready")


@given("a spare address for {name} in {zone}")
def step_spare_address(context: Any, name: str, zone: str) -> None:
    context.spare = DaemonProcess(name, zone, context.site.folder)


@when("the daemon {name} is killed")
def step_kill_named(context: Any, name: str) -> None:
    context.site.daemons[name].kill()


@when("a voter that is not the controller is killed")
@when("another voter is killed")
@then("another voter is killed")
def step_kill_voter(context: Any) -> None:
    site: Site = context.site
    controller = controller_of(context)

    def victims() -> list[DaemonProcess]:
        others = [d for d in voters(site) if d is not controller]
        return [d for d in others if d.process and d.process.alive]

    wait_until(lambda: bool(victims()), "another daemon has adopted that it is a voter")
    context.killed = victims()[0]
    context.killed.kill()


@when("every daemon is killed and started again, one after the other")
def step_rolling(context: Any) -> None:
    site: Site = context.site
    for daemon in site.daemons.values():
        daemon.kill()
        site.start_daemon(daemon)
        wait_until(lambda: bool(daemon.metric("loomwind_voter") == 1.0), "it is a voter again")  # noqa: B023
        site.wait_ready()


@when("the killed daemon is started again")
def step_start_again(context: Any) -> None:
    context.site.start_daemon(context.killed)
    wait_until(lambda: bool(context.killed.ready), "the daemon is ready again")


@when("{name} becomes a voter in its place")
def step_becomes_voter(context: Any, name: str) -> None:
    daemon = context.site.daemons[name]
    wait_until(lambda: bool(daemon.metric("loomwind_voter") == 1.0), f"{name} is a voter")


@when("all voter seats are filled again")
def step_voters_filled(context: Any) -> None:
    wait_until(lambda: len(voters(context.site)) == CELL_VOTERS, "all voter seats are filled")


@when("all daemons but one are killed")
def step_kill_most(context: Any) -> None:
    daemons = list(context.site.daemons.values())
    context.killed_daemons = daemons[1:]
    for daemon in context.killed_daemons:
        daemon.kill()


@when("the killed daemons are started again")
def step_start_most(context: Any) -> None:
    for daemon in context.killed_daemons:
        context.site.start_daemon(daemon)
    context.site.wait_ready()


@then("the generation is {generation:d}")
def step_generation(context: Any, generation: int) -> None:
    for daemon in running(context.site):
        assert daemon.metric("loomwind_generation") == generation


@when("the remaining daemon notices that there is no controller")
def step_notices(context: Any) -> None:
    """Send requests until one is refused at once: a daemon first waits for a new controller."""
    daemon = running(context.site)[0]

    def refused() -> bool:
        reply = send(chat(daemon.address, "cold", timeout_seconds=1.0))
        return reply.status == 503

    wait_until(refused, "the daemon refuses requests")


@when("{count:d} callers ask each daemon that runs for {model}")
def step_ask_running(context: Any, count: int, model: str) -> None:
    ask(context, running(context.site), count, [model])
    finished(context)


@when("{count:d} callers ask {first} and {second} for {model}")
def step_ask_two(context: Any, count: int, first: str, second: str, model: str) -> None:
    daemons = [context.site.daemons[name] for name in (first, second)]
    ask(context, daemons, count, [model])
    finished(context)


@when("the daemon {name} leads")
def step_leads(context: Any, name: str) -> None:
    """Make a daemon the controller by pausing the others until it leads."""
    site: Site = context.site
    for _ in range(len(site.daemons) * 4):
        controller = controller_of(context)
        if controller.name == name:
            return
        controller.signal(signal.SIGSTOP)
        wait_until(
            lambda: any(d.leading for d in site.daemons.values() if d is not controller),  # noqa: B023
            "another daemon leads",
        )
        controller.signal(signal.SIGCONT)
        wait_until(lambda: not controller.leading, "the old leader steps down")  # noqa: B023
    raise AssertionError(f"{name} never led")


@when("the controller has led for {count:d} heartbeats")
@when("the controller has led for {count:d} more heartbeats")
def step_led(context: Any, count: int) -> None:
    controller = controller_of(context)

    def heartbeats_sent() -> float:
        return controller.metric("loomwind_peer_messages_total", type="Heartbeat")

    target_count = heartbeats_sent() + count
    wait_until(
        lambda: heartbeats_sent() >= target_count,
        "the controller has sent the heartbeats",
    )


@when("{zone} is cut off")
def step_cut(context: Any, zone: str) -> None:
    site: Site = context.site
    assert site.links is not None
    site.links.set_state("cut")
    inside = [d for d in site.daemons.values() if d.zone == zone]
    outside = [d for d in site.daemons.values() if d.zone != zone]
    wait_until(
        lambda: any(d.leading for d in outside) and not any(d.leading for d in inside),
        "the majority has a controller and the cut zone has none",
    )


def count_controller_terms(site: Site) -> float:
    """Return the number of terms of all controllers together."""
    counts: list[float] = [
        daemon.metric("loomwind_controller_terms_total") for daemon in site.daemons.values()
    ]
    return sum(counts)


@when("{one} and {other} lose each other")
def step_lose_each_other(context: Any, one: str, other: str) -> None:
    site: Site = context.site
    assert site.links is not None
    context.controller_terms = count_controller_terms(site)
    site.links.set_state("blackhole")
    context.disconnected = [site.daemons[one], site.daemons[other]]


@when("both suspect each other for {count:d} heartbeats")
def step_suspect(context: Any, count: int) -> None:
    def sees_one_daemon_alive(daemon: DaemonProcess) -> bool:
        return daemon.metric("loomwind_members", state="alive") == 1

    wait_until(
        lambda: all(sees_one_daemon_alive(d) for d in context.disconnected),
        "both daemons suspect each other",
    )
    third = next(d for d in context.site.daemons.values() if d not in context.disconnected)

    def heartbeats_sent() -> float:
        return float(third.metric("loomwind_peer_messages_total", type="Heartbeat"))

    target_count = heartbeats_sent() + count * 2
    wait_until(lambda: heartbeats_sent() >= target_count, "heartbeats were sent")


@then("the controller has changed at most once since")
def step_changed_once(context: Any) -> None:
    site: Site = context.site
    assert count_controller_terms(site) <= context.controller_terms + 1, (
        count_controller_terms(site),
        context.controller_terms,
    )
    wait_until(lambda: site.controller() is not None, "one daemon leads")


@then("neither considers the other gone")
def step_not_gone(context: Any) -> None:
    for daemon in context.disconnected:
        assert daemon.metric("loomwind_members", state="gone") == 0, daemon.name


@when("{zone} is reconnected")
def step_reconnect(context: Any, zone: str) -> None:
    assert context.site.links is not None
    context.site.links.set_state("heal")
    site: Site = context.site
    others = len(site.daemons) - 1
    wait_until(
        lambda: all(
            d.metric("loomwind_members", state="alive") == others for d in site.daemons.values()
        ),
        "every daemon considers all others alive",
    )
    wait_until(lambda: site.controller() is not None, "one daemon leads")


@when("a daemon that does not lead is told to stop")
def step_stop(context: Any) -> None:
    controller = controller_of(context)
    others = [d for d in context.site.daemons.values() if d is not controller]
    context.stopped = others[0]
    context.stopped.signal(signal.SIGTERM)


@when("the controller is told to stop")
def step_stop_controller(context: Any) -> None:
    context.stopped = controller_of(context)
    context.stopped.signal(signal.SIGTERM)


@then("the stopped daemon ended with status {status:d}")
def step_ended(context: Any, status: int) -> None:
    process = context.stopped.process
    wait_until(lambda: process.exit_status is not None, "the stopped daemon ends")
    assert process.exit_status == status, process.exit_status


@when("an engine is in the middle of a stream")
def step_streaming(context: Any) -> None:
    site: Site = context.site
    wait_until(lambda: bool(site.executions()), "an engine runs requests")
    context.loading = next(e for e in site.engines.values() if e.control("/_executions"))
