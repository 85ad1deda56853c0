"""Circuit breakers and the retry budget: what keeps a failing back end from bringing a storm."""

from loomwind import constants


class CircuitBreaker:
    """Keeps requests away from a back end that failed several times in a row.

    After the open time one request is let through; its result closes or reopens the circuit.
    """

    def __init__(self) -> None:
        self._failures = 0
        self._open_until = 0.0
        self._probing = False

    def allows(self, now: float) -> bool:
        """Return whether a request may go to the back end."""
        if self._failures < constants.CIRCUIT_FAILURE_THRESHOLD:
            return True
        return now >= self._open_until and not self._probing

    def record_sent(self) -> None:
        """Count a request that is sent."""
        self._probing = self._failures >= constants.CIRCUIT_FAILURE_THRESHOLD

    def record_ended(self) -> None:
        """Count a request that ended for a reason of its own; it says nothing of the back end."""
        self._probing = False

    def record_success(self) -> None:
        """Close the circuit."""
        self._failures = 0
        self._probing = False

    def record_failure(self, now: float) -> bool:
        """Count a failure; returns whether the circuit opened by it."""
        self._failures += 1
        self._probing = False
        if self._failures >= constants.CIRCUIT_FAILURE_THRESHOLD:
            self._open_until = now + constants.CIRCUIT_OPEN_SECONDS
        return self._failures == constants.CIRCUIT_FAILURE_THRESHOLD


class RetryBudget:
    """Allows retries as a share of requests, and a few more so that quiet times can retry."""

    def __init__(self) -> None:
        self._tokens = constants.RETRY_BUDGET_CAPACITY

    def on_request(self) -> None:
        """Count a first attempt."""
        limit = constants.RETRY_BUDGET_CAPACITY
        self._tokens = min(limit, self._tokens + constants.RETRY_BUDGET_RATIO)

    def try_spend(self) -> bool:
        """Take one retry; False when the budget is used up."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
