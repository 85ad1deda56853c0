"""Load through daemons that serve a pool by a store, against the stand-ins, with faults on the way.

``python -m bench pool --daemons 3 --rate 20 --seconds 20 --fault kill-leader``

Prints one line of JSON: how requests ended, times to the first byte, and whether a promise was
broken as callers and servers saw it. All is real processes on loopback.
"""

import random
import signal
import time
from collections import Counter
from collections.abc import Callable

import attrs
import msgspec

from bench.statistics import quantiles
from features.support.caller import Reply, Request
from features.support.pool_site import PoolSite

MODELS = ("m1", "m2", "m3", "m4")
MODEL_SERVERS = 2
PLAIN_SERVERS = 2
FAULT_PART = 0.4
HEAL_PART = 0.6
EVENTS = 5
MAY_RUN_ONCE = frozenset({"book", "draft"})


@attrs.frozen
class PoolResult:
    """What a run showed.

    :ivar ends: requests by status; 0 is no answer.
    :ivar run_twice: requests that may run once and ran more often.
    :ivar refused_and_run: requests with a 503 that ran all the same.
    :ivar overcommitted: orders beyond a server's memory.
    """

    fault: str
    requests: int
    ends: dict[str, int]
    first_byte_p50_s: float
    first_byte_p99_s: float
    run_twice: int
    refused_and_run: int
    overcommitted: int

    @property
    def kept(self) -> bool:
        """Whether every promise was kept."""
        return not (self.run_twice or self.refused_and_run or self.overcommitted)


def _kill_leader(site: PoolSite) -> None:
    leader = site.leader()
    if leader is not None and leader.process is not None:
        leader.process.signal(signal.SIGKILL)


def _pause_leader(site: PoolSite) -> None:
    leader = site.leader()
    if leader is not None and leader.process is not None:
        leader.process.signal(signal.SIGSTOP)


def _store_away(site: PoolSite) -> None:
    site.set_store_faults(mode="silent")


def _late_orders(site: PoolSite) -> None:
    site.servers["model-0"].fault(late_order_seconds=2.0)


def _nothing(site: PoolSite) -> None:
    """No fault."""


FAULTS: dict[str, Callable[[PoolSite], None]] = {
    "none": _nothing,
    "kill-leader": _kill_leader,
    "pause-leader": _pause_leader,
    "store-away": _store_away,
    "late-orders": _late_orders,
}


def _heal(site: PoolSite) -> None:
    """End the fault: what stands still goes on, what was killed starts again."""
    site.set_store_faults()
    site.servers["model-0"].fault()
    for daemon in site.daemons.values():
        process = daemon.process
        if process is not None and process.alive:
            process.signal(signal.SIGCONT)
        else:
            daemon.start()


def _start(daemons: int) -> PoolSite:
    site = PoolSite()
    for number in range(MODEL_SERVERS):
        site.add_model_server(f"model-{number}", MODELS[number])
    for number in range(PLAIN_SERVERS):
        site.add_plain_server(f"plain-{number}")
    site.configure()
    for number in range(daemons):
        site.add_daemon(f"daemon-{number + 1}")
    site.wait_ready()
    return site


@attrs.frozen
class Sent:
    """A request that was sent, and what came back."""

    route: str
    reply: Reply


def _next_request(site: PoolSite, route: str, chooser: random.Random) -> Request:
    daemon = chooser.choice(list(site.daemons.values()))
    if route in ("book", "look"):
        return site.request(daemon, route)
    target = chooser.choices(MODELS, weights=(8, 4, 1, 1))[0]
    return site.request(daemon, route, target, EVENTS, timeout_seconds=8.0)


def _drive(site: PoolSite, rate: float, seconds: float, fault: str, seed: int) -> list[Sent]:
    chooser = random.Random(seed)
    began = time.monotonic()
    steps = [(FAULT_PART * seconds, FAULTS[fault]), (HEAL_PART * seconds, _heal)]
    routes = [
        chooser.choice(("book", "look", "drill", "draft")) for _ in range(int(rate * seconds))
    ]
    for number, route in enumerate(routes):
        due = number / rate
        while steps and due >= steps[0][0]:
            steps.pop(0)[1](site)
        time.sleep(max(0.0, began + due - time.monotonic()))
        site.callers.begin([_next_request(site, route, chooser)])
    for _, act in steps:
        act(site)
    replies = site.callers.finish()
    return [Sent(route, reply) for route, reply in zip(routes, replies, strict=True)]


def _judge(site: PoolSite, sent: list[Sent], fault: str) -> PoolResult:
    states = [server.state() for server in site.servers.values()]
    runs: Counter[str] = Counter()
    for state in states:
        runs.update(state["runs"])
    replies = [item.reply for item in sent]
    once = [item.reply for item in sent if item.route in MAY_RUN_ONCE]
    times = quantiles([reply.seconds for reply in replies if reply.status == 200])
    return PoolResult(
        fault=fault,
        requests=len(replies),
        ends={str(k): n for k, n in sorted(Counter(r.status for r in replies).items())},
        first_byte_p50_s=round(times.p50, 4),
        first_byte_p99_s=round(times.p99, 4),
        run_twice=sum(1 for reply in once if runs[reply.request_id] > 1),
        refused_and_run=sum(1 for r in replies if r.status == 503 and runs[r.request_id]),
        overcommitted=sum(len(state["violations"]) for state in states),
    )


def run(
    daemons: int = 3, rate: float = 20.0, seconds: float = 15.0, fault: str = "none", seed: int = 1
) -> None:
    """Drive load through a pool and print what became of it; exit status 1 for a broken promise.

    Args:
        daemons: how many daemons serve.
        rate: requests a second.
        seconds: how long; the fault lasts from 0.4 to 0.6 of it.
        fault: none, kill-leader, pause-leader, store-away or late-orders.
        seed: decides the requests.
    """
    site = _start(daemons)
    try:
        result = _judge(site, _drive(site, rate, seconds, fault, seed), fault)
        print(msgspec.json.encode(attrs.asdict(result)).decode())
        if not result.kept:
            raise SystemExit(1)
    finally:
        site.close()
