"""Steps for the effects of a new configuration version, in virtual time."""

import asyncio
from typing import Any

from behave import given, then, when

from features.support.fake_store import configuration_document
from features.support.virtual_time import run_in_virtual_time
from loomwind.http.server_connection import ServerConnection
from loomwind.platform.deployment import create_pool_daemon
from loomwind.serving.daemon import PoolDaemon
from loomwind.serving.ports import Snapshot, StoredRow
from loomwind.settings import Settings, StoreSettings

MS = 1000
REQUEST = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n"


class IdleTransport(asyncio.Transport):
    """A caller's connection, whose traffic is only counted."""

    def __init__(self) -> None:
        super().__init__()
        self.closed = False
        self.written_bytes = 0

    def write(self, data: Any) -> None:
        """Count what the daemon sends."""
        self.written_bytes += len(data)

    def get_write_buffer_size(self) -> int:
        """Return 0: what is written is taken at once."""
        return 0

    def is_closing(self) -> bool:
        """Return whether the daemon closed it."""
        return self.closed

    def close(self) -> None:
        """Record that the daemon closed it."""
        self.closed = True


def _apply_configuration(daemon: PoolDaemon, version: int, idle_seconds: float) -> None:
    document = configuration_document(version, round(idle_seconds * MS))
    row = StoredRow("config", version, document)
    daemon.replicated_state.on_configuration_rows(Snapshot((row,), version), False)


@given("a daemon whose configuration has an idle timeout of {seconds:f} s")
def step_idle_timeout(context: Any, seconds: float) -> None:
    context.first_seconds = seconds
    context.changes = []


@given("a caller's connection that becomes idle")
def step_connection(context: Any) -> None:
    context.transport = IdleTransport()


@when("a version with an idle timeout of {seconds:f} s is activated {later:f} s later")
def step_new_version(context: Any, seconds: float, later: float) -> None:
    context.changes.append((later, seconds))


@when("the connection is used {later:f} s after that")
def step_use(context: Any, later: float) -> None:
    context.changes.append((later, None))


@then("the connection is open {first:f} s later, and closed {second:f} s after that")
def step_open_then_closed(context: Any, first: float, second: float) -> None:
    run_in_virtual_time(_check_idle_timeout(context, first, second))


async def _check_idle_timeout(context: Any, first: float, second: float) -> None:
    store = StoreSettings("store:1")
    daemon = create_pool_daemon(Settings("daemon-1", store=store), store)
    _apply_configuration(daemon, 1, context.first_seconds)
    connection = ServerConnection(daemon.callers)
    connection.connection_made(context.transport)
    for number, (later, seconds) in enumerate(context.changes):
        await asyncio.sleep(later)
        if seconds is None:
            connection.data_received(REQUEST)
        else:
            _apply_configuration(daemon, 2 + number, seconds)
    await asyncio.sleep(first)
    assert not context.transport.closed
    await asyncio.sleep(second)
    assert context.transport.closed


@when("the daemon waits for its last requests just after one was read")
def step_wait_for_last(context: Any) -> None:
    run_in_virtual_time(_finish_last_request(context))


async def _finish_last_request(context: Any) -> None:
    store = StoreSettings("store:1")
    daemon = create_pool_daemon(Settings("daemon-1", store=store), store)
    _apply_configuration(daemon, 1, context.first_seconds)
    connection = ServerConnection(daemon.callers)
    connection.connection_made(context.transport)
    connection.data_received(REQUEST)
    await daemon._finish_requests(asyncio.get_running_loop().time() + context.first_seconds)
    context.written_bytes = context.transport.written_bytes


@then("it has responded")
def step_responded(context: Any) -> None:
    assert context.written_bytes > 0
