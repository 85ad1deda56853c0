"""Serves one request: waits for a server, sends, retries, and relays the response.

:meth:`RequestLifecycle._may_retry` alone decides whether a failed attempt may be retried.
"""

import asyncio
import contextlib
from collections.abc import Iterator
from typing import TYPE_CHECKING

from loomwind.clock import MS_PER_SECOND
from loomwind.http.errors import ClientDisconnected
from loomwind.http.messages import HttpRequest
from loomwind.http.server import Exchange
from loomwind.logs import log_decision
from loomwind.serving.breaker import SUSPECT_AFTER_SECONDS
from loomwind.serving.demand import DemandKey
from loomwind.serving.errors import (
    RETRY_SOON_SECONDS,
    ModelUnavailable,
    OriginUnknown,
    Refused,
    RelayDeclined,
    SendFailed,
    StreamTruncated,
)
from loomwind.serving.forwarder import OpenResponse, OutgoingRequest
from loomwind.serving.inactivity import inactivity_timeout_seconds
from loomwind.serving.model_wait import ModelWait
from loomwind.serving.peer_attempts import PeerAttempts
from loomwind.serving.relay_protocol import RelayMetadata, with_software_version
from loomwind.serving.request_log import RequestLog, RequestProgress
from loomwind.serving.server_selector import ServerSelector
from loomwind.serving.stream_origins import StreamOrigin
from loomwind.serving.stream_relay import StreamRelay
from loomwind.serving.views import CallerRequest, RequestKind, RouteRule, ServerEntry

if TYPE_CHECKING:
    from loomwind.serving.handler import RequestHandler

DEADLINE_MARGIN_SECONDS = 0.02
MAX_EXTRA_SENDS = 3
REFUSAL_RETRY_DELAY_SECONDS = 0.03
SERVED = "served"
# The prompt is suspected of a crash only when the server sent fewer events than this.
EARLY_CRASH_EVENTS = 16
NOT_RUN_STATUSES = frozenset({503})
SERVER_ERROR_STATUSES = range(500, 600)


