"""A pool daemon in the test's own process, with its listener for callers and one server."""

import json
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from typing import Any

import eliot
from attrs import frozen

from loomwind.http.server import Handler, HttpServer
from loomwind.platform.deployment import create_pool_daemon
from loomwind.serving.daemon import PoolDaemon
from loomwind.serving.handler import RequestHandler
from loomwind.serving.ports import Snapshot, StoredRow
from loomwind.settings import Settings, StoreSettings

LOCALHOST = "127.0.0.1"
HOST = "shop.example"
SERVICE = "orders"
LIMITS = {"idle-timeout-ms": 15_000}


def configuration(
    version: int, services: dict[str, str], max_attempts: int = 1, **limits: int
) -> bytes:
    """Return an encoded configuration.

    :param services: the service of each path prefix, named as the route.
    :param max_attempts: the number of servers to which a request may be sent.
    """
    routes = [
        {
            "name": name,
            "host": HOST,
            "path-prefix": f"/{name}/",
            "kind": "idempotent" if name == "look" else "non_idempotent",
            "timeout-ms": 8000,
            "target-latency-ms": 500,
            "max-attempts": max_attempts,
            "service": service,
        }
        for name, service in services.items()
    ]
    names = sorted(set(services.values()))
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": [{"name": name} for name in names],
            "limits": LIMITS | {key.replace("_", "-"): value for key, value in limits.items()},
        }
    ).encode()


def create_daemon() -> PoolDaemon:
    """Return a daemon that knows nothing yet and does not run."""
    store = StoreSettings("store:1")
    return create_pool_daemon(Settings("daemon-1", store=store), store)


def apply_configuration(daemon: PoolDaemon, document: bytes, row_version: int = 1) -> None:
    """Have a daemon apply a configuration as if it came from the store."""
    row = StoredRow("config", row_version, document)
    daemon.replicated_state.on_configuration_rows(Snapshot((row,), row_version), False)


def apply_server(daemon: PoolDaemon, port: int, name: str = "i-1", host: str = LOCALHOST) -> None:
    """Have a daemon list a server."""
    entry = {"service": SERVICE, "address": f"{host}:{port}", "zone": "z", "state": "ready"}
    version = daemon.replicated_state.server_version + 1
    row = StoredRow(name, version, json.dumps(entry).encode())
    daemon.replicated_state.on_server_rows(Snapshot((row,), version), False)


def request_handler(daemon: PoolDaemon) -> RequestHandler:
    """Return what serves the requests of a daemon's callers."""
    return daemon._handler


@frozen
class LocalSite:
    """A daemon that serves callers, and the server behind it."""

    daemon: PoolDaemon
    server: HttpServer


@asynccontextmanager
async def running_daemon(
    serve: Handler, name: str = "i-1", host: str = LOCALHOST
) -> AsyncIterator[LocalSite]:
    """Run a daemon's listener for callers, and a server with this handler.

    :param name: name of the server in its entry.
    :param host: its host in its entry.
    """
    server = HttpServer(serve)
    await server.start(LOCALHOST, 0)
    try:
        async with listening_daemon() as daemon:
            apply_server(daemon, server.port, name, host)
            yield LocalSite(daemon, server)
    finally:
        server.close()


@asynccontextmanager
async def listening_daemon(max_attempts: int = 1) -> AsyncIterator[PoolDaemon]:
    """Run a daemon's listener for callers, with routes and no server.

    :param max_attempts: the number of servers to which a request may be sent.
    """
    daemon = create_daemon()
    await daemon.callers.start(LOCALHOST, 0)
    routes = {"look": SERVICE, "book": SERVICE}
    apply_configuration(daemon, configuration(1, routes, max_attempts))
    try:
        yield daemon
    finally:
        daemon.close()


@contextmanager
def captured_log() -> Iterator[list[dict[str, Any]]]:
    """Collect the log lines of this process."""
    lines: list[dict[str, Any]] = []
    eliot.add_destinations(lines.append)
    try:
        yield lines
    finally:
        eliot.remove_destination(lines.append)
