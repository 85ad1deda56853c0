"""Unanswered orders and the memory to reserve for them. No I/O; times are in seconds.

A server executes an order only at the revision that the order expects, so accepting another order
invalidates an unanswered one. But a restarted server counts its revisions from zero again, and an
order sent to its earlier instance may match the new one.
"""

from collections.abc import Iterator

import attrs

from loomwind.serving.views import EngineProfile, ModelKey, Order, OrderKind

# According to the platform's list of faults, unanswered orders may be executed up to 12 s later.
MAX_ORDER_DELAY_SECONDS = 15.0


@attrs.frozen
class UnansweredOrder:
    """An order that may still be executed.

    :ivar unanswered_at: loop time at which the wait for its answer ended.
    """

    order: Order
    unanswered_at: float


class UnansweredOrders:
    """The unanswered orders to one server, including those to its earlier instances."""

    def __init__(self) -> None:
        self._current: list[UnansweredOrder] = []
        self._inherited: list[UnansweredOrder] = []

    def add(self, order: Order, now: float) -> None:
        """Add an unanswered order to the current instance."""
        self._current.append(UnansweredOrder(order, now))

    def executed_at(self, revision: int) -> Order | None:
        """Return the order about model weights that a server at this revision may execute.

        Of several, one that loads is returned: it uses more of what is limited.
        """
        orders = [
            each.order
            for each in self._current
            if each.order.expected_revision + 1 == revision and not each.order.target.adapter
        ]
        return min(orders, key=lambda order: order.kind is not OrderKind.LOAD, default=None)

    def inherit(self, earlier: "UnansweredOrders") -> None:
        """Take over the unanswered orders of an earlier instance."""
        self._inherited = earlier._current + earlier._inherited

    def expire(self, now: float) -> None:
        """Drop the orders that are too old to be executed."""
        oldest = now - MAX_ORDER_DELAY_SECONDS
        self._current = [each for each in self._current if each.unanswered_at >= oldest]
        self._inherited = [each for each in self._inherited if each.unanswered_at >= oldest]

    def _possible_loads(self, revision: int) -> Iterator[ModelKey]:
        """Yield the targets that inherited orders may load at this or a later revision."""
        for each in self._inherited:
            if each.order.kind is OrderKind.LOAD and revision <= each.order.expected_revision:
                yield each.order.target

    def memory_mb(self, profile: EngineProfile, revision: int) -> float:
        """Return the memory to reserve for inherited orders, in MB."""
        total = 0.0
        for target in self._possible_loads(revision):
            model = profile.model(target.model)
            if model is not None:
                total += model.adapter_mb if target.adapter else model.memory_mb
        return total

    def adapter_slots(self, revision: int) -> int:
        """Return the number of adapter slots to reserve for inherited orders."""
        return sum(1 for target in self._possible_loads(revision) if target.adapter)
