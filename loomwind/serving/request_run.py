"""One request from its head to its final answer: wait for a server, send, try again, relay.

What each failure allows is decided in :meth:`RequestRun._may_retry` alone.
"""

import asyncio
import random
from typing import TYPE_CHECKING

from loomwind.http.errors import ConnectionBroken
from loomwind.http.messages import HttpRequest
from loomwind.http.server import Exchange
from loomwind.logs import log_decision
from loomwind.serving.choose import Candidate, choose
from loomwind.serving.demand import DemandKey
from loomwind.serving.errors import (
    RETRY_SOON_SECONDS,
    ModelNotInTime,
    Refused,
    SendFailed,
    StreamCut,
)
from loomwind.serving.forwarder import OpenAnswer, Outgoing
from loomwind.serving.model_wait import ModelWait
from loomwind.serving.silence import allowed_silence_seconds
from loomwind.serving.stream_relay import StreamRelay
from loomwind.serving.views import CallerRequest, RouteRule, ServerEntry

if TYPE_CHECKING:
    from loomwind.serving.handler import RequestHandler

DEADLINE_MARGIN_SECONDS = 0.02
EXTRA_UNSTARTED_SENDS = 3
REFUSED_PAUSE_SECONDS = 0.03
SERVED = "served"
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
    ) -> None:
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
        self._tried: set[str] = set()
        self._runs = 0
        self._sends = 0
        self._may_have_run = False
        self._handed_over = False
        self._waited_seconds = 0.0
        self._waiting = False
        self._owes_repeat = False
        self._server = ""
        self._candidates: list[Candidate] = []
        self._stream = StreamRelay(
            exchange,
            caller,
            route,
            serving.dialect,
            serving.metrics,
            self._allowed_silence,
            self._note_first_event,
        )

    # The request as a whole.

    async def serve(self) -> None:
        """Answer the request.

        :raises Refused: it gets a daemon's own answer.
        :raises StreamCut: its stream has begun and cannot be completed.
        """
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
            passed_over=self._passed_over(),
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

    def _passed_over(self) -> list[str]:
        """Return the servers that were not chosen the last time, with what spoke against each."""
        return [
            f"{candidate.entry.instance}: {candidate.describe()}"
            for candidate in self._candidates
            if candidate.entry.instance != self._server
        ]

    def _out_of_time(self) -> Exception:
        if self._exchange.started:
            return StreamCut("the time is over")
        if self._may_have_run or self._handed_over:
            return Refused(504, "no answer in time")
        detail = "no server could take the request in time"
        return Refused(503, detail, RETRY_SOON_SECONDS)

    async def _try_servers(self) -> None:
        while True:
            entry = await self._wait_for_server()
            try:
                await self._try_server(entry)
                return
            except SendFailed as failure:
                self._note_failure(entry, failure)
                if not self._may_retry(failure):
                    raise self._give_up(str(failure)) from failure
                if not failure.ran:
                    await asyncio.sleep(REFUSED_PAUSE_SECONDS)

    def _note_failure(self, entry: ServerEntry, failure: SendFailed) -> None:
        self._handed_over = False
        self._tried.add(entry.instance)
        self._runs += failure.ran
        self._may_have_run |= failure.ran
        self._pool.note_failure(entry, self._caller.target, failure, self._serving.now())
        self._serving.count_send(entry, "failed" if failure.ran else "refused")
        log_decision(
            "send-failed",
            self._caller.request_id,
            server=entry.instance,
            passed_over=self._passed_over(),
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

    async def _wait_for_server(self) -> ServerEntry:
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
                while entry is None:
                    self._refuse_if_leaving()
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
        entry = self._choose()
        if entry is None or not self._owes_repeat:
            return entry
        if not self._may_repeat():
            return None
        self._owes_repeat = False
        return entry

    def _choose(self) -> ServerEntry | None:
        now = self._serving.now()
        found: list[Candidate] = []
        for entry in self._pool.able(self._service, self._caller.target, now):
            health = self._pool.health(entry.instance)
            found.append(
                Candidate(
                    entry,
                    health.in_flight,
                    health.error_share,
                    health.is_open(now) or health.is_suspect(now),
                    entry.instance in self._tried,
                    self._serving.forwarder.has_idle_connection(entry),
                )
            )
        noise = [random.random() for _ in found]
        chosen = choose(found, self._serving.zone, self._cache_key(), noise)
        self._candidates = found
        return chosen.entry if chosen else None

    def _cache_key(self) -> str:
        shared = self._caller.prompt[:-1]
        return shared[-1].identity if shared else ""

    # One server.

    async def _try_server(self, entry: ServerEntry) -> None:
        self._sends += 1
        self._server = entry.instance
        self._serving.observe_list_age()
        target = self._caller.target
        health = self._pool.health(entry.instance)
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
                answer = await forwarder.send(
                    connection, self._outgoing, entry, self._serving.now(), resume_from
                )
                body = None if answer.streamed else await forwarder.read_whole(answer)
        except TimeoutError as error:
            raise SendFailed(f"{entry.instance}: silent for {silence} s", ran=True) from error
        self._pool.health(entry.instance).heard(self._serving.now())
        if body is None:
            await self._stream.pass_on(entry, answer, self._pool.health(entry.instance))
            forwarder.release(answer.connection)
        else:
            await self._answer_whole(entry, answer, body)

    def _allowed_silence(self, entry: ServerEntry) -> float | None:
        """Return how long a server may say nothing before the request goes elsewhere."""
        others = self._pool.able(self._service, self._caller.target, self._serving.now())
        has_other = any(other.instance != entry.instance for other in others)
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
