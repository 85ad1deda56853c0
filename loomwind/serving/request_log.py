"""Log lines and metrics about one request: where its stream began or went on, and how it ended."""

import asyncio
from collections.abc import Sequence
from typing import TYPE_CHECKING

from attrs import define, field

from loomwind.logs import log_decision
from loomwind.serving.errors import SendFailed
from loomwind.serving.server_attempt import Attempt
from loomwind.serving.views import CallerRequest, RouteRule, ServerEntry

if TYPE_CHECKING:
    from loomwind.serving.handler import RequestHandler


@define
class RequestProgress:
    """How far a request has come.

    :ivar failures: the number of attempts that failed after a server may have run it, but for those
        beside another one that went on.
    :ivar unnamed_servers: the number of servers that may have run it at the daemon that relays it.
    :ivar servers: the servers, and peers, that may have run it for this daemon.
    :ivar sends: how often it was sent to a server or peer.
    :ivar may_have_run: whether a server may have run it.
    :ivar outcome_pending: whether it was sent and no outcome is known yet.
    :ivar waited_seconds: how long it has waited for its model.
    :ivar is_waiting: whether it waits for its model.
    :ivar server: the last server or peer that it was sent to; empty before the first.
    """

    failures: int = 0
    unnamed_servers: int = 0
    servers: set[str] = field(factory=set)
    sends: int = 0
    may_have_run: bool = False
    outcome_pending: bool = False
    waited_seconds: float = 0.0
    is_waiting: bool = False
    server: str = ""

    @property
    def has_not_run(self) -> bool:
        """Whether no server has run it or still may, since each one that got it refused it."""
        return not (self.may_have_run or self.outcome_pending)

    @property
    def runs(self) -> int:
        """Return the number of servers that may have run it."""
        return self.unnamed_servers + len(self.servers)

    def record_sent(self, server: str) -> None:
        """Record that the request is about to be sent to a server or peer."""
        self.sends += 1
        self.server = server
        self.outcome_pending = True

    def record_run(self, server: str) -> None:
        """Record that a server or peer may have run the request."""
        self.servers.add(server)
        self.may_have_run = True

    def record_failure(self, server: str, may_have_run: bool) -> None:
        """Record that the only attempt in progress has failed."""
        self.outcome_pending = False
        if may_have_run:
            self.failures += 1
            self.record_run(server)


class RequestLog:
    """Writes the log lines and metrics of one request."""

    def __init__(
        self,
        handler: "RequestHandler",
        caller: CallerRequest,
        route: RouteRule,
        service: str,
        progress: RequestProgress,
        is_relayed: bool,
    ) -> None:
        """Create a log.

        :param is_relayed: whether a peer relayed the request to this daemon.
        """
        self._handler = handler
        self._metrics = handler.metrics
        self._caller = caller
        self._route = route
        self._service = service
        self._progress = progress
        self._is_relayed = is_relayed
        self._arrived_at = self._now()

    def count_end(self, end: str) -> None:
        """Record the outcome and duration of the request in the metrics."""
        labels = self._metrics.request_seconds.labels(self._route.kind.value, end)
        labels.observe(self._now() - self._arrived_at)
        if self._progress.waited_seconds:
            self._metrics.model_wait_seconds.observe(self._progress.waited_seconds)

    def end(self, end: str, passed_over: Sequence[str], peers_asked: int, events: int) -> None:
        """Log how a request that was not served completely has ended, and what led to it.

        :param passed_over: the servers that were not chosen in the last selection.
        :param events: the number of events that were relayed.
        """
        self.count_end(end)
        progress = self._progress
        log_decision(
            end,
            self._caller.request_id,
            route=self._route.name,
            service=self._service,
            target=self._target,
            seconds=round(self._now() - self._arrived_at, 3),
            waited_for_model=round(progress.waited_seconds, 3),
            waiting=progress.is_waiting,
            sends=progress.sends,
            may_have_run=progress.may_have_run or progress.outcome_pending,
            server=progress.server,
            passed_over=passed_over,
            peers_asked=peers_asked,
            events=events,
            configuration=self._handler.configuration_version(),
            servers=self._handler.pool.directory.version,
        )

    def send_failed(
        self, attempt: Attempt, failure: SendFailed, passed_over: Sequence[str], events: int
    ) -> None:
        """Log and count a failed send, with what is known of the server.

        :param passed_over: the servers that were not chosen.
        :param events: the number of events that were relayed.
        """
        entry = attempt.entry
        cause = None
        if failure.rejected:
            cause = self._handler.pool.rejection_cause(entry, self._caller.target).value
            self._metrics.server_rejections.labels(cause).inc()
        log_decision(
            "send-failed",
            self._caller.request_id,
            server=entry.instance,
            target=self._target,
            fingerprint=self._caller.fingerprint,
            passed_over=passed_over,
            reason=str(failure),
            ran=failure.may_have_run,
            broken=failure.broken,
            connection=failure.connection,
            rejected_for=cause,
            in_flight=attempt.health.in_flight,
            slots=entry.slots,
            events=events,
        )

    def resumed(self, entry: ServerEntry, last_event_id: str, events: int) -> None:
        """Log and count a send that continues a stream, with the software that continues it.

        :param events: the number of events that this daemon has relayed.
        """
        resumed_by = "daemon" if events else "caller"
        self._metrics.resumed_streams.labels(resumed_by).inc()
        log_decision(
            "resumed",
            self._caller.request_id,
            by=resumed_by,
            origin=self._caller.origin_id,
            last_event=last_event_id,
            server=entry.instance,
            software=entry.software_version,
            relayed=self._is_relayed,
            listed=self._listed_versions(),
            servers=self._handler.pool.directory.version,
        )

    def retry_denied(self, reason: str) -> None:
        """Log why a request whose attempt failed is not sent again."""
        log_decision(
            "retry-denied",
            self._caller.request_id,
            reason=reason,
            sends=self._progress.sends,
            failures=self._progress.failures,
            runs=self._progress.runs,
            max_attempts=self._route.max_attempts,
            configuration=self._handler.configuration_version(),
        )

    def origin_unknown(self, reason: str) -> None:
        """Log why it is not known at which software version a resumed stream began."""
        versions = self._handler.pool.versions
        log_decision(
            "origin-unknown",
            self._caller.request_id,
            origin=self._caller.origin_id,
            last_event=self._caller.last_event_id,
            reason=reason,
            possible=sorted(versions.possible(self._service)),
            registry=versions.row_version if versions.is_known else None,
        )

    def first_event(self, entry: ServerEntry) -> None:
        """Record the time to the first event, and log it when it exceeds the objective."""
        seconds = self._now() - self._arrived_at
        self._metrics.first_event_seconds.observe(seconds)
        self._log_origin(entry)
        if seconds > self._route.objective_seconds:
            log_decision(
                "late",
                self._caller.request_id,
                server=entry.instance,
                target=self._target,
                seconds=round(seconds, 3),
                waited_for_model=round(self._progress.waited_seconds, 3),
                sends=self._progress.sends,
            )

    def _log_origin(self, entry: ServerEntry) -> None:
        """Log where a stream began, while servers of several software versions are listed."""
        listed = self._listed_versions()
        if len(listed) < 2 or self._caller.last_event_id is not None:
            return
        log_decision(
            "began",
            self._caller.request_id,
            server=entry.instance,
            software=entry.software_version,
            listed=listed,
        )

    def _listed_versions(self) -> list[str]:
        return self._handler.pool.directory.software_versions(self._service)

    @property
    def _target(self) -> str:
        return str(self._caller.target) if self._caller.target else ""

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
