"""Stand-in for an application server that counts executions by idempotency key or request id."""

import asyncio
from collections import Counter

import fire

from loomwind.engines.protocol import (
    LEAVING,
    NOT_RUN,
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    STATE_HEADER,
    StatusReport,
)
from loomwind.http.messages import Headers
from loomwind.http.server import Exchange, HttpServer
from standins.faults import Faults, apply_delay, decode_faults, json_response


class Application:
    """Application server with injectable faults."""

    def __init__(self, name: str, work_seconds: float = 0.0) -> None:
        self.name = name
        self.faults = Faults()
        self.executions: Counter[str] = Counter()
        self._work_seconds = work_seconds
        self._running = 0
        self.server = HttpServer(self._serve)

    async def _serve(self, exchange: Exchange) -> None:
        request = exchange.request
        if request is None:
            exchange.abort()
            return
        if request.path == "/_fault":
            self.faults = decode_faults(request.body)
            response = json_response(self.faults)
        elif request.path == "/_executions":
            response = json_response(self.executions)
        elif request.path == "/v1/status":
            report = StatusReport(self.name, self.faults.leaving, self._running)
            response = json_response(report)
        else:
            await self._run_request(exchange)
            return
        await exchange.respond(response.status, response.headers, response.body)

    async def _run_request(self, exchange: Exchange) -> None:
        request = exchange.request
        assert request is not None
        request_id = request.header(REQUEST_ID_HEADER) or ""
        headers: Headers = ((REQUEST_ID_HEADER, request_id),)
        if self.faults.leaving:
            headers += ((STATE_HEADER, LEAVING),)
        if self.faults.refuse or self.faults.leaving:
            await exchange.respond(503, (*headers, (OUTCOME_HEADER, NOT_RUN)), b"")
            return
        key = request.header("idempotency-key") or request_id
        self.executions[key] += 1
        self._running += 1
        try:
            await apply_delay(self.faults, request.path)
            await asyncio.sleep(self._work_seconds)
        finally:
            self._running -= 1
        if self.faults.lose_answers:
            exchange.abort()
            return
        body = f"{self.name} ran {request.method} {request.target}: ".encode() + request.body
        await exchange.respond(200, (*headers, ("content-type", "text/plain")), body)


async def _serve(application: Application, host: str, port: int) -> None:
    await application.server.start(host, port)
    print(f"ready {application.server.port}", flush=True)
    await asyncio.Event().wait()


def main(
    name: str = "application", port: int = 0, host: str = "127.0.0.1", work_seconds: float = 0.0
) -> None:
    """Run the application stand-in until the process is killed."""
    asyncio.run(_serve(Application(name, work_seconds), host, port))


if __name__ == "__main__":
    fire.Fire(main)
