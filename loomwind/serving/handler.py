"""Routes requests of callers and turns each outcome into exactly one response.

The HTTP layer parses a request, this module routes it, and
:class:`loomwind.serving.request_lifecycle.RequestLifecycle` serves it.
"""

import asyncio
import math
import sys

from msgspec.structs import replace

from loomwind.clock import MS_PER_SECOND
from loomwind.http.errors import ClientDisconnected
from loomwind.http.messages import Headers, HttpRequest
from loomwind.http.server import BadRequest, Exchange
from loomwind.logs import log_decision
from loomwind.metrics import Metrics
from loomwind.serving.admission import Admission
from loomwind.serving.demand import DemandKey
from loomwind.serving.errors import RETRY_SOON_SECONDS, Refused, RelayDeclined, StreamTruncated
from loomwind.serving.failures import end_failed_request, failure_status
from loomwind.serving.fingerprint import fingerprint
from loomwind.serving.forwarder import Forwarder
from loomwind.serving.origin_log import OriginLog
from loomwind.serving.peer_relay import PeerRelay
from loomwind.serving.planned_stop import PlannedStop
from loomwind.serving.pool import ServerPool
from loomwind.serving.ports import Dialect
from loomwind.serving.prompt_guard import PromptGuard
from loomwind.serving.relay_protocol import RelayMetadata
from loomwind.serving.replicated_state import ReplicatedState
from loomwind.serving.request_lifecycle import RequestLifecycle
from loomwind.serving.resumption import Resumption
from loomwind.serving.views import CallerRequest, ServerEntry

DEFAULT_LOAD_MS = 5000.0
# A daemon that has just started reads its configuration within a few calls. A stream that is
# resumed has no first event to be late with, so its caller is not sent away meanwhile.
START_WAIT_MS = 400.0


