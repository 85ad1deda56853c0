"""Generations of a cell's register, as named by a row of the table service.

A generation begins with the voters that its row names. The row is created and replaced by
compare-and-set, so that two daemons cannot found the same generation with different voters.
"""

import msgspec
from msgspec import Struct

from loomwind.messages import MemberInfo
from loomwind.ports.base import TableService
from loomwind.ports.errors import PlatformUnavailable, RowConflict


class Generation(Struct, frozen=True):
    """A generation and its newest voters that are known to the table service."""

    number: int
    voters: tuple[MemberInfo, ...]


class GenerationStore:
    """The row of one cell."""

    def __init__(self, table: TableService, cell: str) -> None:
        self._table = table
        self._key = f"generation/{cell}"

    async def read(self) -> Generation | None:
        """Return the generation; None when the cell never had one.

        :raises PlatformUnavailable: the table service does not answer.
        """
        row = await self._table.read(self._key)
        return msgspec.msgpack.decode(row.value, type=Generation) if row.version else None

    async def create(self, generation: Generation) -> bool:
        """Write a generation that follows the stored one.

        :returns: False when another daemon was first or the answer is lost: what counts then is
            what the row says.
        """
        try:
            row = await self._table.read(self._key)
            stored = msgspec.msgpack.decode(row.value, type=Generation) if row.version else None
            if stored is not None and stored.number >= generation.number:
                return False
            await self._table.write(self._key, row.version, msgspec.msgpack.encode(generation))
        except (RowConflict, PlatformUnavailable):
            return False
        return True

    async def publish(self, generation: Generation) -> None:
        """Name newer voters of the same generation, for daemons that start when no peer answers."""
        try:
            row = await self._table.read(self._key)
            stored = msgspec.msgpack.decode(row.value, type=Generation)
            if stored.number == generation.number and stored.voters != generation.voters:
                await self._table.write(self._key, row.version, msgspec.msgpack.encode(generation))
        except (RowConflict, PlatformUnavailable):
            return
