"""Steps for the registry of software versions and the origins of streams, in virtual time."""

import asyncio
import contextlib
from collections.abc import Coroutine
from typing import Any, cast

import msgspec
from attrs import define
from behave import given, then, when

from features.support.memory_store import MemoryStore
from features.support.virtual_time import VirtualTimeLoop
from loomwind.clock import MS_PER_SECOND
from loomwind.messages.serving import OriginAnswer, OriginNotice, OriginQuestion
from loomwind.metrics import Metrics
from loomwind.peering.errors import PeerUnreachable
from loomwind.peering.transport import PeerTransport
from loomwind.platform.documents import PlatformDocumentParser
from loomwind.serving.errors import OriginUnknown
from loomwind.serving.follower import StoreHealth, TableFollower
from loomwind.serving.origin_log import OriginLog
from loomwind.serving.peer_origins import PeerOrigins
from loomwind.serving.peers import PeerEntry, PeerTable
from loomwind.serving.pool import ServerPool
from loomwind.serving.ports import Snapshot, StoredRow, StoreUnavailable, Write
from loomwind.serving.replicated_state import ReplicatedState
from loomwind.serving.resumption import Resumption
from loomwind.serving.stream_origins import StreamOrigin
from loomwind.serving.version_registrar import ROW_KEY, VersionRegistrar
from loomwind.serving.version_registry import ServiceVersions, decode_versions, encode_versions
from loomwind.serving.views import CallerRequest
from loomwind.settings import BoundSettings

SERVICE = "tutor"
PEER_TABLE = "daemons"
ORIGIN_TABLE = "origins"
LIFETIME_MS = 20_000.0
WRITE_DELAY_SECONDS = 0.05
# In virtual time; longer than all searches with their waits.
SEARCH_SECONDS = 10.0


class LeadingPeers:
    """The peer table of a daemon that leads a small fleet.

    :param known: the names of the daemons that have peers, which are also their addresses.
    """

    leads = True

    def __init__(self, own: str, known: set[str]) -> None:
        self._own = own
        self._known = known

    def others(self) -> list[PeerEntry]:
        """Return the other daemons."""
        return [PeerEntry(name, "z", name) for name in sorted(self._known) if name != self._own]

    def scale_interval(self, seconds: float) -> float:
        """Return the interval of a small fleet."""
        return seconds


class MemoryTransport:
    """Calls peers in memory.

    :param silent: the names of the daemons that do not answer.
    :ivar broken: the names of the daemons to which calls fail with an error that no caller knows.
    :ivar calls: the number of calls.
    """

    def __init__(self, daemons: dict[str, "Daemon"], silent: set[str]) -> None:
        self._daemons = daemons
        self._silent = silent
        self.broken: set[str] = set()
        self.calls = 0

    def send(self, address: str, message: OriginNotice) -> None:
        """Send a message to a peer."""
        if address not in self._silent:
            self._daemons[address].peer_origins.on_notice(message)

    async def call(self, address: str, message: OriginQuestion, timeout: float) -> OriginAnswer:
        """Return the answer of a peer."""
        self.calls += 1
        if address in self.broken:
            raise ValueError("an odd answer")
        if address in self._silent:
            await asyncio.sleep(timeout)
            raise PeerUnreachable("no answer")
        return self._daemons[address].peer_origins.answer(message)


@define
class Daemon:
    """The parts of a daemon that the scenarios need."""

    state: ReplicatedState
    registrar: VersionRegistrar
    follower: TableFollower
    origins: OriginLog
    peer_origins: PeerOrigins
    resumption: Resumption


def server_rows(version: int, software: list[str]) -> Snapshot:
    """Return the full server table with a server for each software version."""
    rows = []
    for name in software:
        entry = {"service": SERVICE, "address": "a:1", "zone": "z", "state": "ready"}
        entry |= {} if name == "none" else {"version": name}
        rows.append(StoredRow(f"s-{name}", version, msgspec.json.encode(entry)))
    return Snapshot(tuple(rows), version)


def _split(names: str) -> list[str]:
    return names.split(" and ")


async def _start(context: Any, name: str) -> Daemon:
    """Return a daemon that has read the registry and the list of servers."""
    daemon = await _create(context, name)
    await daemon.registrar.confirm()
    return daemon


async def _create(context: Any, name: str) -> Daemon:
    """Return a daemon that has read the list of servers."""
    store, peers = context.store, cast(PeerTable, LeadingPeers(name, context.known_peers))
    health = StoreHealth()
    pool = ServerPool(BoundSettings())
    state = ReplicatedState(PlatformDocumentParser(), "config", pool, health, Metrics())
    registrar = VersionRegistrar(store, PEER_TABLE, pool.versions, state, peers, health)
    follower = TableFollower(store, PEER_TABLE, health, registrar.on_rows)
    await follower.poll_once(0.0)
    context.list_version += 1
    _list(state, context)
    origins = OriginLog(store, ORIGIN_TABLE, name, pool.versions, peers)
    peer_origins = PeerOrigins(cast(PeerTransport, context.transport), peers, origins)
    resumption = Resumption(
        pool.versions, origins, peer_origins, registrar.confirm, lambda: state.list_age_ms
    )
    return Daemon(state, registrar, follower, origins, peer_origins, resumption)


