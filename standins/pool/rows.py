"""In-memory tables of the stand-in store, with one version counter and a change history."""

from msgspec import Struct

RowKey = tuple[str, str]


class Row(Struct, frozen=True):
    """A row or a change to one; ``value`` is base64, as on the wire."""

    table: str
    key: str
    ver: int
    value: str = ""
    gone: bool = False
    part: str = ""


class Expectation(Struct):
    """The version that a row must have; 0 if it must not exist."""

    table: str
    key: str
    ver: int
    part: str = ""


class Put(Struct):
    """A row to write."""

    table: str
    key: str
    value: str
    part: str = ""


class Removal(Struct):
    """A row to remove."""

    table: str
    key: str
    part: str = ""


class Transaction(Struct, rename="kebab"):
    """Writes and removals that are applied atomically if all expectations hold."""

    expect_revision: list[Expectation] = []
    put: list[Put] = []
    remove: list[Removal] = []


class RowStore:
    """The rows of all tables and the history of their changes."""

    def __init__(self) -> None:
        self.version = 0
        self._rows: dict[RowKey, Row] = {}
        self._history: list[Row] = []
        self._discarded_version = 0

    def apply(self, transaction: Transaction) -> list[Row] | None:
        """Apply a transaction; return None, or the current conflicting rows if it is rejected."""
        failed = [e for e in transaction.expect_revision if self._version_of(e) != e.ver]
        if failed:
            return [self._rows[key] for e in failed if (key := (e.table, e.key)) in self._rows]
        self.version += 1
        for put in transaction.put:
            self._write(Row(put.table, put.key, self.version, put.value))
        for removal in transaction.remove:
            self._write(Row(removal.table, removal.key, self.version, gone=True))
        return None

    def _version_of(self, expectation: Expectation) -> int:
        row = self._rows.get((expectation.table, expectation.key))
        return row.ver if row else 0

    def _write(self, row: Row) -> None:
        self._history.append(row)
        if row.gone:
            self._rows.pop((row.table, row.key), None)
        else:
            self._rows[(row.table, row.key)] = row

    def table(self, name: str) -> list[Row]:
        """Return the rows of a table, sorted by key."""
        return sorted((r for r in self._rows.values() if r.table == name), key=lambda r: r.key)

    def changes(self, table: str, after: int) -> list[Row] | None:
        """Return the changes to a table after a version, or None if the history was discarded."""
        if after < self._discarded_version:
            return None
        return [row for row in self._history if row.table == table and row.ver > after]

    def discard_history(self) -> None:
        """Discard the change history."""
        self._discarded_version = self.version
        self._history.clear()
