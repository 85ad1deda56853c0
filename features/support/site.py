"""A small site of real processes: a platform, engines, application servers and daemons."""

import json
import signal
import socket
import tempfile
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

from features.support.caller import Callers, plain, send
from features.support.processes import Process, free_port, wait_until
from loomwind.ports.base import Machine, MachineRole, MachineState

LOCALHOST = "127.0.0.1"
OPERATOR_TOKEN = "test-operator-token"
ZONES = ("zone-a", "zone-b", "zone-c")


class BackendProcess:
    """An engine or an application server."""

    def __init__(self, name: str, zone: str, application: str, process: Process) -> None:
        self.name = name
        self.zone = zone
        self.application = application
        self.process = process
        self.port = process.ports()[0]
        self.state = MachineState.LIVE

    @property
    def address(self) -> str:
        """Return ``host:port``."""
        return f"{LOCALHOST}:{self.port}"

    def control(self, path: str, body: object = None) -> Any:
        """Do a test-control call and return its JSON answer."""
        method = "GET" if body is None else "POST"
        data = b"" if body is None else json.dumps(body).encode()
        reply = send(plain(self.address, method, path, data))
        return json.loads(reply.body)

    def fault(self, **faults: object) -> None:
        """Switch faults on; those not named are off."""
        self.control("/_fault", faults)

    def machine(self, cell: str) -> Machine:
        """Return this back end's entry of the machine list."""
        role = MachineRole.APPLICATION if self.application else MachineRole.ENGINE
        return Machine(self.name, self.address, self.zone, cell, role, self.state, self.application)


class DaemonPorts(Struct, frozen=True):
    """The ports of one daemon."""

    caller: int
    peer: int
    operator: int
    admin: int


class DaemonProcess:
    """A daemon with its settings file."""

    def __init__(self, name: str, zone: str, folder: Path) -> None:
        self.name = name
        self.zone = zone
        self.ports = DaemonPorts(free_port(), free_port(), free_port(), free_port())
        self.process: Process | None = None
        self.lives = 0
        self._folder = folder

    @property
    def address(self) -> str:
        """Return ``host:port`` for callers."""
        return f"{LOCALHOST}:{self.ports.caller}"

    @property
    def peer_address(self) -> str:
        """Return ``host:port`` for peers."""
        return f"{LOCALHOST}:{self.ports.peer}"

    def start(self, settings: str) -> None:
        """Start a life of the daemon."""
        self.lives += 1
        path = self._folder / f"{self.name}.toml"
        path.write_text(settings)
        log = self._folder / f"{self.name}.{self.lives}.log"
        self.process = Process("loomwind", ["serve", str(path)], log)

    def kill(self) -> None:
        """End the daemon with SIGKILL."""
        assert self.process is not None
        self.process.kill()

    def signal(self, number: signal.Signals) -> None:
        """Send the daemon a signal."""
        assert self.process is not None
        self.process.signal(number)

    def admin(self, path: str) -> str:
        """Return the body of an admin page; empty when the daemon does not answer."""
        if self.process is None or not self.process.alive:
            return ""
        return send(plain(f"{LOCALHOST}:{self.ports.admin}", "GET", path)).body.decode()

    @property
    def ready(self) -> bool:
        """Whether the daemon says that it is ready."""
        return self.admin("/readyz") == "ready\n"

    def metric(self, name: str, **labels: str) -> float:
        """Return the sum of a metric's samples that have the labels."""
        total = 0.0
        for line in self.admin("/metrics").splitlines():
            key, _, value = line.rpartition(" ")
            base, _, rest = key.partition("{")
            if base == name and all(f'{k}="{v}"' in rest for k, v in labels.items()):
                total += float(value)
        return total

    @property
    def leading(self) -> bool:
        """Whether the daemon is the controller."""
        return self.metric("loomwind_controller") == 1.0


