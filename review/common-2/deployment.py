"""A small deployment on loopback: stand-in store and servers, and daemons of the deploy file."""

import asyncio
import base64
import contextlib
import http.client
import itertools
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import uuid
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
ROOT = HERE.parents[1]
HOST = "127.0.0.1"
GAP = re.compile(r"\{\{([^{}]+)\}\}")
BOUNDS = {
    "bounds.lease-ms": "3000",
    "bounds.drain-ms": "2000",
    "bounds.config-apply-ms": "2000",
    "bounds.grace-s": "8",
    "bounds.retry-budget-ratio": "0.2",
    "bounds.budget-slack": "52",
    "bounds.budget-window-s": "10",
    "bounds.ceiling-window-s": "5",
    "bounds.ceiling-overshoot": "1.1",
}
START_SECONDS = 20.0
LONGEST_PLAY_S = 117

_ports = itertools.count(10_500 + os.getpid() % 50 * 400)


def free_port(following: int = 0) -> int:
    """Return a port on which, as on the following ones, nothing listens."""
    while True:
        port = next(_ports)
        if all(_is_free(each) for each in range(port, port + following + 1)):
            for _ in range(following):
                next(_ports)
            return port


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


def environment(**variables: str) -> dict[str, str]:
    """Return the environment of a process, with the built libraries on Python's path."""
    path = os.pathsep.join(str(each) for each in (ROOT / "target" / "deps", ROOT, HERE))
    kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
    return {**kept, "PYTHONPATH": path, "PYTHONUNBUFFERED": "1", **variables}


class Child:
    """A process that this script has started."""

    def __init__(self, command: list[str], log: Path, variables: dict[str, str]) -> None:
        self.log_path = log
        self._log = log.open("ab")
        self.process = subprocess.Popen(
            command, cwd=ROOT, stdout=self._log, stderr=self._log, env=environment(**variables)
        )

    def signal(self, number: int) -> None:
        """Send a signal, unless the process has ended."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for it."""
        if self.process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
        self.process.wait()
        self._log.close()


class Daemon:
    """A daemon, started with the command of the deploy file."""

    def __init__(self, site: "Site", name: str, zone: str) -> None:
        self.site = site
        self.name = name
        self.zone = zone
        self.front, self.ready = free_port(), free_port()
        self.internal = free_port(following=15)
        self.child: Child | None = None
        self.starts = 0

    def fields(self) -> dict[str, str]:
        """Return the fields of the machine, with which the template is filled."""
        return BOUNDS | {
            "node-name": self.name,
            "region": "region-a",
            "zone": self.zone,
            "ip": HOST,
            "listen.front": f"{HOST}:{self.front}",
            "listen.ready": f"{HOST}:{self.ready}",
            "internal-ports.0": str(self.internal),
            "internal-ports.1": str(self.internal + 15),
            "platform.address": f"{HOST}:{self.site.store_port}",
        }

    def start(self) -> None:
        """Lay the settings file and start the process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        template = (ROOT / role["template"]).read_text()
        fields = self.fields()
        settings = self.site.folder / f"{self.name}.conf"
        settings.write_text(GAP.sub(lambda gap: fields.get(gap[1].strip(), ""), template))
        self.starts += 1
        log = self.site.folder / f"{self.name}.{self.starts}.log"
        command = [sys.executable, *role["run"].split()[1:]]
        self.child = Child(command, log, {"LOOMWIND_SETTINGS": str(settings)})

    def log_lines(self) -> list[dict[str, Any]]:
        """Return the lines that all processes of this daemon have logged."""
        lines = []
        for path in sorted(self.site.folder.glob(f"{self.name}.*.log")):
            for text in path.read_text(errors="replace").splitlines():
                with contextlib.suppress(ValueError):
                    lines.append(json.loads(text))
        return lines


class Reply:
    """What a client has got for one request."""

    def __init__(self) -> None:
        self.request_id = uuid.uuid4().hex[:16]
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_complete = False
        self.error = ""
        self.sent_s = 0.0
        self.ended_s = 0.0


class Site:
    """The processes of one play, and its record."""

    def __init__(self, record: Path) -> None:
        self._handle = tempfile.TemporaryDirectory()
        self.folder = Path(self._handle.name)
        self.children: list[Child] = []
        self.daemons: list[Daemon] = []
        self.store_port = free_port()
        self.started_s = time.time()
        self._record = record.open("w")
        self.version = 0

    def note(self, text: str) -> None:
        """Write a line of the record."""
        self._record.write(f"{time.time() - self.started_s:8.3f} {text}\n")
        self._record.flush()

    def start(self, name: str, module: str, *arguments: str) -> Child:
        """Start a stand-in."""
        command = [sys.executable, "-m", module, *arguments]
        child = Child(command, self.folder / f"{name}.log", {})
        self.children.append(child)
        return child

    def start_store(self) -> None:
        """Start the stand-in of the platform's store."""
        self.start("store", "standins.pool.store", "--port", str(self.store_port))
        wait_for(lambda: not _is_free(self.store_port), "the store listens")

    def apply(self, **transaction: Any) -> None:
        """Write rows as the operator or a server does."""
        status, _ = call(self.store_port, "POST", "/_apply", json.dumps(transaction).encode())
        assert status == 200, status

    def configure(self, document: dict[str, Any]) -> None:
        """Write a configuration to the store."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self.apply(put=[{"table": "op", "key": "config", "value": value}])

    def add_daemons(self, zones: list[str]) -> None:
        """Start one daemon in each of the zones, and wait until they are ready."""
        for number, zone in enumerate(zones, 1):
            daemon = Daemon(self, f"front-{zone}-{number}", zone)
            self.daemons.append(daemon)
            daemon.start()
        for daemon in self.daemons:
            port = daemon.ready
            wait_for(partial(is_ready, port), f"{daemon.name} is ready")

    def close(self) -> None:
        """End all processes, the daemons first."""
        for daemon in self.daemons:
            if daemon.child is not None:
                daemon.child.end()
        for child in self.children:
            child.end()
        self._record.close()
        self._handle.cleanup()


def run(record: Path, play: Callable[[Site], int]) -> int:
    """Run a play; returns 2 if it could not run, otherwise what the play returns."""
    for number in (signal.SIGTERM, signal.SIGALRM):
        signal.signal(number, _stop)
    signal.alarm(LONGEST_PLAY_S)
    site = Site(Path(os.environ.get("RECORD", record)))
    try:
        return play(site)
    except Exception as error:
        site.note(f"could not run: {error!r}")
        return 2
    finally:
        site.close()


def _stop(number: int, _frame: object) -> None:
    """End the play, which has been stopped or takes too long; its processes are ended as well."""
    raise SystemExit(2)


def is_ready(port: int) -> bool:
    """Whether a daemon answers the platform's question with 200."""
    try:
        return call(port, "GET", "/ready")[0] == 200
    except OSError:
        return False


