"""Serves one request: waits for a server, sends, retries, and relays the response.

:mod:`loomwind.serving.retry_policy` alone decides whether a failed attempt may be retried.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from loomwind.clock import MS_PER_SECOND
from loomwind.http.errors import ClientDisconnected
from loomwind.http.messages import HttpRequest
from loomwind.http.server import Exchange
from loomwind.serving.demand import DemandKey
from loomwind.serving.errors import (
    ModelUnavailable,
    NoPlace,
    OriginUnknown,
    Refused,
    RelayDeclined,
    SendFailed,
    StreamTruncated,
)
from loomwind.serving.final_errors import FinalErrors, is_false_promise
from loomwind.serving.forwarder import OutgoingRequest
from loomwind.serving.hand_over import HandOver, Moved
from loomwind.serving.inactivity import event_silence_ms, start_silence_ms
from loomwind.serving.model_wait import ModelWait
from loomwind.serving.peer_attempts import PeerAttempts
from loomwind.serving.peers import PeerEntry
from loomwind.serving.place_wait import PlaceWait
from loomwind.serving.planned_stop import ServedRequest
from loomwind.serving.relay_protocol import RelayMetadata, with_origin
from loomwind.serving.request_attempts import SERVER_ERROR_STATUSES, RequestAttempts
from loomwind.serving.request_log import RequestLog, RequestProgress
from loomwind.serving.retry_policy import SERVERS_EXHAUSTED, RetryPolicy
from loomwind.serving.server_attempt import Answer, Attempt
from loomwind.serving.server_selector import ServerSelector
from loomwind.serving.stream_origins import UNKNOWN_VERSION, StreamOrigin
from loomwind.serving.stream_relay import StreamRelay
from loomwind.serving.views import CallerRequest, RequestKind, RouteRule, ServerEntry

if TYPE_CHECKING:
    from loomwind.serving.handler import RequestHandler

DEADLINE_MARGIN_SECONDS = 0.02
REFUSAL_RETRY_DELAY_SECONDS = 0.03
SERVED = "served"


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
        self._has_waited = False
        self._place_wait: PlaceWait | None = None
        self._has_permit = False
        timeout = route.timeout_seconds
        if caller.remaining_seconds is not None:
            timeout = min(timeout, caller.remaining_seconds)
        self._timeout_ms = timeout * MS_PER_SECOND
        self._caller_deadline = self._arrived_at + timeout
        deadline = handler.planned_stop.limit(self._caller_deadline)
        self._request = OutgoingRequest(request, caller, route, deadline)
        self._begun_at: float | None = None
        self._relayed = relayed
        runs = relayed.runs if relayed else 0
        self._progress = RequestProgress(runs, runs, may_have_run=runs > 0)
        self._errors = FinalErrors(exchange, self._progress)
        self._log = RequestLog(
            handler, caller, route, service, self._progress, is_relayed=relayed is not None
        )
        self._retries = RetryPolicy(
            caller,
            route,
            handler.pool.retry_budget(service),
            handler.prompts,
            handler.metrics,
            self._progress,
            is_leaving=lambda: handler.rejects_waiting,
            on_denied=self._log.retry_denied,
        )
        self._selector = ServerSelector(
            handler.pool,
            handler.forwarder,
            handler.zone,
            service,
            caller,
            route.resumable,
            handler.admission.is_full,
        )
        self._stream = StreamRelay(
            exchange,
            caller,
            route,
            handler.dialect,
            handler.metrics,
            self._read_stream,
            self._record_first_event,
            delays_head=relayed is not None,
        )
        self._attempts = RequestAttempts(
            handler,
            exchange,
            self._request,
            self._selector,
            self._stream,
            self._retries,
            self._progress,
            self._log,
        )
        self._hand_over = HandOver(caller.request_id, self._attempts)
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
            self._record_duration()
        except TimeoutError as error:
            self._log_end("out-of-time")
            raise self._errors.timeout() from error
        except (Refused, StreamTruncated):
            self._log_end("given-up")
            raise
        except (ClientDisconnected, asyncio.CancelledError):
            self._log_end("cancelled" if self._exchange.is_connected else "caller-left")
            raise
        finally:
            self._handler.timeouts.discard(timeout)
            self._retries.refund_unsent()
            self._retries.release_reserve()

    def _record_duration(self) -> None:
        if self._begun_at is not None:
            seconds = self._handler.now() - self._begun_at
            served = ServedRequest(seconds, self._caller.max_new_tokens)
            self._handler.planned_stop.durations.record(self._route.name, served)

    def _log_end(self, end: str) -> None:
        self._log.end(
            end,
            self._selector.passed_over(self._progress.server),
            self._peers.asked_count,
            self._stream.events,
        )

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
            raise self._errors.failure(str(error), error.retry_after_seconds) from error

    def _raise_if_version_gone(self) -> None:
        """Stop when no server is left that could continue the stream.

        :raises Refused: no usable server has the software version that began the stream.
        :raises StreamTruncated: the same, and the response has begun.
        """
        if self._selector.is_version_gone(self._handler.now()):
            reason = f"no server of software version {self._selector.software_version} is left"
            raise self._errors.failure(reason, None)

    def _raise_if_servers_gone(self) -> None:
        """Stop when the servers that may get the request again are gone.

        :raises Refused: they are, and its route allows no other.
        :raises StreamTruncated: the same, and the response has begun.
        """
        if self._selector.are_allowed_gone(self._handler.now()):
            raise self._errors.failure(SERVERS_EXHAUSTED)

    async def _try_servers(self) -> None:
        while True:
            self._raise_if_banned()
            self._raise_if_version_gone()
            self._raise_if_stopping()
            self._selector.allowed = self._retries.allowed_servers()
            self._raise_if_servers_gone()
            if self._should_relay():
                if await self._serve_by_peer():
                    return
                continue
            entry = await self._wait_for_server()
            if entry is None:
                continue
            has_permit, self._has_permit = self._has_permit, False
            if not self._has_time():
                if has_permit:
                    self._handler.admission.give_back(entry)
                raise self._stopping_error()
            self._begun_at = self._begun_at or self._handler.now()
            if await self._serve_by_server(self._attempts.new(entry, has_permit=has_permit)):
                return

    def _raise_if_stopping(self) -> None:
        """Reject a request that has not run, and would be cut off when this daemon ends.

        :raises Refused: its caller should try another daemon.
        :raises RelayDeclined: the same, for a peer's request.
        """
        if not self._has_time():
            raise self._stopping_error()

    def _stopping_error(self) -> Refused | StreamTruncated | RelayDeclined:
        reason = "this daemon is leaving, and may end before an answer"
        return self._errors.failure(reason) if self._relayed is None else RelayDeclined(reason)

    def _has_time(self) -> bool:
        """Whether the request may go on, as far as this daemon's end is concerned."""
        if not self._errors.has_not_run:
            return True
        now, deadline = self._handler.now(), self._caller_deadline
        return self._handler.planned_stop.has_time_for(self._route, self._caller, now, deadline)

    def _raise_if_banned(self) -> None:
        """Reject a request that is banned, or whose prompt has a banned part.

        :raises Refused: it, or a part of its prompt, has crashed several servers.
        :raises StreamTruncated: the same, and the response has begun.
        """
        banned_ms = self._handler.prompts.banned_for_ms(self._caller)
        if banned_ms > 0:
            reason = "the request, or a part of its prompt, has ended several servers"
            raise self._errors.failure(reason, banned_ms / MS_PER_SECOND)

    # Waiting for a server.

    async def _wait_for_server(self) -> ServerEntry | None:
        """Wait for a server; returns None when none can be reached and a peer should be asked.

        :raises Refused: no server will be available in time, or this daemon is shutting down.
        :raises StreamTruncated: the same, and the response has begun.
        """
        target = self._caller.target
        entry = self._choose_within_budget()
        if target is None:
            if entry is None and self._selector.full:
                return await self._wait_for_place()
            if entry is None:
                raise self._errors.failure("no server of the service is known")
            return entry
        key = DemandKey(self._service, target)
        if not self._has_waited and self._progress.sends == 0:
            self._pool.demand.record_arrival(key, self._arrived_at)
        self._has_waited = True
        if entry is not None:
            return entry
        if self._selector.full:
            return await self._wait_for_place()
        wait_started_at = self._handler.now()
        deadline = self._request.deadline
        since = wait_started_at if self._exchange.started else self._arrived_at
        key = DemandKey(self._service, target, self._selector.demand_version(wait_started_at))
        wait = ModelWait(self._handler, key, self._route, self._caller, since, deadline)
        self._progress.is_waiting = True
        self._handler.metrics.waiting_for_model.inc()
        try:
            with wait:
                while entry is None and not self._is_wait_over():
                    self._raise_if_leaving()
                    self._raise_if_stopping()
                    self._raise_if_banned()
                    self._raise_if_version_gone()
                    self._raise_if_servers_gone()
                    await wait.wait_for_change(self._errors.has_not_run)
                    entry = self._choose_within_budget()
        except ModelUnavailable as error:
            raise self._errors.failure(str(error), error.ready_in_seconds) from error
        finally:
            self._handler.metrics.waiting_for_model.dec()
            self._progress.waited_seconds += self._handler.now() - wait_started_at
        self._progress.is_waiting = False
        return entry

    def _is_wait_over(self) -> bool:
        """Whether a request that waits for its model should go on without a server."""
        return bool(self._selector.full) or self._should_relay()

    def _should_relay(self) -> bool:
        """Whether to relay the request to a peer, which may send it to other servers."""
        return self._selector.allowed is None and self._peers.should_relay()

    async def _wait_for_place(self) -> ServerEntry | None:
        """Wait until one of the servers, all of which are full, has a place.

        :returns: the server, with a permit for it; None to look for servers again.
        :raises Refused: none will have one in time, or this daemon is shutting down.
        :raises StreamTruncated: the same, and the response has begun.
        """
        self._raise_if_leaving()
        if self._place_wait is None:
            since = self._handler.now() if self._exchange.started else self._arrived_at
            self._place_wait = PlaceWait(
                self._handler,
                self._service,
                self._route,
                self._caller,
                since,
                self._request.deadline,
            )
        try:
            entry = await self._place_wait.wait(self._selector.full)
        except NoPlace as error:
            raise self._errors.failure(str(error), error.retry_after_seconds) from error
        if entry is not None and not self._retries.try_pay():
            self._handler.admission.give_back(entry)
            return None
        self._has_permit = entry is not None
        return entry

    def _raise_if_leaving(self) -> None:
        """Stop waiting when this daemon shuts down, so that the caller can try another daemon.

        :raises Refused: this daemon is shutting down.
        :raises StreamTruncated: the same, and the response has begun.
        """
        if self._handler.rejects_waiting:
            raise self._errors.failure("this daemon is leaving")

    def _choose_within_budget(self) -> ServerEntry | None:
        """Return a server; None when there is none or the retry budget is exhausted."""
        self._selector.allowed = self._retries.allowed_servers()
        entry = self._selector.choose(self._handler.now())
        return entry if entry is not None and self._retries.try_pay() else None

    # Attempts at servers.

    async def _serve_by_server(self, attempt: Attempt) -> bool:
        """Send the request to a server; another one may take over when it is silent.

        :returns: whether the request was served; if not, it may be retried.
        :raises Refused: an attempt failed and no retry is allowed.
        :raises StreamTruncated: the same, and the response has begun.
        """
        while True:
            try:
                await self._try_server(attempt)
                return True
            except Moved as moved:
                attempt = moved.replacement
            except SendFailed as failure:
                self._attempts.record_failure(attempt, failure)
                if not failure.no_permit:
                    self._place_wait = None
                if not self._retries.may_retry(failure):
                    raise self._errors.failure(str(failure)) from failure
                if not (failure.may_have_run or failure.no_permit):
                    await asyncio.sleep(REFUSAL_RETRY_DELAY_SECONDS)
                return False

    async def _try_server(self, attempt: Attempt) -> None:
        self._handler.observe_list_age()
        try:
            await self._exchange_with_server(attempt)
        finally:
            attempt.stop()
        attempt.health.record_success()
        self._handler.count_send(attempt.entry, SERVED)

    async def _exchange_with_server(self, attempt: Attempt) -> None:
        entry = attempt.entry
        if attempt.answering is None:
            self._progress.server = entry.instance
            await attempt.connect()
            attempt.send(self._attempts.record_begun(attempt))
        silence_ms = start_silence_ms(self._route, self._timeout_ms)
        answer = await self._hand_over.answer(attempt, silence_ms)
        if answer.body is not None:
            await self._send_full_response(entry, answer, answer.body)
            return
        attempt.is_read = True
        await self._stream.relay(entry, answer.response, attempt.health, answer.stream)
        is_by_one_server = attempt.events_before == 0 and self._caller.last_event_id is None
        self._handler.prompts.record_answered(self._caller, is_by_one_server)
        self._handler.forwarder.release(answer.response.connection)

    async def _read_stream(self, entry: ServerEntry, read: Callable[[], Awaitable[bytes]]) -> bytes:
        """Return the next data of the stream.

        :raises Moved: the server was silent, and another one has taken the stream over.
        """
        self._attempts.record_progress()
        silence_ms = event_silence_ms(
            self._route,
            self._timeout_ms,
            self._stream.events,
            self._attempts.is_at_peer(entry),
        )
        return await self._hand_over.read(entry, read, silence_ms)

    async def _send_full_response(self, entry: ServerEntry, answer: Answer, body: bytes) -> None:
        failure = self._attempts.check(answer, entry)
        attempts = self._progress.failures + 1
        may_repeat = self._route.repeatable and attempts < self._route.max_attempts
        head = answer.response.head
        is_unfit = self._exchange.started or is_false_promise(head.status, self._route)
        if failure is not None and (is_unfit or may_repeat):
            raise failure
        if head.status not in SERVER_ERROR_STATUSES:
            self._handler.prompts.record_answered(self._caller, is_by_one_server=True)
        await self._exchange.respond(
            head.status, self._handler.dialect.response_headers(head), body
        )

    # Attempts at a peer, while no server can be reached.

    async def _serve_by_peer(self) -> bool:
        """Relay the request to a peer; returns whether the peer has served it.

        :raises Refused: the peer has refused it, or failed and no retry is allowed.
        :raises StreamTruncated: its stream has begun and cannot be completed.
        """
        peer = self._peers.next_peer()
        if peer is None:
            return False
        self._begun_at = self._begun_at or self._handler.now()
        try:
            await self._peers.relay_to(
                peer, self._progress.runs, lambda: self._record_sent_to_peer(peer)
            )
        except RelayDeclined as declined:
            self._progress.outcome_pending = False
            self._peers.log_result("relay-declined", peer, str(declined))
            return False
        except SendFailed as failure:
            self._progress.record_failure(peer.address, may_have_run=True)
            self._peers.log_result("relay-failed", peer, str(failure))
            if not self._retries.may_retry(failure):
                raise self._errors.failure(str(failure)) from failure
            return False
        except Moved as moved:
            return await self._serve_by_server(moved.replacement)
        except Refused as refusal:
            self._progress.outcome_pending = False
            self._peers.log_result("relay-refused", peer, str(refusal))
            raise self._errors.peer_refusal(refusal) from refusal
        return True

    def _record_sent_to_peer(self, peer: PeerEntry) -> None:
        self._progress.record_sent(peer.address)
        self._retries.record_sent()

    def _record_first_event(self, entry: ServerEntry) -> None:
        """Record where and when the stream began, and log when it missed its objective."""
        self._selector.software_version = entry.software_version
        if self._relayed is not None:
            headers = self._exchange.extra_headers
            self._exchange.extra_headers = with_origin(headers, entry.software_version)
        elif self._route.resumable:
            self._record_origin(entry.software_version)
        self._log.first_event(entry)

    def _record_origin(self, software_version: str) -> None:
        """Record the origin of a stream that its caller may resume, if it is known."""
        origin_id = self._caller.origin_id or self._caller.request_id
        if not origin_id or software_version == UNKNOWN_VERSION:
            return
        remaining_seconds = self._caller.remaining_seconds or self._route.timeout_seconds
        origin = StreamOrigin(self._service, software_version)
        self._handler.origins.record(origin_id, origin, remaining_seconds * MS_PER_SECOND)