class Link(Struct, frozen=True):
    """The way from a daemon to an address, which can be cut."""

    daemon: str
    target: str


class LinkProcess:
    """TCP links that are cut and healed together."""

    def __init__(self, links: list[Link], process: Process) -> None:
        *self._ports, self._control_port = process.ports()
        self._links = links

    def overrides(self, daemon: str) -> dict[str, str]:
        """Return the addresses that a daemon must use in place of the targets'."""
        pairs = zip(self._links, self._ports, strict=True)
        return {link.target: f"{LOCALHOST}:{p}" for link, p in pairs if link.daemon == daemon}

    def set_state(self, state: str, targets: set[str] | None = None) -> None:
        """Put links in a state of :class:`standins.link.LinkState`, and wait for that.

        :param targets: ``host:port`` of the targets whose links change; all of them without it.
        """
        words = [state, *sorted(targets or ())]
        with socket.create_connection((LOCALHOST, self._control_port)) as control:
            control.sendall(" ".join(words).encode() + b"\n")
            control.recv(64)


class Site:
    """All processes of one scenario."""

    def __init__(self, cell: str = "cell") -> None:
        self.cell = cell
        self.callers = Callers()
        self.engines: dict[str, BackendProcess] = {}
        self.applications: dict[str, BackendProcess] = {}
        self.daemons: dict[str, DaemonProcess] = {}
        self.links: LinkProcess | None = None
        self.catalog: dict[str, list[dict[str, Any]]] = {
            "groups": [{"name": "school"}],
            "models": [],
            "adapters": [],
            "routes": [],
        }
        self.extra: dict[str, Any] = {}
        self.weight_store: dict[str, float] = {}
        self._folder = tempfile.TemporaryDirectory(prefix="loomwind-feature-")
        self.folder = Path(self._folder.name)
        self._processes: list[Process] = []
        self.platform: BackendProcess | None = None

    def _start(self, module: str, log_name: str, **arguments: object) -> Process:
        flags = [f"--{key}={value}" for key, value in arguments.items()]
        process = Process(module, flags, self.folder / f"{log_name}.log")
        self._processes.append(process)
        return process

    def start_platform(self, rate: float = 50.0, parallel: int = 50) -> None:
        """Start the platform; its machine list is shown with little lag."""
        self.weight_store = {"loads_per_second": rate, "parallel_loads": parallel}
        process = self._start(
            "standins.platform", "platform", rate=rate, parallel=parallel, machine_lag_seconds=0.1
        )
        self.platform = BackendProcess("platform", "zone-a", "platform", process)

    def start_engine(self, name: str, zone: str, **arguments: object) -> BackendProcess:
        """Start an engine."""
        assert self.platform is not None
        process = self._start(
            "standins.engine", name, name=name, weights=self.platform.address, **arguments
        )
        self.engines[name] = BackendProcess(name, zone, "", process)
        return self.engines[name]

    def start_application(
        self, name: str, application: str, zone: str, **arguments: object
    ) -> None:
        """Start an application server."""
        process = self._start("standins.application", name, name=name, **arguments)
        self.applications[name] = BackendProcess(name, zone, application, process)

    def backends(self) -> list[BackendProcess]:
        """Return all engines and application servers."""
        return [*self.engines.values(), *self.applications.values()]

    def list_machines(self) -> None:
        """Give the platform the machine list as it is now."""
        assert self.platform is not None
        machines = [backend.machine(self.cell) for backend in self.backends()]
        body = json.loads(msgspec.json.encode(machines))
        self.platform.control("/_machines", body)

    def add_daemon(self, name: str, zone: str) -> DaemonProcess:
        """Add a daemon without starting it."""
        self.daemons[name] = DaemonProcess(name, zone, self.folder)
        return self.daemons[name]

    def settings_of(self, daemon: DaemonProcess) -> str:
        """Return the settings file of a daemon."""
        assert self.platform is not None
        ports = daemon.ports
        peers = [d.peer_address for d in self.daemons.values() if d is not daemon]
        settings: dict[str, Any] = {
            "name": daemon.name,
            "cell": self.cell,
            "zone": daemon.zone,
            "operator_token": OPERATOR_TOKEN,
            "peers": [{"address": address} for address in peers],
            "listen": {
                "caller": daemon.address,
                "peer": daemon.peer_address,
                "operator": f"{LOCALHOST}:{ports.operator}",
                "admin": f"{LOCALHOST}:{ports.admin}",
            },
            "platform": dict.fromkeys(("table", "objects", "machines"), self.platform.address),
            "weight_store": self.weight_store,
            "address_overrides": self.links.overrides(daemon.name) if self.links else {},
            **self.catalog,
            **self.extra,
        }
        return msgspec.toml.encode(settings).decode()

    def link_zone(self, zone: str) -> None:
        """Put links between a zone and the others; after engines, before daemons start."""
        links = []
        for daemon in self.daemons.values():
            others = [d for d in self.daemons.values() if d is not daemon]
            for other in others:
                if (daemon.zone == zone) != (other.zone == zone):
                    links.append(Link(daemon.name, other.peer_address))
            for engine in self.engines.values():
                if (daemon.zone == zone) != (engine.zone == zone):
                    links.append(Link(daemon.name, engine.address))
        targets = ",".join(link.target for link in links)
        process = self._start("standins.link", "links", targets=targets)
        self.links = LinkProcess(links, process)

    def link_pair(self, one: str, other: str) -> None:
        """Put links between two daemons, before they start."""
        pair = [self.daemons[one], self.daemons[other]]
        links = [Link(a.name, b.peer_address) for a, b in (pair, pair[::-1])]
        targets = ",".join(link.target for link in links)
        self.links = LinkProcess(links, self._start("standins.link", "links", targets=targets))

    def start_daemon(self, daemon: DaemonProcess) -> None:
        """Start a daemon."""
        daemon.start(self.settings_of(daemon))

    def wait_ready(self) -> None:
        """Wait until all daemons are ready and one leads."""
        running = [d for d in self.daemons.values() if d.process and d.process.alive]
        wait_until(lambda: all(d.ready for d in running), "all daemons are ready")
        wait_until(lambda: self.controller() is not None, "a daemon leads")

    def controller(self) -> DaemonProcess | None:
        """Return the daemon that says that it leads, or None."""
        leading = [d for d in self.daemons.values() if d.leading]
        return leading[0] if len(leading) == 1 else None

    def executions(self) -> dict[str, int]:
        """Return how often each key or request id ran, over all back ends."""
        total: dict[str, int] = {}
        for backend in self.backends():
            if backend.process.alive:
                for key, count in backend.control("/_executions").items():
                    total[key] = total.get(key, 0) + count
        return total

    def statistics(self) -> list[dict[str, Any]]:
        """Return the statistics of all engines that run."""
        running = [engine for engine in self.engines.values() if engine.process.alive]
        return [engine.control("/_statistics") for engine in running]

    def holdings(self, artifact: str) -> list[dict[str, Any]]:
        """Return each time that an engine held an artifact."""
        held = [h for s in self.statistics() for h in s["holdings"]]
        return [h for h in held if h["artifact"] == artifact]

    def close(self) -> None:
        """End all processes."""
        self.callers.close()
        for daemon in self.daemons.values():
            if daemon.process is not None:
                daemon.process.close()
        for process in self._processes:
            process.close()
        self._folder.cleanup()


def peak_replicas(holdings: list[dict[str, Any]]) -> int:
    """Return how many of the holdings overlapped at most; times are of one machine's clock."""
    events = []
    for holding in holdings:
        events.append((holding["started"], 1))
        if holding["ended"]:
            events.append((holding["ended"], -1))
    count = peak = 0
    for _, step in sorted(events):
        count += step
        peak = max(peak, count)
    return peak
