"""In-memory table service for a single daemon without a platform. Rows are not persisted."""

from loomwind.ports.base import Row, TableService
from loomwind.ports.errors import RowConflict


class LocalTableService(TableService):
    """Keeps rows in the memory of this process."""

    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}

    async def read(self, key: str) -> Row:
        """Return a row; see :meth:`TableService.read`."""
        return self._rows.get(key, Row(key, 0, b""))

    async def write(self, key: str, base_version: int, value: bytes) -> Row:
        """Write a row; see :meth:`TableService.write`."""
        if (await self.read(key)).version != base_version:
            raise RowConflict(f"{key} is not at version {base_version}")
        self._rows[key] = Row(key, base_version + 1, value)
        return self._rows[key]
