"""A daemon's copy of the catalog: accepts changes, pushes them to peers, and fetches missed ones.

A daemon never goes back to a lower version, and applies changes only in order.
"""

import asyncio
from collections.abc import Callable

import msgspec

from loomwind import constants
from loomwind.catalog.changes import CatalogObject, Change, ChangeRecord, ObjectKey, ObjectKind
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
    """Replicates the catalog between this daemon, the store and its peers."""

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
        """Switch to a newer catalog; ignore any other."""
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
        """Read the changes in the store that are missing here.

        :raises CatalogUnavailable: the store does not answer.
        """
        catch_up_result = await self._store.catch_up(self.catalog)
        for record in catch_up_result.records:
            self._record_change(record)
        self._update_catalog(catch_up_result.catalog)

    async def poll_store(self, should_poll: Callable[[], bool]) -> None:
        """Poll the store while ``should_poll`` returns true, until cancelled.

        A cell or daemon that is cut off from the others, but not from the table service, still
        gets changes this way.
        """
        while True:
            await asyncio.sleep(constants.CATALOG_POLL_INTERVAL_SECONDS)
            if should_poll():
                try:
                    await self.catch_up_with_store()
                except CatalogUnavailable:
                    continue

    async def fetch_from(self, peer: MemberInfo) -> bool:
        """Fetch the changes that a peer has beyond this version; return whether it answered."""
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
        """Store a change, push it to the voters, and return its record.

        Waits until the voters have answered, failed, or timed out. A change whose ID is already
        recorded is not applied again.

        :raises CatalogError: the change was not accepted; if ``outcome_unknown``, it may have been.
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
        """Send a change to the cell and a few remote contacts; wait for the voters or a timeout."""
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
        """Apply pushed changes; after a gap, the next digest from a peer triggers a fetch."""
        before = self.catalog.version
        self._apply_changes(message.changes)
        if self.catalog.version > before:
            for info in list(self._membership.remote_contacts.values())[:1]:
                self._transport.send(info.address, message)
        return Acknowledgement()

    def on_request(self, message: CatalogRequest) -> CatalogAnswer:
        """Return all changes after a version, or a snapshot if some are no longer kept."""
        current = self.catalog.version
        missing_versions = range(message.after_version + 1, current + 1)
        if all(version in self._recent_changes for version in missing_versions):
            return CatalogAnswer(
                current, tuple(self._recent_changes[version] for version in missing_versions)
            )
        return CatalogAnswer(current, (), snapshot(self.catalog))

    def on_digest(self, peer: MemberInfo, version: int) -> None:
        """Start fetching from a peer that has a newer version, unless a fetch is running."""
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
        """Read the catalog from the store, or from the voters if the store is unavailable.

        :returns: whether the store or a majority of the voters answered.
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
        """Create the objects from the settings file that are missing in the catalog."""
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
    """Return the catalog key of an object."""
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
    """Return a change that puts an object, or deletes it if ``value`` is None."""
    change = Change(change_id=change_id, key=key, base_version=base_version)
    if value is None:
        return change
    return msgspec.structs.replace(change, **{key.kind.value: value})
