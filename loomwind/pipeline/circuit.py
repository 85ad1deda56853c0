"""Circuit breakers and the retry budget, which prevent retry storms when back ends fail."""

from loomwind import constants


class CircuitBreaker:
    """Stops sending requests to a back end after several consecutive failures.

    After the open time the breaker lets one request through, whose result closes or reopens it.
    """

    def __init__(self) -> None:
        self._consecutive_failures = 0
        self._open_until = 0.0
        self._probing = False

    def allows(self, now: float) -> bool:
        """Return whether a request may be sent to the back end."""
        if self._consecutive_failures < constants.CIRCUIT_FAILURE_THRESHOLD:
            return True
        return now >= self._open_until and not self._probing

    def record_sent(self) -> None:
        """Record that a request is sent."""
        self._probing = self._consecutive_failures >= constants.CIRCUIT_FAILURE_THRESHOLD

    def record_ended(self) -> None:
        """Record that a request ended without a result that tells the back end's health."""
        self._probing = False

    def record_success(self) -> None:
        """Record a success and close the circuit."""
        self._consecutive_failures = 0
        self._probing = False

    def record_failure(self, now: float) -> bool:
        """Record a failure, and return whether it opened the circuit."""
        self._consecutive_failures += 1
        self._probing = False
        if self._consecutive_failures >= constants.CIRCUIT_FAILURE_THRESHOLD:
            self._open_until = now + constants.CIRCUIT_OPEN_SECONDS
        return self._consecutive_failures == constants.CIRCUIT_FAILURE_THRESHOLD


class RetryBudget:
    """A token bucket that limits retries to a share of requests.

    The bucket starts full, so that a few retries are possible at low traffic.
    """

    def __init__(self) -> None:
        self._tokens = constants.RETRY_BUDGET_CAPACITY

    def on_request(self) -> None:
        """Add the share of a retry that a new request allows."""
        limit = constants.RETRY_BUDGET_CAPACITY
        self._tokens = min(limit, self._tokens + constants.RETRY_BUDGET_RATIO)

    def try_spend(self) -> bool:
        """Spend one retry; return False if the budget is exhausted."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
