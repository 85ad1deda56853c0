"""Runs the pipeline stages for a request, counts it, and sends exactly one final response."""

import asyncio
from collections.abc import Callable

from msgspec import Struct

from loomwind import constants
from loomwind.catalog.model import Catalog
from loomwind.control.claim_service import ClaimHandle, ClaimService
from loomwind.control.errors import ClaimBarrier, ClaimTaken, ClaimUnavailable
from loomwind.http.errors import ClientDisconnected, UnsendableResponse
from loomwind.http.server import Exchange
from loomwind.logs import log_state
from loomwind.metrics import Metrics
from loomwind.pipeline.admit import AdmissionView, admit
from loomwind.pipeline.circuit import RetryBudget
from loomwind.pipeline.errors import AttemptFailed, Problem, RequestRefused
from loomwind.pipeline.forward import Attempt, Forwarder
from loomwind.pipeline.identify import identify
from loomwind.pipeline.parse import parse
from loomwind.pipeline.queue import RequestQueue
from loomwind.pipeline.relay import BufferedBody, Relay
from loomwind.pipeline.routing_table import RoutingTable
from loomwind.pipeline.select import Selector
from loomwind.pipeline.types import AdmittedRequest, ForwardedResponse, IdentifiedRequest
from loomwind.schema import Artifact, Outcome
from loomwind.settings import LimitSettings

DEFAULT_RETRY_AFTER_SECONDS = 1.0
BARRIER_RETRY_AFTER_SECONDS = 30.0


class PreparedResponse(Struct, frozen=True):
    """A response that is ready to send: with a buffered body, or a stream if ``body`` is None.

    :param attempt_seconds: how long the attempt has used its slot so far.
    """

    response: ForwardedResponse
    body: BufferedBody | None
    attempt_seconds: float


class RequestProgress:
    """The state of a request over all its attempts.

    :ivar attempt: the latest attempt that was forwarded.
    :ivar claim: the claim on the request's idempotency key; kept for further attempts.
    :ivar may_have_run: whether a failed attempt may have run.
    """

    def __init__(self) -> None:
        self.attempt: Attempt | None = None
        self.claim: ClaimHandle | None = None
        self.may_have_run = False

    @property
    def outcome(self) -> Outcome:
        """Return the outcome to report if the request ends now."""
        in_progress = self.attempt is not None and self.attempt.request_sent
        return Outcome.UNKNOWN if in_progress or self.may_have_run else Outcome.NOT_RUN


def _refusal_after_unknown(refusal: RequestRefused) -> RequestRefused:
    """Return the refusal of a request that an earlier attempt may have run."""
    return RequestRefused(
        Problem.BACKEND_FAILED, refusal.detail, Outcome.UNKNOWN, refusal.retry_after_seconds
    )


