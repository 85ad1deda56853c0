"""Runs a soak of daemons that give orders while they are stopped, cut off and restarted.

What counts is what servers receive: they record each order, with its fencing token, whatever they
answer.
"""

import json
import random
import signal
import threading
import time
from collections.abc import Callable
from pathlib import Path

from attrs import define, field, frozen

from features.support.caller import send
from features.support.pool_site import PoolDaemonProcess, PoolSite
from features.support.processes import wait_until
from features.support.soak import SoakOptions

LEASE_MS = 2000
GRACE_SECONDS = 1.5
SERVERS = 3
MODELS = ("m1", "m2", "m3", "m4")
# Room for one model, so that each request for another one needs orders.
MEMORY_MB = 41_000.0
CALLERS = 6
CUT_STATES = ("partition", "reset", "cut", "blackhole", "refuse_new")
PAUSE_SECONDS = (0.1, 2.3)
FAULT_SECONDS = (0.5, 2.5)
REST_SECONDS = (0.05, 1.0)
REQUEST_SECONDS = 3.0


@frozen
class ReceivedOrder:
    """An order as a server received it."""

    server: str
    holder: str
    fence: int
    received_s: float


@define
class OrderSoak:
    """The site of a soak, and the faults that are drawn for it."""

    options: SoakOptions
    site: PoolSite = field(factory=PoolSite)
    faults: list[str] = field(factory=list)
    _ended: threading.Event = field(factory=threading.Event)

    def run(self) -> list[ReceivedOrder]:
        """Play the soak; return the orders in the sequence in which each server received them."""
        try:
            self._build()
            for number in range(CALLERS):
                self.site.callers.run(self._call, random.Random(f"{self.options.seed} {number}"))
            source = random.Random(self.options.seed)
            ends = time.monotonic() + self.options.seconds
            while time.monotonic() < ends:
                self._strike(source)
            self._ended.set()
        finally:
            self._ended.set()
            self.site.end_processes()
        orders = [
            order for path in sorted(self.site.folder.glob("*.orders")) for order in _read(path)
        ]
        self.site.close()
        return orders

    def _build(self) -> None:
        site = self.site
        site.lease_ms, site.grace_seconds, site.memory_mb = LEASE_MS, GRACE_SECONDS, MEMORY_MB
        for number, model in zip(range(SERVERS), MODELS, strict=False):
            site.add_model_server(f"server-{number + 1}", model)
        site.configure()
        names = [f"daemon-{number + 1}" for number in range(self.options.daemons)]
        site.add_linked_daemons(names, with_servers=True)
        site.wait_ready()

    def _call(self, source: random.Random) -> None:
        """Send requests for random models to random daemons until the soak ends."""
        while not self._ended.is_set():
            daemon = source.choice(list(self.site.daemons.values()))
            model = source.choice(MODELS)
            send(self.site.request(daemon, "draft", model, 1, REQUEST_SECONDS))

    def _strike(self, source: random.Random) -> None:
        """Inject one fault, mostly on the leader, and rest."""
        daemons = list(self.site.daemons.values())
        leader = self.site.leader()
        victim = leader if leader is not None and source.random() < 0.8 else source.choice(daemons)
        others = [daemon for daemon in daemons if daemon is not victim]
        kind, fault = source.choice(
            [
                ("cut and stopped", self._cut_and_stop),
                ("cut and stopped", self._cut_and_stop),
                ("stopped", self._stop),
                ("cut off", self._cut),
                ("restarts", self._restart),
                ("killed", self._kill),
            ]
        )
        if source.random() < 0.3:
            other = source.choice(others)
            restarting = self.site.callers.run(self._restart, source, other)
            fault(source, victim)
            restarting.result()
        else:
            fault(source, victim)
        self.faults.append(kind)
        time.sleep(source.uniform(*REST_SECONDS))

    def _cut_and_stop(self, source: random.Random, daemon: PoolDaemonProcess) -> None:
        self._with_cut(source, daemon, lambda: self._stop(source, daemon))

    def _cut(self, source: random.Random, daemon: PoolDaemonProcess) -> None:
        self._with_cut(source, daemon, lambda: time.sleep(source.uniform(*FAULT_SECONDS)))

    def _with_cut(
        self, source: random.Random, daemon: PoolDaemonProcess, work: Callable[[], None]
    ) -> None:
        """Cut a daemon off from the store, and maybe from peers and servers, meanwhile."""
        state = source.choice(CUT_STATES)
        servers = {server.address for server in self.site.servers.values()}
        is_cut_from_peers = source.random() < 0.5
        is_cut_from_servers = source.random() < 0.4
        self.site.set_store_link(daemon, state)
        if is_cut_from_peers:
            self.site.set_peer_links(daemon, state)
        if is_cut_from_servers:
            self.site.daemon_links[daemon.name].set_state(state, servers)
        work()
        self.site.set_store_link(daemon, "heal")
        if is_cut_from_peers:
            self.site.set_peer_links(daemon, "heal")
        if is_cut_from_servers:
            self.site.daemon_links[daemon.name].set_state("heal", servers)

    def _stop(self, source: random.Random, daemon: PoolDaemonProcess) -> None:
        """Stop a process with a signal, and have it go on."""
        if daemon.process is None or not daemon.process.alive:
            return
        daemon.process.signal(signal.SIGSTOP)
        time.sleep(source.uniform(*PAUSE_SECONDS))
        daemon.process.signal(signal.SIGCONT)

    def _restart(self, source: random.Random, daemon: PoolDaemonProcess) -> None:
        process = daemon.process
        if process is None or not process.alive:
            return
        process.signal(signal.SIGCONT)
        process.signal(signal.SIGTERM)
        wait_until(lambda: not process.alive, f"{daemon.name} has ended")
        daemon.start()

    def _kill(self, source: random.Random, daemon: PoolDaemonProcess) -> None:
        process = daemon.process
        if process is None or not process.alive:
            return
        process.signal(signal.SIGKILL)
        wait_until(lambda: not process.alive, f"{daemon.name} has ended")
        time.sleep(source.uniform(*REST_SECONDS))
        daemon.start()


