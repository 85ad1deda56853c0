"""Steps about a leader that stops, with stubs for the store and its peers; no processes.

Guards against a leader that removes its lease row while an order is still unanswered, or that
leads again because a renewal is answered after it stopped.
"""

import asyncio
from typing import Any, cast

from behave import given, then, when

from features.steps.server_list_steps import OWN, CountingStore, replicated_state
from loomwind.leadership.election import Election
from loomwind.leadership.lease import Lease
from loomwind.metrics import Metrics
from loomwind.placement.controller import PlacementController
from loomwind.serving.follower import StoreHealth
from loomwind.serving.peer_exchange import DemandInbox, PeerExchange
from loomwind.serving.pool import ServerPool
from loomwind.serving.ports import EngineControl, Store, Write
from loomwind.settings import BoundSettings

ANSWER_DELAY_TURNS = 20


class LeaseRowStore(CountingStore):
    """A store stub that records writes and removals of the lease row."""

    def __init__(self, events: list[str]) -> None:
        super().__init__()
        self._events = events

    async def write(self, table: str, write: Write, timeout_seconds: float | None = None) -> int:
        """Record a write or a removal of the row."""
        self._events.append("removed" if write.value is None else "written")
        return 7


class PeerExchangeStub:
    """A peer exchange stub with an empty inbox."""

    def __init__(self) -> None:
        self.inbox = DemandInbox()


@given("a leader with an outstanding order that is answered late")
def step_leader_with_order(context: Any) -> None:
    context.events = []


@when("it stops, and a pending lease renewal is answered after that")
def step_stops(context: Any) -> None:
    asyncio.run(_stop_leader(context))


async def _stop_leader(context: Any) -> None:
    store = cast(Store, LeaseRowStore(context.events))
    lease = Lease(OWN, 1.8, 0.45, 0.3)
    election = Election(store, "lease", OWN, lease, StoreHealth())
    now = asyncio.get_running_loop().time()
    lease.record_missing_row(0, now)
    lease.record_write(5, now)
    pool = ServerPool(BoundSettings())
    controller = PlacementController(
        "own",
        election,
        pool,
        replicated_state(),
        cast(EngineControl, None),
        cast(PeerExchange, PeerExchangeStub()),
        BoundSettings(),
        Metrics(),
    )
    assert election.is_leader()
    controller._spawn_order(_answer_late(context.events))
    assert election.release()
    lease.record_write(6, now)
    context.leads_after = election.is_leader()
    await controller.finish_orders()
    await election.hand_over()


async def _answer_late(events: list[str]) -> None:
    loop = asyncio.get_running_loop()
    for _ in range(ANSWER_DELAY_TURNS):
        turn = asyncio.Event()
        loop.call_soon(turn.set)
        await turn.wait()
    events.append("answered")


@then("it does not lead, and removes its row after the order was answered")
def step_handed_over(context: Any) -> None:
    assert not context.leads_after
    assert context.events == ["answered", "removed"], context.events
