"""One request from its head to its final answer: wait for a server, send, try again, relay.

What each failure allows is decided in :meth:`RequestRun._may_retry` alone.
"""

import asyncio
import contextlib
from collections.abc import Iterator
from typing import TYPE_CHECKING

from loomwind.clock import MS_PER_SECOND
from loomwind.http.errors import ConnectionBroken
from loomwind.http.messages import HttpRequest
from loomwind.http.server import Exchange
from loomwind.logs import log_decision
from loomwind.serving.breaker import SUSPECT_SILENCE_SECONDS
from loomwind.serving.demand import DemandKey
from loomwind.serving.errors import (
    RETRY_SOON_SECONDS,
    ModelNotInTime,
    Refused,
    RelayDeclined,
    SendFailed,
    StreamCut,
)
from loomwind.serving.forwarder import OpenAnswer, Outgoing
from loomwind.serving.model_wait import ModelWait
from loomwind.serving.peer_attempts import PeerAttempts
from loomwind.serving.relay_protocol import RelayMetadata
from loomwind.serving.server_choice import ServerChoice
from loomwind.serving.silence import allowed_silence_seconds
from loomwind.serving.stream_relay import StreamRelay
from loomwind.serving.views import CallerRequest, RouteRule, ServerEntry

if TYPE_CHECKING:
    from loomwind.serving.handler import RequestHandler

DEADLINE_MARGIN_SECONDS = 0.02
EXTRA_UNSTARTED_SENDS = 3
REFUSED_PAUSE_SECONDS = 0.03
SERVED = "served"
# What a server may have sent before it ends by the prompt that it answers.
EVENTS_OF_A_BEGIN = 16
NOT_RUN_STATUSES = frozenset({503})
SERVER_ERROR_STATUSES = range(500, 600)


