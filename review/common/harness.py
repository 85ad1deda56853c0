"""Starts the store stand-in, servers and daemons of a case as processes, and records it."""

import base64
import contextlib
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TEMPLATE = ROOT / "deploy" / "settings.toml"
GAP = re.compile(r"\{\{([^{}]+)\}\}")
HOST = "shop.example"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
WITH_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The figures of the sheet of clachan-loomwind.
BOUNDS = {
    "bounds.lease-ms": "3000",
    "bounds.drain-ms": "2000",
    "bounds.config-apply-ms": "2000",
    "bounds.grace-s": "8",
    "bounds.retry-budget-ratio": "0.2",
    "bounds.budget-slack": "58",
    "bounds.budget-window-s": "10",
    "bounds.ceiling-window-s": "5",
    "bounds.ceiling-overshoot": "1.1",
}


class CouldNotRun(Exception):
    """The case could not be set up."""


def free_ports(host: str, count: int) -> list[int]:
    """Return free ports of an address, of which the last two follow each other."""
    for _ in range(200):
        first = random.randrange(20000, 32000)
        ports = list(range(first, first + count))
        with contextlib.ExitStack() as held:
            try:
                for port in ports:
                    listener = held.enter_context(socket.socket())
                    listener.bind((host, port))
            except OSError:
                continue
        return ports
    raise CouldNotRun("no free ports")


def environment() -> dict[str, str]:
    """Return the variables of a process, as the platform sets them."""
    kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
    return kept | {"PYTHONPATH": str(ROOT / "target" / "deps"), "PYTHONDONTWRITEBYTECODE": "1"}


