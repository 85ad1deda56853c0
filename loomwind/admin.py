"""Admin HTTP server: Prometheus metrics, and liveness and readiness checks."""

from collections.abc import Callable

from loomwind.http.messages import Headers
from loomwind.http.server import Exchange, HttpServer
from loomwind.metrics import Metrics

TEXT_HEADERS: Headers = (("content-type", "text/plain; charset=utf-8"),)


class AdminServer:
    """Serves ``/metrics``, ``/healthz`` and ``/readyz``."""

    def __init__(self, metrics: Metrics, is_ready: Callable[[], bool]) -> None:
        self._metrics = metrics
        self._is_ready = is_ready
        self.server = HttpServer(self._serve)

    async def _serve(self, exchange: Exchange) -> None:
        request = exchange.request
        if request is None:
            await exchange.respond(400, TEXT_HEADERS, b"malformed request\n")
        elif request.path == "/metrics":
            await exchange.respond(200, TEXT_HEADERS, self._metrics.expose())
        elif request.path == "/healthz":
            await exchange.respond(200, TEXT_HEADERS, b"alive\n")
        elif request.path == "/readyz":
            ready = self._is_ready()
            status, body = (200, b"ready\n") if ready else (503, b"not ready\n")
            await exchange.respond(status, TEXT_HEADERS, body)
        else:
            await exchange.respond(404, TEXT_HEADERS, b"known are /metrics, /healthz and /readyz\n")