def _list(state: ReplicatedState, context: Any) -> None:
    """Give a daemon the list of servers as of now."""
    state.on_server_rows(server_rows(context.list_version, context.software), is_full=True)
    state.servers_fresh_at = asyncio.get_running_loop().time()


def run(context: Any, coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine in the virtual time of a scenario."""
    return context.runner.run(coroutine)


async def run_for(coroutine: Coroutine[None, None, None], seconds: float) -> None:
    """Run a loop that never ends for some time."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await coroutine


@given("a store, and servers of tutor that run {versions}")
def step_store(context: Any, versions: str) -> None:
    context.runner = asyncio.Runner(loop_factory=VirtualTimeLoop)
    context.add_cleanup(context.runner.close)
    context.store = MemoryStore()
    context.software = _split(versions)
    context.list_version = 1
    context.daemons = {}
    context.out_of_step = set()
    context.known_peers, context.silent = set(), set()
    context.transport = MemoryTransport(context.daemons, context.silent)
    context.streams = []


@given("the versions {versions} of tutor are registered")
def step_registered(context: Any, versions: str) -> None:
    context.software = _split(versions)
    registered = (ServiceVersions(SERVICE, tuple(sorted(_split(versions)))),)
    write = Write(ROW_KEY, encode_versions(registered), 0)
    run(context, context.store.write(PEER_TABLE, write))
    for name in ("daemon-1", "daemon-2"):
        context.daemons[name] = run(context, _start(context, name))


@when("servers of tutor run {versions}")
def step_servers(context: Any, versions: str) -> None:
    context.software = _split(versions)
    context.list_version += 1
    run(context, list_servers(context))


async def list_servers(context: Any) -> None:
    """Give the list of servers to all daemons but those out of step."""
    for name, daemon in context.daemons.items():
        if name not in context.out_of_step:
            _list(daemon.state, context)


@when("{name:S} keeps the registry for {seconds:d} s")
def step_keep_registry(context: Any, name: str, seconds: int) -> None:
    run(context, run_for(context.daemons[name].registrar.run(), seconds))


@when("{name:S} writes origins for {seconds:d} s")
def step_write_origins(context: Any, name: str, seconds: int) -> None:
    run(context, run_for(context.daemons[name].origins.run(), seconds))


@when("{name:S} has written origins for {seconds:f} s when servers of tutor run {versions}")
def step_servers_while_writing(context: Any, name: str, seconds: float, versions: str) -> None:
    async def write_origins() -> None:
        writing = asyncio.ensure_future(context.daemons[name].origins.run())
        await asyncio.sleep(seconds)
        context.software = _split(versions)
        context.list_version += 1
        await list_servers(context)
        await asyncio.sleep(WRITE_DELAY_SECONDS)
        writing.cancel()
        await asyncio.gather(writing, return_exceptions=True)

    run(context, write_origins())


@when("{name:S} relays the first event of {which} stream from {version:w}")
def step_first_event(context: Any, name: str, which: str, version: str) -> None:
    context.streams.append(f"request-{len(context.streams)}")
    run(context, _record(context.daemons[name].origins, context.streams[-1], version))


async def _record(origins: OriginLog, request_id: str, version: str) -> None:
    origins.record(request_id, StreamOrigin(SERVICE, version), LIFETIME_MS)


@when("{name:S} restarts")
def step_restart(context: Any, name: str) -> None:
    context.daemons[name] = run(context, _start(context, name))


@when("{name:S} restarts, and cannot read the registry")
def step_restart_unread(context: Any, name: str) -> None:
    context.daemons[name] = run(context, _create(context, name))
    try:
        run(context, context.daemons[name].registrar.confirm())
    except StoreUnavailable:
        return
    raise AssertionError("the registry was read")


@given("the store is unavailable")
@when("the store is unavailable")
def step_unavailable(context: Any) -> None:
    context.store.is_available = False


@when("the store is available again")
def step_available(context: Any) -> None:
    context.store.is_available = True


@when("calls to the store fail unexpectedly")
def step_store_broken(context: Any) -> None:
    context.store.fails_unexpectedly = True


@when("the store delays writes")
def step_delay(context: Any) -> None:
    context.store.delays_writes = True


@when("the store answers writes")
def step_answer(context: Any) -> None:
    context.store.delays_writes = False


@given("the store loses the answer to every second write for as long as its caller waits")
def step_lose_answers(context: Any) -> None:
    context.store.loses_every_second_write = True


@when("the store carries out the delayed writes")
def step_carry_out(context: Any) -> None:
    context.store.apply_delayed()


@when("another writer leaves an odd row among the origins")
def step_odd_row(context: Any) -> None:
    run(context, context.store.write(ORIGIN_TABLE, Write("a-writer", b"\x91" * 100_000)))


@when("another writer leaves only {versions} in the registry, which {name:S} reads")
def step_overwrite(context: Any, versions: str, name: str) -> None:
    registered = (ServiceVersions(SERVICE, tuple(_split(versions))),)
    run(context, _write_registry(context, encode_versions(registered)))
    run(context, context.daemons[name].registrar.confirm())


async def _write_registry(context: Any, value: bytes) -> None:
    """Write the row of the registry as another writer that has read it."""
    rows = (await context.store.read(PEER_TABLE)).rows
    row_version = next(row.version for row in rows if row.key == ROW_KEY)
    await context.store.write(PEER_TABLE, Write(ROW_KEY, value, row_version))


@when("another writer leaves an odd row as the registry, which {name:S} {how}")
def step_odd_registry(context: Any, name: str, how: str) -> None:
    daemon: Daemon = context.daemons[name]
    run(context, _write_registry(context, b"{odd"))
    if how == "reads":
        with contextlib.suppress(StoreUnavailable):
            run(context, daemon.registrar.confirm())


def _required(context: Any, name: str, request_id: str) -> str | None:
    caller = CallerRequest("retry", "h", 10.0, last_event_id="3", origin_id=request_id)
    resumption: Resumption = context.daemons[name].resumption

    async def find() -> str | None:
        async with asyncio.timeout(SEARCH_SECONDS):
            return await resumption.required_version(caller, SERVICE)

    version: str | None = run(context, find())
    return version


@then("a stream that began at {name:S} goes on at {version:w}, without a call to the store")
def step_sole_version(context: Any, name: str, version: str) -> None:
    calls = context.store.calls
    assert _required(context, name, "unknown") == version
    assert context.store.calls == calls


@then("{name:S} continues that stream at {version:w}, without a call to the store")
def step_known_here(context: Any, name: str, version: str) -> None:
    calls = context.store.calls
    assert _required(context, name, context.streams[-1]) == version
    assert context.store.calls == calls


@then("{name:S} continues that stream at {version:w}")
def step_continues(context: Any, name: str, version: str) -> None:
    assert _required(context, name, context.streams[-1]) == version


@then("{name:S} continues the stream before at {version:w}")
def step_continues_earlier(context: Any, name: str, version: str) -> None:
    assert _required(context, name, context.streams[-2]) == version


@then("{name:S} continues that stream at {version:w}, while {writer:S} writes origins")
def step_continues_while(context: Any, name: str, version: str, writer: str) -> None:
    async def resume() -> str | None:
        writing = asyncio.ensure_future(_write_later(context.daemons[writer].origins))
        caller = CallerRequest("r", "h", 10.0, last_event_id="3", origin_id=context.streams[-1])
        resumption: Resumption = context.daemons[name].resumption
        found = await resumption.required_version(caller, SERVICE)
        writing.cancel()
        await asyncio.gather(writing, return_exceptions=True)
        return found

    assert run(context, resume()) == version


async def _write_later(origins: OriginLog) -> None:
    """Write origins once the first look-up has found none."""
    await asyncio.sleep(WRITE_DELAY_SECONDS)
    await origins.run()


@then("{name:S} rejects an unknown stream, {how} a time to retry")
def step_rejects(context: Any, name: str, how: str) -> None:
    try:
        version = _required(context, name, "unknown")
    except OriginUnknown as error:
        assert (error.retry_after_seconds is not None) == (how == "with"), error
    else:
        raise AssertionError(f"the stream goes on at {version}")


@then("no origin is stored")
def step_none_stored(context: Any) -> None:
    assert context.store.rows.table(ORIGIN_TABLE) == []


def _may_begin(context: Any, version: str) -> bool:
    daemon: Daemon = context.daemons["daemon-1"]
    name = "" if version == "none" else version
    may_begin: bool = run(context, _ask_may_begin(daemon, name))
    return may_begin


async def _ask_may_begin(daemon: Daemon, version: str) -> bool:
    now_ms = asyncio.get_running_loop().time() * MS_PER_SECOND
    return daemon.state.pool.versions.may_begin(SERVICE, version, now_ms)


@then("streams may begin at {version:w} but not at {other:w}")
def step_may_not_begin(context: Any, version: str, other: str) -> None:
    assert _may_begin(context, version) and not _may_begin(context, other)


@then("streams may begin at {version:w} and at {other:w}")
def step_may_begin(context: Any, version: str, other: str) -> None:
    assert _may_begin(context, version) and _may_begin(context, other)


@then("the registered versions of tutor are {versions}")
def step_versions(context: Any, versions: str) -> None:
    snapshot = run(context, context.store.read(PEER_TABLE))
    row = next(row for row in snapshot.rows if row.key == ROW_KEY)
    registered = {each.service: each.versions for each in decode_versions(row.value)}
    assert list(registered[SERVICE]) == _split(versions), registered