class RequestHandler:
    """Serves callers' requests."""

    def __init__(
        self,
        limits: LimitSettings,
        catalog: Callable[[], Catalog],
        table: RoutingTable,
        selector: Selector,
        queue: RequestQueue,
        forwarder: Forwarder,
        relay: Relay,
        claims: ClaimService,
        admission: Callable[[IdentifiedRequest], AdmissionView],
        metrics: Metrics,
    ) -> None:
        self.ready = False
        self._limits = limits
        self._catalog = catalog
        self._table = table
        self._selector = selector
        self._queue = queue
        self._forwarder = forwarder
        self._relay = relay
        self._claims = claims
        self._admission_view = admission
        self._metrics = metrics
        self._budget = RetryBudget()

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    async def handle(self, exchange: Exchange) -> None:
        """Serve one request, and count it as exactly one of answered, refused or cancelled."""
        self._metrics.accepted.inc()
        self._metrics.waiting.inc()
        request_id = (exchange.request and exchange.request.header("x-request-id")) or ""
        try:
            await self._serve(exchange)
            self._metrics.answered.inc()
        except RequestRefused as refusal:
            self._count_refusal(refusal)
            await self._refuse(exchange, refusal, request_id)
        except ClientDisconnected:
            self._metrics.cancelled.inc()
            raise
        except asyncio.CancelledError as error:
            if exchange.is_connected:
                await self._fail(exchange, error, request_id)
                return
            self._metrics.cancelled.inc()
            raise
        except UnsendableResponse as error:
            log_state("request", "unsendable-response", error=str(error))
            unsendable = RequestRefused(Problem.BACKEND_FAILED, str(error), Outcome.UNKNOWN)
            self._count_refusal(unsendable)
            await self._refuse(exchange, unsendable, request_id)
        except Exception as error:
            await self._fail(exchange, error, request_id)
        finally:
            self._metrics.waiting.dec()

    async def _fail(self, exchange: Exchange, error: BaseException, request_id: str) -> None:
        """Refuse a request after an error that nothing expected; it may have run."""
        log_state("request", "internal-error", error=repr(error))
        internal = RequestRefused(Problem.INTERNAL_ERROR, "see the log", Outcome.UNKNOWN)
        self._count_refusal(internal)
        await self._refuse(exchange, internal, request_id)

    def _count_refusal(self, refusal: RequestRefused) -> None:
        self._metrics.refused.labels(refusal.problem.slug, refusal.outcome.value).inc()

    async def _refuse(self, exchange: Exchange, refusal: RequestRefused, request_id: str) -> None:
        if exchange.started:
            exchange.abort()
            return
        await exchange.respond(refusal.status, refusal.headers(), refusal.body(request_id))

    async def _serve(self, exchange: Exchange) -> None:
        parsed = parse(exchange, self._limits, self._now())
        if not self.ready:
            detail = "the catalog is not known yet"
            raise RequestRefused(
                Problem.NOT_READY, detail, retry_after_seconds=DEFAULT_RETRY_AFTER_SECONDS
            )
        identified = identify(parsed, self._catalog(), self._is_ready)
        admitted = admit(identified, self._admission_view(identified), self._now())
        self._queue.arrivals[(identified.target, identified.group)] += 1
        prepared = await self._get_response(admitted)
        response = prepared.response
        forwarded_at = self._now()
        try:
            if prepared.body is None or not prepared.body.complete:
                prefix = prepared.body.data if prepared.body else b""
                await self._relay.stream(exchange, response, parsed.request_id, prefix)
            else:
                data = prepared.body.data
                await self._relay.send_buffered(exchange, response, data, parsed.request_id)
        finally:
            slot_seconds = prepared.attempt_seconds + self._now() - forwarded_at
            self._selector.record_service_time(admitted.target, slot_seconds)
            self._release(response)

    def _is_ready(self, artifact: Artifact) -> bool:
        return bool(self._table.backends(artifact))

    def _release(self, response: ForwardedResponse) -> None:
        self._selector.release(response.selected)
        self._queue.dispatch()

    async def _get_response(self, admitted: AdmittedRequest) -> PreparedResponse:
        """Make attempts until one gets a response, the deadline is near or no retry is allowed."""
        self._budget.on_request()
        progress = RequestProgress()
        try:
            for attempt_number in range(constants.MAX_ATTEMPTS):
                try:
                    return await self._attempt_before_deadline(admitted, progress)
                except AttemptFailed as failure:
                    self._check_retry(admitted, failure, attempt_number)
                    self._metrics.retries.inc()
            raise AssertionError("the last attempt raises")
        except BaseException as error:
            if progress.outcome is Outcome.NOT_RUN:
                if progress.claim is not None:
                    self._claims.release(progress.claim)
                raise
            if isinstance(error, RequestRefused) and error.outcome is Outcome.NOT_RUN:
                raise _refusal_after_unknown(error) from error
            raise

    def _check_retry(
        self, admitted: AdmittedRequest, failure: AttemptFailed, attempt_number: int
    ) -> None:
        """Check that a retry is allowed, and spend it from the retry budget.

        :raises RequestRefused: no retry is allowed.
        """
        retry_safe = failure.outcome is Outcome.NOT_RUN or admitted.identified.repeatable
        is_last_attempt = attempt_number + 1 >= constants.MAX_ATTEMPTS
        if retry_safe and not is_last_attempt and self._budget.try_spend():
            return
        not_run = failure.outcome is Outcome.NOT_RUN
        problem = Problem.NO_BACKEND if not_run else Problem.BACKEND_FAILED
        retry_after = DEFAULT_RETRY_AFTER_SECONDS if retry_safe else None
        raise RequestRefused(problem, str(failure), failure.outcome, retry_after) from failure

    async def _attempt_before_deadline(
        self, admitted: AdmittedRequest, progress: RequestProgress
    ) -> PreparedResponse:
        """Wait for a slot, forward the request and read the response until it can be sent.

        :raises AttemptFailed: the back end sent no usable response.
        :raises RequestRefused: the deadline is too near, or the request was refused.
        """
        margin = constants.DEADLINE_MARGIN_SECONDS
        try:
            async with asyncio.timeout_at(admitted.deadline - margin):
                return await self._attempt(admitted, progress)
        except TimeoutError as error:
            detail = "no answer began before the deadline"
            retry_after = self._retry_after(admitted)
            raise RequestRefused(
                Problem.DEADLINE_EXCEEDED, detail, progress.outcome, retry_after
            ) from error

    def _retry_after(self, admitted: AdmittedRequest) -> float:
        estimate = self._table.estimate_seconds(admitted.target)
        return DEFAULT_RETRY_AFTER_SECONDS if estimate is None else estimate

    async def _attempt(
        self, admitted: AdmittedRequest, progress: RequestProgress
    ) -> PreparedResponse:
        selected = await self._queue.wait(admitted)
        attempt = Attempt(selected)
        started_at = self._now()
        try:
            if progress.claim is None:
                progress.claim = await self._claim(admitted)
            progress.attempt = attempt
            response = await self._forwarder.forward(attempt)
            body = None if response.streamed else await self._relay.buffer_body(response)
        except BaseException as error:
            self._on_attempt_failed(attempt, progress, error)
            raise
        self._selector.circuit(selected.backend.name).record_success()
        return PreparedResponse(response, body, self._now() - started_at)

    def _on_attempt_failed(
        self, attempt: Attempt, progress: RequestProgress, error: BaseException
    ) -> None:
        backend = attempt.selected.backend.name
        circuit = self._selector.circuit(backend)
        if isinstance(error, AttemptFailed) and error.stale_route:
            circuit.record_ended()
            self._table.drop_replica(attempt.selected.admitted.target, backend)
        elif isinstance(error, AttemptFailed):
            if circuit.record_failure(self._now()):
                log_state("circuit", "open", backend=backend)
        else:
            circuit.record_ended()
        progress.may_have_run |= attempt.request_sent
        self._selector.release(attempt.selected)
        self._queue.dispatch()

    async def _claim(self, admitted: AdmittedRequest) -> ClaimHandle | None:
        """Claim the request's idempotency key, if it has one.

        :raises RequestRefused: the key was not granted.
        """
        key = admitted.identified.parsed.idempotency_key
        if key is None:
            return None
        scoped_key = f"{admitted.identified.group}/{key}"
        try:
            return await self._claims.claim(scoped_key, admitted.deadline - self._now())
        except ClaimTaken as error:
            raise RequestRefused(Problem.DUPLICATE_REQUEST, str(error), Outcome.UNKNOWN) from error
        except ClaimBarrier as error:
            raise RequestRefused(
                Problem.KEY_UNCERTAIN, str(error), Outcome.UNKNOWN, BARRIER_RETRY_AFTER_SECONDS
            ) from error
        except ClaimUnavailable as error:
            raise RequestRefused(
                Problem.CLAIMS_UNAVAILABLE, str(error), Outcome.NOT_RUN, DEFAULT_RETRY_AFTER_SECONDS
            ) from error
