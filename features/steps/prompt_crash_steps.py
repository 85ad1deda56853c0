"""Steps for requests whose prompts crash servers."""

import itertools
import time
from collections.abc import Callable, Iterable
from typing import Any

from behave import given, then, when

from features.steps.pool_steps import pool
from features.support.caller import Reply
from features.support.pool_site import PoolDaemonProcess, PoolSite
from features.support.processes import WAIT_TIMEOUT_SECONDS

MODEL = "m1"
FIRST_PART = "route:100"
ROUND_SECONDS = 0.25
DEADLINE_SECONDS = 4.0
RESTART_AFTER_SECONDS = 0.8
_numbers = itertools.count()


@given("all servers crash on the prompt part {part}")
def step_crash_part(context: Any, part: str) -> None:
    for server in pool(context).servers.values():
        server.fault(crash_part=part, back_after_seconds=RESTART_AFTER_SECONDS)


@when("good requests are sent to every daemon for {seconds:f} s")
def step_good(context: Any, seconds: float) -> None:
    _send(context, pool(context).daemons.values(), ("good",), _until_elapsed(seconds))


@when(
    "bad and good requests are sent to every daemon until the part is banned, "
    "and for {seconds:f} s more"
)
def step_until_banned(context: Any, seconds: float) -> None:
    site = pool(context)
    limit = time.monotonic() + WAIT_TIMEOUT_SECONDS

    def keep_sending() -> bool:
        assert time.monotonic() < limit, f"not banned after {_crash_count(site)} crashes"
        return not any(_has_banned(daemon) for daemon in site.daemons.values())

    _send(context, site.daemons.values(), ("bad", "good"), keep_sending)
    context.crashes_until_ban = _crash_count(site)
    _send(context, site.daemons.values(), ("bad", "good"), _until_elapsed(seconds))


def _has_banned(daemon: PoolDaemonProcess) -> bool:
    return any(
        line.get("message_type") == "loomwind:prompt"
        and line.get("state") == "banned"
        and line.get("part") == "bad"
        for line in daemon.log_lines()
    )


@then("servers crashed at most {count:d} times until the part was banned")
def step_crashed_at_most(context: Any, count: int) -> None:
    assert context.crashes_until_ban <= count, context.crashes_until_ban


@when("bad and good requests are sent to every daemon for {seconds:f} s")
def step_counted(context: Any, seconds: float) -> None:
    _send_counted(context, pool(context).daemons.values(), ("bad", "good"), seconds)


@when("daemon-1 is killed and restarted")
def step_restart(context: Any) -> None:
    daemon = pool(context).daemons["daemon-1"]
    assert daemon.process is not None
    daemon.process.kill()
    daemon.start()
    pool(context).wait_ready()


@when("bad requests are sent to daemon-1 for {seconds:f} s")
def step_counted_bad(context: Any, seconds: float) -> None:
    _send_counted(context, [pool(context).daemons["daemon-1"]], ("bad",), seconds)


def _send_counted(
    context: Any, daemons: Iterable[PoolDaemonProcess], part_names: tuple[str, ...], seconds: float
) -> None:
    """Send requests, and keep their replies for the checks."""
    pool(context).callers.finish()
    context.counted_from_s = time.time()
    context.counted = _send(context, daemons, part_names, _until_elapsed(seconds))


def _until_elapsed(seconds: float) -> Callable[[], bool]:
    ends = time.monotonic() + seconds
    return lambda: time.monotonic() < ends


def _crash_count(site: PoolSite) -> int:
    return sum(len(server.last_known_state()["crash_times_s"]) for server in site.servers.values())


def _send(
    context: Any,
    daemons: Iterable[PoolDaemonProcess],
    part_names: tuple[str, ...],
    keep_sending: Callable[[], bool],
) -> list[tuple[str, Any]]:
    """Send each daemon a request with each part per round, while ``keep_sending`` is true."""
    site = pool(context)
    sent = []
    listed = list(daemons)
    while keep_sending():
        for daemon, part in itertools.product(listed, part_names):
            prompt = f"{FIRST_PART},{part}:50,own{next(_numbers)}:10"
            request = site.request(
                daemon, "drill", MODEL, timeout_seconds=DEADLINE_SECONDS, prompt=prompt
            )
            site.callers.begin([request])
            sent.append((part, site.callers.pending[-1]))
        time.sleep(ROUND_SECONDS)
    return sent


@then("at most {count:d} of the last bad requests reached servers")
def step_few(context: Any, count: int) -> None:
    replies = [future.result() for _, future in context.counted]
    times = [
        at_s
        for server in pool(context).servers.values()
        for at_s in server.last_known_state()["crash_part_times_s"]
        if at_s >= context.counted_from_s
    ]
    assert len(times) <= count, (len(times), len(replies), _crash_count(pool(context)))


@then("at least {part:f} of the last good requests were served at the first attempt")
def step_good_served(context: Any, part: float) -> None:
    replies: list[Reply] = [future.result() for name, future in context.counted if name == "good"]
    served = [reply for reply in replies if reply.status == 200 and reply.is_complete]
    ends = [(reply.status, reply.body[:60]) for reply in replies if reply not in served]
    assert len(served) >= part * len(replies), (len(served), len(replies), ends)
