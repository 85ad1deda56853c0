"""Messages that replicate the catalog between daemons."""

from loomwind.catalog.changes import ChangeRecord
from loomwind.catalog.model import CatalogSnapshot
from loomwind.messages.identity import Message


class CatalogUpdate(Message, frozen=True, tag=True, array_like=True):
    """Distributes accepted changes, in the order of their versions."""

    changes: tuple[ChangeRecord, ...]


class CatalogRequest(Message, frozen=True, tag=True, array_like=True):
    """Requests all changes after a version."""

    after_version: int


class CatalogAnswer(Message, frozen=True, tag=True, array_like=True):
    """The changes after the requested version, or a snapshot if the log no longer has them all."""

    version: int
    changes: tuple[ChangeRecord, ...]
    snapshot: CatalogSnapshot | None = None
