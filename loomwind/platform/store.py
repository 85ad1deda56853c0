"""The platform's metadata store behind :class:`loomwind.serving.ports.Store`."""

import base64
import binascii
from urllib.parse import urlencode

import msgspec
from msgspec import Struct

from loomwind.http.client import HttpClient
from loomwind.http.errors import ConnectFailed, HttpError
from loomwind.http.messages import HttpRequest, HttpResponse
from loomwind.logs import log_state
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
LONG_POLL_MARGIN_SECONDS = 0.6
GONE_STATUS = 410
CONFLICT_STATUS = 412


class WireRow(Struct):
    """A row as the store writes it; ``value`` is base64."""

    key: str
    ver: int
    value: str = ""
    gone: bool = False


class RowsResponse(Struct):
    """The answer of each call about rows."""

    ver: int = 0
    rows: list[WireRow] = []
    more: bool = False


class PlatformStore(Store):
    """Rows over HTTP. All rows that the product uses have an empty part."""

    configuration_table = "op"
    configuration_key = "config"
    server_table = "servers"

    def __init__(self, http: HttpClient, address: str, timeout_seconds: float) -> None:
        self._http = http
        self._address = address
        self._timeout = timeout_seconds

    def set_address(self, address: str, timeout_seconds: float) -> None:
        """Reach the store elsewhere; see :meth:`Store.set_address`."""
        self._address = address
        self._timeout = timeout_seconds

    async def read(self, table: str) -> Snapshot:
        """Return a whole table; see :meth:`Store.read`."""
        rows: list[StoredRow] = []
        start = ""
        version = 0
        while True:
            query = {"table": table, "part": ""} | ({"from": start} if start else {})
            answer = _decode(await self._get("/rows-get", query, self._timeout))
            rows += [_row(row) for row in answer.rows]
            version = version or answer.ver
            if not answer.more or not answer.rows:
                return Snapshot(tuple(rows), version)
            start = answer.rows[-1].key + "\0"

    async def changes(self, table: str, after: int, wait_seconds: float) -> Snapshot:
        """Return what changed; see :meth:`Store.changes`."""
        query = {"table": table, "after": str(after), "wait-ms": str(int(wait_seconds * 1000))}
        response = await self._get("/rows-feed", query, wait_seconds + LONG_POLL_MARGIN_SECONDS)
        answer = _decode(response)
        return Snapshot(tuple(_row(row) for row in answer.rows), answer.ver)

    async def write(self, table: str, write: Write, timeout_seconds: float | None = None) -> int:
        """Write a row; see :meth:`Store.write`."""
        where = {"table": table, "part": "", "key": write.key}
        body: dict[str, list[dict[str, str | int]]] = {
            "expect-revision": [],
            "put": [],
            "remove": [],
        }
        if write.expected_version is not None:
            body["expect-revision"].append({**where, "ver": write.expected_version})
        if write.value is None:
            body["remove"].append({**where})
        else:
            body["put"].append({**where, "value": base64.b64encode(write.value).decode()})
        request = HttpRequest("POST", "/rows-tx", JSON_HEADERS, msgspec.json.encode(body))
        response = await self._exchange(request, timeout_seconds or self._timeout, writes=True)
        answer = _decode(response)
        if response.status == CONFLICT_STATUS:
            raise WriteConflict(tuple(_row(row) for row in answer.rows))
        return answer.ver

    async def _get(self, path: str, query: dict[str, str], timeout: float) -> HttpResponse:
        request = HttpRequest("GET", f"{path}?{urlencode(query)}")
        return await self._exchange(request, timeout, writes=False)

    async def _exchange(self, request: HttpRequest, timeout: float, writes: bool) -> HttpResponse:
        try:
            response = await self._http.request(self._address, request, timeout)
        except ConnectFailed as error:
            raise StoreUnavailable(str(error)) from error
        except HttpError as error:
            raise StoreUnavailable(str(error), outcome_unknown=writes) from error
        if response.status == GONE_STATUS:
            raise HistoryLost(f"history is gone: {request.target}")
        if response.status not in (200, CONFLICT_STATUS):
            raise StoreUnavailable(f"status {response.status}: {response.body[:120]!r}")
        return response


def parse_rows(body: bytes) -> list[StoredRow]:
    """Return the rows of an answer's body."""
    return [_row(row) for row in msgspec.json.decode(body, type=RowsResponse).rows]


def _decode(response: HttpResponse) -> RowsResponse:
    try:
        return msgspec.json.decode(response.body, type=RowsResponse)
    except msgspec.MsgspecError as error:
        raise StoreUnavailable(f"unreadable answer: {error}", outcome_unknown=True) from error


def _row(row: WireRow) -> StoredRow:
    return StoredRow(row.key, row.ver, _value(row), row.gone)


def _value(row: WireRow) -> bytes:
    """Return a row's value; empty, which no document is, where it cannot be read."""
    try:
        return base64.b64decode(row.value, validate=True)
    except binascii.Error as error:
        log_state("row", "unreadable", key=row.key, version=row.ver, error=str(error))
        return b""
