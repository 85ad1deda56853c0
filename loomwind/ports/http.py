"""HTTP clients of the platform's services.

``GET /table/KEY``            reads a row.
``PUT /table/KEY``            writes a row at the version in ``If-Match``.
``GET``, ``PUT /objects/NAME`` reads or writes an object.
``GET /machines?cell=NAME``   reads the machine list.
"""

from urllib.parse import quote

from loomwind.decoding import DecodeError, decode_json
from loomwind.http.client import HttpClient
from loomwind.http.errors import ConnectFailed, HttpError
from loomwind.http.messages import Headers, HttpRequest, HttpResponse
from loomwind.ports.base import Machine, MachineList, ObjectStore, Row, TableService
from loomwind.ports.errors import PlatformUnavailable, RowConflict


class _HttpService:
    """Base class of a client for a service at one address."""

    def __init__(self, http: HttpClient, address: str, timeout_seconds: float) -> None:
        self._http = http
        self._address = address
        self._timeout_seconds = timeout_seconds

    async def _exchange(
        self, method: str, path: str, body: bytes = b"", headers: Headers = ()
    ) -> HttpResponse:
        request = HttpRequest(method, path, headers, body)
        try:
            response = await self._http.request(self._address, request, self._timeout_seconds)
        except ConnectFailed as error:
            raise PlatformUnavailable(str(error), outcome_unknown=False) from error
        except HttpError as error:
            raise PlatformUnavailable(str(error), outcome_unknown=True) from error
        if response.status >= 500 or response.status == 429:
            raise PlatformUnavailable(f"status {response.status}", outcome_unknown=False)
        return response


class HttpTableService(_HttpService, TableService):
    """HTTP client of the table service."""

    async def read(self, key: str) -> Row:
        """Return a row; see :meth:`TableService.read`."""
        response = await self._exchange("GET", f"/table/{quote(key, safe='')}")
        version = int(response.header("etag") or 0)
        return Row(key, version, response.body if version else b"")

    async def write(self, key: str, base_version: int, value: bytes) -> Row:
        """Write a row; see :meth:`TableService.write`."""
        headers = (("if-match", str(base_version)),)
        response = await self._exchange("PUT", f"/table/{quote(key, safe='')}", value, headers)
        if response.status == 412:
            raise RowConflict(f"{key} is not at version {base_version}")
        return Row(key, base_version + 1, value)


class HttpObjectStore(_HttpService, ObjectStore):
    """HTTP client of the object store."""

    async def get(self, name: str) -> bytes | None:
        """Return an object; see :meth:`ObjectStore.get`."""
        response = await self._exchange("GET", f"/objects/{quote(name, safe='')}")
        return None if response.status == 404 else response.body

    async def put(self, name: str, value: bytes) -> None:
        """Write an object; see :meth:`ObjectStore.put`."""
        await self._exchange("PUT", f"/objects/{quote(name, safe='')}", value)


class HttpMachineList(_HttpService, MachineList):
    """HTTP client of the machine list."""

    async def machines(self, cell: str) -> tuple[Machine, ...]:
        """Return the machines of a cell; see :meth:`MachineList.machines`."""
        response = await self._exchange("GET", f"/machines?cell={quote(cell, safe='')}")
        try:
            return decode_json(response.body, tuple[Machine, ...])
        except DecodeError as error:
            raise PlatformUnavailable(f"unreadable machine list: {error}", False) from error
