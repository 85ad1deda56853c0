"""Steps for which daemons poll the store, with fake peers and a fake store."""

import asyncio
from typing import Any, cast

import msgspec
from behave import given, then, when

from loomwind.leadership.lease import LeaseAction, LeaseHolder
from loomwind.messages.serving import (
    DirectoryCopy,
    ServerDocument,
    ServerListAnswer,
    ServerListQuestion,
)
from loomwind.metrics import Metrics
from loomwind.peering.errors import PeerUnreachable
from loomwind.peering.transport import PeerTransport
from loomwind.platform.documents import PlatformDocumentParser
from loomwind.serving.directory import ServerDirectory
from loomwind.serving.follower import StoreHealth, TableFollower
from loomwind.serving.peers import PeerEntry, PeerTable
from loomwind.serving.pool import ServerPool
from loomwind.serving.ports import Snapshot, Store, StoredRow
from loomwind.serving.replicated_state import ReplicatedState
from loomwind.serving.residency import Residency, ServerHolding
from loomwind.serving.server_list import ServerListFollower
from loomwind.serving.views import HeldModel, ModelKey, ServerEntry, ServerState
from loomwind.settings import BoundSettings

OWN = LeaseHolder("own", "life-own", "a:0")
DRAIN_MS = 50
POLL_SECONDS = 0.002
MAX_POLLS = 2000


def server_document(state: str = "ready", held: str = "m1") -> bytes:
    """Return an encoded server entry."""
    entry = {"service": "tutor", "address": "a:1", "zone": "z", "state": state}
    return msgspec.json.encode(entry | {"models": [{"name": held}]})


def replicated_state() -> ReplicatedState:
    """Return the empty state of a new daemon."""
    return ReplicatedState(
        PlatformDocumentParser(), "config", ServerPool(BoundSettings()), StoreHealth(), Metrics()
    )


class CountingStore:
    """A store that never changes and counts its calls."""

    def __init__(self) -> None:
        self.calls = 0

    async def read(self, table: str) -> Snapshot:
        """Return an empty table."""
        self.calls += 1
        return Snapshot((), 1)

    async def changes(self, table: str, after: int, wait_seconds: float) -> Snapshot:
        """Return no changes."""
        self.calls += 1
        return Snapshot((), after)


class FakePeerTable:
    """A peer table with the given mirrors."""

    def __init__(self, mirrors: list[PeerEntry], own_incarnation: str) -> None:
        self._mirrors = mirrors
        self._own_incarnation = own_incarnation

    def mirrors(self) -> list[PeerEntry]:
        """Return the mirrors."""
        return self._mirrors

    def is_mirror(self) -> bool:
        """Return whether the daemon itself is a mirror, or knows none."""
        incarnations = [mirror.incarnation for mirror in self._mirrors]
        return not incarnations or self._own_incarnation in incarnations


class FakeMirrors:
    """Mirrors that all give the same response, or are unreachable."""

    def __init__(self) -> None:
        self.age_ms: float | None = 0.0
        self.query_count = 0
        self.sends_broken_list = False

    async def call(
        self, address: str, message: ServerListQuestion, timeout: float
    ) -> ServerListAnswer:
        """Respond to a query."""
        self.query_count += 1
        if self.age_ms is None:
            raise PeerUnreachable("connection refused")
        if self.sends_broken_list:
            self.sends_broken_list = False
            broken = DirectoryCopy(2, ("s1",), cast(tuple[ServerDocument, ...], None))
            return ServerListAnswer(0.0, self.age_ms, broken)
        server = ServerDocument("s1", server_document())
        copy = DirectoryCopy(2, ("s1",), (server,)) if message.version < 2 else None
        return ServerListAnswer(0.0, self.age_ms, copy)


@given("a daemon that has 3 mirrors and is not a mirror")
def step_not_a_mirror(context: Any) -> None:
    context.list_mirrors = [PeerEntry(f"a:{n}", "z", f"life-{n}") for n in range(3)]
    context.fake_mirrors = FakeMirrors()


@given("a daemon that is a mirror")
def step_mirror(context: Any) -> None:
    context.list_mirrors = [PeerEntry(OWN.address, "z", OWN.incarnation)]
    context.fake_mirrors = FakeMirrors()


@given("mirrors whose lists are {age:f} s old")
def step_age(context: Any, age: float) -> None:
    context.fake_mirrors.age_ms = age * 1000


