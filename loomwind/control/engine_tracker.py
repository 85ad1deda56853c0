"""Tracks the state of each engine; does no I/O and reads no clock.

An order without a response has an unknown outcome; it is never assumed not to have run. An engine
may hold the union of its intents and its last inventory, until an inventory that was read under a
newer fence than the order's shows otherwise.
"""

import enum

from msgspec import Struct, structs

from loomwind.engines.protocol import (
    CheckpointTier,
    Inventory,
    Order,
    OrderAnswer,
    OrderResult,
    ReplicaState,
)
from loomwind.messages import Intent
from loomwind.schema import Artifact


class EngineStatus(enum.Enum):
    """What this controller knows about an engine.

    UNKNOWN: the engine has to be fenced and read.
    FENCED: the engine accepted this controller's fence and its inventory was read.
    PROCESS_ENDED: the engine's host keeps refusing connections, so the process that held the
    memory has ended.
    GONE: the machine list reports the engine as gone.
    """

    UNKNOWN = "unknown"
    FENCED = "fenced"
    PROCESS_ENDED = "lifeless"
    GONE = "gone"


ENDED_STATUSES = (EngineStatus.PROCESS_ENDED, EngineStatus.GONE)


class PendingOrder(Struct, frozen=True):
    """An order without a response.

    :param lost: whether the response can no longer arrive.
    """

    order: Order
    lost: bool = False


class EngineRecord(Struct, frozen=True):
    """State of one engine, as known to this controller.

    :param listed_leaving: whether the machine list says that the engine is leaving, or an operator
        drains it.
    :param reported_leaving: whether the engine itself or one of its watchers reports that it is
        leaving.
    :param failed: whether the engine did not respond to the last read.
    :param orders: the orders without a response.
    """

    engine: str
    address: str
    zone: str
    status: EngineStatus = EngineStatus.UNKNOWN
    listed_leaving: bool = False
    reported_leaving: bool = False
    failed: bool = False
    inventory: Inventory | None = None
    orders: tuple[PendingOrder, ...] = ()

    def state_of(self, artifact: Artifact) -> ReplicaState | None:
        """Return the state of an artifact in the last inventory, or None."""
        items = self.inventory.items if self.inventory else ()
        return next((item.state for item in items if item.artifact == artifact), None)

    def pending_order(self, artifact: Artifact) -> PendingOrder | None:
        """Return the pending order for an artifact, or None."""
        return next((o for o in self.orders if o.order.artifact == artifact), None)

    @property
    def leaving(self) -> bool:
        """Whether any source reports that the engine is leaving."""
        return self.listed_leaving or self.reported_leaving

    @property
    def usable(self) -> bool:
        """Whether new artifacts may be loaded on the engine."""
        fenced = self.status is EngineStatus.FENCED
        return fenced and not self.leaving and not self.failed

    def tier(self, artifact: Artifact) -> CheckpointTier:
        """Return the storage tier in which the engine has an artifact's weights."""
        items = self.inventory.checkpoints if self.inventory else ()
        found = [item.tier for item in items if item.artifact == artifact]
        return found[0] if found else CheckpointTier.REMOTE


