"""Steps for the ledger of permits."""

import asyncio
from collections.abc import Iterable
from typing import Any, cast

from attrs import define, field
from behave import given, then, when
from hypothesis import given as draw
from hypothesis import settings
from hypothesis import strategies as st

from features.support.overload import most_in_window
from features.support.permit_exchange import (
    DAEMONS,
    INSTANCE,
    SLOTS,
    STEP_MS,
    PermitExchange,
    PermitServer,
    statement_of,
)
from loomwind.clock import MS_PER_SECOND, Clock
from loomwind.metrics import Metrics
from loomwind.serving.admission import REPORT_DELAY_MS, Admission
from loomwind.serving.permit_ledger import PermitHolder, PermitLedger, PermitStatement
from loomwind.serving.permit_owners import PermitOwners
from loomwind.serving.pool import ServerPool
from loomwind.serving.residency import ServerHolding
from loomwind.serving.views import HeldModel, ModelKey, ServerEntry, ServerState
from loomwind.settings import BoundSettings

HOLD_MS = 400.0
LAN_DELAY_MS = 20.0
LEARNING_STEPS = 1200
MAX_WANTED = 8
# Apart from pauses after rejections, and the time that messages take.
MIN_USED = 0.7
SHEDDING_MAX_REJECTIONS = 10


@define
class LedgerRig:
    """A ledger and what its daemons have stated.

    :ivar shown: how many requests the server has had at once, as the daemons state.
    """

    slots: int
    is_taken_over: bool
    shown: int
    is_substitute: bool = False
    ledger: PermitLedger = field(factory=PermitLedger)
    now_ms: float = 0.0
    number: int = 0
    granted: dict[str, int] = field(factory=dict)
    last_number: int = 0

    def state(
        self,
        daemon: str,
        held: int,
        wanted: int = 0,
        rejected: int = 0,
        noticed: int = 0,
        refused: int = 0,
    ) -> None:
        """Record a statement, and what is granted after it."""
        self.number += 1
        statement = statement_of(
            self.number,
            held,
            wanted,
            noticed,
            rejected,
            slots=self.slots,
            is_settled=self.is_taken_over,
            refused=refused,
            shown=self.shown,
        )
        holder = PermitHolder(daemon, "life")
        self.ledger.record(holder, statement, 1.0, self.now_ms, self.is_substitute)
        self.grant()

    def grant(self) -> None:
        """Grant what is free."""
        for holder, grant in self.ledger.grant(INSTANCE, DAEMONS, self.now_ms).items():
            self.last_number = grant.number
            self.granted[holder.address] = self.granted.get(holder.address, 0) + grant.count


@given("a ledger for a server of {slots:d} slots")
def step_ledger(context: Any, slots: int) -> None:
    context.rig = LedgerRig(slots, is_taken_over=False, shown=slots)


@given("a ledger for a new server of {slots:d} slots")
def step_new_server(context: Any, slots: int) -> None:
    context.rig = LedgerRig(slots, is_taken_over=False, shown=0)


@given("a ledger for a server of {slots:d} slots, taken over")
def step_taken_over(context: Any, slots: int) -> None:
    context.rig = LedgerRig(slots, is_taken_over=True, shown=slots)


@given("a ledger for a server of {slots:d} slots, kept for a daemon that is silent")
def step_substitute(context: Any, slots: int) -> None:
    context.rig = LedgerRig(slots, is_taken_over=True, shown=slots, is_substitute=True)


@when("daemon {name:w} states {held:d} requests and daemon {other:w} wants {wanted:d} more")
def step_state_both(context: Any, name: str, held: int, other: str, wanted: int) -> None:
    context.rig.state(name, held)
    context.rig.state(other, 0, wanted)


@when("daemon {name:w} states {held:d} requests")
def step_state(context: Any, name: str, held: int) -> None:
    context.rig.state(name, held)


@when("daemon {name:w} states {held:d} requests and {rejected:d} rejections")
def step_rejections(context: Any, name: str, held: int, rejected: int) -> None:
    context.rig.state(name, held, rejected=rejected)


@when("daemon {name:w} states {held:d} requests and {refused:d} for a model that is moved")
def step_refused(context: Any, name: str, held: int, refused: int) -> None:
    context.rig.state(name, held, refused=refused)


@when("daemon {name:w} wants {wanted:d} more")
def step_want(context: Any, name: str, wanted: int) -> None:
    context.rig.state(name, 0, wanted)


@when("daemon {name:w} has noticed {noticed:d} grants and wants {wanted:d} more")
def step_noticed(context: Any, name: str, noticed: int, wanted: int) -> None:
    context.rig.state(name, 0, wanted, noticed=noticed)


@when("the server has {slots:d} slots")
def step_slots(context: Any, slots: int) -> None:
    context.rig.slots = slots


@then("the last grant has a number above {number:d}")
def step_number(context: Any, number: int) -> None:
    assert context.rig.last_number > number, context.rig.last_number


@when("{duration:d} ms pass")
def step_pass(context: Any, duration: int) -> None:
    context.rig.now_ms += duration


