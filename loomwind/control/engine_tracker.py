"""What is known of each engine: a state machine without I/O or clock.

The rule that it keeps: an order without an answer is unknown, never "not run". What an engine may
hold is the union of its intents and of its last inventory, until an inventory that was read under
a newer fence than the order's shows otherwise.
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
    """How far an engine is known to this controller.

    LIFELESS: its host keeps refusing connections, so the process that held memory has ended.
    """

    UNKNOWN = "unknown"
    FENCED = "fenced"
    PROCESS_ENDED = "lifeless"
    GONE = "gone"


ENDED_STATUSES = (EngineStatus.PROCESS_ENDED, EngineStatus.GONE)


class PendingOrder(Struct, frozen=True):
    """An order that was given and not answered. ``lost`` once its answer cannot come any more."""

    order: Order
    lost: bool = False


class EngineRecord(Struct, frozen=True):
    """One engine as this controller knows it.

    :param listed_leaving: whether the machine list says that it is leaving.
    :param told_leaving: whether the engine itself, or a watcher of it, says so.
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
        """Return what the last inventory says of an artifact."""
        items = self.inventory.items if self.inventory else ()
        return next((item.state for item in items if item.artifact == artifact), None)

    def pending_order(self, artifact: Artifact) -> PendingOrder | None:
        """Return the open order for an artifact, or None."""
        return next((o for o in self.orders if o.order.artifact == artifact), None)

    @property
    def leaving(self) -> bool:
        """Whether any source says that the engine is leaving."""
        return self.listed_leaving or self.reported_leaving

    @property
    def usable(self) -> bool:
        """Whether new work may be placed here."""
        fenced = self.status is EngineStatus.FENCED
        return fenced and not self.leaving and not self.failed

    def tier(self, artifact: Artifact) -> CheckpointTier:
        """Return where this engine has an artifact's weights."""
        items = self.inventory.checkpoints if self.inventory else ()
        found = [item.tier for item in items if item.artifact == artifact]
        return found[0] if found else CheckpointTier.REMOTE


class EngineTracker:
    """All engines of the cell under one ballot."""

    def __init__(self) -> None:
        self.records: dict[str, EngineRecord] = {}

    def add_or_update(self, engine: str, address: str, zone: str, leaving: bool) -> None:
        """Take in an engine from the machine list; one that came back is unknown again."""
        record = self.records.get(engine)
        if record is None or record.status is EngineStatus.GONE:
            self.records[engine] = EngineRecord(engine, address, zone, listed_leaving=leaving)
        else:
            self._update(engine, address=address, zone=zone, listed_leaving=leaving)

    def _update(self, engine: str, **changes: object) -> None:
        self.records[engine] = structs.replace(self.records[engine], **changes)

    def mark_failed(self, engine: str, failed: bool) -> None:
        """Note that an engine does not answer, or answers again."""
        if engine in self.records:
            self._update(engine, failed=failed)

    def mark_leaving(self, engine: str) -> None:
        """Note that an engine is leaving: nothing new goes there."""
        if engine in self.records:
            self._update(engine, reported_leaving=True)

    def mark_unknown(self, engine: str) -> None:
        """Note that an engine must be fenced and read again."""
        record = self.records.get(engine)
        if record is not None and record.status is EngineStatus.FENCED:
            self._update(engine, status=EngineStatus.UNKNOWN)

    def mark_process_ended(self, engine: str) -> None:
        """Note that the engine's process has ended; it may come back as another life."""
        if engine in self.records:
            self._update(engine, status=EngineStatus.PROCESS_ENDED, inventory=None, orders=())

    def mark_gone(self, engine: str) -> None:
        """Note that the machine list says that an engine no longer exists."""
        if engine in self.records:
            self._update(engine, status=EngineStatus.GONE, inventory=None, orders=())

    def on_inventory(self, engine: str, inventory: Inventory) -> None:
        """Take in an inventory that was read under a fence of this controller.

        One that was overtaken by a newer answer of the same life is ignored: it may show as
        absent what has been loaded since.
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
        """Note an order before its first byte goes out."""
        record = self.records[engine]
        self._update(engine, orders=(*record.orders, PendingOrder(order)))

    def on_order_answered(self, engine: str, order: Order, answer: OrderAnswer) -> None:
        """Close an order by its answer, and take in the inventory that came with it."""
        record = self.records.get(engine)
        if record is None or record.status in ENDED_STATUSES:
            return
        self._update(engine, orders=tuple(o for o in record.orders if o.order != order))
        if answer.result is OrderResult.WRONG_INSTANCE:
            self.mark_unknown(engine)
        elif record.inventory is None or answer.inventory.fence >= record.inventory.fence:
            self._update(engine, inventory=answer.inventory)

    def on_order_lost(self, engine: str, order: Order) -> None:
        """Keep an order as unknown: the engine must be fenced and read again."""
        record = self.records.get(engine)
        if record is None or record.status in ENDED_STATUSES:
            return
        orders = tuple(
            structs.replace(o, lost=True) if o.order == order else o for o in record.orders
        )
        self._update(engine, orders=orders)
        self.mark_unknown(engine)

    def removable_intents(self, intents: tuple[Intent, ...]) -> set[Intent]:
        """Return the intents whose artifact is surely not on its engine, nor will be."""
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
    """Return whether an inventory tells the fate of an order whose answer is lost."""
    if inventory.instance != order.order.instance:
        return True
    return order.lost and inventory.fence > order.order.fence