def call(port: int, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
    """Send a request of the play itself; returns the status and the body."""
    connection = http.client.HTTPConnection(HOST, port, timeout=3.0)
    try:
        connection.request(method, path, body, {"content-type": "application/json"})
        response = connection.getresponse()
        return response.status, response.read()
    except http.client.HTTPException as error:
        raise OSError(str(error)) from error
    finally:
        connection.close()


def state_of(port: int) -> dict[str, Any]:
    """Return what a stand-in server has recorded; one that is down is waited for."""
    answers: list[bytes] = []

    def answers_now() -> bool:
        with contextlib.suppress(OSError):
            answers.append(call(port, "GET", "/_state")[1])
        return bool(answers)

    wait_for(answers_now, f"the server at port {port} is back")
    state: dict[str, Any] = json.loads(answers[0])
    return state


def wait_for(condition: Callable[[], bool], what: str, seconds: float = START_SECONDS) -> None:
    """Wait until a condition holds.

    :raises RuntimeError: it does not in time, so the case can't run.
    """
    limit = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > limit:
            raise RuntimeError(f"never came true: {what}")
        time.sleep(0.05)


async def send(
    port: int,
    path: str,
    host: str,
    deadline_ms: int,
    headers: dict[str, str],
    body: bytes = b"{}",
    method: str = "POST",
    reply: Reply | None = None,
) -> Reply:
    """Send one request over a new connection, and read the answer to its end."""
    reply = reply or Reply()
    reply.sent_s = time.time()
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await asyncio.open_connection(HOST, port)
            fields = {
                "Host": host,
                "X-Request-Id": reply.request_id,
                "X-Deadline-Ms": str(deadline_ms),
                "Content-Length": str(len(body)),
                **headers,
            }
            head = f"{method} {path} HTTP/1.1\r\n"
            head += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            writer.write(head.encode() + b"\r\n" + body)
            await _read_answer(reader, reply)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        reply.error = type(error).__name__
    finally:
        reply.ended_s = time.time()
        if writer is not None:
            writer.close()
    return reply


async def _read_answer(reader: asyncio.StreamReader, reply: Reply) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    reply.status = int(head[0].split()[1])
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            reply.headers[name.lower()] = value.strip()
    if reply.headers.get("transfer-encoding") == "chunked":
        reply.body = _join_chunks(await _read_to(reader, b"\r\n0\r\n\r\n"))
    elif "content-length" in reply.headers:
        reply.body = await reader.readexactly(int(reply.headers["content-length"]))
    else:
        reply.body = await reader.read()
    reply.is_complete = True


async def _read_to(reader: asyncio.StreamReader, end: bytes) -> bytes:
    """Return what comes, up to its end; nothing that the stand-ins send has the end inside."""
    data = bytearray()
    while not data.endswith(end):
        piece = await reader.read(1 << 16)
        if not piece:
            raise asyncio.IncompleteReadError(bytes(data), None)
        data += piece
    return bytes(data)


def _join_chunks(data: bytes) -> bytes:
    """Return the body that was sent in chunks."""
    body = bytearray()
    while data:
        size_text, _, data = data.partition(b"\r\n")
        size = int(size_text.split(b";")[0], 16)
        body += data[:size]
        data = data[size + 2 :]
    return bytes(body)