@then("daemon {name:w} is granted {count:d}")
def step_granted(context: Any, name: str, count: int) -> None:
    context.rig.grant()
    granted = context.rig.granted.pop(name, 0)
    assert granted == count, granted


@then("the limit is {limit:d}")
def step_limit(context: Any, limit: int) -> None:
    assert context.rig.ledger.limit_of(INSTANCE) == limit, context.rig.ledger.limit_of(INSTANCE)


@then("in any exchange of statements and grants the requests stay within the server's places")
def step_any_exchange(context: Any) -> None:
    @settings(derandomize=True, database=None, max_examples=60, deadline=None)
    @draw(st.integers(0, 10_000), st.sampled_from([0.0, 0.1, 0.5]))
    def check(seed: int, loss: float) -> None:
        exchange = PermitExchange(seed, loss=loss, shown=SLOTS)
        exchange.run(400)
        assert exchange.most <= SLOTS, exchange.most

    check()


@then("a server that takes any part of its {slots:d} slots never rejects too many, and gets them")
def step_any_capacity(context: Any, slots: int) -> None:
    @settings(derandomize=True, database=None, max_examples=24, deadline=None)
    @draw(st.integers(0, 10_000), st.integers(1, slots), st.sampled_from([1, 2, 5, 10]))
    def check(seed: int, capacity: int, max_rejections: int) -> None:
        server = PermitServer(capacity)
        exchange = _slow_exchange(seed, server, slots, max_rejections)
        exchange.run(LEARNING_STEPS)
        most = most_in_window([at_ms / MS_PER_SECOND for at_ms in server.rejected_ms])
        assert most <= max_rejections, (most, max_rejections, capacity, seed)
        begun = exchange.mean_held
        exchange.run(LEARNING_STEPS)
        assert exchange.mean_held >= MIN_USED * capacity, (begun, exchange.mean_held, capacity)

    check()


def _slow_exchange(
    seed: int, server: PermitServer, slots: int, max_rejections: int
) -> PermitExchange:
    """Return an exchange with more requests than fit, over connections that lose nothing."""
    return PermitExchange(
        seed,
        server=server,
        slots=slots,
        max_rejections=max_rejections,
        end_probability=STEP_MS / HOLD_MS,
        max_delay_ms=LAN_DELAY_MS,
        max_wanted=MAX_WANTED,
        keeps_order=True,
    )


@when("a server with {capacity:d} places rejects {percent:d} percent at random for {seconds:d} s")
def step_shed(context: Any, capacity: int, percent: int, seconds: int) -> None:
    context.server = PermitServer(capacity, percent / 100)
    context.exchange = _slow_exchange(1, context.server, capacity, SHEDDING_MAX_REJECTIONS)
    context.exchange.run(int(seconds * MS_PER_SECOND / STEP_MS))


@then("it had {share:f} of its places in use on average")
def step_used(context: Any, share: float) -> None:
    used = context.exchange.mean_held / context.server.capacity
    assert used >= share, used


@when("it rejects no more, {seconds:d} s pass")
def step_recover(context: Any, seconds: int) -> None:
    context.server.shed_probability = 0.0
    context.exchange.run(int(seconds * MS_PER_SECOND / STEP_MS))


@then("its limit is {limit:d}")
def step_exchange_limit(context: Any, limit: int) -> None:
    assert context.exchange.limit == limit, context.exchange.limit


class _RecordingOwners:
    """Takes the place of the daemons that keep ledgers."""

    def __init__(self) -> None:
        self.statements: list[PermitStatement] = []

    def report(self, statements: Iterable[PermitStatement]) -> None:
        """Keep the statements."""
        self.statements += statements


@given("a server that holds {held} and is loading {loading}")
def step_loading_server(context: Any, held: str, loading: str) -> None:
    context.held = (HeldModel(held),)
    context.loading = "" if loading == "nothing" else loading


@when("it rejects a request for {target}")
def step_reject_target(context: Any, target: str) -> None:
    context.statements = asyncio.run(_reject(context.held, context.loading, ModelKey(target)))


async def _reject(
    held: tuple[HeldModel, ...], loading: str, target: ModelKey
) -> list[PermitStatement]:
    """Return what a daemon states after a server rejected a request."""
    entry = ServerEntry(INSTANCE, "tutor", "127.0.0.1:9", "zone-a", 8, ServerState.READY, held=held)
    pool, owners = ServerPool(BoundSettings()), _RecordingOwners()
    pool.directory.put(entry)
    pool.update_holdings((ServerHolding(INSTANCE, 1, held, loading),))
    pool.rejection_limits.observe(entry, 2, Clock().now_ms())
    admission = Admission(pool, cast(PermitOwners, owners), Metrics(), Clock())
    admission.record_rejection(entry, target)
    await asyncio.sleep(2 * REPORT_DELAY_MS / MS_PER_SECOND)
    return owners.statements


@then("the daemon states {rejected:d} rejections and {refused:d} for a model that is moved")
def step_stated(context: Any, rejected: int, refused: int) -> None:
    (statement,) = context.statements
    assert (statement.rejected, statement.refused) == (rejected, refused), statement
