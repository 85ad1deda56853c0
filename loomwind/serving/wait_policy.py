"""Decides whether a request waits for its model or is refused with a time to retry. No I/O.

A request waits while its model is expected before its caller gives up. Otherwise it is refused at
once, with the time after which the model should be ready. If its caller can be served when it
returns then, the retry counts as expected demand. All attempts of a caller are treated alike: what
counts is the time that it has left.
"""

import attrs

# Callers retry after the time they are told, but no later than this fraction of their time left.
MAX_RETRY_DELAY_FRACTION = 1 / 3
FIRST_EVENT_MS = 60.0
RETRY_MARGIN_MS = 250.0
REFUSAL_MARGIN_MS = 250.0
# Time for the leader's first estimate: one of its steps and a round trip under load.
FIRST_ESTIMATE_MS = 400.0


@attrs.frozen
class Wait:
    """Keep waiting, and decide again by a given time.

    :ivar until_ms: a time of the clock.
    """

    until_ms: float


@attrs.frozen
class RetryLater:
    """Refuse the request: it can be served when the caller retries.

    :ivar after_ms: the retry delay that the caller is told.
    :ivar retry_in_ms: the expected delay; callers shorten a long one.
    """

    after_ms: float
    retry_in_ms: float


@attrs.frozen
class Refuse:
    """Refuse the request: it cannot be served before its caller gives up.

    :ivar after_ms: the retry delay that the caller is told.
    """

    after_ms: float


WaitDecision = Wait | RetryLater | Refuse


@attrs.frozen
class WaitLimits:
    """The time limits of a request. Points in time are of the clock.

    :ivar arrived_ms: when it arrived or its stream was interrupted.
    :ivar event_timeout_ms: how long its caller waits for the first or the next event.
    :ivar deadline_ms: when the request times out.
    """

    arrived_ms: float
    event_timeout_ms: float
    deadline_ms: float

    @property
    def estimate_by_ms(self) -> float:
        """Return until when to wait for the leader's first estimate."""
        return min(self.arrived_ms + FIRST_ESTIMATE_MS, self.wait_until_ms)

    @property
    def wait_until_ms(self) -> float:
        """Return when a waiting request is refused, before its caller gives up."""
        return min(self.arrived_ms + self.event_timeout_ms, self.deadline_ms) - REFUSAL_MARGIN_MS

    @property
    def servable_until_ms(self) -> float:
        """Return until when the request can be served, by waiting or after one retry."""
        latest_retry_ms = self.arrived_ms + self.retry_in_ms(float("inf"), self.arrived_ms)
        return max(self.wait_until_ms, self.retry_servable_until_ms(latest_retry_ms))

    def retry_in_ms(self, after_ms: float, now_ms: float) -> float:
        """Return the expected delay of a retry if the caller is told to wait for a given time."""
        return min(after_ms, MAX_RETRY_DELAY_FRACTION * (self.deadline_ms - now_ms))

    def retry_servable_until_ms(self, retry_ms: float) -> float:
        """Return until when a retry that arrives at a given time can be served."""
        return min(retry_ms + self.event_timeout_ms, self.deadline_ms) - REFUSAL_MARGIN_MS


def decide(
    limits: WaitLimits, now_ms: float, ready_in_ms: float | None, expected_load_ms: float
) -> WaitDecision:
    """Return what to do with a request whose model is held by no server.

    :param ready_in_ms: the leader's estimate of the time until it is ready; None without one.
    :param expected_load_ms: how long an unqueued load takes.
    """
    if ready_in_ms is None:
        if now_ms < limits.estimate_by_ms:
            return Wait(limits.estimate_by_ms)
        ready_in_ms = expected_load_ms
    first_event_ms = now_ms + ready_in_ms + FIRST_EVENT_MS
    if now_ms < limits.wait_until_ms and first_event_ms < limits.wait_until_ms:
        return Wait(limits.wait_until_ms)
    after_ms = ready_in_ms + RETRY_MARGIN_MS
    retry_in_ms = limits.retry_in_ms(after_ms, now_ms)
    if first_event_ms < limits.retry_servable_until_ms(now_ms + retry_in_ms):
        return RetryLater(after_ms, retry_in_ms)
    return Refuse(after_ms)
