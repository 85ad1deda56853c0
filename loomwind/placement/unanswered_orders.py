"""Orders that got no answer, and what they may still load. Pure; times are in seconds.

A server carries out an order only while it is at the revision that the order expects. So one that
got no answer is void as soon as another one was taken; but a server that starts again counts its
revisions from nothing, and an order to its earlier life may fit the new one.
"""

from collections.abc import Iterator

import attrs

from loomwind.serving.views import EngineProfile, ModelKey, Order, OrderKind

# Orders without an answer are carried out up to 12 s later, by the platform's list of troubles.
MAX_ORDER_DELAY_SECONDS = 15.0


@attrs.frozen
class UnansweredOrder:
    """An order that may be carried out later.

    :ivar sent_at: loop time.
    """

    order: Order
    sent_at: float


class UnansweredOrders:
    """The unanswered orders to one server, over its lives."""

    def __init__(self) -> None:
        self._current: list[UnansweredOrder] = []
        self._inherited: list[UnansweredOrder] = []

    def add(self, order: Order, now: float) -> None:
        """Take in that an order to this life got no answer."""
        self._current.append(UnansweredOrder(order, now))

    def inherit(self, earlier: "UnansweredOrders") -> None:
        """Count on what an earlier life has left."""
        self._inherited = earlier._current + earlier._inherited

    def expire(self, now: float) -> None:
        """Drop the orders that are too old to be carried out."""
        oldest = now - MAX_ORDER_DELAY_SECONDS
        self._current = [each for each in self._current if each.sent_at >= oldest]
        self._inherited = [each for each in self._inherited if each.sent_at >= oldest]

    def _loads(self, revision: int) -> Iterator[ModelKey]:
        """Yield what orders to earlier lives may load at a revision, or at a later one."""
        for each in self._inherited:
            if each.order.kind is OrderKind.LOAD and revision <= each.order.expected_revision:
                yield each.order.target

    def memory_mb(self, profile: EngineProfile, revision: int) -> float:
        """Return the memory that has to be kept for them."""
        total = 0.0
        for target in self._loads(revision):
            model = profile.model(target.model)
            if model is not None:
                total += model.adapter_mb if target.adapter else model.memory_mb
        return total

    def adapter_slots(self, revision: int) -> int:
        """Return how many adapter places have to be kept for them."""
        return sum(1 for target in self._loads(revision) if target.adapter)
