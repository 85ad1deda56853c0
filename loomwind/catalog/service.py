"""The catalog in one daemon: takes changes from operators, pushes them, and repairs gaps.

A daemon never applies a version lower than the one it has, and applies changes only in order.
"""

import asyncio
from collections.abc import Callable

import msgspec

from loomwind import constants
from loomwind.catalog.changes import CatalogObject, Change, ChangeRecord, ObjectKind, ObjectKey
from loomwind.catalog.errors import CatalogError, CatalogUnavailable
from loomwind.catalog.model import Catalog, apply, restore, snapshot
from loomwind.catalog.store import CatalogStore
from loomwind.logs import log_state
from loomwind.membership.service import Membership
from loomwind.messages import (
    Acknowledgement,
    CatalogAnswer,
    CatalogRequest,
    CatalogUpdate,
    MemberInfo,
)
from loomwind.metrics import Metrics
from loomwind.peering.errors import PeerUnreachable
from loomwind.peering.transport import PeerTransport
from loomwind.schema import Adapter, Drain, Group, Model

MAX_RECENT_CHANGES = 1024
MAX_RECENT_CHANGE_IDS = 4096
REMOTE_PUSH_COUNT = 4
PUSH_TIMEOUT_SECONDS = 1.0


class CatalogService:
    """Keeps the catalog of one daemon in step with everyone's."""

    def __init__(
        self,
        store: CatalogStore,
        membership: Membership,
        transport: PeerTransport,
        metrics: Metrics,
    ) -> None:
        self.catalog = Catalog()
        self.on_change: Callable[[], None] = lambda: None
        self.voters: Callable[[], tuple[MemberInfo, ...]] = tuple
        self._store = store
        self._membership = membership
        self._transport = transport
        self._metrics = metrics
        self._recent_changes: dict[int, ChangeRecord] = {}
        self._change_ids: dict[str, int] = {}
        self._pulling = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._lock = asyncio.Lock()

    def _update_catalog(self, catalog: Catalog) -> None:
        """Take a newer catalog in force; an older one is ignored."""
        if catalog.version <= self.catalog.version:
            return
        self.catalog = catalog
        self._metrics.catalog_version.set(catalog.version)
        self.on_change()

    def _record_change(self, record: ChangeRecord) -> None:
        self._recent_changes[record.version] = record
        self._recent_changes.pop(record.version - MAX_RECENT_CHANGES, None)
        self._change_ids[record.change.change_id] = record.version
        while len(self._change_ids) > MAX_RECENT_CHANGE_IDS:
            del self._change_ids[next(iter(self._change_ids))]

    async def catch_up_with_store(self) -> None:
        """Read the durable catalog.

        :raises CatalogUnavailable: the store does not answer.
        """
        catch_up_result = await self._store.catch_up(self.catalog)
        for record in catch_up_result.records:
            self._record_change(record)
        self._update_catalog(catch_up_result.catalog)

    async def poll_store(self, should_poll: Callable[[], bool]) -> None:
        """Read the durable log now and then while wanted, until cancelled.

        So a cell, or a daemon, that is cut off from the others but not from the table service
        still learns of changes.
        """
        while True:
            await asyncio.sleep(constants.CATALOG_POLL_INTERVAL_SECONDS)
            if should_poll():
                try:
                    await self.catch_up_with_store()
                except CatalogUnavailable:
                    continue

    async def fetch_from(self, peer: MemberInfo) -> bool:
        """Fetch what a peer has beyond the own version; False when it did not answer."""
        request = CatalogRequest(self.catalog.version)
        try:
            answer = await self._transport.call(peer.address, request)
        except PeerUnreachable:
            return False
        if isinstance(answer, CatalogAnswer):
            self._apply_answer(answer)
            return True
        return False

    def _apply_answer(self, answer: CatalogAnswer) -> None:
        if answer.snapshot is not None:
            self._update_catalog(restore(answer.snapshot))
        self._apply_changes(answer.changes)

    def _apply_changes(self, changes: tuple[ChangeRecord, ...]) -> None:
        catalog = self.catalog
        for record in changes:
            if record.version == catalog.version + 1:
                catalog = apply(catalog, record)
                self._record_change(record)
        self._update_catalog(catalog)

    async def submit(self, change: Change) -> ChangeRecord:
        """Accept a change: durable first, then on a majority of the voters, then answered.

        :raises CatalogError: it was not accepted, or, when unknown, perhaps accepted.
        """
        async with self._lock:
            existing = self._recent_changes.get(self._change_ids.get(change.change_id, 0))
            if existing is not None:
                return existing
            catch_up_result = await self._store.append(self.catalog, change)
            for record in catch_up_result.records:
                self._record_change(record)
            self._update_catalog(catch_up_result.catalog)
            record = catch_up_result.records[-1]
        log_state("catalog", "changed", version=record.version, change=change.change_id)
        await self._push(record)
        return record

    async def _push(self, record: ChangeRecord) -> None:
        """Send a change to the cell and to a few daemons elsewhere; wait for most voters."""
        message = CatalogUpdate((record,))
        voters = {info.identity for info in self.voters()} - {self._membership.own.identity}
        cell = self._membership.reachable()
        acknowledgements = [
            asyncio.create_task(self._push_to(info, message))
            for info in cell
            if info.identity in voters
        ]
        for info in cell:
            if info.identity not in voters:
                self._transport.send(info.address, message)
        for info in list(self._membership.remote_contacts.values())[:REMOTE_PUSH_COUNT]:
            self._transport.send(info.address, message)
        if acknowledgements:
            await asyncio.wait(acknowledgements, timeout=PUSH_TIMEOUT_SECONDS)

    async def _push_to(self, info: MemberInfo, message: CatalogUpdate) -> None:
        try:
            await self._transport.call(info.address, message)
        except PeerUnreachable:
            return

    def on_update(self, message: CatalogUpdate) -> Acknowledgement:
        """Take in pushed changes; a gap is repaired when the next digest shows it."""
        before = self.catalog.version
        self._apply_changes(message.changes)
        if self.catalog.version > before:
            for info in list(self._membership.remote_contacts.values())[:1]:
                self._transport.send(info.address, message)
        return Acknowledgement()

    def on_request(self, message: CatalogRequest) -> CatalogAnswer:
        """Answer with all that came after a version."""
        current = self.catalog.version
        missing_versions = range(message.after_version + 1, current + 1)
        if all(version in self._recent_changes for version in missing_versions):
            return CatalogAnswer(
                current, tuple(self._recent_changes[version] for version in missing_versions)
            )
        return CatalogAnswer(current, (), snapshot(self.catalog))

    def on_digest(self, peer: MemberInfo, version: int) -> None:
        """Pull from a peer that is ahead."""
        if version <= self.catalog.version or self._pulling:
            return
        self._pulling = True
        task = asyncio.get_running_loop().create_task(self._pull(peer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _pull(self, peer: MemberInfo) -> None:
        try:
            await self.fetch_from(peer)
        finally:
            self._pulling = False

    async def load_at_start(self) -> bool:
        """Learn the accepted catalog from the store, or else from a majority of the voters.

        :returns: whether the catalog is known to be as new as the last accepted change.
        """
        try:
            await self.catch_up_with_store()
            return True
        except CatalogUnavailable:
            pass
        voters = self.voters()
        if not voters:
            return False
        answers = await asyncio.gather(*(self.fetch_from(info) for info in voters))
        return 2 * sum(answers) > len(voters)

    async def seed(self, objects: list[CatalogObject]) -> None:
        """Create the objects of a settings file that the catalog does not have yet."""
        for value in objects:
            key = object_key(value)
            if key in self.catalog.entries:
                continue
            change = make_change(f"seed-{key.kind.value}-{key.name}", key, 0, value)
            try:
                await self.submit(change)
            except CatalogError as error:
                log_state("catalog", "seed-refused", key=key.name, reason=str(error))


def object_key(value: CatalogObject) -> ObjectKey:
    """Return the key of an object."""
    if isinstance(value, Group):
        return ObjectKey(ObjectKind.GROUP, value.name)
    if isinstance(value, Model):
        return ObjectKey(ObjectKind.MODEL, value.name)
    if isinstance(value, Adapter):
        return ObjectKey(ObjectKind.ADAPTER, value.name)
    if isinstance(value, Drain):
        return ObjectKey(ObjectKind.DRAIN, value.name)
    return ObjectKey(ObjectKind.ROUTE, value.prefix)


def make_change(
    change_id: str, key: ObjectKey, base_version: int, value: CatalogObject | None
) -> Change:
    """Return the change that puts an object, or deletes it when ``value`` is None."""
    change = Change(change_id=change_id, key=key, base_version=base_version)
    if value is None:
        return change
    return msgspec.structs.replace(change, **{key.kind.value: value})
