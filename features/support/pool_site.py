"""A test deployment: stand-in store, stand-in servers and daemons, each its own process."""

import base64
import json
import os
import signal
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from features.support.caller import Callers, Reply, Request, plain, send
from features.support.processes import Process, free_port, wait_until
from features.support.site import Link, LinkProcess

LOCALHOST = "127.0.0.1"
HOST = "shop.example"
# What a stand-in server records, by its name in the state.
RECORDED_TIMES = (
    "crash_times_s",
    "crash_part_times_s",
    "crash_body_times_s",
    "fall_times_s",
    "rejection_times_s",
)
MODEL_SERVICE = "tutor"
PLAIN_SERVICE = "orders"
LEASE_MS = 900
GRACE_SECONDS = 4.0
DEFAULT_SLOTS = 8


def model(name: str, weights_mb: float = 40_000.0, load_time_s: float = 0.3) -> dict[str, Any]:
    """Return a model entry of the configuration."""
    return {
        "name": name,
        "weights-mb": weights_mb,
        "load-time-s": load_time_s,
        "adapters": 4,
        "adapter-mb": 50.0,
        "warm-s": 0.1,
        "disk-load-s": 0.1,
    }


def route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route entry of the configuration."""
    fields: dict[str, Any] = {
        "name": name,
        "host": HOST,
        "path-prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 8000,
        "target-latency-ms": 500,
        "priority": 1,
        "max-attempts": 2,
        "service": service,
    }
    return fields | changes


class PoolServerProcess:
    """A stand-in server process."""

    def __init__(self, process: Process, service: str) -> None:
        self.process = process
        self.service = service
        self._last_state: dict[str, Any] = {name: [] for name in RECORDED_TIMES}
        self.address = f"{LOCALHOST}:{process.ports()[0]}"

    def fault(self, **faults: object) -> None:
        """Set the faults of the server; faults that are not named are off."""
        send(plain(self.address, "POST", "/_fault", json.dumps(faults).encode()))

    def is_up(self) -> bool:
        """Whether the server answers."""
        return send(plain(self.address, "GET", "/_state")).status == 200

    def last_known_state(self) -> dict[str, Any]:
        """Return the server's state, or the last known state while it is down."""
        reply = send(plain(self.address, "GET", "/_state"))
        if reply.status == 200:
            self._last_state = json.loads(reply.body)
        return self._last_state

    def state(self) -> dict[str, Any]:
        """Return the server's state: runs, orders, violations and more."""
        state: dict[str, Any] = json.loads(send(plain(self.address, "GET", "/_state")).body)
        return state


class PoolDaemonProcess:
    """A daemon process, with its ports, settings and logs."""

    def __init__(self, name: str, folder: Path, settings: Callable[["PoolDaemonProcess"], str]):
        self.name = name
        self.caller_port, self.peer_port = free_port(), free_port()
        self.admin_port, self.ready_port = free_port(), free_port()
        self.relay_port = free_port()
        self.store_address = ""
        self._folder = folder
        self._settings = settings
        self._start_count = 0
        self.process: Process | None = None

    @property
    def address(self) -> str:
        """``host:port`` for callers."""
        return f"{LOCALHOST}:{self.caller_port}"

    @property
    def peer_address(self) -> str:
        """``host:port`` for peers."""
        return f"{LOCALHOST}:{self.peer_port}"

    @property
    def settings_path(self) -> Path:
        """Path of the settings file."""
        return self._folder / f"{self.name}.toml"

    @property
    def log_path(self) -> Path:
        """Path of the log of the current process."""
        return self._folder / f"{self.name}.{self._start_count}.log"

    def start(self) -> None:
        """Write the settings and start the daemon process."""
        self._start_count += 1
        self.write_settings()
        environment = {**os.environ, "LOOMWIND_SETTINGS": str(self.settings_path)}
        self.process = Process("loomwind", ["serve"], self.log_path, environment)

    def write_settings(self) -> None:
        """Write the settings file from the present state of the site."""
        self.settings_path.write_text(self._settings(self))

    def ready_status(self) -> int:
        """Return the HTTP status of the readiness endpoint, or 0 without a response."""
        return send(plain(f"{LOCALHOST}:{self.ready_port}", "GET", "/ready")).status

    def metrics(self) -> str:
        """Return the metrics page."""
        return send(plain(f"{LOCALHOST}:{self.admin_port}", "GET", "/metrics")).body.decode()

    def metric(self, name: str) -> float:
        """Return the sum of a metric's samples."""
        lines = (line.rpartition(" ") for line in self.metrics().splitlines())
        return sum(float(v) for key, _, v in lines if key.partition("{")[0] == name)

    @property
    def leading(self) -> bool:
        """Whether the daemon is the leader."""
        return self.metric("loomwind_controller") == 1.0

    def log_lines(self) -> list[dict[str, Any]]:
        """Return the log entries of all processes of this daemon."""
        lines = []
        for path in sorted(self._folder.glob(f"{self.name}.*.log")):
            text = path.read_text()
            lines += [json.loads(line) for line in text.splitlines() if line.startswith("{")]
        return lines


