"""Communicates with the engines: fences them, reads their inventories and sends orders."""

import asyncio
from collections.abc import Callable

from loomwind import constants
from loomwind.control.engine_tracker import EngineRecord, EngineStatus, EngineTracker
from loomwind.control.views import Load
from loomwind.engines.client import EngineClient
from loomwind.engines.errors import EngineError, EngineResponseLost, EngineUnreachable
from loomwind.engines.protocol import (
    Action,
    Fence,
    FenceRequest,
    Inventory,
    Order,
    OrderAnswer,
    OrderResult,
    ReplicaState,
)
from loomwind.logs import log_state
from loomwind.messages import Ballot
from loomwind.metrics import Metrics
from loomwind.schema import Artifact

STABLE_POLL_INTERVAL_SECONDS = 30.0
TRANSITION_POLL_INTERVAL_SECONDS = 0.1
FAILED_POLL_INTERVAL_SECONDS = 0.5
# Consecutive refused connections after which the engine process counts as ended.
ENDED_AFTER_REFUSALS = 3


class Fleet:
    """The engines of the cell under one ballot; created anew at each takeover."""

    def __init__(
        self,
        client: EngineClient,
        metrics: Metrics,
        generation: int,
        ballot: Ballot,
        wake: Callable[[], None],
        on_superseded: Callable[[], None],
    ) -> None:
        self.tracker = EngineTracker()
        self._client = client
        self._metrics = metrics
        self._generation = generation
        self._ballot = ballot
        self._sequence = 0
        self._wake = wake
        self._on_superseded = on_superseded
        self._refusals: dict[str, int] = {}
        self._pollers: dict[str, asyncio.Task[None]] = {}
        self._rechecks: dict[str, asyncio.Event] = {}
        self._orders: set[asyncio.Task[None]] = set()

    def next_fence(self) -> Fence:
        """Return a fence that is higher than all previous ones of this controller."""
        self._sequence += 1
        return Fence(self._generation, self._ballot, self._sequence)

    def watch(self, engine: str, address: str, zone: str, leaving: bool) -> None:
        """Add or update an engine and poll its inventory."""
        self.tracker.add_or_update(engine, address, zone, leaving)
        if engine not in self._pollers or self._pollers[engine].done():
            self._pollers[engine] = asyncio.get_running_loop().create_task(self._poll(engine))

    def remove(self, engine: str) -> None:
        """Mark an engine as gone and stop polling it."""
        record = self.tracker.records.get(engine)
        if record is not None and record.status is not EngineStatus.GONE:
            log_state("engine", "gone", engine=engine)
            self.tracker.mark_gone(engine)
            self._wake()
        poller = self._pollers.pop(engine, None)
        if poller is not None:
            poller.cancel()

    async def _poll(self, engine: str) -> None:
        while True:
            await self._read(engine)
            recheck = self._rechecks.setdefault(engine, asyncio.Event())
            recheck.clear()
            try:
                async with asyncio.timeout(self._poll_interval(self.tracker.records[engine])):
                    await recheck.wait()
            except TimeoutError:
                pass

    def recheck(self, engine: str) -> None:
        """Read an engine's inventory without waiting for the next poll."""
        if engine in self._rechecks:
            self._rechecks[engine].set()

    def _poll_interval(self, record: EngineRecord) -> float:
        if record.inventory is None or record.status is not EngineStatus.FENCED:
            return TRANSITION_POLL_INTERVAL_SECONDS
        if record.failed:
            return FAILED_POLL_INTERVAL_SECONDS
        in_transition = any(
            item.state is not ReplicaState.READY and record.pending_order(item.artifact) is None
            for item in record.inventory.items
        )
        return TRANSITION_POLL_INTERVAL_SECONDS if in_transition else STABLE_POLL_INTERVAL_SECONDS

    async def _read(self, engine: str) -> None:
        """Fence an engine and apply its inventory."""
        record = self.tracker.records[engine]
        request = FenceRequest(self.next_fence())
        try:
            inventory = await self._client.fence(
                record.address, request, constants.FENCE_TIMEOUT_SECONDS
            )
        except EngineError as error:
            self._on_fence_failure(engine, error)
            return
        self._refusals[engine] = 0
        if self._is_newer(inventory):
            self._on_superseded()
            return
        before = self.tracker.records[engine]
        self.tracker.on_inventory(engine, inventory)
        after = self.tracker.records[engine]
        if before.status is not after.status:
            log_state("engine", after.status.value, engine=engine)
        if before != after:
            self._wake()

    def _is_newer(self, inventory: Inventory) -> bool:
        fence = inventory.fence
        return (fence.generation, fence.ballot) > (self._generation, self._ballot)

    def _on_fence_failure(self, engine: str, error: EngineError) -> None:
        refused = isinstance(error, EngineUnreachable) and error.refused
        self._refusals[engine] = self._refusals.get(engine, 0) + 1 if refused else 0
        record = self.tracker.records[engine]
        if not record.failed:
            log_state("engine", "not-answering", engine=engine, reason=str(error))
            self.tracker.mark_failed(engine, True)
            self._wake()
        ended = self._refusals[engine] >= ENDED_AFTER_REFUSALS
        if ended and record.status is not EngineStatus.PROCESS_ENDED:
            log_state("engine", "lifeless", engine=engine)
            self.tracker.mark_process_ended(engine)
            self._wake()

    def send_load(self, load: Load, load_seconds: float) -> None:
        """Send a load order to the planned engine instance; the intent must have been committed."""
        order = Order(
            self.next_fence(),
            load.instance,
            Action.LOAD,
            load.artifact,
            load.memory_mib,
            load_seconds,
        )
        self._send_order(load.engine, order)

    def send_unload(self, engine: str, artifact: Artifact) -> None:
        """Send an unload order."""
        inventory = self.tracker.records[engine].inventory
        if inventory is not None:
            self._send_order(
                engine, Order(self.next_fence(), inventory.instance, Action.UNLOAD, artifact)
            )

    def _send_order(self, engine: str, order: Order) -> None:
        record = self.tracker.records[engine]
        if record.pending_order(order.artifact) is not None:
            return
        # Recorded before the first byte is sent: a lost response must never count as "not run".
        self.tracker.on_order_sent(engine, order)
        task = asyncio.get_running_loop().create_task(
            self._deliver_order(engine, record.address, order)
        )
        self._orders.add(task)
        task.add_done_callback(self._orders.discard)

    async def _deliver_order(self, engine: str, address: str, order: Order) -> None:
        try:
            answer = await self._client.order(address, order, constants.ORDER_TIMEOUT_SECONDS)
        except (EngineUnreachable, EngineResponseLost):
            self._metrics.orders.labels("unknown").inc()
            self.tracker.on_order_lost(engine, order)
            self.recheck(engine)
        else:
            self._metrics.orders.labels(answer.result.value).inc()
            self._on_answer(engine, order, answer)
        self._wake()

    def _on_answer(self, engine: str, order: Order, answer: OrderAnswer) -> None:
        if answer.result is OrderResult.STALE and self._is_newer(answer.inventory):
            self._on_superseded()
            return
        self.tracker.on_order_answered(engine, order, answer)
        if answer.result is not OrderResult.DONE:
            self.recheck(engine)

    def close(self) -> None:
        """Stop polling and waiting for responses; orders that were sent stay in effect."""
        for task in [*self._pollers.values(), *self._orders]:
            task.cancel()
