"""Generations of a cell's register, stored in a row of the table service.

A generation starts with the voters listed in its row. The row is written by compare-and-set, so
that two daemons cannot create the same generation with different voters.
"""

import msgspec
from msgspec import Struct

from loomwind.decoding import DecodeError, decode_msgpack
from loomwind.messages import MemberInfo
from loomwind.ports.base import TableService
from loomwind.ports.errors import PlatformUnavailable, RowConflict


class Generation(Struct, frozen=True):
    """A generation, and the newest of its voter sets that the table service has stored."""

    number: int
    voters: tuple[MemberInfo, ...]


class GenerationStore:
    """Reads and writes the generation row of one cell."""

    def __init__(self, table: TableService, cell: str) -> None:
        self._table = table
        self._key = f"generation/{cell}"

    async def read(self) -> Generation | None:
        """Return the stored generation, or None if the cell never had one.

        :raises PlatformUnavailable: the table service does not answer, or the row is unreadable.
        """
        row = await self._table.read(self._key)
        return _decode(row.value) if row.version else None

    async def create(self, generation: Generation) -> bool:
        """Write a generation if it is later than the stored one.

        :returns: False if another daemon wrote first or the table service did not answer. The
            write may have succeeded then: read the row to learn the generation in force.
        """
        try:
            row = await self._table.read(self._key)
            stored = _decode(row.value) if row.version else None
            if stored is not None and stored.number >= generation.number:
                return False
            await self._table.write(self._key, row.version, msgspec.msgpack.encode(generation))
        except (RowConflict, PlatformUnavailable):
            return False
        return True

    async def publish(self, generation: Generation) -> None:
        """Update the voters of the stored generation, for daemons that start without a peer."""
        try:
            row = await self._table.read(self._key)
            stored = _decode(row.value)
            if stored.number == generation.number and stored.voters != generation.voters:
                await self._table.write(self._key, row.version, msgspec.msgpack.encode(generation))
        except (RowConflict, PlatformUnavailable):
            return


def _decode(value: bytes) -> Generation:
    try:
        return decode_msgpack(value, Generation)
    except DecodeError as error:
        raise PlatformUnavailable(f"unreadable generation: {error}", False) from error
