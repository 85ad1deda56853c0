"""What serving and control need of a deployment, as abstract classes.

One implementation turns each into what a deployment speaks; decisions never see its names.
"""

from abc import ABC, abstractmethod

from msgspec import Struct

from loomwind.errors import LoomwindError
from loomwind.http.messages import Headers, HttpRequest, HttpResponse
from loomwind.serving.views import (
    CallerRequest,
    Configuration,
    Order,
    OrderAnswer,
    ServerEntry,
    ServerReport,
)


class StoreError(LoomwindError):
    """Base class of the store's errors."""


class StoreUnavailable(StoreError):
    """The store did not answer, or refused.

    :param unknown: whether a write may have taken effect, or may yet do so.
    """

    def __init__(self, detail: str, unknown: bool = False) -> None:
        super().__init__(detail)
        self.unknown = unknown


class HistoryLost(StoreError):
    """The changes since a version are no longer known: the table has to be read in whole."""


class WriteConflict(StoreError):
    """A row was not at the version that the write expected.

    :param rows: the rows as they are.
    """

    def __init__(self, rows: tuple["StoredRow", ...]) -> None:
        super().__init__("a row is at another version")
        self.rows = rows


class MalformedDocument(StoreError):
    """A document in the store cannot be read as what it should be."""


class StoredRow(Struct, frozen=True):
    """A row of a table.

    :param version: from the store's one counter, which rises with each write.
    :param deleted: whether the row was removed.
    """

    key: str
    version: int
    value: bytes = b""
    deleted: bool = False


class Snapshot(Struct, frozen=True):
    """Rows as of one version of the store: a whole table, or what changed in it."""

    rows: tuple[StoredRow, ...]
    version: int


class Write(Struct, frozen=True):
    """A write of one row, done only while it is at ``expected_version`` (0: not there).

    :param value: the new value; None removes the row.
    :param expected_version: None writes in any case.
    """

    key: str
    value: bytes | None
    expected_version: int | None = None


class Store(ABC):
    """A linearizable store of rows in tables, with a feed of changes."""

    configuration_table: str
    configuration_key: str
    server_table: str

    @abstractmethod
    def set_address(self, address: str, timeout_seconds: float) -> None:
        """Reach the store at another address from the next call on."""

    @abstractmethod
    async def read(self, table: str) -> Snapshot:
        """Return a whole table.

        :raises StoreUnavailable: no answer.
        """

    @abstractmethod
    async def changes(self, table: str, after: int, wait_seconds: float) -> Snapshot:
        """Return what changed in a table after a version; waits until something has.

        :raises StoreUnavailable: no answer.
        :raises HistoryLost: read the table in whole.
        """

    @abstractmethod
    async def write(self, table: str, write: Write, timeout_seconds: float | None = None) -> int:
        """Write a row; returns the version of the write.

        :param timeout_seconds: how long to wait for the answer; None for the store's usual time.
        :raises StoreUnavailable: no answer.
        :raises WriteConflict: the row is at another version.
        """


class DocumentParser(ABC):
    """Reads the documents that a deployment keeps in its store."""

    @abstractmethod
    def parse_configuration(self, value: bytes) -> Configuration:
        """Return a configuration.

        :raises MalformedDocument: it is none.
        """

    @abstractmethod
    def parse_server(self, name: str, value: bytes) -> ServerEntry:
        """Return a server's entry.

        :raises MalformedDocument: it is none.
        """


class ResponseCheck(Struct, frozen=True):
    """What the head of a server's answer says.

    :param matches_request: whether it answers the request that was sent.
    :param may_have_run: whether the server may have run the request.
    :param from_server: whether it carries the server's mark.
    :param missing_target: the server does not hold what the request needs, or is another life.
    :param other_instance: another server answers at the address than the one that was meant.
    """

    matches_request: bool
    may_have_run: bool
    from_server: bool
    missing_target: bool = False
    other_instance: bool = False


class Dialect(ABC):
    """How requests are marked between callers, daemons and servers."""

    @abstractmethod
    def read_request(self, request: HttpRequest) -> CallerRequest:
        """Return what a caller's request says."""

    @abstractmethod
    def server_headers(
        self,
        request: HttpRequest,
        server_name: str,
        remaining_seconds: float,
        priority: int | None,
        last_event_id: str | None,
    ) -> Headers:
        """Return the headers of a request as a server gets it, with the caller's host."""

    @abstractmethod
    def peer_headers(
        self, request: HttpRequest, remaining_seconds: float, last_event_id: str | None
    ) -> Headers:
        """Return the headers of a request as a peer gets it that serves it: a caller's own."""

    @abstractmethod
    def check_response(
        self, request_id: str, server_name: str, head: HttpResponse
    ) -> ResponseCheck:
        """Return what the head of an answer says about the request."""

    @abstractmethod
    def answer_headers(self, head: HttpResponse) -> Headers:
        """Return the headers of a server's answer as the caller gets them."""

    @abstractmethod
    def refusal_headers(self, request_id: str, retry_after_seconds: float | None) -> Headers:
        """Return the headers of a daemon's own answer."""


class EngineControl(ABC):
    """Reads and orders model servers."""

    @abstractmethod
    async def report(self, entry: ServerEntry, timeout: float) -> ServerReport | None:
        """Return what a server holds; None when it did not answer."""

    @abstractmethod
    async def order(self, entry: ServerEntry, order: Order, timeout: float) -> OrderAnswer:
        """Give an order. ``UNKNOWN`` means that it may be carried out, also much later."""
