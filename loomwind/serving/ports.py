"""Abstract interfaces to a deployment, used by serving and placement.

Each is implemented by an adapter to the deployment's protocols; no other code depends on these.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable

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
    """Base class for errors of the store."""


class StoreUnavailable(StoreError):
    """The store did not respond, or refused the call.

    :param outcome_unknown: whether a write may have taken effect, or may still do so.
    """

    def __init__(self, detail: str, outcome_unknown: bool = False) -> None:
        super().__init__(detail)
        self.outcome_unknown = outcome_unknown


class HistoryLost(StoreError):
    """The changes since a version were discarded: the table must be read in full."""


class WriteConflict(StoreError):
    """A row was not at the version that the write expected.

    :param rows: the current rows.
    """

    def __init__(self, rows: tuple["StoredRow", ...]) -> None:
        super().__init__("a row is at another version")
        self.rows = rows


class MalformedDocument(StoreError):
    """A document in the store cannot be decoded as the expected type."""


class StoredRow(Struct, frozen=True):
    """A row of a table.

    :param version: the store-wide version, which increases with each write.
    :param deleted: whether the row was removed.
    """

    key: str
    version: int
    value: bytes = b""
    deleted: bool = False


class Snapshot(Struct, frozen=True):
    """Rows as of one version of the store: a full table, or its changed rows."""

    rows: tuple[StoredRow, ...]
    version: int


class Write(Struct, frozen=True):
    """A conditional write of one row.

    :param value: the new value; None removes the row.
    :param expected_version: the row's required version, 0 for no row; None writes unconditionally.
    """

    key: str
    value: bytes | None
    expected_version: int | None = None


class Store(ABC):
    """A linearizable store of tables of rows, with a change feed."""

    configuration_table: str
    configuration_key: str
    server_table: str

    @abstractmethod
    def set_address(self, address: str, timeout_seconds: float) -> None:
        """Use another address from the next call on."""

    @abstractmethod
    async def read(self, table: str) -> Snapshot:
        """Return a full table.

        :raises StoreUnavailable: the store did not respond.
        """

    @abstractmethod
    async def changes(self, table: str, after: int, wait_seconds: float) -> Snapshot:
        """Return the changes of a table after a version; waits until there are any.

        :param wait_seconds: the longest wait, after which the result may be empty.
        :raises StoreUnavailable: the store did not respond.
        :raises HistoryLost: the table must be read in full.
        """

    @abstractmethod
    async def write(self, table: str, write: Write, timeout_seconds: float | None = None) -> int:
        """Write a row; returns the version of the write.

        :param timeout_seconds: how long to wait for the response; None for the store's default.
        :raises StoreUnavailable: the store did not respond.
        :raises WriteConflict: the row is at another version.
        """


class DocumentParser(ABC):
    """Decodes the documents that a deployment keeps in its store."""

    @abstractmethod
    def parse_configuration(self, value: bytes) -> Configuration:
        """Decode a configuration.

        :raises MalformedDocument: the value is not a valid configuration.
        """

    @abstractmethod
    def parse_server(self, name: str, value: bytes) -> ServerEntry:
        """Decode a server's entry.

        :raises MalformedDocument: the value is not a valid entry.
        """


class ResponseCheck(Struct, frozen=True):
    """What the head of a server's response tells about the request.

    :param may_have_run: whether the server may have run the request.
    :param from_server: whether it carries the server's identification header.
    :param missing_target: whether the server lacks the requested model, or is another instance.
    :param other_instance: whether a server other than the intended one responded at the address.
    :param max_rejections_per_second: the server falls over when it rejects more requests than this;
        None for one that does not say so.
    """

    may_have_run: bool
    from_server: bool
    missing_target: bool = False
    other_instance: bool = False
    max_rejections_per_second: int | None = None


class Dialect(ABC):
    """The headers that callers, daemons and servers add to requests and responses."""

    @abstractmethod
    def read_request(self, request: HttpRequest) -> CallerRequest:
        """Decode the headers of a caller's request."""

    @abstractmethod
    def request_id(self, headers: Headers) -> str:
        """Return the id in the headers of a request; empty if there is none."""

    @abstractmethod
    def server_headers(
        self,
        request: HttpRequest,
        server_name: str,
        remaining_seconds: float,
        priority: int | None,
        last_event_id: str | None,
    ) -> Headers:
        """Return the headers of a request to a server, with the caller's host."""

    @abstractmethod
    def peer_headers(
        self, request: HttpRequest, remaining_seconds: float, last_event_id: str | None
    ) -> Headers:
        """Return the headers of a request relayed to a peer: like those of a caller."""

    @abstractmethod
    def check_response(self, server_name: str, head: HttpResponse) -> ResponseCheck:
        """Check the head of the response to a request."""

    @abstractmethod
    def response_headers(self, head: HttpResponse) -> Headers:
        """Return the headers of a server's response for the caller."""

    @abstractmethod
    def refusal_headers(self, request_id: str, retry_after_seconds: float | None) -> Headers:
        """Return the headers of a refusal by the daemon itself."""


class EngineControl(ABC):
    """Reads the state of model servers and sends them orders."""

    @abstractmethod
    async def read_report(
        self, entry: ServerEntry, timeout: float, on_new_connection: bool = False
    ) -> ServerReport | None:
        """Return a server's report; None when it did not respond.

        :param on_new_connection: whether to open a connection for it. On one that is reused, an
            earlier report may come a second time.
        """

    @abstractmethod
    async def send_order(
        self,
        entry: ServerEntry,
        order: Order,
        timeout: float,
        remaining_seconds: Callable[[], float],
    ) -> OrderAnswer:
        """Send an order. ``UNKNOWN`` means that it may be carried out, possibly much later.

        :param timeout: seconds from now to the answer.
        :param remaining_seconds: returns for how long its sender leads; asked when it is written.
        """