class RequestLifecycle:
    """Serves one request with as many attempts as its route and the retry budget allow."""

    def __init__(
        self,
        handler: "RequestHandler",
        exchange: Exchange,
        request: HttpRequest,
        caller: CallerRequest,
        route: RouteRule,
        service: str,
        relayed: RelayMetadata | None = None,
    ) -> None:
        """Prepare to serve a request.

        :param relayed: metadata from the relaying peer; None for a request of a caller.
        """
        self._handler = handler
        self._pool = handler.pool
        self._exchange = exchange
        self._route = route
        self._service = service
        self._caller = caller
        self._arrived_at = handler.now()
        timeout = route.timeout_seconds
        if caller.remaining_seconds is not None:
            timeout = min(timeout, caller.remaining_seconds)
        self._request = OutgoingRequest(request, caller, route, self._arrived_at + timeout)
        self._relayed = relayed
        runs = relayed.runs if relayed else 0
        self._progress = RequestProgress(runs, may_have_run=runs > 0)
        self._log = RequestLog(
            handler, caller, route, service, self._progress, is_relayed=relayed is not None
        )
        self._events_before_send = 0
        self._retry_unpaid = False
        self._selector = ServerSelector(
            handler.pool, handler.forwarder, handler.zone, service, caller, route.resumable
        )
        self._stream = StreamRelay(
            exchange,
            caller,
            route,
            handler.dialect,
            handler.metrics,
            self._inactivity_timeout,
            self._record_first_event,
        )
        self._peers = PeerAttempts(
            handler,
            exchange,
            self._request,
            service,
            self._selector,
            self._stream,
            allowed=relayed is None,
        )

    # Overall outcome of the request.

    async def serve(self) -> None:
        """Serve the request and send its response.

        :raises Refused: no server has served it; the daemon itself has to respond.
        :raises StreamTruncated: its stream has begun and cannot be completed.
        """
        if self._relayed is None:
            self._pool.retry_budget(self._service).record_request(self._arrived_at)
        timeout = asyncio.timeout_at(self._request.deadline - DEADLINE_MARGIN_SECONDS)
        self._handler.timeouts.add(timeout)
        try:
            async with timeout:
                await self._require_version()
                await self._try_servers()
            self._log.count_end(SERVED)
        except TimeoutError as error:
            self._log_end("out-of-time")
            raise self._timeout_error() from error
        except (Refused, StreamTruncated):
            self._log_end("given-up")
            raise
        except (ClientDisconnected, asyncio.CancelledError):
            self._log_end("cancelled" if self._exchange.is_connected else "caller-left")
            raise
        finally:
            self._handler.timeouts.discard(timeout)

    def _log_end(self, end: str) -> None:
        self._log.end(
            end,
            self._selector.passed_over(self._progress.server),
            self._peers.asked_count,
            self._stream.events,
        )

    def _timeout_error(self) -> Exception:
        if self._exchange.started:
            return StreamTruncated("the time is over")
        if self._progress.may_have_run or self._progress.outcome_pending:
            return Refused(504, "no answer in time")
        detail = "no server could take the request in time"
        return Refused(503, detail, RETRY_SOON_SECONDS)

    async def _require_version(self) -> None:
        """Find out which software version has to continue a resumed stream.

        :raises Refused: it is not known where the stream began.
        """
        if self._route.kind is not RequestKind.STREAMING:
            return
        if self._relayed is not None and self._relayed.software_version is not None:
            self._selector.software_version = self._relayed.software_version
            return
        try:
            self._selector.software_version = await self._handler.resumption.required_version(
                self._caller, self._service
            )
        except OriginUnknown as error:
            self._log.origin_unknown(str(error))
            raise self._final_error(str(error), error.retry_after_seconds) from error

    def _raise_if_version_gone(self) -> None:
        """Stop when no server is left that could continue the stream.

        :raises Refused: no usable server has the software version that began the stream.
        :raises StreamTruncated: the same, and the response has begun.
        """
        if self._selector.is_version_gone(self._handler.now()):
            reason = f"no server of software version {self._selector.software_version} is left"
            raise self._final_error(reason, None)

    async def _try_servers(self) -> None:
        while True:
            self._raise_if_banned()
            self._raise_if_version_gone()
            if self._peers.should_relay():
                if await self._serve_by_peer():
                    return
                continue
            entry = await self._wait_for_server()
            if entry is None:
                continue
            try:
                await self._try_server(entry)
                return
            except SendFailed as failure:
                self._record_failure(entry, failure)
                if not self._may_retry(failure):
                    raise self._final_error(str(failure)) from failure
                if not failure.may_have_run:
                    await asyncio.sleep(REFUSAL_RETRY_DELAY_SECONDS)

    def _raise_if_banned(self) -> None:
        """Reject a request whose prompt has a banned part.

        :raises Refused: a part of the prompt has crashed several servers.
        :raises StreamTruncated: the same, and the response has begun.
        """
        banned_ms = self._handler.prompts.banned_for_ms(self._caller)
        if banned_ms > 0:
            reason = "a part of the prompt has ended several servers"
            raise self._final_error(reason, banned_ms / MS_PER_SECOND)

    def _record_failure(self, entry: ServerEntry, failure: SendFailed) -> None:
        self._progress.record_failure(failure.may_have_run)
        if failure.broken and self._stream.events - self._events_before_send < EARLY_CRASH_EVENTS:
            self._handler.prompts.record_crash(self._caller, entry.instance)
        self._selector.tried.add(entry.instance)
        self._pool.record_failure(entry, self._caller.target, failure, self._handler.now())
        self._handler.count_send(entry, "failed" if failure.may_have_run else "refused")
        log_decision(
            "send-failed",
            self._caller.request_id,
            server=entry.instance,
            passed_over=self._selector.passed_over(self._progress.server),
            reason=str(failure),
            ran=failure.may_have_run,
            events=self._stream.events,
        )

    def _may_retry(self, failure: SendFailed) -> bool:
        """Whether the request may be sent again; spends a retry from the budget where one is due.

        A request that has not run and needs a model goes back to waiting. Its retry is charged only
        when a server can take it, so that it stays visible in the demand meanwhile.
        """
        if failure.unreachable or failure.not_sent:
            self._progress.sends -= 1
            return True
        if not failure.may_have_run and self._caller.target is not None:
            self._retry_unpaid = True
            return not self._handler.rejects_waiting
        obstacle = self._retry_obstacle(failure)
        if obstacle is None and not self._spend_retry():
            obstacle = "the retry budget is exhausted"
        if obstacle is not None:
            self._log.retry_denied(obstacle)
        return obstacle is None

    def _retry_obstacle(self, failure: SendFailed) -> str | None:
        """Return why the request may not be sent again, apart from the retry budget."""
        if failure.may_have_run and not self._route.repeatable:
            return "it may have run and cannot be repeated"
        if failure.may_have_run and not self._handler.prompts.may_retry(self._caller):
            return "its prompt is suspected of crashes"
        if self._progress.runs >= self._route.max_attempts:
            return "it may have run on as many servers as its route allows"
        if self._progress.sends >= self._route.max_attempts + MAX_EXTRA_SENDS:
            return "it was sent too often"
        return None

    def _spend_retry(self) -> bool:
        """Spend one retry; returns False when the budget is exhausted."""
        allowed = self._pool.retry_budget(self._service).try_spend(self._handler.now())
        self._handler.metrics.repeats.labels("allowed" if allowed else "over-budget").inc()
        return allowed

    def _final_error(
        self, reason: str, retry_after_seconds: float | None = RETRY_SOON_SECONDS
    ) -> Exception:
        """Return the error that ends the request: 503 with Retry-After only if it has not run."""
        if self._exchange.started:
            return StreamTruncated(reason)
        if self._progress.may_have_run:
            return Refused(502, reason)
        return Refused(503, reason, retry_after_seconds)

    # Waiting for a server.

    async def _wait_for_server(self) -> ServerEntry | None:
        """Wait for a server; returns None when none can be reached and a peer should be asked.

        :raises Refused: no server will be available in time, or this daemon is shutting down.
        :raises StreamTruncated: the same, and the response has begun.
        """
        target = self._caller.target
        entry = self._choose_within_budget()
        if target is None:
            if entry is None:
                raise Refused(503, "no server of the service is known", RETRY_SOON_SECONDS)
            return entry
        key = DemandKey(self._service, target)
        if self._progress.sends == 0 and self._progress.waited_seconds == 0.0:
            self._pool.demand.record_arrival(key, self._arrived_at)
        if entry is not None:
            return entry
        wait_started_at = self._handler.now()
        deadline = self._request.deadline
        since = wait_started_at if self._exchange.started else self._arrived_at
        key = DemandKey(self._service, target, self._selector.demand_version(wait_started_at))
        wait = ModelWait(self._handler, key, self._route, self._caller, since, deadline)
        self._progress.is_waiting = True
        self._handler.metrics.waiting_for_model.inc()
        try:
            with wait:
                while entry is None and not self._peers.should_relay():
                    self._raise_if_leaving()
                    self._raise_if_banned()
                    self._raise_if_version_gone()
                    await wait.wait_for_change(self._has_not_run())
                    entry = self._choose_within_budget()
        except ModelUnavailable as error:
            raise self._final_error(str(error), error.ready_in_seconds) from error
        finally:
            self._handler.metrics.waiting_for_model.dec()
            self._progress.waited_seconds += self._handler.now() - wait_started_at
        self._progress.is_waiting = False
        return entry

    def _has_not_run(self) -> bool:
        """Whether no server can have run the request and no response has begun."""
        return not (self._progress.may_have_run or self._exchange.started)

    def _raise_if_leaving(self) -> None:
        """Stop waiting when this daemon shuts down, so that the caller can try another daemon.

        :raises Refused: this daemon is shutting down.
        :raises StreamTruncated: the same, and the response has begun.
        """
        if self._handler.rejects_waiting:
            raise self._final_error("this daemon is leaving")

    def _choose_within_budget(self) -> ServerEntry | None:
        """Return a server; None when there is none or the retry budget is exhausted."""
        entry = self._selector.choose(self._handler.now())
        if entry is None or not self._retry_unpaid:
            return entry
        if not self._spend_retry():
            return None
        self._retry_unpaid = False
        return entry

    # One attempt at a server.

    async def _try_server(self, entry: ServerEntry) -> None:
        self._progress.sends += 1
        self._events_before_send = self._stream.events
        self._progress.server = entry.instance
        if self._stream.last_event_id is not None:
            self._log.resumed(entry, self._stream.last_event_id, self._stream.events)
        self._handler.observe_list_age()
        target = self._caller.target
        health = self._pool.health(entry)
        health.record_sent(self._handler.now())
        if target is not None:
            self._pool.demand.begin_run(entry.instance, target)
        try:
            await self._exchange_with_server(entry)
        finally:
            health.record_ended()
            if target is not None:
                self._pool.demand.end_run(entry.instance, target)
        health.record_success()
        self._handler.count_send(entry, SERVED)

    async def _exchange_with_server(self, entry: ServerEntry) -> None:
        forwarder = self._handler.forwarder
        resume_from = self._stream.last_event_id
        connection = await forwarder.connect(entry)
        timeout = self._inactivity_timeout(entry)
        self._progress.outcome_pending = True
        try:
            async with asyncio.timeout(timeout):
                with self._probe_when_silent():
                    response = await forwarder.send(
                        connection, self._request, entry, self._handler.now(), resume_from
                    )
                body = None if response.streamed else await forwarder.read_full_body(response)
        except TimeoutError as error:
            raise SendFailed(
                f"{entry.instance}: silent for {timeout} s", may_have_run=True
            ) from error
        self._pool.health(entry).record_received(self._handler.now())
        if body is None:
            if self._relayed is not None:
                self._exchange.extra_headers = with_software_version(
                    self._exchange.extra_headers, entry.software_version
                )
            await self._stream.relay(entry, response, self._pool.health(entry))
            self._handler.prompts.record_answered(self._caller)
            forwarder.release(response.connection)
        else:
            await self._send_full_response(entry, response, body)

    @contextlib.contextmanager
    def _probe_when_silent(self) -> Iterator[None]:
        """Have the connectivity to the servers probed when no response begins for a while."""
        connectivity = self._pool.connectivity_of(self._service)
        timer = asyncio.get_running_loop().call_later(
            SUSPECT_AFTER_SECONDS, connectivity.record_no_answer, self._handler.now()
        )
        try:
            yield
        finally:
            timer.cancel()

    def _inactivity_timeout(self, entry: ServerEntry) -> float | None:
        """Return the inactivity timeout for a server; None when the request has to wait for it."""
        has_other = self._selector.has_other(entry, self._handler.now())
        return inactivity_timeout_seconds(self._route, self._progress.runs, has_other)

    async def _send_full_response(
        self, entry: ServerEntry, response: OpenResponse, body: bytes
    ) -> None:
        status = response.head.status
        if status in SERVER_ERROR_STATUSES:
            failure = SendFailed(f"{entry.instance}: status {status}", may_have_run=True)
            if self._exchange.started:
                raise failure
            if self._route.repeatable and self._progress.runs + 1 < self._route.max_attempts:
                raise failure
        if self._exchange.started:
            raise SendFailed(f"{entry.instance}: a resumed stream got {status}", may_have_run=True)
        headers = self._handler.dialect.response_headers(response.head)
        await self._exchange.respond(status, headers, body)

    # Attempts at a peer, while no server can be reached.

    async def _serve_by_peer(self) -> bool:
        """Relay the request to a peer; returns whether the peer has served it.

        :raises Refused: the peer has refused it, or failed and no retry is allowed.
        :raises StreamTruncated: its stream has begun and cannot be completed.
        """
        peer = self._peers.next_peer()
        if peer is None:
            return False
        self._progress.server = peer.address
        try:
            await self._peers.relay_to(peer, self._progress.runs, self._record_sent_to_peer)
        except RelayDeclined as declined:
            self._progress.outcome_pending = False
            self._peers.log_result("relay-declined", peer, str(declined))
            return False
        except SendFailed as failure:
            self._progress.record_failure(may_have_run=True)
            self._peers.log_result("relay-failed", peer, str(failure))
            if not self._may_retry(failure):
                raise self._final_error(str(failure)) from failure
            return False
        except Refused as refusal:
            self._progress.outcome_pending = False
            self._peers.log_result("relay-refused", peer, str(refusal))
            raise self._to_final_error(refusal) from refusal
        return True

    def _record_sent_to_peer(self) -> None:
        self._progress.sends += 1
        self._progress.outcome_pending = True

    def _to_final_error(self, refusal: Refused) -> Exception:
        """Convert a peer's refusal: earlier attempts, unknown to the peer, may have run."""
        if refusal.status in NOT_RUN_STATUSES and not self._has_not_run():
            return self._final_error(str(refusal))
        if self._exchange.started:
            return StreamTruncated(str(refusal))
        return refusal

    def _record_first_event(self, entry: ServerEntry) -> None:
        """Record where and when the stream began, and log when it missed its objective."""
        self._selector.software_version = entry.software_version
        origin_id = self._caller.origin_id or self._caller.request_id
        if self._relayed is None and self._route.resumable and origin_id:
            remaining_seconds = self._caller.remaining_seconds or self._route.timeout_seconds
            self._handler.origins.record(
                origin_id,
                StreamOrigin(self._service, entry.software_version),
                remaining_seconds * MS_PER_SECOND,
            )
        self._log.first_event(entry)
