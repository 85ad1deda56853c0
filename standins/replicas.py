"""Loaded artifacts of a stand-in engine: memory, fenced orders, checkpoint tiers, statistics."""

import asyncio
import time
from collections import OrderedDict
from collections.abc import Awaitable, Callable

from msgspec import Struct

from loomwind.engines.protocol import (
    Action,
    CheckpointItem,
    CheckpointTier,
    Fence,
    Inventory,
    InventoryItem,
    Order,
    OrderAnswer,
    OrderResult,
    ReplicaState,
)
from loomwind.schema import Artifact

LOAD_TIME_FACTORS = {
    CheckpointTier.MEMORY: 0.05,
    CheckpointTier.DISK: 0.3,
    CheckpointTier.REMOTE: 1.0,
}
MAX_MEMORY_CHECKPOINTS = 4
MAX_DISK_CHECKPOINTS = 12

FetchWeights = Callable[[float], Awaitable[None]]


class ResidencyPeriod(Struct):
    """The period for which an artifact occupied memory, in seconds of the monotonic clock.

    :param busy_seconds: time during which at least one request ran on the artifact.
    """

    artifact: str
    memory_mib: int
    started: float
    ready: float = 0.0
    ended: float = 0.0
    busy_seconds: float = 0.0


class EngineStatistics(Struct):
    """Statistics of an engine for tests and benchmarks."""

    holdings: list[ResidencyPeriod] = []
    orders_done: int = 0
    orders_stale: int = 0
    orders_without_memory: int = 0
    last_order_at: float = 0.0
    peak_memory_mib: int = 0


class LoadedArtifact(Struct):
    """An artifact in memory.

    :param idle: set when the last running request ends.
    """

    artifact: Artifact
    memory_mib: int
    state: ReplicaState
    residency: ResidencyPeriod
    idle: asyncio.Event
    running: int = 0
    busy_since: float = 0.0