@given("mirrors that cannot be reached")
def step_unreachable(context: Any) -> None:
    context.fake_mirrors.age_ms = None


@when("it has polled the list {count:d} times")
def step_follow(context: Any, count: int) -> None:
    context.replicated_state, context.store = replicated_state(), CountingStore()
    asyncio.run(_run_follower(context, count))


async def _run_follower(context: Any, count: int) -> None:
    store, mirrors = context.store, context.fake_mirrors
    table = TableFollower(
        cast(Store, store), "servers", StoreHealth(), context.replicated_state.on_server_rows
    )
    follower = ServerListFollower(
        OWN,
        table,
        cast(PeerTransport, mirrors),
        cast(PeerTable, FakePeerTable(context.list_mirrors, OWN.incarnation)),
        context.replicated_state,
        BoundSettings(drain_ms=DRAIN_MS),
    )
    task = asyncio.ensure_future(follower.run())
    for _ in range(MAX_POLLS):
        if max(store.calls, mirrors.query_count) >= count and store.calls in (0, count):
            break
        await asyncio.sleep(POLL_SECONDS)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


@then("it has called the store {count:d} times")
def step_calls(context: Any, count: int) -> None:
    assert context.store.calls == count, (context.store.calls, context.fake_mirrors.query_count)


@then("it knows server {name:w}")
def step_knows(context: Any, name: str) -> None:
    assert context.replicated_state.server_version == 2
    assert context.replicated_state.pool.directory.get(name) is not None


def rows(version: int, **documents: bytes | None) -> Snapshot:
    """Return changed rows."""
    changed = (
        StoredRow(name, version, value or b"", deleted=value is None)
        for name, value in documents.items()
    )
    return Snapshot(tuple(changed), version)


@given("a daemon that knows servers s1 and s2 at version 4")
def step_knows_two(context: Any) -> None:
    asyncio.run(_apply_and_copy(context, rows(4, s1=server_document(), s2=server_document())))


async def _apply_and_copy(context: Any, *snapshots: Snapshot) -> None:
    if not hasattr(context, "replicated_state"):
        context.replicated_state, context.peer = replicated_state(), replicated_state()
    for snapshot in snapshots:
        context.replicated_state.on_server_rows(snapshot, is_full=False)
    copy = context.replicated_state.directory_changes(context.peer.server_version)
    context.copy = copy
    context.peer.on_directory_copy(copy)
    context.listed = context.peer.directory_changes(0).listed


@when("s1 changes its models at version 5, and s2 starts draining at version 6")
def step_changes(context: Any) -> None:
    held, drained = rows(5, s1=server_document(held="m2")), rows(6, s2=server_document("draining"))
    asyncio.run(_apply_and_copy(context, held, drained))


@then("a peer at version 4 is sent the entry of s2 only, and the names of both")
def step_sent(context: Any) -> None:
    assert [server.name for server in context.copy.servers] == ["s2"], context.copy
    assert sorted(context.copy.listed) == ["s1", "s2"], context.copy


@when("s1 is removed at version 7")
def step_removed(context: Any) -> None:
    asyncio.run(_apply_and_copy(context, rows(7, s1=None)))


@then("a peer that had both knows only s2, as draining")
def step_peer_knows(context: Any) -> None:
    assert context.listed == ("s2",), context.listed
    entry = context.peer.pool.directory.get("s2")
    assert entry is not None and entry.state is ServerState.DRAINING


@when("its holder reports at {now:f} s that it wrote version {version:d}")
def step_holder_reports(context: Any, now: float, version: int) -> None:
    context.holder = context.lease.holder
    context.lease.record_row(version, context.holder, now)


@then("it is not acquired before {now:f} s, and then with expected version {version:d}")
def step_acquired(context: Any, now: float, version: int) -> None:
    lease = context.lease
    assert lease.action(now - 0.05, 9.0) is LeaseAction.WAIT
    assert lease.action(now, 9.0) is LeaseAction.ACQUIRE
    assert lease.expected_version == version
    context.acquired_at = now


@then("a daemon that yields to standbys acquires it {extra:f} s later")
def step_later(context: Any, extra: float) -> None:
    lease, now = context.lease, context.acquired_at
    assert lease.action(now, 9.0, extra) is LeaseAction.WAIT
    assert lease.action(now + extra, 9.0, extra) is LeaseAction.ACQUIRE