class Reply:
    """What a client saw: the status (0 for none), the headers and the body."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes, error: str = "") -> None:
        self.status, self.headers, self.body, self.error = status, headers, body, error


def exchange(
    connection: socket.socket, method: str, path: str, headers: dict[str, str], body: bytes
) -> Reply:
    """Send a request on a connection and read its whole response, which has a length."""
    lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
    head = "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""])
    connection.sendall(head.encode() + body)
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = connection.recv(65536)
        if not chunk:
            return Reply(0, {}, data, "closed before the head's end")
        data += chunk
    raw, _, rest = data.partition(b"\r\n\r\n")
    first, *fields = raw.decode("latin-1").split("\r\n")
    found = {name.lower(): value.strip() for name, _, value in (f.partition(":") for f in fields)}
    length = int(found.get("content-length", "0"))
    while len(rest) < length:
        chunk = connection.recv(65536)
        if not chunk:
            return Reply(0, found, rest, "closed before the body's end")
        rest += chunk
    return Reply(int(first.split(" ")[1]), found, rest)


def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Reply:
    """Send a request on a new connection."""
    host, _, port = address.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), timeout_s) as connection:
            return exchange(connection, method, path, {"Host": HOST} | (headers or {}), body)
    except OSError as error:
        return Reply(0, {}, b"", repr(error))


def route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    fields: dict[str, Any] = {
        "name": name,
        "host": HOST,
        "path-prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 8000,
        "target-latency-ms": 200,
        "priority": 1,
        "max-attempts": 2,
        "service": service,
    }
    return fields | changes


class Daemon:
    """A daemon, started with the command and the template of the deploy file."""

    def __init__(self, case: "Case", name: str, ip: str, store: str) -> None:
        self._case, self.name = case, name
        caller, ready, admin, peer, _relay = free_ports(ip, 5)
        self.caller, self.ready, self.admin = (f"{ip}:{p}" for p in (caller, ready, admin))
        self.store = store
        # Connections to an address go to another one, that of a link.
        self.links: dict[str, str] = {}
        self._fields = BOUNDS | {
            "node-name": name,
            "region": "region-a",
            "zone": "zone-a",
            "ip": ip,
            "listen.front": self.caller,
            "listen.ready": self.ready,
            "internal-ports.0": str(peer),
            "internal-ports.1": str(admin),
            "platform.address": store,
        }
        self.process: subprocess.Popen[bytes] | None = None
        self._starts = 0

    def start(self) -> None:
        """Lay the settings and start the process."""
        path = self._case.folder / f"{self.name}.conf"
        text = GAP.sub(lambda gap: self._fields.get(gap[1].strip(), ""), TEMPLATE.read_text())
        if self.links:
            pairs = "".join(f'"{near}" = "{far}"\n' for near, far in self.links.items())
            text += f"\n[address_overrides]\n{pairs}"
        path.write_text(text)
        run = re.search(r'^run = "(.*)"$', (ROOT / "deploy" / "system.toml").read_text(), re.M)
        assert run is not None
        self._starts += 1
        self.log = self._case.folder / f"{self.name}.{self._starts}.log"
        command = run[1].split(" ")
        self.process = self._case.spawn(command, self.log, {"LOOMWIND_SETTINGS": str(path)})
        self._case.note(f"{self.name} started, callers at {self.caller}")

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        assert self.process is not None
        self.process.send_signal(number)
        self._case.note(f"{self.name} gets {number.name}")

    def is_ready(self) -> bool:
        """Whether the daemon says that it is ready."""
        return call(self.ready, "GET", "/ready", timeout_s=1.0).status == 200

    def metric(self, name: str) -> float:
        """Return the sum of the samples of a metric."""
        text = call(self.admin, "GET", "/metrics", timeout_s=2.0).body.decode()
        pairs = (line.rpartition(" ") for line in text.splitlines())
        return sum(float(value) for key, _, value in pairs if key.partition("{")[0] == name)


class Case:
    """The processes of one case and its record."""

    def __init__(self, folder: str) -> None:
        self._temporary = tempfile.TemporaryDirectory(prefix="loomwind-case-")
        self.folder = Path(self._temporary.name)
        self._record = (Path(folder) / "record.txt").open("w")
        self._lock = threading.Lock()
        self._begun = time.monotonic()
        self._processes: list[subprocess.Popen[bytes]] = []
        self.note(f"trouble: {WITH_TROUBLE}")

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self._begun

    def note(self, text: str) -> None:
        """Write a line to the record."""
        with self._lock:
            self._record.write(f"{self.now():8.3f} {text}\n")
            self._record.flush()

    def spawn(
        self, command: list[str], log: Path, variables: dict[str, str] | None = None
    ) -> subprocess.Popen[bytes]:
        """Start a process at the root of the repository."""
        with log.open("wb") as output:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment() | (variables or {}),
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self._processes.append(process)
        return process

    def stand_in(self, command: list[str], name: str) -> tuple[subprocess.Popen[bytes], int]:
        """Start a stand-in; returns its process and the port that it prints."""
        log = self.folder / f"{name}.log"
        process = self.spawn(command, log)
        deadline = time.monotonic() + 15
        while time.monotonic() < deadline:
            if found := re.search(rb"^ready (\d+)", log.read_bytes(), re.M):
                return process, int(found[1])
            time.sleep(0.05)
        raise CouldNotRun(f"{name} did not start: {log.read_text()[-500:]}")

    def start_store(self) -> str:
        """Start the project's stand-in of the store; returns its address."""
        _, port = self.stand_in(["python3", "-m", "standins.pool.store"], "store")
        self.store = f"127.0.0.1:{port}"
        return self.store

    def apply(self, **transaction: Any) -> None:
        """Write rows to the store as the operator or a server would."""
        reply = call(self.store, "POST", "/_apply", body=json.dumps(transaction).encode())
        if reply.status != 200:
            raise CouldNotRun(f"the store did not take a row: {reply.status} {reply.error}")

    def put_row(self, table: str, key: str, value: object) -> None:
        """Write one row to the store."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self.apply(put=[{"table": table, "key": key, "value": data}])

    def configure(self, routes: list[dict[str, Any]], services: list[dict[str, Any]]) -> None:
        """Write the configuration."""
        limits = {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        }
        document = {"version": 3, "routes": routes, "services": services, "limits": limits}
        self.put_row("op", "config", document)

    def make_daemons(self, count: int) -> list[Daemon]:
        """Return daemons at addresses of their own, which are still to be started."""
        numbers = range(1, count + 1)
        return [Daemon(self, f"front-a-{n}", f"127.0.0.{10 + n}", self.store) for n in numbers]

    def start_daemons(self, count: int) -> list[Daemon]:
        """Start daemons at addresses of their own."""
        daemons = self.make_daemons(count)
        for daemon in daemons:
            daemon.start()
        return daemons

    def wait(self, condition: Any, what: str, timeout_s: float = 20.0) -> None:
        """Wait for a condition of the set-up.

        :raises CouldNotRun: it does not hold in time.
        """
        deadline = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline:
                raise CouldNotRun(f"not in time: {what}")
            time.sleep(0.05)

    def wait_ready(self, daemons: list[Daemon], servers: int) -> None:
        """Wait until the daemons are ready and know the servers, and one leads."""
        for daemon in daemons:
            self.wait(daemon.is_ready, f"{daemon.name} is ready")
            self.wait(lambda daemon=daemon: daemon.metric("loomwind_servers") >= servers, "servers")
        self.wait(lambda: any(d.metric("loomwind_controller") == 1.0 for d in daemons), "a leader")

    def close(self) -> None:
        """End all processes."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self._record.close()
        self._temporary.cleanup()


def run_case(folder: str, play: Any) -> None:
    """Play a case and exit with its verdict.

    :param play: plays the case; returns whether the rule was broken.
    """
    try:
        case = Case(folder)
    except OSError as error:
        print(error, file=sys.stderr)
        sys.exit(COULD_NOT_RUN)
    verdict = COULD_NOT_RUN
    try:
        verdict = BROKEN if play(case) else HELD
    except Exception as error:
        case.note(f"could not run: {error!r}")
    finally:
        text = {HELD: "the rule held", BROKEN: "the rule was broken"}
        case.note(text.get(verdict, "could not run"))
        if keep := os.environ.get("KEEP_LOGS"):
            for log in case.folder.glob("*.log"):
                (Path(keep) / log.name).write_bytes(log.read_bytes())
        case.close()
    print(text.get(verdict, "could not run"))
    sys.exit(verdict)