class RequestRun:
    """One request from its head to its final answer."""

    def __init__(
        self,
        serving: "RequestHandler",
        exchange: Exchange,
        request: HttpRequest,
        caller: CallerRequest,
        route: RouteRule,
        service: str,
        relayed: RelayMetadata | None = None,
    ) -> None:
        """Make a run.

        :param relayed: given for a request that a peer could not serve itself.
        """
        self._serving = serving
        self._pool = serving.pool
        self._exchange = exchange
        self._route = route
        self._service = service
        self._caller = caller
        self._arrived = serving.now()
        limit = route.timeout_seconds
        if caller.remaining_seconds is not None:
            limit = min(limit, caller.remaining_seconds)
        self._outgoing = Outgoing(request, caller, route, self._arrived + limit)
        self._relayed = relayed
        self._runs = relayed.runs if relayed else 0
        self._sends = 0
        self._events_before = 0
        self._may_have_run = self._runs > 0
        self._handed_over = False
        self._waited_seconds = 0.0
        self._waiting = False
        self._owes_repeat = False
        self._server = ""
        self._choice = ServerChoice(serving.pool, serving.forwarder, serving.zone, service, caller)
        self._stream = StreamRelay(
            exchange,
            caller,
            route,
            serving.dialect,
            serving.metrics,
            self._allowed_silence,
            self._note_first_event,
        )
        self._peers = PeerAttempts(
            serving,
            exchange,
            self._outgoing,
            service,
            self._choice,
            self._stream,
            allowed=relayed is None,
        )

    # The request as a whole.

    async def serve(self) -> None:
        """Answer the request.

        :raises Refused: it gets a daemon's own answer.
        :raises StreamCut: its stream has begun and cannot be completed.
        """
        if self._relayed is None:
            self._pool.budget(self._service).note_request(self._arrived)
        limit = asyncio.timeout_at(self._outgoing.deadline - DEADLINE_MARGIN_SECONDS)
        self._serving.limits.add(limit)
        try:
            async with limit:
                await self._try_servers()
            self._observe_end(SERVED)
        except TimeoutError as error:
            self._log_end("out-of-time")
            raise self._out_of_time() from error
        except (Refused, StreamCut):
            self._log_end("given-up")
            raise
        except (ConnectionBroken, asyncio.CancelledError):
            self._log_end("caller-left")
            raise
        finally:
            self._serving.limits.discard(limit)

    def _log_end(self, end: str) -> None:
        """Say how a request that was not served whole has ended, and what decided it."""
        self._observe_end(end)
        log_decision(
            end,
            self._caller.request_id,
            route=self._route.name,
            service=self._service,
            target=str(self._caller.target) if self._caller.target else "",
            seconds=round(self._serving.now() - self._arrived, 3),
            waited_for_model=round(self._waited_seconds, 3),
            waiting=self._waiting,
            sends=self._sends,
            may_have_run=self._may_have_run or self._handed_over,
            server=self._server,
            passed_over=self._choice.passed_over(self._server),
            peers_asked=self._peers.asked_count,
            events=self._stream.events,
            configuration=self._serving.configuration_version(),
            servers=self._pool.directory.version,
        )

    def _observe_end(self, end: str) -> None:
        """Count a request's end and its time."""
        metrics = self._serving.metrics
        seconds = self._serving.now() - self._arrived
        metrics.request_seconds.labels(self._route.kind.value, end).observe(seconds)
        if self._waited_seconds:
            metrics.model_wait_seconds.observe(self._waited_seconds)

    def _out_of_time(self) -> Exception:
        if self._exchange.started:
            return StreamCut("the time is over")
        if self._may_have_run or self._handed_over:
            return Refused(504, "no answer in time")
        detail = "no server could take the request in time"
        return Refused(503, detail, RETRY_SOON_SECONDS)

    async def _try_servers(self) -> None:
        while True:
            self._refuse_if_banned()
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
                self._note_failure(entry, failure)
                if not self._may_retry(failure):
                    raise self._give_up(str(failure)) from failure
                if not failure.ran:
                    await asyncio.sleep(REFUSED_PAUSE_SECONDS)

    def _refuse_if_banned(self) -> None:
        """End a request that would crash the next server.

        :raises Refused: it has a part that has crashed several.
        """
        banned_ms = self._serving.prompts.banned_for_ms(self._caller)
        if banned_ms > 0:
            reason = "a part of the prompt has ended several servers"
            raise self._give_up(reason, banned_ms / MS_PER_SECOND)

    def _note_failure(self, entry: ServerEntry, failure: SendFailed) -> None:
        self._handed_over = False
        if failure.broken and self._stream.events - self._events_before < EVENTS_OF_A_BEGIN:
            self._serving.prompts.note_crash(self._caller, entry.instance)
        self._choice.tried.add(entry.instance)
        self._runs += failure.ran
        self._may_have_run |= failure.ran
        self._pool.note_failure(entry, self._caller.target, failure, self._serving.now())
        self._serving.count_send(entry, "failed" if failure.ran else "refused")
        log_decision(
            "send-failed",
            self._caller.request_id,
            server=entry.instance,
            passed_over=self._choice.passed_over(self._server),
            reason=str(failure),
            ran=failure.ran,
            events=self._stream.events,
        )

    def _may_retry(self, failure: SendFailed) -> bool:
        """Whether the request may be sent once more, and the budget has room for it.

        One that waits for a model pays when a server can take it: until then it waits as others do.
        """
        if failure.unreachable or failure.unsent:
            self._sends -= 1
            return True
        if not failure.ran and self._caller.target is not None:
            self._owes_repeat = True
            return not self._serving.refuses_waiting
        if failure.ran and not self._route.repeatable:
            return False
        if failure.ran and not self._serving.prompts.may_repeat(self._caller):
            return False
        if self._runs >= self._route.max_attempts:
            return False
        if self._sends >= self._route.max_attempts + EXTRA_UNSTARTED_SENDS:
            return False
        return self._may_repeat()

    def _may_repeat(self) -> bool:
        """Take one repeat out of the budget, if it has room."""
        allowed = self._pool.budget(self._service).try_spend(self._serving.now())
        self._serving.metrics.repeats.labels("allowed" if allowed else "over-budget").inc()
        return allowed

    def _give_up(self, reason: str, retry_after_seconds: float = RETRY_SOON_SECONDS) -> Exception:
        """Return the final answer: only a request that has not run is told to come back."""
        if self._exchange.started:
            return StreamCut(reason)
        if self._may_have_run:
            return Refused(502, reason)
        return Refused(503, reason, retry_after_seconds)

    # A server for it.

    async def _wait_for_server(self) -> ServerEntry | None:
        """Return a server; None when this daemon has lost its way to the servers meanwhile."""
        target = self._caller.target
        entry = self._choose_paid()
        if target is None:
            if entry is None:
                raise Refused(503, "no server of the service is known", RETRY_SOON_SECONDS)
            return entry
        key = DemandKey(self._service, target)
        if self._sends == 0 and self._waited_seconds == 0.0:
            self._pool.demand.arrived(key, self._arrived)
        if entry is not None:
            return entry
        began = self._serving.now()
        deadline = self._outgoing.deadline
        since = began if self._exchange.started else self._arrived
        wait = ModelWait(self._serving, key, self._route, self._caller, since, deadline)
        self._waiting = True
        self._serving.metrics.waiting_for_model.inc()
        try:
            with wait:
                while entry is None and not self._peers.should_relay():
                    self._refuse_if_leaving()
                    self._refuse_if_banned()
                    await wait.look_again(self._has_not_run())
                    entry = self._choose_paid()
        except ModelNotInTime as error:
            raise self._give_up(str(error), error.ready_in_seconds) from error
        finally:
            self._serving.metrics.waiting_for_model.dec()
            self._waited_seconds += self._serving.now() - began
        self._waiting = False
        return entry

    def _has_not_run(self) -> bool:
        """Whether a refusal is true: nothing has run, and no answer has begun."""
        return not (self._may_have_run or self._exchange.started)

    def _refuse_if_leaving(self) -> None:
        """End a wait while its caller can still go elsewhere.

        :raises Refused: this daemon leaves.
        :raises StreamCut: this daemon leaves, and the answer has begun.
        """
        if self._serving.refuses_waiting:
            raise self._give_up("this daemon is leaving")

    def _choose_paid(self) -> ServerEntry | None:
        """Return a server, if the budget has room for the repeat that this send may be."""
        entry = self._choice.choose(self._serving.now())
        if entry is None or not self._owes_repeat:
            return entry
        if not self._may_repeat():
            return None
        self._owes_repeat = False
        return entry

    # One server.

    async def _try_server(self, entry: ServerEntry) -> None:
        self._sends += 1
        self._events_before = self._stream.events
        self._server = entry.instance
        self._serving.observe_list_age()
        target = self._caller.target
        health = self._pool.health(entry)
        health.sent(self._serving.now())
        if target is not None:
            self._pool.demand.begin_run(entry.instance, target)
        try:
            await self._exchange_with(entry)
        finally:
            health.ended()
            if target is not None:
                self._pool.demand.end_run(entry.instance, target)
        health.succeeded()
        self._serving.count_send(entry, SERVED)

    async def _exchange_with(self, entry: ServerEntry) -> None:
        forwarder = self._serving.forwarder
        resume_from = self._stream.last_event_id
        connection = await forwarder.connect(entry)
        silence = self._allowed_silence(entry)
        self._handed_over = True
        try:
            async with asyncio.timeout(silence):
                with self._doubt_when_silent():
                    answer = await forwarder.send(
                        connection, self._outgoing, entry, self._serving.now(), resume_from
                    )
                body = None if answer.streamed else await forwarder.read_whole(answer)
        except TimeoutError as error:
            raise SendFailed(f"{entry.instance}: silent for {silence} s", ran=True) from error
        self._pool.health(entry).heard(self._serving.now())
        if body is None:
            await self._stream.pass_on(entry, answer, self._pool.health(entry))
            self._serving.prompts.note_answered(self._caller)
            forwarder.release(answer.connection)
        else:
            await self._answer_whole(entry, answer, body)

    @contextlib.contextmanager
    def _doubt_when_silent(self) -> Iterator[None]:
        """Let the way to the servers be probed when an answer does not begin for a while."""
        connectivity = self._pool.connectivity_of(self._service)
        timer = asyncio.get_running_loop().call_later(
            SUSPECT_SILENCE_SECONDS, connectivity.record_no_answer, self._serving.now()
        )
        try:
            yield
        finally:
            timer.cancel()

    def _allowed_silence(self, entry: ServerEntry) -> float | None:
        """Return how long a server may say nothing before the request goes elsewhere."""
        has_other = self._choice.has_other(entry, self._serving.now())
        return allowed_silence_seconds(self._route, self._runs, has_other)

    async def _answer_whole(self, entry: ServerEntry, answer: OpenAnswer, body: bytes) -> None:
        status = answer.head.status
        if status in SERVER_ERROR_STATUSES:
            failure = SendFailed(f"{entry.instance}: status {status}", ran=True)
            if self._exchange.started:
                raise failure
            if self._route.repeatable and self._runs + 1 < self._route.max_attempts:
                raise failure
        if self._exchange.started:
            raise SendFailed(f"{entry.instance}: a resumed stream got {status}", ran=True)
        headers = self._serving.dialect.answer_headers(answer.head)
        await self._exchange.respond(status, headers, body)

    # A peer in place of the servers.

    async def _serve_by_peer(self) -> bool:
        """Let a peer serve the request; returns whether it has.

        :raises Refused: the peer has refused it.
        :raises StreamCut: its stream has begun and cannot be completed.
        """
        peer = self._peers.next_peer()
        if peer is None:
            return False
        self._server = peer.address
        try:
            await self._peers.relay_to(peer, self._runs, self._note_handed_over)
        except RelayDeclined as declined:
            self._handed_over = False
            self._peers.log_result("relay-declined", peer, str(declined))
            return False
        except SendFailed as failure:
            self._handed_over = False
            self._runs += 1
            self._may_have_run = True
            self._peers.log_result("relay-failed", peer, str(failure))
            if not self._may_retry(failure):
                raise self._give_up(str(failure)) from failure
            return False
        except Refused as refusal:
            self._handed_over = False
            self._peers.log_result("relay-refused", peer, str(refusal))
            raise self._final(refusal) from refusal
        return True

    def _note_handed_over(self) -> None:
        self._sends += 1
        self._handed_over = True

    def _final(self, refusal: Refused) -> Exception:
        """Return a peer's refusal as this daemon's own: it may not know what has run before."""
        if refusal.status in NOT_RUN_STATUSES and not self._has_not_run():
            return self._give_up(str(refusal))
        if self._exchange.started:
            return StreamCut(str(refusal))
        return refusal

    def _note_first_event(self, entry: ServerEntry) -> None:
        """Say what a late first event was waiting for."""
        seconds = self._serving.now() - self._arrived
        self._serving.metrics.first_event_seconds.observe(seconds)
        if seconds > self._route.objective_seconds:
            log_decision(
                "late",
                self._caller.request_id,
                server=entry.instance,
                target=str(self._caller.target),
                seconds=round(seconds, 3),
                waited_for_model=round(self._waited_seconds, 3),
                sends=self._sends,
            )
