"""Bytes of each kind of state: as a message, and in a process's memory.

Memory is measured by making many items and reading the allocator's trace before and after.
"""

import tracemalloc
from collections.abc import Callable

import msgspec
from msgspec import Struct

from loomwind.catalog.changes import ObjectKey, ObjectKind
from loomwind.catalog.model import Entry, SnapshotEntry
from loomwind.control.claims import ClaimStore
from loomwind.control.engine_tracker import EngineRecord
from loomwind.control.keep_alive import GapHistogram
from loomwind.engines.protocol import Fence, Inventory
from loomwind.messages import (
    Ballot,
    Claim,
    ClaimRecord,
    EngineRoute,
    Intent,
    MemberInfo,
    VoterId,
)
from loomwind.schema import Adapter, Artifact, Model, Version

ITEMS = 2000


class StateSize(Struct, frozen=True):
    """Bytes of one item of a kind of state; ``message_bytes`` is 0 for what is never sent."""

    state: str
    message_bytes: float
    memory_bytes: float


def _identity(number: int) -> VoterId:
    return VoterId(f"daemon-{number:04}", f"{number:016x}")


def _intent(number: int) -> Intent:
    artifact = Artifact(f"model-{number:04}", "v1")
    return Intent(f"engine-{number:04}", f"{number:012x}", artifact, 8000)


def _claim(number: int) -> ClaimRecord:
    return ClaimRecord(f"school/{number:036x}", _identity(1), number, 1.0)


def _entry(number: int) -> SnapshotEntry:
    name = f"adapter-{number:04}"
    adapter = Adapter(name=name, group="school", model="model-0001", version="v1")
    return SnapshotEntry(
        ObjectKey(ObjectKind.ADAPTER, name), Entry(version=number, adapter=adapter)
    )


def _model(number: int) -> SnapshotEntry:
    name = f"model-{number:04}"
    version = Version(name="v1", memory_mib=8000)
    model = Model(name=name, group="school", versions=(version,), current="v1")
    return SnapshotEntry(ObjectKey(ObjectKind.MODEL, name), Entry(version=number, model=model))


def _route(number: int) -> EngineRoute:
    artifacts = (Artifact(f"model-{number:04}", "v1"),)
    return EngineRoute(f"engine-{number:04}", "10.0.0.1:8000", "zone-a", 8, artifacts)


def _member(number: int) -> MemberInfo:
    return MemberInfo(_identity(number), "cell", "zone-a", "10.0.0.1:7070")


def _record(number: int) -> EngineRecord:
    fence = Fence(1, Ballot(1, _identity(1)), number)
    inventory = Inventory(f"{number:012x}", fence, 80_000, 8, False)
    return EngineRecord(f"engine-{number:04}", "10.0.0.1:8000", "zone-a", inventory=inventory)


def _memory(make: Callable[[int], object]) -> float:
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = [make(number) for number in range(ITEMS)]
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / len(kept)


def _claims_memory() -> float:
    store = ClaimStore(_identity(1), 900.0)
    store.start_generation(1, 0.0)

    def grant(number: int) -> None:
        store.on_claim(Claim("cell", 1, 0, f"school/{number:036x}", _identity(1), number), 0.0)

    return _memory(grant)


def run() -> None:
    """Print a line of JSON for each kind of state."""
    kinds: dict[str, Callable[[int], object]] = {
        "intent": _intent,
        "claim": _claim,
        "adapter in the catalog": _entry,
        "model in the catalog": _model,
        "route of an engine": _route,
        "member": _member,
        "record of an engine": _record,
    }
    for name, make in kinds.items():
        sent = sum(len(msgspec.msgpack.encode(make(n))) for n in range(100)) / 100
        memory = _claims_memory() if name == "claim" else _memory(make)
        print(msgspec.json.encode(StateSize(name, sent, memory)).decode(), flush=True)
    gaps = StateSize("gaps of an artifact", 0.0, _memory(lambda number: GapHistogram()))
    print(msgspec.json.encode(gaps).decode(), flush=True)
