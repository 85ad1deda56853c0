"""Decides whether a request may be sent to a server again, and spends the retry budget."""

import asyncio
from collections.abc import Callable

from loomwind.metrics import Metrics
from loomwind.serving.budget import RetryBudget
from loomwind.serving.errors import SendFailed
from loomwind.serving.prompt_guard import PromptGuard
from loomwind.serving.request_log import RequestProgress
from loomwind.serving.views import CallerRequest, RouteRule

MAX_EXTRA_SENDS = 3
# A move needs one retry for its send, and one should the server that the request moved to fail.
RETRIES_PER_MOVE = 2
BUDGET_EXHAUSTED = "the retry budget is exhausted"
SERVERS_EXHAUSTED = "it may have run on as many servers as its route allows"


class RetryPolicy:
    """The retries of one request.

    :ivar is_unpaid: whether a retry is to be charged once a server can take the request.
    """

    def __init__(
        self,
        caller: CallerRequest,
        route: RouteRule,
        budget: RetryBudget,
        prompts: PromptGuard,
        metrics: Metrics,
        progress: RequestProgress,
        is_leaving: Callable[[], bool],
        on_denied: Callable[[str], None],
    ) -> None:
        """Create a policy.

        :param is_leaving: whether this daemon shuts down, so that nothing may wait for a server.
        :param on_denied: called with the reason why a failed attempt is not followed by another.
        """
        self._caller = caller
        self._route = route
        self._budget = budget
        self._prompts = prompts
        self._repeats = metrics.repeats
        self._progress = progress
        self._is_leaving = is_leaving
        self._on_denied = on_denied
        self.is_unpaid = False
        # When a retry was spent that has not been sent yet.
        self._unsent_since: float | None = None
        # When a retry was reserved for a failure of the server that the request was moved to.
        self._reserved_since: float | None = None

    def may_retry(self, failure: SendFailed) -> bool:
        """Whether the request may be sent again; spends a retry from the budget where one is due.

        A request that has not run and needs a model goes back to waiting. Its retry is charged only
        when a server can take it, so that it stays visible in the demand meanwhile.
        """
        if failure.unreachable or failure.not_sent or failure.no_permit:
            return True
        if not failure.may_have_run and self._caller.target is not None:
            self.is_unpaid = True
            return not self._is_leaving()
        obstacle = self._obstacle(failure.may_have_run)
        if obstacle is None and not self.try_spend():
            obstacle = BUDGET_EXHAUSTED
        if obstacle is not None:
            self._on_denied(obstacle)
        return obstacle is None

    def move_obstacle(self, silent: str) -> str | None:
        """Return why a request that a server has may not be sent to another one too.

        One send, and one retry of the budget, are left for a failure of the server that gets it.
        """
        if self._prompts.banned_for_ms(self._caller) > 0:
            return "it, or a part of its prompt, is banned"
        obstacle = self._obstacle(may_have_run=True, reserved_sends=1)
        if obstacle is None and self.allowed_servers(silent) == {silent}:
            obstacle = SERVERS_EXHAUSTED
        missing = RETRIES_PER_MOVE - (self._reserved_since is not None)
        if obstacle is None and not self._budget.has_room(_now(), missing):
            obstacle = BUDGET_EXHAUSTED
        return obstacle

    def allowed_servers(self, current: str = "") -> set[str] | None:
        """Return the only servers that the request may be sent to; None for no limit.

        The limit of a route is on servers, not on sends: those that may have run the request can
        get it again.

        :param current: a server that has the request; empty for none.
        """
        servers = self._progress.servers | ({current} if current else set())
        if self._progress.unnamed_servers + len(servers) < self._route.max_attempts:
            return None
        return servers

    def _obstacle(self, may_have_run: bool, reserved_sends: int = 0) -> str | None:
        """Return why the request may not be sent again, apart from the retry budget.

        :param reserved_sends: the number of sends that are kept for later.
        """
        if may_have_run and not self._route.repeatable:
            return "it may have run and cannot be repeated"
        if may_have_run and not self._prompts.may_retry(self._caller):
            return "its prompt is suspected of crashes"
        if self._progress.failures >= self._route.max_attempts:
            return "it may have run as often as its route allows"
        if self._progress.sends + reserved_sends >= self._route.max_attempts + MAX_EXTRA_SENDS:
            return "it was sent too often"
        return None

    def try_spend(self) -> bool:
        """Spend one retry, the reserved one first; returns False when the budget is exhausted.

        The reserved one is spent anew, so that it counts in the window in which it is sent.
        """
        now = _now()
        self.release_reserve()
        allowed = self._budget.try_spend(now)
        self._repeats.labels("allowed" if allowed else "over-budget").inc()
        if allowed:
            self._unsent_since = now
        return allowed

    def try_spend_for_move(self) -> bool:
        """Spend a retry for a move and reserve another; returns False without room for both."""
        self.release_reserve()
        has_room = self._budget.has_room(_now(), RETRIES_PER_MOVE)
        if has_room and self.try_spend():
            self._reserved_since = _now()
            return self._budget.try_spend(self._reserved_since)
        return False

    def release_reserve(self) -> None:
        """Return the reserved retry to the budget, if there is one."""
        if self._reserved_since is not None:
            self._budget.refund(self._reserved_since)
            self._reserved_since = None

    def record_sent(self) -> None:
        """Record that the request is sent, with the retry that was spent for it, if any."""
        self._unsent_since = None

    def refund_unsent(self) -> None:
        """Return a retry to the budget that was spent, if nothing was sent with it."""
        if self._unsent_since is not None:
            self._budget.refund(self._unsent_since)
            self._unsent_since = None
            self._repeats.labels("returned").inc()

    def try_pay(self) -> bool:
        """Spend the retry that is to be charged, if any; returns False when it cannot be spent."""
        if self.is_unpaid:
            self.is_unpaid = not self.try_spend()
        return not self.is_unpaid


def _now() -> float:
    return asyncio.get_running_loop().time()
