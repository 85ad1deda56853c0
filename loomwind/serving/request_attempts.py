"""Starts the attempts at one request, and records how each of them ended."""

from typing import TYPE_CHECKING

from loomwind.http.server import Exchange
from loomwind.serving.errors import SendFailed
from loomwind.serving.final_errors import is_false_promise
from loomwind.serving.forwarder import OutgoingRequest
from loomwind.serving.hand_over import MoveDecision, MovePolicy
from loomwind.serving.inactivity import Silence
from loomwind.serving.request_log import RequestLog, RequestProgress
from loomwind.serving.retry_policy import BUDGET_EXHAUSTED, RetryPolicy
from loomwind.serving.server_attempt import Answer, Attempt, ServerAttempt
from loomwind.serving.server_selector import ServerSelector
from loomwind.serving.stream_relay import StreamRelay
from loomwind.serving.views import ServerEntry

if TYPE_CHECKING:
    from loomwind.serving.handler import RequestHandler

# A part of the prompt is suspected of a crash only when the server sent fewer events than this.
EARLY_CRASH_EVENTS = 16
SERVER_ERROR_STATUSES = range(500, 600)


class RequestAttempts(MovePolicy):
    """The attempts at one request, one after the other, and for moments two at once."""

    def __init__(
        self,
        handler: "RequestHandler",
        exchange: Exchange,
        outgoing: OutgoingRequest,
        selector: ServerSelector,
        stream: StreamRelay,
        retries: RetryPolicy,
        progress: RequestProgress,
        log: RequestLog,
    ) -> None:
        self._handler = handler
        self._exchange = exchange
        self._outgoing = outgoing
        self._selector = selector
        self._stream = stream
        self._retries = retries
        self._progress = progress
        self._log = log
        # A request may also be at a peer, which is no server.
        self._servers: set[str] = set()
        self._events_at_move = 0

    def new(
        self, entry: ServerEntry, is_replacement: bool = False, has_permit: bool = False
    ) -> ServerAttempt:
        """Return an attempt, which counts as one in progress at the server until it is stopped.

        :param has_permit: whether a permit for the server was granted already.
        """
        self._servers.add(entry.instance)
        events = self._stream.events
        attempt = ServerAttempt(self._handler, self._outgoing, entry, events, is_replacement)
        attempt.begin(has_permit)
        return attempt

    def record_begun(self, replacement: Attempt) -> str | None:
        """Record that the request is about to be sent; returns the id of its last event."""
        entry = replacement.entry
        last_event_id = self._stream.last_event_id
        self._progress.record_sent(entry.instance)
        self._retries.record_sent()
        if last_event_id is not None:
            self._log.resumed(entry, last_event_id, self._stream.events)
        return last_event_id

    def record_failure(self, attempt: Attempt, failure: SendFailed) -> None:
        """Record that a server sent no usable response."""
        entry = attempt.entry
        self._progress.record_failure(entry.instance, failure.may_have_run)
        if not failure.no_permit:
            self._note_failure(attempt, failure)

    def _note_failure(self, attempt: Attempt, failure: SendFailed) -> None:
        """Update what this daemon records of a server, and log the failure."""
        entry = attempt.entry
        caller = self._outgoing.caller
        if failure.broken and not self._handler.pool.is_leaving(entry):
            is_early = self._stream.events - attempt.events_before < EARLY_CRASH_EVENTS
            self._handler.prompts.record_crash(caller, entry.instance, attempt.up_ms(), is_early)
        self._selector.tried.add(entry.instance)
        self._handler.pool.record_failure(entry, caller.target, failure, self._handler.now())
        if failure.rejected:
            self._handler.admission.record_rejection(entry, caller.target)
        self._handler.count_send(entry, "failed" if failure.may_have_run else "refused")
        self._log.send_failed(
            attempt, failure, self._selector.passed_over(entry.instance), self._stream.events
        )

    def is_at_peer(self, entry: ServerEntry) -> bool:
        """Whether an entry stands for a peer that relays the request, not for a server."""
        return entry.instance not in self._servers

    # Moves away from a silent server.

    def decide(self, silent: ServerEntry, silent_since_ms: float) -> MoveDecision:
        """Decide whether the request of a silent server is moved, and to which server."""
        obstacle = self._retries.move_obstacle(silent.instance)
        if obstacle is not None:
            return MoveDecision(obstacle)
        silence = Silence(silent_since_ms, has_begun=self._exchange.started)
        self._selector.allowed = self._retries.allowed_servers(silent.instance)
        now = self._handler.now()
        chosen = self._selector.choose_replacement(silent, silence, now)
        if chosen is None:
            return MoveDecision("no other server that can run it has answered since")
        if not self._retries.try_spend_for_move():
            return MoveDecision(BUDGET_EXHAUSTED)
        replacement = self.new(chosen, is_replacement=True)
        return MoveDecision("another server can run it", replacement)

    def has_ended(self, silent: ServerEntry) -> bool:
        """Whether the process of a silent server has certainly ended."""
        return self._handler.pool.directory.is_replaced(silent)

    def record_unsent(self, replacement: Attempt, failure: SendFailed | None) -> None:
        """Record that nothing was sent to a replacement, which costs no retry."""
        self._retries.refund_unsent()
        self._retries.release_reserve()
        if failure is not None and not failure.no_permit:
            entry = replacement.entry
            target = self._outgoing.caller.target
            self._selector.tried.add(entry.instance)
            self._handler.pool.record_failure(entry, target, failure, self._handler.now())

    def record_dropped(
        self, replacement: Attempt, silent: ServerEntry, failure: SendFailed | None
    ) -> None:
        """Record that a replacement that got the request was not needed, or has failed.

        That is no failure of the request: its server still has it.
        """
        entry = replacement.entry
        self._retries.release_reserve()
        if failure is None or failure.may_have_run:
            self._progress.record_run(entry.instance)
        if failure is not None:
            self._note_failure(replacement, failure)
        else:
            self._selector.dropped.append(entry.instance)
            self._handler.count_send(entry, "left")
        self._progress.server = silent.instance

    def record_moved(self, silent: ServerEntry) -> None:
        """Record that the request was taken over from a silent server."""
        if not self.is_at_peer(silent):
            self._handler.pool.health(silent).record_left(self._handler.now())
        self._events_at_move = self._stream.events
        self._progress.record_run(silent.instance)
        self._handler.count_send(silent, "left")

    def record_progress(self) -> None:
        """Return the retry that a move reserved, once its server's first event was relayed."""
        if self._stream.events > self._events_at_move:
            self._retries.release_reserve()

    def check(self, answer: Answer, entry: ServerEntry) -> SendFailed | None:
        """Return why the beginning of a response cannot take the place of the current one."""
        status = answer.response.head.status
        route = self._outgoing.route
        if status in SERVER_ERROR_STATUSES or is_false_promise(status, route):
            return SendFailed(f"{entry.instance}: status {status}", may_have_run=True)
        if self._exchange.started and answer.body is not None:
            detail = f"{entry.instance}: a resumed stream got {status}"
            return SendFailed(detail, may_have_run=True)
        return None