class EngineTracker:
    """State of all engines of the cell, as known to one controller under its ballot."""

    def __init__(self) -> None:
        self.records: dict[str, EngineRecord] = {}

    def add_or_update(self, engine: str, address: str, zone: str, leaving: bool) -> None:
        """Add or update an engine of the machine list; one that returns is read again."""
        record = self.records.get(engine)
        if record is None or record.status is EngineStatus.GONE:
            self.records[engine] = EngineRecord(engine, address, zone, listed_leaving=leaving)
        else:
            self._update(engine, address=address, zone=zone, listed_leaving=leaving)

    def _update(self, engine: str, **changes: object) -> None:
        self.records[engine] = structs.replace(self.records[engine], **changes)

    def mark_failed(self, engine: str, failed: bool) -> None:
        """Record whether an engine fails to respond."""
        if engine in self.records:
            self._update(engine, failed=failed)

    def mark_leaving(self, engine: str) -> None:
        """Record that an engine is leaving and gets no new artifacts."""
        if engine in self.records:
            self._update(engine, reported_leaving=True)

    def mark_unknown(self, engine: str) -> None:
        """Record that an engine must be fenced and read again."""
        record = self.records.get(engine)
        if record is not None and record.status is EngineStatus.FENCED:
            self._update(engine, status=EngineStatus.UNKNOWN)

    def mark_process_ended(self, engine: str) -> None:
        """Record that an engine's process has ended; it may restart as a new instance."""
        if engine in self.records:
            self._update(engine, status=EngineStatus.PROCESS_ENDED, inventory=None, orders=())

    def mark_gone(self, engine: str) -> None:
        """Record that the machine list reports an engine as gone."""
        if engine in self.records:
            self._update(engine, status=EngineStatus.GONE, inventory=None, orders=())

    def on_inventory(self, engine: str, inventory: Inventory) -> None:
        """Apply an inventory that was read under a fence of this controller.

        An inventory that is older than the known one of the same instance is ignored: artifacts
        that have been loaded since would seem to be absent.
        """
        record = self.records.get(engine)
        if record is None or _is_stale(inventory, record.inventory):
            return
        remaining = [o for o in record.orders if not _is_resolved_by(o, inventory)]
        self._update(
            engine,
            status=EngineStatus.FENCED,
            inventory=inventory,
            failed=False,
            reported_leaving=inventory.leaving,
            orders=tuple(remaining),
        )

    def on_order_sent(self, engine: str, order: Order) -> None:
        """Record an order; must be called before its first byte is sent."""
        record = self.records[engine]
        self._update(engine, orders=(*record.orders, PendingOrder(order)))

    def on_order_answered(self, engine: str, order: Order, answer: OrderAnswer) -> None:
        """Remove an order that got its response, and apply the inventory in the response."""
        record = self.records.get(engine)
        if record is None or record.status in ENDED_STATUSES:
            return
        self._update(engine, orders=tuple(o for o in record.orders if o.order != order))
        if answer.result is OrderResult.WRONG_INSTANCE:
            self.mark_unknown(engine)
        elif record.inventory is None or answer.inventory.fence >= record.inventory.fence:
            self._update(engine, inventory=answer.inventory)

    def on_order_lost(self, engine: str, order: Order) -> None:
        """Record that an order's response was lost; the engine must be fenced and read again."""
        record = self.records.get(engine)
        if record is None or record.status in ENDED_STATUSES:
            return
        orders = tuple(
            structs.replace(o, lost=True) if o.order == order else o for o in record.orders
        )
        self._update(engine, orders=orders)
        self.mark_unknown(engine)

    def removable_intents(self, intents: tuple[Intent, ...]) -> set[Intent]:
        """Return the intents whose artifact is certainly not on its engine and not being loaded."""
        return {intent for intent in intents if self._is_removable(intent)}

    def _is_removable(self, intent: Intent) -> bool:
        record = self.records.get(intent.engine)
        if record is None:
            return False
        if record.status in ENDED_STATUSES:
            return True
        if record.status is not EngineStatus.FENCED or record.inventory is None:
            return False
        if record.inventory.instance != intent.instance:
            return True
        absent = record.state_of(intent.artifact) is None
        return absent and record.pending_order(intent.artifact) is None


def _is_stale(inventory: Inventory, known: Inventory | None) -> bool:
    same_instance = known is not None and known.instance == inventory.instance
    return same_instance and known is not None and inventory.fence < known.fence


def _is_resolved_by(order: PendingOrder, inventory: Inventory) -> bool:
    """Return whether an inventory shows the outcome of an order whose response was lost."""
    if inventory.instance != order.order.instance:
        return True
    return order.lost and inventory.fence > order.order.fence
