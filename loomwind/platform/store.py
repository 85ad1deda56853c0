"""Implements :class:`loomwind.serving.ports.Store` with the platform's metadata store."""

import base64
import binascii
from urllib.parse import urlencode

import msgspec
from msgspec import Struct

from loomwind.decoding import DecodeError, decode_json
from loomwind.http.client import HttpClient
from loomwind.http.errors import ConnectFailed, HttpError
from loomwind.http.messages import HttpRequest, HttpResponse
from loomwind.logs import log_state
from loomwind.platform.documents import Count
from loomwind.serving.ports import (
    HistoryLost,
    Snapshot,
    Store,
    StoredRow,
    StoreUnavailable,
    Write,
    WriteConflict,
)

JSON_HEADERS = (("content-type", "application/json"),)
# Added to the wait of a long poll for the timeout of its HTTP request.
LONG_POLL_MARGIN_SECONDS = 0.6
GONE_STATUS = 410
CONFLICT_STATUS = 412


class WireRow(Struct):
    """A row as the store encodes it.

    :param ver: the store-wide version at which it was written.
    :param value: base64.
    :param gone: whether the row was removed.
    """

    key: str
    ver: Count
    value: str = ""
    gone: bool = False


class RowsResponse(Struct):
    """The response to every call that reads or writes rows.

    :param ver: the store-wide version, or that of the write.
    :param more: whether a full read has further pages.
    """

    ver: Count = 0
    rows: list[WireRow] = []
    more: bool = False


class PlatformStore(Store):
    """Reads and writes rows over HTTP. The ``part`` of a row's key is always empty here."""

    configuration_table = "op"
    configuration_key = "config"
    server_table = "servers"

    def __init__(self, http: HttpClient, address: str, timeout_seconds: float) -> None:
        self._http = http
        self._address = address
        self._timeout = timeout_seconds

    def set_address(self, address: str, timeout_seconds: float) -> None:
        """Use another address; see :meth:`Store.set_address`."""
        self._address = address
        self._timeout = timeout_seconds

    async def read(self, table: str) -> Snapshot:
        """Return a full table, read page by page; see :meth:`Store.read`."""
        rows: list[StoredRow] = []
        start = ""
        version = 0
        while True:
            query = {"table": table, "part": ""} | ({"from": start} if start else {})
            page = _decode_response((await self._get("/rows-get", query, self._timeout)).body)
            rows += [_decode_row(row) for row in page.rows]
            # The first page's version: later changes are then read from the feed.
            version = version or page.ver
            if not page.more or not page.rows:
                return Snapshot(tuple(rows), version)
            start = page.rows[-1].key + "\0"

    async def changes(self, table: str, after: int, wait_seconds: float) -> Snapshot:
        """Return the changes of a table; see :meth:`Store.changes`."""
        query = {"table": table, "after": str(after), "wait-ms": str(int(wait_seconds * 1000))}
        response = await self._get("/rows-feed", query, wait_seconds + LONG_POLL_MARGIN_SECONDS)
        decoded = _decode_response(response.body)
        return Snapshot(tuple(_decode_row(row) for row in decoded.rows), decoded.ver)

    async def write(self, table: str, write: Write, timeout_seconds: float | None = None) -> int:
        """Write a row; see :meth:`Store.write`."""
        row_key = {"table": table, "part": "", "key": write.key}
        body: dict[str, list[dict[str, str | int]]] = {
            "expect-revision": [],
            "put": [],
            "remove": [],
        }
        if write.expected_version is not None:
            body["expect-revision"].append({**row_key, "ver": write.expected_version})
        if write.value is None:
            body["remove"].append({**row_key})
        else:
            body["put"].append({**row_key, "value": base64.b64encode(write.value).decode()})
        request = HttpRequest("POST", "/rows-tx", JSON_HEADERS, msgspec.json.encode(body))
        response = await self._exchange(request, timeout_seconds or self._timeout, is_write=True)
        decoded = _decode_response(response.body)
        if response.status == CONFLICT_STATUS:
            raise WriteConflict(tuple(_decode_row(row) for row in decoded.rows))
        return decoded.ver

    async def _get(self, path: str, query: dict[str, str], timeout: float) -> HttpResponse:
        request = HttpRequest("GET", f"{path}?{urlencode(query)}")
        return await self._exchange(request, timeout, is_write=False)

    async def _exchange(self, request: HttpRequest, timeout: float, is_write: bool) -> HttpResponse:
        try:
            response = await self._http.request(self._address, request, timeout)
        except ConnectFailed as error:
            raise StoreUnavailable(str(error)) from error
        except HttpError as error:
            raise StoreUnavailable(str(error), outcome_unknown=is_write) from error
        if response.status == GONE_STATUS:
            raise HistoryLost(f"changes were discarded: {request.target}")
        if response.status not in (200, CONFLICT_STATUS):
            raise StoreUnavailable(f"status {response.status}: {response.body[:120]!r}")
        return response


def parse_rows(body: bytes) -> list[StoredRow]:
    """Decode the rows of a response body.

    :raises StoreUnavailable: the body is not a response of the store.
    """
    return [_decode_row(row) for row in _decode_response(body).rows]


def _decode_response(body: bytes) -> RowsResponse:
    try:
        return decode_json(body, RowsResponse)
    except DecodeError as error:
        raise StoreUnavailable(f"malformed response: {error}", outcome_unknown=True) from error


def _decode_row(row: WireRow) -> StoredRow:
    return StoredRow(row.key, row.ver, _decode_value(row), row.gone)


def _decode_value(row: WireRow) -> bytes:
    """Decode a row's value; empty, which no valid document is, when it is not valid base64."""
    try:
        return base64.b64decode(row.value, validate=True)
    except binascii.Error as error:
        log_state("row", "unreadable", key=row.key, version=row.ver, error=str(error))
        return b""
