"""Persistent catalog: a log of changes in the table service, and a snapshot in the object store.

Change N is stored in the row ``catalog/N``, which only one writer can create. If the answer to a
write is lost, the row is read back and its change ID compared.
"""

import msgspec
from msgspec import Struct

from loomwind.catalog.changes import Change, ChangeRecord
from loomwind.catalog.errors import CatalogUnavailable
from loomwind.catalog.model import Catalog, CatalogSnapshot, apply, restore, snapshot, validate
from loomwind.decoding import DecodeError, Document, decode_msgpack
from loomwind.ports.base import ObjectStore, TableService
from loomwind.ports.errors import PlatformUnavailable, RowConflict

SNAPSHOT_INTERVAL = 256
SNAPSHOT_NAME = "catalog-snapshot"
MAX_APPEND_ATTEMPTS = 64
MAX_READ_BACK_ATTEMPTS = 3


def row_key(version: int) -> str:
    """Return the key of the row for the change with a version."""
    return f"catalog/{version:012d}"


class CatchUpResult(Struct, frozen=True):
    """An updated catalog, and the records that were applied to it."""

    catalog: Catalog
    records: tuple[ChangeRecord, ...]


class CatalogStore:
    """Reads and appends to the log of changes."""

    def __init__(self, table: TableService, objects: ObjectStore | None) -> None:
        self._table = table
        self._objects = objects

    async def catch_up(self, catalog: Catalog) -> CatchUpResult:
        """Return the catalog with all changes accepted so far, starting from a snapshot if empty.

        :raises CatalogUnavailable: the table service does not answer.
        """
        if catalog.version == 0:
            catalog = await self._load_snapshot()
        records = []
        while record := await self._read(catalog.version + 1):
            catalog = apply(catalog, record)
            records.append(record)
        return CatchUpResult(catalog, tuple(records))

    async def _load_snapshot(self) -> Catalog:
        if self._objects is None:
            return Catalog()
        try:
            stored = await self._objects.get(SNAPSHOT_NAME)
        except PlatformUnavailable:
            return Catalog()
        if stored is None:
            return Catalog()
        return restore(_decode(stored, CatalogSnapshot))

    async def _read(self, version: int) -> ChangeRecord | None:
        try:
            row = await self._table.read(row_key(version))
        except PlatformUnavailable as error:
            raise CatalogUnavailable(str(error), outcome_unknown=False) from error
        if not row.version:
            return None
        return _decode(row.value, ChangeRecord)

    async def append(self, catalog: Catalog, change: Change) -> CatchUpResult:
        """Validate a change and append it.

        :returns: the catalog after the change, and the records since ``catalog``. The last record
            is that of the change; if its ID is already in the log, that of the earlier append.
        :raises Conflict: the change is not based on the current version of the object.
        :raises CatalogError: the change is invalid, or the store is unavailable.
        """
        records: tuple[ChangeRecord, ...] = ()
        for _ in range(MAX_APPEND_ATTEMPTS):
            existing = await self._read(catalog.version + 1)
            if existing is not None:
                catalog = apply(catalog, existing)
                records = (*records, existing)
                if existing.change.change_id == change.change_id:
                    return CatchUpResult(catalog, records)
                continue
            validate(catalog, change)
            record = ChangeRecord(version=catalog.version + 1, change=change)
            if await self._create(record):
                catalog = apply(catalog, record)
                await self._write_snapshot_if_due(catalog)
                return CatchUpResult(catalog, (*records, record))
        raise CatalogUnavailable("too many operators write at once", outcome_unknown=False)

    async def _create(self, record: ChangeRecord) -> bool:
        """Create the row of a record; return False if another change has taken its version."""
        key = row_key(record.version)
        try:
            await self._table.write(key, 0, msgspec.msgpack.encode(record))
        except RowConflict:
            return await self._is_recorded(record)
        except PlatformUnavailable as error:
            if not error.outcome_unknown:
                raise CatalogUnavailable(str(error), outcome_unknown=False) from error
            return await self._read_back(record)
        return True

    async def _is_recorded(self, record: ChangeRecord) -> bool:
        existing = await self._read(record.version)
        return existing is not None and existing.change.change_id == record.change.change_id

    async def _read_back(self, record: ChangeRecord) -> bool:
        """Return whether a write whose answer was lost took effect."""
        for _ in range(MAX_READ_BACK_ATTEMPTS):
            try:
                existing = await self._read(record.version)
            except CatalogUnavailable:
                continue
            return existing is not None and existing.change.change_id == record.change.change_id
        raise CatalogUnavailable(
            f"the answer was lost; read change id {record.change.change_id} back later",
            outcome_unknown=True,
        )

    async def _write_snapshot_if_due(self, catalog: Catalog) -> None:
        if self._objects is None or catalog.version % SNAPSHOT_INTERVAL:
            return
        try:
            await self._objects.put(SNAPSHOT_NAME, msgspec.msgpack.encode(snapshot(catalog)))
        except PlatformUnavailable:
            return


def _decode(value: bytes, document_type: type[Document]) -> Document:
    """Decode a row or a snapshot.

    :raises CatalogUnavailable: it cannot be decoded, so the catalog cannot be read on.
    """
    try:
        return decode_msgpack(value, document_type)
    except DecodeError as error:
        raise CatalogUnavailable(f"unreadable: {error}", outcome_unknown=False) from error
