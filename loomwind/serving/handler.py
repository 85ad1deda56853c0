"""Answers callers: finds the route of each request, and turns its end into one final answer.

The filters of a request in order: read (HTTP layer), route, and then
:class:`loomwind.serving.request_run.RequestRun`: wait for a server, send, relay.
"""

import asyncio
import math

from loomwind.clock import MS_PER_SECOND
from loomwind.http.errors import ConnectionBroken
from loomwind.http.messages import Headers, HttpRequest
from loomwind.http.server import Exchange
from loomwind.logs import log_decision
from loomwind.metrics import Metrics
from loomwind.serving.beliefs import Beliefs
from loomwind.serving.demand import DemandKey
from loomwind.serving.errors import RETRY_SOON_SECONDS, Refused, RelayDeclined, StreamCut
from loomwind.serving.forwarder import Forwarder
from loomwind.serving.peer_relay import PeerRelay
from loomwind.serving.pool import ServerPool
from loomwind.serving.ports import Dialect
from loomwind.serving.prompt_guard import PromptGuard
from loomwind.serving.relay_protocol import RelayMetadata
from loomwind.serving.request_run import RequestRun
from loomwind.serving.views import CallerRequest, ServerEntry

UNKNOWN_LOAD_MS = 5000.0


class RequestHandler:
    """Gives every request that reaches this daemon one final answer."""

    def __init__(
        self,
        zone: str,
        pool: ServerPool,
        forwarder: Forwarder,
        dialect: Dialect,
        metrics: Metrics,
        beliefs: Beliefs,
        relay: PeerRelay,
        prompts: PromptGuard,
    ) -> None:
        """Make a handler.

        :param zone: the daemon's own zone.
        """
        self.zone = zone
        self.pool = pool
        self.forwarder = forwarder
        self.dialect = dialect
        self.metrics = metrics
        self._beliefs = beliefs
        self.relay = relay
        self.prompts = prompts
        self.open_requests = 0
        self.limits: set[asyncio.Timeout] = set()
        self.refuses_waiting = False

    @staticmethod
    def now() -> float:
        """Return the loop's steady time in seconds."""
        return asyncio.get_running_loop().time()

    def configuration_version(self) -> int:
        """Return the version of the configuration in force; 0 for none."""
        return self._beliefs.configuration_version

    def usual_load_ms(self, key: DemandKey) -> float:
        """Return how long a load of a target's model takes when nothing stands before it."""
        configuration = self._beliefs.configuration
        service = configuration.service(key.service) if configuration else None
        engine = service.engine if service else None
        model = engine.model(key.target.model) if engine else None
        return model.load_seconds * MS_PER_SECOND if model else UNKNOWN_LOAD_MS

    def observe_list_age(self) -> None:
        """Note how old the list of servers is as one is chosen from it."""
        age_ms = self._beliefs.list_age_ms
        if math.isfinite(age_ms):
            self.metrics.server_list_age_seconds.observe(age_ms / MS_PER_SECOND)

    def count_send(self, entry: ServerEntry, end: str) -> None:
        """Count what became of a send to a server."""
        self.metrics.sends.labels(self.metrics.server_labels.of(entry.instance), end).inc()

    def refuse_waiting(self) -> None:
        """Refuse requests that wait for a model, now and from now on: this daemon leaves."""
        self.refuses_waiting = True
        self.pool.demand.wake()

    def end_all(self) -> None:
        """Give each request that is in progress its final answer now."""
        for limit in self.limits:
            limit.reschedule(self.now())

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        self.open_requests += 1
        self.metrics.accepted.inc()
        self.metrics.waiting.inc()
        try:
            await self._answer(exchange)
        finally:
            self.open_requests -= 1
            self.metrics.waiting.dec()

    async def _answer(self, exchange: Exchange) -> None:
        request = exchange.request
        if request is None:
            bad = exchange.bad
            status, title = (bad.status, bad.title) if bad else (400, "malformed-request")
            await exchange.respond(status, (), title.encode())
            return
        caller = self.dialect.read_request(request)
        try:
            await self.run(exchange, request, caller)
            self.metrics.answered.inc()
        except Refused as refusal:
            await self._refuse(exchange, caller, refusal)
        except StreamCut as cut:
            log_decision("cut", caller.request_id, reason=str(cut))
            self.metrics.refused.labels("answer-cut-short", "partial").inc()
            exchange.abort()
        except (ConnectionBroken, asyncio.CancelledError):
            self.metrics.cancelled.inc()
            raise
        except Exception as error:
            log_decision("failed", caller.request_id, reason=repr(error))
            exchange.abort()

    async def run(
        self,
        exchange: Exchange,
        request: HttpRequest,
        caller: CallerRequest,
        relayed: RelayMetadata | None = None,
    ) -> None:
        """Find a request's route, and serve it.

        :param relayed: given for a request that a peer could not serve itself.
        :raises Refused: it gets a daemon's own answer.
        :raises RelayDeclined: another daemon may serve a peer's request better.
        :raises StreamCut: its stream has begun and cannot be completed.
        """
        routes = self._beliefs.routes
        if routes is None:
            raise Refused(503, "no configuration is known yet", RETRY_SOON_SECONDS)
        route = routes.match(caller.host, request.path)
        if route is None:
            detail = f"no route; configuration {routes.configuration.version}"
            raise Refused(404, detail) if relayed is None else RelayDeclined(detail)
        service = routes.service_of(route)
        if relayed is not None and self.pool.connectivity_of(service).is_unreachable:
            raise RelayDeclined("no server is reached from here")
        await RequestRun(self, exchange, request, caller, route, service, relayed).serve()

    async def _refuse(self, exchange: Exchange, caller: CallerRequest, refusal: Refused) -> None:
        outcome = "not-run" if refusal.status in (404, 503) else "unknown"
        self.metrics.refused.labels(str(refusal.status), outcome).inc()
        log_decision(
            "refused",
            caller.request_id,
            status=refusal.status,
            reason=str(refusal),
            retry_after=refusal.retry_after_seconds,
        )
        headers: Headers = self.dialect.refusal_headers(
            caller.request_id, refusal.retry_after_seconds
        )
        await exchange.respond(refusal.status, headers, str(refusal).encode())