def _read(path: Path) -> list[ReceivedOrder]:
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    return [
        ReceivedOrder(line["server"], line["holder"], line["fence"], line["received_s"])
        for line in lines
    ]


def _by_server(orders: list[ReceivedOrder]) -> list[list[ReceivedOrder]]:
    servers = dict.fromkeys(order.server for order in orders)
    return [[order for order in orders if order.server == server] for server in servers]


def late_orders(orders: list[ReceivedOrder]) -> list[ReceivedOrder]:
    """Return the orders that a server received after one with a higher fencing token."""
    late = []
    for received in _by_server(orders):
        highest = 0
        for order in received:
            if order.fence < highest:
                late.append(order)
            highest = max(highest, order.fence)
    return late


def shared_tokens(orders: list[ReceivedOrder]) -> list[int]:
    """Return the fencing tokens under which several daemons gave orders."""
    holders: dict[int, set[str]] = {}
    for order in orders:
        holders.setdefault(order.fence, set()).add(order.holder)
    return [fence for fence, names in holders.items() if len(names) > 1]


def quick_returns(orders: list[ReceivedOrder]) -> list[ReceivedOrder]:
    """Return the orders of a holder before and after those of another one, within a lease."""
    found = []
    for received in _by_server(orders):
        last_s: dict[str, float] = {}
        last_holder = ""
        for order in received:
            returns = order.holder != last_holder and order.holder in last_s
            if returns and order.received_s - last_s[order.holder] < LEASE_MS / 1000:
                found.append(order)
            last_s[order.holder], last_holder = order.received_s, order.holder
    return found
