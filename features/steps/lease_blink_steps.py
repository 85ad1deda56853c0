"""Steps about what a leader knows after its lease has ended for a moment; time is virtual."""

import asyncio
from collections.abc import Callable
from typing import Any, cast

from behave import given, then, when

from features.steps.control_exchange_steps import RecordingExchange
from features.steps.planner_steps import FENCE, SERVICE, profile, report
from features.steps.replaced_server_steps import ConfiguredState
from features.support.virtual_time import VirtualTimeLoop
from loomwind.leadership.election import Election
from loomwind.leadership.lease import Lease, LeaseHolder
from loomwind.messages.serving import PoolDemand
from loomwind.metrics import Metrics
from loomwind.placement.controller import PlacementController
from loomwind.placement.server_tracker import ServerTracker
from loomwind.serving.demand import TargetDemand
from loomwind.serving.follower import StoreHealth
from loomwind.serving.peer_exchange import PeerExchange
from loomwind.serving.pool import ServerPool
from loomwind.serving.ports import EngineControl, Store
from loomwind.serving.replicated_state import ReplicatedState
from loomwind.serving.views import (
    ModelKey,
    Order,
    OrderAnswer,
    OrderKind,
    ServerEntry,
    ServerState,
)
from loomwind.settings import BoundSettings

OWN = LeaseHolder("own", "life-1", "a:1")
OTHER = LeaseHolder("other", "life-2", "a:2")
LEASE_SECONDS = 1.8
GAP_SECONDS = 2.0


class BlinkingLeader:
    """A controller whose lease is changed by hand."""

    def __init__(self) -> None:
        self.metrics = Metrics()
        self.lease = Lease(OWN, LEASE_SECONDS, 0.45, 0.3)
        election = Election(cast(Store, None), "lease", OWN, self.lease, StoreHealth())
        self.controller = PlacementController(
            OWN.name,
            election,
            ServerPool(BoundSettings()),
            cast(ReplicatedState, ConfiguredState()),
            cast(EngineControl, None),
            cast(PeerExchange, RecordingExchange()),
            BoundSettings(),
            self.metrics,
        )

    async def lead(self) -> None:
        """Acquire the lease, and learn of demand and of a load."""
        now = asyncio.get_running_loop().time()
        self.lease.record_missing_row(1, now)
        self.lease.record_write(2, now)
        assert self.controller._update_leadership()
        entry = ServerEntry("one", SERVICE, "a:1", "zone-a", 8, ServerState.READY)
        tracker = ServerTracker(entry, profile(100))
        tracker.record_report(report([], set()), now)
        order = Order(OrderKind.LOAD, ModelKey("a"), "one", OWN.name, FENCE, 0)
        tracker.record_answer(order, OrderAnswer.ACCEPTED, now)
        self.controller._trackers["one"] = tracker
        waiting = TargetDemand(SERVICE, ModelKey("a"), 1, 1.0, 1, 8.0)
        self.controller._demand.add_report(PoolDemand("daemon", (waiting,), ()), now)

    async def change(self, change: Callable[["BlinkingLeader", float], None], seen: bool) -> None:
        """Let the lease end, and change it.

        :param seen: whether the controller makes a step before the change.
        """
        await asyncio.sleep(GAP_SECONDS)
        if seen:
            assert not self.controller._update_leadership()
        change(self, asyncio.get_running_loop().time())
        assert self.controller._update_leadership()


def _renew(leader: BlinkingLeader, now: float) -> None:
    leader.lease.record_write(leader.lease.version + 1, now)


def _find_renewed(leader: BlinkingLeader, now: float) -> None:
    leader.lease.record_write(leader.lease.version + 1, now, OWN)


def _lead_after_other(leader: BlinkingLeader, now: float) -> None:
    leader.lease.record_row(leader.lease.version + 1, OTHER, now)
    leader.lease.record_row(leader.lease.version + 1, None, now)
    leader.lease.record_write(leader.lease.version + 1, now)


CHANGES = {
    "it is renewed": _renew,
    "it is renewed by a write whose response was lost": _find_renewed,
    "another daemon takes it and releases it": _lead_after_other,
}
UNSEEN = " before the next step"


@given("a leader that knows the demand of a daemon and a load that it has ordered")
def step_leader(context: Any) -> None:
    runner = asyncio.Runner(loop_factory=VirtualTimeLoop)
    context.add_cleanup(runner.close)
    context.runner, context.leader = runner, BlinkingLeader()
    runner.run(context.leader.lead())


@when("its lease ends, and {event}")
def step_event(context: Any, event: str) -> None:
    change = CHANGES[event.removesuffix(UNSEEN)]
    context.seen = not event.endswith(UNSEEN)
    context.runner.run(context.leader.change(change, context.seen))


@then("the leader has kept them, and reads the server again")
def step_known(context: Any) -> None:
    controller: PlacementController = context.leader.controller
    assert controller._trackers["one"].loading == "a", controller._trackers
    assert controller._trackers["one"].recheck_due == context.seen
    assert controller._demand.has_seen_requests


@then("the leader has discarded them")
def step_forgotten(context: Any) -> None:
    controller: PlacementController = context.leader.controller
    assert not controller._trackers and not controller._demand.has_seen_requests


@then("the leader has been elected {count:d} times")
def step_elected(context: Any, count: int) -> None:
    (family,) = context.leader.metrics.elections.collect()
    totals = [sample.value for sample in family.samples if sample.name.endswith("_total")]
    assert totals == [float(count)], totals
