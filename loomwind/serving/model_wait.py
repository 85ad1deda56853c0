"""A request's wait for its model, reported to the leader and ended once it cannot succeed."""

from typing import TYPE_CHECKING

from loomwind.clock import MS_PER_SECOND
from loomwind.logs import log_decision
from loomwind.serving.demand import DemandKey, ExpectedRetry, WaitingRequest
from loomwind.serving.errors import ModelUnavailable
from loomwind.serving.views import CallerRequest, RouteRule
from loomwind.serving.wait_policy import Refuse, RetryLater, Wait, WaitLimits, decide

if TYPE_CHECKING:
    from loomwind.serving.handler import RequestHandler

RECHECK_INTERVAL_SECONDS = 0.2
# Clients give a new connection a second to come up when they return.
RETURN_GRACE_SECONDS = 1.0


def wait_limits(route: RouteRule, arrived: float, deadline: float) -> WaitLimits:
    """Return the time limits of a request.

    :param arrived: loop time at which the request arrived or its stream was interrupted.
    :param deadline: loop time at which the request times out.
    """
    return WaitLimits(
        arrived_ms=arrived * MS_PER_SECOND,
        event_timeout_ms=route.event_timeout_seconds * MS_PER_SECOND,
        deadline_ms=deadline * MS_PER_SECOND,
    )


class ModelWait:
    """One wait, used as a context manager; meanwhile the demand reports include the request."""

    def __init__(
        self,
        handler: "RequestHandler",
        key: DemandKey,
        route: RouteRule,
        caller: CallerRequest,
        arrived: float,
        deadline: float,
    ) -> None:
        """Create a wait.

        :param arrived: loop time at which the request arrived or its stream was interrupted.
        :param deadline: loop time at which the request times out.
        """
        self._handler = handler
        self._pool = handler.pool
        self._key = key
        self._caller = caller
        self._limits = wait_limits(route, arrived, deadline)
        servable_until = self._limits.servable_until_ms / MS_PER_SECOND
        self._request = WaitingRequest(servable_until, route.priority)

    def __enter__(self) -> "ModelWait":
        self._pool.demand.begin_wait(self._key, self._request)
        return self

    def __exit__(self, *_: object) -> None:
        self._pool.demand.end_wait(self._key, self._request)

    async def wait_for_change(self, may_retry: bool) -> None:
        """Wait until something may have changed.

        :param may_retry: whether no part of the request has run, so that the caller may retry it.
        :raises ModelUnavailable: the request is refused, with a time after which to retry.
        """
        now = self._handler.now()
        next_check = self._next_check(now, may_retry)
        await self._pool.demand.wait_for_change(
            min(max(0.0, next_check - now), RECHECK_INTERVAL_SECONDS)
        )

    def _next_check(self, now: float, may_retry: bool) -> float:
        """Return the loop time of the next check.

        :raises ModelUnavailable: the request is refused, with a time after which to retry.
        """
        now_ms = now * MS_PER_SECOND
        ready_in_ms = self._pool.expectations.ready_in_ms(self._key, now_ms)
        expected_load_ms = self._handler.expected_load_ms(self._key)
        decision = decide(self._limits, now_ms, ready_in_ms, expected_load_ms)
        if isinstance(decision, Wait):
            return decision.until_ms / MS_PER_SECOND
        if isinstance(decision, RetryLater) and not may_retry:
            decision = Refuse(decision.after_ms)
        self._log_refusal(decision, ready_in_ms, now_ms)
        if isinstance(decision, RetryLater):
            self._pool.demand.add_expected_retry(self._key, self._retry(now_ms, decision))
        raise ModelUnavailable(decision.after_ms / MS_PER_SECOND)

    def _retry(self, now_ms: float, decision: RetryLater) -> ExpectedRetry:
        """Return when the caller of a refused request should be back, and how long it can stay."""
        returns_ms = now_ms + decision.retry_in_ms
        return ExpectedRetry(
            self._limits.retry_servable_until_ms(returns_ms) / MS_PER_SECOND,
            self._request.priority,
            returns_ms / MS_PER_SECOND + RETURN_GRACE_SECONDS,
        )

    def _log_refusal(
        self, decision: RetryLater | Refuse, ready_in_ms: float | None, now_ms: float
    ) -> None:
        log_decision(
            "come-back" if isinstance(decision, RetryLater) else "hopeless",
            self._caller.request_id,
            target=str(self._key.target),
            ready_in_ms=None if ready_in_ms is None else round(ready_in_ms),
            after_ms=round(decision.after_ms),
            waited_ms=round(now_ms - self._limits.arrived_ms),
            stays_ms=round(self._limits.wait_until_ms - now_ms),
            own_part=self._caller.unique_part,
        )
