"""Steps for the ledger of permits."""

import random
from typing import Any

from attrs import define, field
from behave import given, then, when
from hypothesis import given as draw
from hypothesis import settings
from hypothesis import strategies as st

from loomwind.serving.permit_ledger import (
    PermitGrant,
    PermitHolder,
    PermitLedger,
    PermitStatement,
)

INSTANCE = "i-1"
DAEMONS = 4
SLOTS = 5
MAX_REJECTIONS = 2
STEP_MS = 5.0


def _statement(
    number: int,
    held: int,
    wanted: int = 0,
    noticed: int = 0,
    rejected: int = 0,
    slots: int = SLOTS,
    is_settled: bool = False,
) -> PermitStatement:
    return PermitStatement(
        INSTANCE, number, held, wanted, noticed, rejected, slots, MAX_REJECTIONS, is_settled
    )


@define
class LedgerRig:
    """A ledger and what its daemons have stated."""

    slots: int
    is_taken_over: bool
    ledger: PermitLedger = field(factory=PermitLedger)
    now_ms: float = 0.0
    number: int = 0
    granted: dict[str, int] = field(factory=dict)
    last_number: int = 0

    def state(
        self, daemon: str, held: int, wanted: int = 0, rejected: int = 0, noticed: int = 0
    ) -> None:
        """Record a statement, and what is granted after it."""
        self.number += 1
        statement = _statement(
            self.number,
            held,
            wanted,
            noticed,
            rejected,
            slots=self.slots,
            is_settled=self.is_taken_over,
        )
        self.ledger.record(PermitHolder(daemon, "life"), statement, 1.0, self.now_ms)
        self.grant()

    def grant(self) -> None:
        """Grant what is free."""
        for holder, grant in self.ledger.grant(INSTANCE, DAEMONS, self.now_ms).items():
            self.last_number = grant.number
            self.granted[holder.address] = self.granted.get(holder.address, 0) + grant.count


@given("a ledger for a server of {slots:d} slots")
def step_ledger(context: Any, slots: int) -> None:
    context.rig = LedgerRig(slots, is_taken_over=False)


@given("a ledger for a server of {slots:d} slots, taken over")
def step_taken_over(context: Any, slots: int) -> None:
    context.rig = LedgerRig(slots, is_taken_over=True)


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


@define
class _Daemon:
    """A daemon that uses every permit it gets, and ends requests now and then."""

    holder: PermitHolder
    held: int = 0
    wanted: int = 0
    noticed: int = 0


class _Exchange:
    """Daemons, one ledger, and messages that are late, lost or overtake each other."""

    def __init__(self, seed: int, loss: float) -> None:
        self._source = random.Random(seed)
        self._loss = loss
        self._ledger = PermitLedger()
        self._daemons = [_Daemon(PermitHolder(f"d{n}", "life")) for n in range(DAEMONS)]
        self._statements: list[tuple[float, _Daemon, PermitStatement]] = []
        self._grants: list[tuple[float, _Daemon, PermitGrant]] = []
        self._number = 0
        self.most = 0

    def run(self, steps: int) -> None:
        """Let some time pass."""
        for step in range(steps):
            now_ms = step * STEP_MS
            for daemon in self._daemons:
                self._act(daemon, now_ms)
            self._deliver_statements(now_ms)
            self._deliver_grants(now_ms)
            self.most = max(self.most, sum(daemon.held for daemon in self._daemons))

    def _act(self, daemon: _Daemon, now_ms: float) -> None:
        if daemon.held and self._source.random() < 0.1:
            daemon.held -= 1
        if self._source.random() < 0.2:
            daemon.wanted += 1
        self._number += 1
        statement = _statement(self._number, daemon.held, daemon.wanted, daemon.noticed)
        if self._source.random() >= self._loss:
            self._statements.append((now_ms + self._delay_ms(), daemon, statement))

    def _deliver_statements(self, now_ms: float) -> None:
        due = [each for each in self._statements if each[0] <= now_ms]
        self._statements = [each for each in self._statements if each[0] > now_ms]
        for _, daemon, statement in due:
            self._ledger.record(daemon.holder, statement, 1.0, now_ms)
            for holder, grant in self._ledger.grant(INSTANCE, DAEMONS, now_ms).items():
                receiver = next(each for each in self._daemons if each.holder == holder)
                if self._source.random() >= self._loss:
                    self._grants.append((now_ms + self._delay_ms(), receiver, grant))

    def _deliver_grants(self, now_ms: float) -> None:
        due = [each for each in self._grants if each[0] <= now_ms]
        self._grants = [each for each in self._grants if each[0] > now_ms]
        for _, daemon, grant in due:
            if grant.number <= daemon.noticed:
                continue
            used = min(grant.count, daemon.wanted)
            daemon.held += used
            daemon.wanted -= used
            daemon.noticed = grant.number

    def _delay_ms(self) -> float:
        return self._source.uniform(0.0, 10 * STEP_MS)


@then("in any exchange of statements and grants the requests stay within the server's places")
def step_any_exchange(context: Any) -> None:
    @settings(derandomize=True, database=None, max_examples=60, deadline=None)
    @draw(st.integers(0, 10_000), st.sampled_from([0.0, 0.1, 0.5]))
    def check(seed: int, loss: float) -> None:
        exchange = _Exchange(seed, loss)
        exchange.run(400)
        assert exchange.most <= SLOTS, exchange.most

    check()