class Replicas:
    """The loaded artifacts of one engine instance."""

    def __init__(
        self, instance: str, memory_mib: int, concurrency: int, fetch: FetchWeights
    ) -> None:
        self.instance = instance
        self.fence = Fence()
        self.leaving = False
        self.statistics = EngineStatistics()
        self._memory_mib = memory_mib
        self._concurrency = concurrency
        self._fetch = fetch
        self._loaded: dict[Artifact, LoadedArtifact] = {}
        self._memory_checkpoints: OrderedDict[Artifact, None] = OrderedDict()
        self._disk_checkpoints: OrderedDict[Artifact, None] = OrderedDict()

    def get_ready(self, name: str) -> LoadedArtifact | None:
        """Return the ready artifact with this name, or None."""
        for item in self._loaded.values():
            if item.state is ReplicaState.READY and str(item.artifact) == name:
                return item
        return None

    def record_request_start(self, item: LoadedArtifact) -> None:
        """Record that a request started on an artifact."""
        if item.running == 0:
            item.busy_since = time.monotonic()
        item.running += 1

    def record_request_end(self, item: LoadedArtifact) -> None:
        """Record that a request on an artifact ended."""
        item.running -= 1
        if item.running == 0:
            item.residency.busy_seconds += time.monotonic() - item.busy_since
            item.idle.set()

    def inventory(self) -> Inventory:
        """Return the loaded artifacts, the checkpoints and the limits of this instance."""
        items = tuple(
            InventoryItem(item.artifact, item.state, item.memory_mib)
            for item in self._loaded.values()
        )
        checkpoints = [CheckpointItem(a, CheckpointTier.MEMORY) for a in self._memory_checkpoints]
        checkpoints += [CheckpointItem(a, CheckpointTier.DISK) for a in self._disk_checkpoints]
        return Inventory(
            self.instance,
            self.fence,
            self._memory_mib,
            self._concurrency,
            self.leaving,
            items,
            tuple(checkpoints),
        )

    def raise_fence(self, fence: Fence) -> Inventory:
        """Raise the fence, so that orders up to it are rejected; return the inventory."""
        self.fence = max(self.fence, fence)
        return self.inventory()

    async def execute_order(self, order: Order) -> OrderAnswer:
        """Execute an order, or reject it if its instance or fence is outdated."""
        if order.instance != self.instance:
            return self._make_answer(OrderResult.WRONG_INSTANCE)
        if order.fence <= self.fence:
            self.statistics.orders_stale += 1
            return self._make_answer(OrderResult.STALE)
        self.fence = order.fence
        self.statistics.last_order_at = time.monotonic()
        if order.action is Action.LOAD:
            result = await self._load(order)
        elif order.action is Action.UNLOAD:
            result = await self._unload(order.artifact)
        else:
            result = OrderResult.DONE
        self.statistics.orders_done += result is OrderResult.DONE
        return self._make_answer(result)

    def _make_answer(self, result: OrderResult) -> OrderAnswer:
        return OrderAnswer(result, self.inventory())

    async def _load(self, order: Order) -> OrderResult:
        artifact = order.artifact
        if artifact in self._loaded:
            return OrderResult.DONE
        base = self._loaded.get(artifact.base)
        if artifact.adapter and (base is None or base.state is not ReplicaState.READY):
            return OrderResult.FAILED
        used = sum(item.memory_mib for item in self._loaded.values()) + order.memory_mib
        if used > self._memory_mib:
            self.statistics.orders_without_memory += 1
            return OrderResult.NO_MEMORY
        self.statistics.peak_memory_mib = max(self.statistics.peak_memory_mib, used)
        residency = ResidencyPeriod(str(artifact), order.memory_mib, time.monotonic())
        self.statistics.holdings.append(residency)
        item = LoadedArtifact(
            artifact, order.memory_mib, ReplicaState.LOADING, residency, asyncio.Event()
        )
        self._loaded[artifact] = item
        await self._read_weights(artifact, order.load_seconds)
        item.state = ReplicaState.READY
        residency.ready = time.monotonic()
        return OrderResult.DONE

    def _tier_of(self, artifact: Artifact) -> CheckpointTier:
        if artifact in self._memory_checkpoints:
            return CheckpointTier.MEMORY
        if artifact in self._disk_checkpoints:
            return CheckpointTier.DISK
        return CheckpointTier.REMOTE

    async def _read_weights(self, artifact: Artifact, load_seconds: float) -> None:
        tier = self._tier_of(artifact)
        if tier is CheckpointTier.REMOTE:
            await self._fetch(load_seconds)
        else:
            await asyncio.sleep(load_seconds * LOAD_TIME_FACTORS[tier])
        self.cache(artifact, CheckpointTier.MEMORY)

    def cache(self, artifact: Artifact, tier: CheckpointTier) -> None:
        """Add a checkpoint to a tier; the oldest one beyond its capacity moves to the next tier."""
        if tier is CheckpointTier.MEMORY:
            self._disk_checkpoints.pop(artifact, None)
            self._memory_checkpoints[artifact] = None
            self._memory_checkpoints.move_to_end(artifact)
            if len(self._memory_checkpoints) > MAX_MEMORY_CHECKPOINTS:
                oldest, _ = self._memory_checkpoints.popitem(last=False)
                self.cache(oldest, CheckpointTier.DISK)
        elif tier is CheckpointTier.DISK:
            self._disk_checkpoints[artifact] = None
            if len(self._disk_checkpoints) > MAX_DISK_CHECKPOINTS:
                self._disk_checkpoints.popitem(last=False)

    async def _unload(self, artifact: Artifact) -> OrderResult:
        item = self._loaded.get(artifact)
        if item is None:
            return OrderResult.DONE
        item.state = ReplicaState.UNLOADING
        while item.running:
            item.idle.clear()
            await item.idle.wait()
        item.residency.ended = time.monotonic()
        self._loaded.pop(artifact, None)
        return OrderResult.DONE
