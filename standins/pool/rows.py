"""Rows of the stand-in store: tables, versions from one counter, and a history of changes. Pure."""

from msgspec import Struct

RowKey = tuple[str, str]


class Row(Struct, frozen=True):
    """A row, or a change of one; ``value`` is base64, as on the wire."""

    table: str
    key: str
    ver: int
    value: str = ""
    gone: bool = False
    part: str = ""


class Expectation(Struct):
    """The version that a row must have; 0 when it must not be there."""

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
    """All or nothing."""

    expect_revision: list[Expectation] = []
    put: list[Put] = []
    remove: list[Removal] = []


class RowStore:
    """The store's contents."""

    def __init__(self) -> None:
        self.version = 0
        self._rows: dict[RowKey, Row] = {}
        self._history: list[Row] = []
        self._discarded_version = 0

    def apply(self, transaction: Transaction) -> list[Row] | None:
        """Do a transaction; returns the rows as they are when an expectation does not hold."""
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
        """Return a table's rows, keys rising."""
        return sorted((r for r in self._rows.values() if r.table == name), key=lambda r: r.key)

    def changes(self, table: str, after: int) -> list[Row] | None:
        """Return the changes of a table after a version; None when they are forgotten."""
        if after < self._discarded_version:
            return None
        return [row for row in self._history if row.table == table and row.ver > after]

    def discard_history(self) -> None:
        """Drop the history."""
        self._discarded_version = self.version
        self._history.clear()
