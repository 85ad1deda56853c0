"""Decides whether a request may be sent to a server again, and spends the retry budget."""

from typing import TYPE_CHECKING

from loomwind.serving.errors import SendFailed
from loomwind.serving.request_log import RequestLog, RequestProgress
from loomwind.serving.views import CallerRequest, RouteRule

if TYPE_CHECKING:
    from loomwind.serving.handler import RequestHandler

MAX_EXTRA_SENDS = 3
BUDGET_EXHAUSTED = "the retry budget is exhausted"


class RetryPolicy:
    """The retries of one request.

    :ivar is_unpaid: whether a retry is to be charged once a server can take the request.
    """

    def __init__(
        self,
        handler: "RequestHandler",
        caller: CallerRequest,
        route: RouteRule,
        service: str,
        progress: RequestProgress,
        log: RequestLog,
    ) -> None:
        self._handler = handler
        self._caller = caller
        self._route = route
        self._budget = handler.pool.retry_budget(service)
        self._progress = progress
        self._log = log
        self.is_unpaid = False
        # When a retry was spent that has not been sent yet.
        self._unsent_since: float | None = None

    def may_retry(self, failure: SendFailed) -> bool:
        """Whether the request may be sent again; spends a retry from the budget where one is due.

        A request that has not run and needs a model goes back to waiting. Its retry is charged only
        when a server can take it, so that it stays visible in the demand meanwhile.
        """
        if failure.unreachable or failure.not_sent or failure.no_permit:
            return True
        if not failure.may_have_run and self._caller.target is not None:
            self.is_unpaid = True
            return not self._handler.rejects_waiting
        obstacle = self._obstacle(failure.may_have_run, self._progress.runs)
        if obstacle is None and not self.try_spend():
            obstacle = BUDGET_EXHAUSTED
        if obstacle is not None:
            self._log.retry_denied(obstacle)
        return obstacle is None

    def move_obstacle(self) -> str | None:
        """Return why a request that a server has may not be sent to another one too."""
        if self._handler.prompts.banned_for_ms(self._caller) > 0:
            return "it, or a part of its prompt, is banned"
        obstacle = self._obstacle(may_have_run=True, runs=self._progress.runs + 1)
        if obstacle is None and not self._budget.has_room(self._handler.now()):
            obstacle = BUDGET_EXHAUSTED
        return obstacle

    def _obstacle(self, may_have_run: bool, runs: int) -> str | None:
        """Return why the request may not be sent again, apart from the retry budget.

        :param runs: the number of servers that may have run it.
        """
        if may_have_run and not self._route.repeatable:
            return "it may have run and cannot be repeated"
        if may_have_run and not self._handler.prompts.may_retry(self._caller):
            return "its prompt is suspected of crashes"
        if runs >= self._route.max_attempts:
            return "it may have run on as many servers as its route allows"
        if self._progress.sends >= self._route.max_attempts + MAX_EXTRA_SENDS:
            return "it was sent too often"
        return None

    def try_spend(self) -> bool:
        """Spend one retry; returns False when the budget is exhausted."""
        now = self._handler.now()
        allowed = self._budget.try_spend(now)
        self._handler.metrics.repeats.labels("allowed" if allowed else "over-budget").inc()
        if allowed:
            self._unsent_since = now
        return allowed

    def record_sent(self) -> None:
        """Record that the request is sent, with the retry that was spent for it, if any."""
        self._unsent_since = None

    def refund_unsent(self) -> None:
        """Return a retry to the budget that was spent, if nothing was sent with it."""
        if self._unsent_since is not None:
            self._budget.refund(self._unsent_since)
            self._unsent_since = None
            self._handler.metrics.repeats.labels("returned").inc()

    def try_pay(self) -> bool:
        """Spend the retry that is to be charged, if any; returns False when it cannot be spent."""
        if self.is_unpaid:
            self.is_unpaid = not self.try_spend()
        return not self.is_unpaid
