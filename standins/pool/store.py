"""Stand-in for the platform's metadata store; runs as its own process.

Test endpoints: ``POST /_fault`` sets faults, ``POST /_apply`` applies a transaction to any table,
``POST /_forget`` discards the history, ``GET /_rows?table=`` returns a table, ``GET /_late`` the
number of delayed writes that are still to come.
"""

import asyncio
from urllib.parse import parse_qs, urlsplit

import fire
import msgspec
from msgspec import Struct

from loomwind.http.messages import HttpRequest, HttpResponse
from loomwind.http.server import Exchange, HttpServer
from standins.faults import json_response
from standins.pool.rows import Row, RowStore, Transaction

FEED_POLL_INTERVAL_SECONDS = 0.005


class StoreFaults(Struct):
    """The active faults.

    :param mode: ``busy`` responds with 503, ``throttle`` with 429, ``reset`` closes the
        connection, ``silent`` never responds.
    :param lose_answers: apply writes without a response.
    :param late_seconds: delay of writes under ``lose_answers``.
    :param delay_seconds: delay before each call is processed.
    :param ends_feeds: close the connections on which callers wait for changes.
    :param stale: whole-table reads return the tables as they were when this fault was set.
    """

    mode: str = ""
    lose_answers: bool = False
    late_seconds: float = 0.0
    delay_seconds: float = 0.0
    ends_feeds: bool = False
    stale: bool = False


class RowsResponse(Struct):
    """The response body of the row calls."""

    ver: int
    now_ms: int
    rows: list[Row] = []
    more: bool = False


class PoolStore:
    """A linearizable store with injectable faults."""

    def __init__(self) -> None:
        self.rows = RowStore()
        self.faults = StoreFaults()
        self.server = HttpServer(self._serve)
        self._stale_tables: dict[str, RowsResponse] = {}
        self._delayed_writes: set[asyncio.Task[None]] = set()

    async def _serve(self, exchange: Exchange) -> None:
        request = exchange.request
        if request is None:
            exchange.abort()
        elif request.path.startswith("/_"):
            await _respond(exchange, self._control(request))
        elif self.faults.mode == "silent":
            await asyncio.Event().wait()
        elif self.faults.mode == "reset":
            exchange.abort()
        elif self.faults.mode:
            await _respond(exchange, HttpResponse(429 if self.faults.mode == "throttle" else 503))
        else:
            await asyncio.sleep(self.faults.delay_seconds)
            await self._handle_rows(exchange, request)

    def _control(self, request: HttpRequest) -> HttpResponse:
        if request.path == "/_fault":
            self.faults = msgspec.json.decode(request.body, type=StoreFaults)
            self._stale_tables = {t: self._read_table(t) for t in ("op", "servers")}
        elif request.path == "/_apply":
            self.rows.apply(msgspec.json.decode(request.body, type=Transaction))
        elif request.path == "/_forget":
            self.rows.discard_history()
        elif request.path == "/_rows":
            return json_response(self.rows.table(_query(request, "table")))
        elif request.path == "/_late":
            return json_response(len(self._delayed_writes))
        return json_response({"ver": self.rows.version})

    def _make_response(self, rows: list[Row]) -> RowsResponse:
        now_ms = int(asyncio.get_running_loop().time() * 1000)
        return RowsResponse(self.rows.version, now_ms, rows)

    def _read_table(self, table: str) -> RowsResponse:
        return self._make_response(self.rows.table(table))

    async def _handle_rows(self, exchange: Exchange, request: HttpRequest) -> None:
        if request.path == "/rows-get":
            table = _query(request, "table")
            stale = self._stale_tables.get(table) if self.faults.stale else None
            await _respond(exchange, json_response(stale or self._read_table(table)))
        elif request.path == "/rows-feed":
            response = await self._feed(request)
            if response is None:
                exchange.abort()
            else:
                await _respond(exchange, response)
        elif request.path == "/rows-tx":
            await self._transact(exchange, request)
        else:
            await _respond(exchange, HttpResponse(404))

    async def _feed(self, request: HttpRequest) -> HttpResponse | None:
        """Wait for changes; returns None when the feed is ended without a response."""
        table, after = _query(request, "table"), int(_query(request, "after"))
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(_query(request, "wait-ms") or 0) / 1000
        while not self.faults.ends_feeds:
            changes = self.rows.changes(table, after)
            if changes is None:
                return HttpResponse(410)
            if changes or loop.time() >= deadline:
                return json_response(self._make_response(changes))
            await asyncio.sleep(FEED_POLL_INTERVAL_SECONDS)
        return None

    async def _transact(self, exchange: Exchange, request: HttpRequest) -> None:
        transaction = msgspec.json.decode(request.body, type=Transaction)
        if any(put.table == "servers" for put in transaction.put):
            await _respond(exchange, HttpResponse(403))
            return
        if self.faults.lose_answers:
            task = asyncio.get_running_loop().create_task(self._apply_late(transaction))
            self._delayed_writes.add(task)
            task.add_done_callback(self._delayed_writes.discard)
            exchange.abort()
            return
        conflict = self.rows.apply(transaction)
        status = 200 if conflict is None else 412
        await _respond(exchange, json_response(self._make_response(conflict or []), status))

    async def _apply_late(self, transaction: Transaction) -> None:
        await asyncio.sleep(self.faults.late_seconds)
        self.rows.apply(transaction)


def _query(request: HttpRequest, name: str) -> str:
    values = parse_qs(urlsplit(request.target).query, keep_blank_values=True).get(name)
    return values[0] if values else ""


async def _respond(exchange: Exchange, response: HttpResponse) -> None:
    await exchange.respond(response.status, response.headers, response.body)


async def _serve(store: PoolStore, host: str, port: int) -> None:
    await store.server.start(host, port)
    print(f"ready {store.server.port}", flush=True)
    await asyncio.Event().wait()


def main(port: int = 0, host: str = "127.0.0.1") -> None:
    """Run the store stand-in until the process is killed."""
    asyncio.run(_serve(PoolStore(), host, port))


if __name__ == "__main__":
    fire.Fire(main)
