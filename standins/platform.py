"""Stand-in for the platform: table service, object store, weight store and machine list.

Test endpoints: ``POST /_fault`` sets faults, ``POST /_machines`` sets the machine list, which
callers see after ``machine_lag_seconds``; ``GET /_statistics`` returns weight store statistics.
"""

import asyncio
from urllib.parse import unquote

import fire
import msgspec
from msgspec import Struct

from loomwind.http.messages import HttpRequest, HttpResponse
from loomwind.http.server import Exchange, HttpServer, ServerLimits
from loomwind.ports.base import Machine
from standins.faults import Faults, apply_delay, decode_faults, json_response

THROTTLE_THRESHOLD_SECONDS = 0.1


class WeightStatistics(Struct):
    """Statistics of the weight store.

    :param held_back: fetches that the rate limit delayed.
    """

    fetches: int = 0
    peak_parallel: int = 0
    held_back: int = 0
    busy_seconds: float = 0.0


class StoredRow(Struct):
    """A row of the table."""

    version: int = 0
    value: bytes = b""


class WeightStore:
    """Starts up to ``rate`` fetches per second; beyond ``parallel`` at once, they slow down."""

    def __init__(self, rate: float, parallel: int) -> None:
        self._interval = 1.0 / rate
        self._parallel = parallel
        self._next_start_at = 0.0
        self._active = 0
        self.statistics = WeightStatistics()

    async def fetch(self, seconds: float, time_factor: float) -> None:
        """Simulate a fetch that takes ``seconds`` at full speed.

        :param time_factor: multiplies the duration.
        """
        loop = asyncio.get_running_loop()
        start = max(loop.time(), self._next_start_at)
        self.statistics.held_back += start - loop.time() > THROTTLE_THRESHOLD_SECONDS
        self._next_start_at = start + self._interval
        await asyncio.sleep(start - loop.time())
        self._active += 1
        self.statistics.fetches += 1
        self.statistics.peak_parallel = max(self.statistics.peak_parallel, self._active)
        try:
            slowdown = max(1.0, self._active / self._parallel)
            self.statistics.busy_seconds += seconds
            await asyncio.sleep(seconds * slowdown * time_factor)
        finally:
            self._active -= 1


class Platform:
    """The platform's services in one process."""

    def __init__(
        self, rate: float = 2.0, parallel: int = 8, machine_lag_seconds: float = 0.5
    ) -> None:
        self.faults = Faults()
        self.weights = WeightStore(rate, parallel)
        self._rows: dict[str, StoredRow] = {}
        self._objects: dict[str, bytes] = {}
        self._machines: tuple[Machine, ...] = ()
        self._machine_lag_seconds = machine_lag_seconds
        self.server = HttpServer(self._serve, ServerLimits(max_body_bytes=64 << 20))

    async def _serve(self, exchange: Exchange) -> None:
        request = exchange.request
        if request is None:
            exchange.abort()
            return
        if request.path == "/_fault":
            self.faults = decode_faults(request.body)
            await self._respond(exchange, json_response(self.faults))
            return
        affected = request.path.startswith(self.faults.matches)
        if self.faults.down and affected and not request.path.startswith("/_"):
            exchange.abort()
            return
        await apply_delay(self.faults, request.path)
        response = await self._handle(request)
        if self.faults.lose_answers and affected:
            exchange.abort()
            return
        await self._respond(exchange, response)

    @staticmethod
    async def _respond(exchange: Exchange, response: HttpResponse) -> None:
        await exchange.respond(response.status, response.headers, response.body)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        _, _, rest = request.target[1:].partition("/")
        name = unquote(rest)
        if request.path.startswith("/table/"):
            return self._handle_table(request, name)
        if request.path.startswith("/objects/"):
            return self._handle_object(request, name)
        if request.path == "/machines":
            cell = unquote(request.target.partition("cell=")[2])
            return json_response([m for m in self._machines if m.cell == cell])
        if request.path == "/_machines":
            machines = msgspec.json.decode(request.body, type=tuple[Machine, ...])
            asyncio.get_running_loop().call_later(
                self._machine_lag_seconds, self._set_machines, machines
            )
            return json_response(machines)
        if request.path == "/weights":
            seconds = msgspec.json.decode(request.body, type=float)
            await self.weights.fetch(seconds, self.faults.load_factor)
            return json_response(seconds)
        if request.path == "/_statistics":
            return json_response(self.weights.statistics)
        return HttpResponse(404)

    def _set_machines(self, machines: tuple[Machine, ...]) -> None:
        self._machines = machines

    def _handle_table(self, request: HttpRequest, name: str) -> HttpResponse:
        row = self._rows.setdefault(name, StoredRow())
        if request.method == "PUT":
            if int(request.header("if-match") or 0) != row.version:
                return HttpResponse(412)
            row.version += 1
            row.value = request.body
        return HttpResponse(200, (("etag", str(row.version)),), row.value)

    def _handle_object(self, request: HttpRequest, name: str) -> HttpResponse:
        if request.method == "PUT":
            self._objects[name] = request.body
            return HttpResponse(200)
        if name not in self._objects:
            return HttpResponse(404)
        return HttpResponse(200, (), self._objects[name])


async def _serve(platform: Platform, host: str, port: int) -> None:
    await platform.server.start(host, port)
    print(f"ready {platform.server.port}", flush=True)
    await asyncio.Event().wait()


def main(
    port: int = 0,
    host: str = "127.0.0.1",
    rate: float = 2.0,
    parallel: int = 8,
    machine_lag_seconds: float = 0.5,
) -> None:
    """Run the platform stand-in until the process is killed.

    :param rate: fetches that the weight store starts per second.
    :param parallel: concurrent fetches that it serves at full speed.
    :param machine_lag_seconds: delay until a new machine list is visible.
    """
    asyncio.run(_serve(Platform(rate, parallel, machine_lag_seconds), host, port))


if __name__ == "__main__":
    fire.Fire(main)