@then("a late notice of version {version:d} changes nothing")
def step_late_notice(context: Any, version: int) -> None:
    lease = context.lease
    lease.record_row(version, context.holder, context.acquired_at)
    assert lease.action(context.acquired_at, 9.0) is LeaseAction.ACQUIRE


@given("an entry of server {name:w} at revision {revision:d} that holds m1")
def step_entry(context: Any, name: str, revision: int) -> None:
    held = (HeldModel("m1"),)
    context.entry = ServerEntry(name, "tutor", "a:1", "z", 8, ServerState.READY, revision, held)
    context.residency = Residency()


@when("the leader reports at {now:f} s that {name:w} holds m1 and m2 at revision {revision:d}")
def step_leader_reports(context: Any, now: float, name: str, revision: int) -> None:
    held = (HeldModel("m1"), HeldModel("m2"))
    context.residency.update(ServerHolding(name, revision, held), now)


@then("{name:w} can run m2 at {now:f} s")
def step_can_run(context: Any, name: str, now: float) -> None:
    assert context.residency.can_run(context.entry, ModelKey("m2"), now)


@then("{name:w} can run m2 at {now:f} s only if its listed entry is not newer")
def step_can_run_later(context: Any, name: str, now: float) -> None:
    older = msgspec.structs.replace(context.entry, revision=18)
    assert context.residency.can_run(older, ModelKey("m2"), now)
    assert not context.residency.can_run(context.entry, ModelKey("m2"), now)


def listed_as(state: str) -> ServerEntry:
    """Return an entry of s1."""
    return ServerEntry("s1", "tutor", "a:1", "z", 8, ServerState(state))


@given("a server list with a drain bound of {seconds:f} s")
def step_list(context: Any, seconds: float) -> None:
    context.directory = ServerDirectory(seconds)


@when(
    "s1 is listed as {state:w}, and its entry is removed at {now:f} s while the store is {health}"
)
def step_entry_removed(context: Any, state: str, now: float, health: str) -> None:
    context.directory.put(listed_as(state))
    context.directory.remove("s1", now, health == "not stable", now)


@when(
    "s1 is listed as ready, and its entry lapses at {lapsed:f} s, "
    "noticed at {noticed:f} s while unstable"
)
def step_entry_lapses(context: Any, lapsed: float, noticed: float) -> None:
    context.directory.put(listed_as("ready"))
    context.directory.remove("s1", noticed, True, lapsed)


@when("s1 is listed as ready again")
def step_listed_again(context: Any) -> None:
    context.directory.put(listed_as("ready"))


@then("s1 may get requests at {now:f} s")
def step_may_get_requests(context: Any, now: float) -> None:
    assert [entry.instance for entry in context.directory.usable("tutor", now)] == ["s1"]


@then("s1 may not get requests at {now:f} s")
def step_may_not_get_requests(context: Any, now: float) -> None:
    assert context.directory.usable("tutor", now) == []


@given("a daemon whose call to the store failed at {now:f} s")
def step_failed(context: Any, now: float) -> None:
    context.health = StoreHealth()
    context.health.record_success(now - 5.0)
    context.health.record_failure(now, "reset")


@then("it reports at {now:f} s that the store is unavailable")
def step_unavailable(context: Any, now: float) -> None:
    assert context.health.is_unavailable(now)


@then("it no longer reports that at {now:f} s, although no call has succeeded since")
def step_no_longer_unavailable(context: Any, now: float) -> None:
    assert context.health.available_since is None
    assert not context.health.is_unavailable(now)


class WaitRecorder(CountingStore):
    """A store that records how long it was allowed to hold its responses."""

    def __init__(self) -> None:
        super().__init__()
        self.wait_times: list[float] = []

    async def changes(self, table: str, after: int, wait_seconds: float) -> Snapshot:
        """Return no changes."""
        self.wait_times.append(wait_seconds)
        return await super().changes(table, after, wait_seconds)


@then("its next feed call does not wait, so that a response is received at once")
def step_next_call(context: Any) -> None:
    store = WaitRecorder()
    table = TableFollower(cast(Store, store), "op", context.health, lambda rows, is_full: None)
    table.resume_from(1)
    asyncio.run(_poll_twice(table))
    assert store.wait_times == [0.0, 25.0], store.wait_times


async def _poll_twice(table: TableFollower) -> None:
    await table.poll_once(25.0)
    await table.poll_once(25.0)