class RequestHandler:
    """Serves requests, from this daemon's callers and from relaying peers."""

    def __init__(
        self,
        zone: str,
        pool: ServerPool,
        forwarder: Forwarder,
        dialect: Dialect,
        metrics: Metrics,
        replicated_state: ReplicatedState,
        relay: PeerRelay,
        prompts: PromptGuard,
        origins: OriginLog,
        resumption: Resumption,
        admission: Admission,
    ) -> None:
        """Create a handler.

        :param zone: the zone of this daemon.
        """
        self.zone = zone
        self.pool = pool
        self.forwarder = forwarder
        self.dialect = dialect
        self.metrics = metrics
        self._replicated_state = replicated_state
        self.relay = relay
        self.prompts = prompts
        self.origins = origins
        self.resumption = resumption
        self.admission = admission
        self.open_requests = 0
        self.timeouts: set[asyncio.Timeout] = set()
        self.planned_stop = PlannedStop()
        self.rejects_waiting = False
        self._has_ended_requests = False

    @staticmethod
    def now() -> float:
        """Return the monotonic time of the event loop in seconds."""
        return asyncio.get_running_loop().time()

    def configuration_version(self) -> int:
        """Return the version of the active configuration; 0 when there is none."""
        return self._replicated_state.configuration_version

    def expected_load_ms(self, key: DemandKey) -> float:
        """Return how long a model load takes when no other load is queued before it."""
        configuration = self._replicated_state.configuration
        service = configuration.service(key.service) if configuration else None
        engine = service.engine if service else None
        model = engine.model(key.target.model) if engine else None
        return model.load_seconds * MS_PER_SECOND if model else DEFAULT_LOAD_MS

    def observe_list_age(self) -> None:
        """Record the age of the server list in the metrics when a server is chosen from it."""
        age_ms = self._replicated_state.list_age_ms
        if math.isfinite(age_ms):
            self.metrics.server_list_age_seconds.observe(age_ms / MS_PER_SECOND)

    def count_send(self, entry: ServerEntry, end: str) -> None:
        """Count the outcome of a send to a server."""
        self.metrics.sends.labels(self.metrics.server_labels.label_for(entry.instance), end).inc()

    def begin_stop(self, ends_at: float) -> None:
        """Refuse requests that can't be expected to end before this daemon does.

        :param ends_at: the loop time at which all requests have to have ended.
        """
        self.planned_stop.begin(ends_at)
        self.pool.demand.wake()

    def forget_removed_routes(self) -> None:
        """Forget the durations of requests on routes that the active configuration lacks."""
        configuration = self._replicated_state.configuration
        if configuration is not None:
            self.planned_stop.durations.retain({route.name for route in configuration.routes})

    def reject_waiting(self) -> None:
        """Reject all requests that wait for a model, now and later, as this daemon shuts down."""
        self.rejects_waiting = True
        self.pool.demand.wake()

    def end_all_requests(self) -> None:
        """Time out every request in progress, so that each gets its final response now.

        Requests that arrive later are refused, since this daemon is about to stop.
        """
        self._has_ended_requests = True
        for timeout in self.timeouts:
            if not timeout.expired():
                timeout.reschedule(self.now())

    async def handle(self, exchange: Exchange) -> None:
        """Serve the request of an exchange, and account for it in the metrics."""
        self.open_requests += 1
        self.metrics.accepted.inc()
        self.metrics.waiting.inc()
        try:
            await self._respond(exchange)
        finally:
            self.open_requests -= 1
            self.metrics.waiting.dec()
            if not exchange.started:
                self._record_unanswered(exchange)

    def _record_unanswered(self, exchange: Exchange) -> None:
        """Count a request that gets no response from here, and log it if its caller is connected.

        A connected caller gets one from the HTTP layer, without what this layer knows.
        """
        self.metrics.unanswered.labels("connected" if exchange.is_connected else "gone").inc()
        if exchange.is_connected:
            log_decision(
                "unanswered",
                self._request_id(exchange),
                error=repr(sys.exception()),
                configuration=self.configuration_version(),
            )

    def _request_id(self, exchange: Exchange) -> str:
        """Return the ID of a request; empty if it cannot be read, which is logged elsewhere."""
        if exchange.request is None:
            return ""
        try:
            return self.dialect.read_request(exchange.request).request_id
        except Exception:
            return ""

    async def _respond(self, exchange: Exchange) -> None:
        request = exchange.request
        if request is None:
            await self._refuse_unreadable(exchange)
            return
        try:
            await self._serve_caller(exchange, request)
        except ClientDisconnected:
            self.metrics.cancelled.inc()
            raise
        except asyncio.CancelledError as error:
            if exchange.is_connected:
                await self._fail(exchange, error)
                return
            self.metrics.cancelled.inc()
            raise
        except Exception as error:
            await self._fail(exchange, error)

    async def _refuse_unreadable(self, exchange: Exchange) -> None:
        bad_request = exchange.bad_request or BadRequest(400, "malformed-request", "")
        self.metrics.unreadable_requests.labels(bad_request.title).inc()
        log_decision(
            "unreadable",
            "",
            status=bad_request.status,
            reason=bad_request.title,
            detail=bad_request.detail,
        )
        await exchange.respond(bad_request.status, (), bad_request.title.encode())

    async def _serve_caller(self, exchange: Exchange, request: HttpRequest) -> None:
        caller = self.dialect.read_request(request)
        try:
            await self.route_request(exchange, request, caller)
            self.metrics.answered.inc()
        except Refused as refusal:
            await self._refuse(exchange, caller, refusal)
        except StreamTruncated as error:
            log_decision("cut", caller.request_id, reason=str(error))
            self.metrics.refused.labels("answer-cut-short", "partial").inc()
            exchange.abort()

    async def _fail(self, exchange: Exchange, error: BaseException) -> None:
        """End a request after an unexpected error; it may have run."""
        outcome = "partial" if exchange.started else "unknown"
        self.metrics.refused.labels(str(failure_status(error)), outcome).inc()
        request_id = self._request_id(exchange)
        headers = self.dialect.refusal_headers(request_id, None)
        await end_failed_request(exchange, request_id, error, headers)

    async def route_request(
        self,
        exchange: Exchange,
        request: HttpRequest,
        caller: CallerRequest,
        relayed: RelayMetadata | None = None,
    ) -> None:
        """Find the route of a request and serve it.

        :param relayed: metadata from the relaying peer; None for a request of a caller.
        :raises Refused: no server has served it; the daemon itself has to respond.
        :raises RelayDeclined: this daemon cannot serve the peer's request; another one may.
        :raises StreamTruncated: its stream has begun and cannot be completed.
        """
        if self._has_ended_requests:
            raise Refused(503, "this daemon is leaving", RETRY_SOON_SECONDS)
        if self._replicated_state.routes is None and caller.last_event_id is not None:
            await self._replicated_state.wait_for_configuration(START_WAIT_MS)
        routes = self._replicated_state.routes
        if routes is None:
            raise Refused(503, "no configuration is known yet", RETRY_SOON_SECONDS)
        route = routes.match(caller.host, request.path)
        if route is None:
            detail = f"no route; configuration {routes.configuration.version}"
            raise Refused(404, detail) if relayed is None else RelayDeclined(detail)
        service = routes.next_service(route)
        caller = replace(caller, fingerprint=fingerprint(request, caller))
        if relayed is not None and self.pool.connectivity_of(service).is_unreachable:
            raise RelayDeclined("no server is reached from here")
        await RequestLifecycle(self, exchange, request, caller, route, service, relayed).serve()

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