class PoolSite:
    """The processes and the configuration of one scenario."""

    def __init__(self) -> None:
        self._folder_handle = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder_handle.name)
        self.callers = Callers()
        self.store = Process("standins.pool.store", [], self.folder / "store.log")
        self.store_address = f"{LOCALHOST}:{self.store.ports()[0]}"
        self.servers: dict[str, PoolServerProcess] = {}
        self.daemons: dict[str, PoolDaemonProcess] = {}
        self.models = [model("m1"), model("m2"), model("m3"), model("m4")]
        self.memory_mb = 100_000.0
        self.version = 0
        self.lease_ms = LEASE_MS
        self.retry_settings = ""
        self.zones: dict[str, str] = {}
        self.links: list[Process] = []
        self.server_link: LinkProcess | None = None
        self.daemon_links: dict[str, LinkProcess] = {}
        self.routes = [
            route("book", "non_idempotent", PLAIN_SERVICE),
            route("look", "idempotent", PLAIN_SERVICE),
            route("draft", "streaming", MODEL_SERVICE),
            route("drill", "streaming", MODEL_SERVICE, resumable=True),
            route("talk", "streaming", MODEL_SERVICE, **{"gap-aim-ms": 100}),
        ]
        self.limits: dict[str, Any] = {
            "max-header-bytes": 16384,
            "max-body-bytes": 1 << 20,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        }
        self.plain_services = [PLAIN_SERVICE]
        self.grace_seconds = GRACE_SECONDS

    # The store.

    def apply(self, **body: Any) -> None:
        """Apply a transaction to the store, as an operator or a server would."""
        data = json.dumps(body).encode()
        assert send(plain(self.store_address, "POST", "/_apply", data)).status == 200

    def set_store_faults(self, **faults: object) -> None:
        """Set the faults of the store; faults that are not named are off."""
        send(plain(self.store_address, "POST", "/_fault", json.dumps(faults).encode()))

    def discard_history(self) -> None:
        """Discard the change history of the store."""
        send(plain(self.store_address, "POST", "/_forget", b"{}"))

    def configure(self, version: int | None = None) -> None:
        """Write the configuration to the store.

        :param version: its version; by default 3 above the last one.
        """
        self.version = self.version + 3 if version is None else version
        engine = {
            "slots": 8,
            "weights-mb": self.memory_mb,
            "adapter-slots": 2,
            "loads-per-s": 4.0,
            "models": self.models,
        }
        services = [
            {"name": MODEL_SERVICE, "health-path": "/healthz", "max-conns": 99, "engine": engine},
        ]
        services += [
            {"name": name, "health-path": "/healthz", "max-conns": 99}
            for name in self.plain_services
        ]
        document = {
            "version": self.version,
            "routes": self.routes,
            "services": services,
            "limits": self.limits,
        }
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self.apply(put=[{"table": "op", "key": "config", "value": value}])

    # Processes.

    def restart_model_server(self, name: str) -> None:
        """Kill a model server and restart it with the same instance id and no loaded models."""
        server = self.servers[name]
        instance = server.state()["instance"]
        server.process.kill()
        self.add_model_server(name, "", instance)

    def add_model_server(
        self,
        name: str,
        held: str,
        instance: str = "",
        software_version: str = "v1",
        slots: int = DEFAULT_SLOTS,
    ) -> None:
        """Start a model server.

        :param held: names of the models that are loaded at the start, joined by ``+``.
        :param instance: instance id to reuse; empty for a new one.
        :param slots: the number of requests that its row says it works on at once.
        """
        models_path = self.folder / "models.json"
        models_path.write_text(json.dumps(self.models))
        arguments = ["--service", MODEL_SERVICE, "--store", self.store_address]
        arguments += [
            "--models",
            str(models_path),
            "--held",
            held,
            "--memory_mb",
            str(self.memory_mb),
        ]
        arguments += ["--adapter_slots", "2", "--instance", instance]
        arguments += ["--software_version", software_version, "--slots", str(slots)]
        self._add_server(name, MODEL_SERVICE, arguments)

    def add_plain_server(
        self, name: str, service: str = PLAIN_SERVICE, slots: int = DEFAULT_SLOTS
    ) -> None:
        """Start a server without models."""
        arguments = ["--service", service, "--store", self.store_address, "--slots", str(slots)]
        self._add_server(name, service, arguments)

    def _add_server(self, name: str, service: str, arguments: list[str]) -> None:
        arguments = [*arguments, "--run_log", str(self.folder / f"{name}.runs")]
        process = Process("standins.pool.server", arguments, self.folder / f"{name}.log")
        self.servers[name] = PoolServerProcess(process, service)

    def addresses_of(self, service: str) -> set[str]:
        """Return the addresses of the servers of a service."""
        return {each.address for each in self.servers.values() if each.service == service}

    def add_daemon(self, name: str, store_address: str = "") -> None:
        """Start a daemon, by default with a direct connection to the store."""
        daemon = PoolDaemonProcess(name, self.folder, self._settings)
        daemon.store_address = store_address or self.store_address
        self.daemons[name] = daemon
        daemon.start()

    def add_linked_daemons(self, names: list[str], with_servers: bool = False) -> None:
        """Start daemons that reach the store and each other's peer port through links.

        :param with_servers: whether they reach the servers through links, too.
        """
        servers = [server.address for server in self.servers.values()] if with_servers else []
        daemons = [PoolDaemonProcess(name, self.folder, self._settings) for name in names]
        for daemon in daemons:
            targets = [self.store_address, *(d.peer_address for d in daemons if d is not daemon)]
            targets += servers
            arguments = ["--targets", ",".join(targets)]
            process = Process("standins.link", arguments, self.folder / f"{daemon.name}.links.log")
            self.links.append(process)
            link = LinkProcess([Link(daemon.name, target) for target in targets], process)
            self.daemon_links[daemon.name] = link
            daemon.store_address = link.overrides(daemon.name)[self.store_address]
        for daemon in daemons:
            self.daemons[daemon.name] = daemon
            daemon.start()

    def set_peer_links(self, daemon: PoolDaemonProcess, state: str) -> None:
        """Put the links between a daemon and its peers, both ways, in a state."""
        others = {d.name: d.peer_address for d in self.daemons.values() if d is not daemon}
        self.daemon_links[daemon.name].set_state(state, set(others.values()))
        for name in others:
            self.daemon_links[name].set_state(state, {daemon.peer_address})

    def set_store_link(self, daemon: PoolDaemonProcess, state: str) -> None:
        """Put the link between a daemon and the store in a state."""
        self.daemon_links[daemon.name].set_state(state, {self.store_address})

    def rows(self, table: str) -> list[dict[str, Any]]:
        """Return the rows of a table of the store."""
        reply = send(plain(self.store_address, "GET", f"/_rows?table={table}"))
        rows: list[dict[str, Any]] = json.loads(reply.body)
        return rows

    def add_server_links(self, daemon: str) -> None:
        """Add links from a daemon to all servers.

        Call it after the servers have been added and before the daemon.
        """
        links = [Link(daemon, server.address) for server in self.servers.values()]
        targets = ",".join(link.target for link in links)
        process = Process("standins.link", ["--targets", targets], self.folder / "links.log")
        self.links.append(process)
        self.server_link = LinkProcess(links, process)

    def _overrides(self, daemon: PoolDaemonProcess) -> str:
        """Return the settings lines that route a daemon's connections through its links."""
        links = [self.server_link, self.daemon_links.get(daemon.name)]
        overrides: dict[str, str] = {}
        for link in links:
            if link is not None:
                overrides |= link.overrides(daemon.name)
        return "\n".join(f'"{target}" = "{link}"' for target, link in overrides.items())

    def _settings(self, daemon: PoolDaemonProcess) -> str:
        return f"""
name = "{daemon.name}"
zone = "{self.zones.get(daemon.name, "zone-a")}"
[listen]
caller = "{LOCALHOST}:{daemon.caller_port}"
peer = "{LOCALHOST}:{daemon.peer_port}"
admin = "{LOCALHOST}:{daemon.admin_port}"
ready = "{LOCALHOST}:{daemon.ready_port}"
relay = "{LOCALHOST}:{daemon.relay_port}"
[store]
address = "{daemon.store_address}"
[bounds]
lease_ms = {self.lease_ms}
grace_seconds = {self.grace_seconds}
{self.retry_settings}
[address_overrides]
{self._overrides(daemon)}
"""

    def wait_ready(self) -> None:
        """Wait until every daemon is ready and knows all servers, and there is a leader."""
        for daemon in self.daemons.values():
            self._wait_for(daemon)
        wait_until(lambda: self.leader() is not None, "a daemon leads")

    def _wait_for(self, daemon: PoolDaemonProcess) -> None:
        count = len(self.servers)
        wait_until(lambda: daemon.ready_status() == 200, f"{daemon.name} is ready")
        description = f"{daemon.name} knows {count} servers"
        wait_until(lambda: daemon.metric("loomwind_servers") >= count, description)

    def leader(self) -> PoolDaemonProcess | None:
        """Return the running daemon that is the leader, or None."""
        running = [d for d in self.daemons.values() if d.process and d.process.alive]
        return next((d for d in running if d.leading), None)

    def forbid_retries(self) -> None:
        """Give the daemons that are started from now on an empty retry budget."""
        self.retry_settings = "retry_ratio = 0.0\nretry_allowance = 0.0"

    # Requests.

    def request(
        self,
        daemon: PoolDaemonProcess,
        route_name: str,
        target: str = "",
        events: int = 3,
        timeout_seconds: float = 6.0,
        body: bytes = b"hello",
        prompt: str = "",
    ) -> Request:
        """Return a request to a daemon for a route."""
        headers = {"host": HOST, "x_deadline_ms": str(int(timeout_seconds * 1000))}
        if target:
            headers |= {"x_model": target, "x_token_usage": f"10,{events}"}
        if prompt:
            headers |= {"x_prompt_prefix": prompt}
        path = f"/{route_name}/item"
        return plain(daemon.address, "POST", path, body, timeout_seconds, **headers)

    def runs(self, reply: Reply) -> int:
        """Return the number of executions of a request on all servers."""
        return sum(s.state()["runs"].get(reply.request_id, 0) for s in self.servers.values())

    def end_processes(self) -> None:
        """Stop all processes."""
        self.callers.close()
        for daemon in self.daemons.values():
            if daemon.process is not None:
                daemon.process.signal(signal.SIGCONT)
                daemon.process.close()
        for server in self.servers.values():
            server.process.close()
        for link in self.links:
            link.close()
        self.store.close()

    def close(self) -> None:
        """Stop all processes and delete the folder."""
        self.end_processes()
        self._folder_handle.cleanup()
