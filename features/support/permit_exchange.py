"""Daemons that exchange statements and grants with one ledger, in virtual time."""

import random

from attrs import define, field

from loomwind.serving.permit_ledger import (
    RENEWAL_MS,
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
# How often the owner of a ledger looks for places that are free without a statement.
REVIEW_STEPS = 20


def statement_of(
    number: int,
    held: int,
    wanted: int = 0,
    noticed: int = 0,
    rejected: int = 0,
    slots: int = SLOTS,
    is_settled: bool = False,
    refused: int = 0,
    shown: int = 0,
    max_rejections: int = MAX_REJECTIONS,
) -> PermitStatement:
    """Return a statement about the server."""
    return PermitStatement(
        INSTANCE,
        number,
        held,
        wanted,
        noticed,
        rejected,
        slots,
        max_rejections,
        is_settled,
        refused,
        shown,
    )


@define
class PermitServer:
    """A server that rejects what it has no place for.

    :ivar capacity: requests that it takes at once; None for any number.
    :ivar shed_probability: how likely it rejects a request that it has a place for.
    """

    capacity: int | None = None
    shed_probability: float = 0.0
    rejected_ms: list[float] = field(factory=list)

    def takes(self, in_progress: int, draw: float, now_ms: float) -> bool:
        """Whether it takes one more request."""
        is_full = self.capacity is not None and in_progress >= self.capacity
        if is_full or draw < self.shed_probability:
            self.rejected_ms.append(now_ms)
            return False
        return True


@define
class _Daemon:
    """A daemon that uses every permit it gets, and ends requests now and then."""

    holder: PermitHolder
    held: int = 0
    wanted: int = 0
    noticed: int = 0
    rejected: int = 0
    stated: tuple[int, int, int] | None = None
    stated_ms: float = 0.0
    last_arrives_ms: float = 0.0

    @property
    def changes(self) -> tuple[int, int, int]:
        """Return what its statements say."""
        return self.held, self.wanted, self.noticed

    def is_due(self, now_ms: float) -> bool:
        """Whether it has something to state."""
        is_changed = self.rejected > 0 or self.stated != self.changes
        return is_changed or now_ms - self.stated_ms >= RENEWAL_MS


class PermitExchange:
    """Daemons, one ledger, and messages that are late, lost or overtake each other.

    :ivar most: the most requests that were in progress at once.
    :ivar mean_held: the mean number in the last run.
    """

    def __init__(
        self,
        seed: int,
        *,
        loss: float = 0.0,
        shown: int = 0,
        server: PermitServer | None = None,
        slots: int = SLOTS,
        max_rejections: int = MAX_REJECTIONS,
        end_probability: float = 0.1,
        max_delay_ms: float = 10 * STEP_MS,
        max_wanted: int | None = None,
        keeps_order: bool = False,
    ) -> None:
        """Prepare an exchange.

        :param loss: the share of messages that are lost.
        :param shown: how many requests the server has had at once, as the daemons state.
        :param end_probability: how likely each request ends in a step.
        :param max_wanted: the most requests that wait at a daemon; it then states changes only.
        :param keeps_order: whether the statements of a daemon arrive in their order.
        """
        self._source = random.Random(seed)
        self._loss = loss
        self._shown = shown
        self._server = server or PermitServer()
        self._slots = slots
        self._max_rejections = max_rejections
        self._end_probability = end_probability
        self._max_delay_ms = max_delay_ms
        self._max_wanted = max_wanted
        self._keeps_order = keeps_order
        self._ledger = PermitLedger()
        self._daemons = [_Daemon(PermitHolder(f"d{n}", "life")) for n in range(DAEMONS)]
        self._statements: list[tuple[float, _Daemon, PermitStatement]] = []
        self._grants: list[tuple[float, _Daemon, PermitGrant]] = []
        self._number = 0
        self._now_ms = 0.0
        self.most = 0
        self.mean_held = 0.0

    @property
    def limit(self) -> int | None:
        """Return the number of requests that the server may have."""
        return self._ledger.limit_of(INSTANCE)

    def run(self, steps: int) -> None:
        """Let some time pass."""
        total = 0
        for step in range(steps):
            if step % REVIEW_STEPS == 0 and self.limit is not None:
                self._grant()
            for daemon in self._daemons:
                self._act(daemon)
            self._deliver_statements()
            self._deliver_grants()
            self.most = max(self.most, self._held())
            total += self._held()
            self._now_ms += STEP_MS
        self.mean_held = total / steps

    def _held(self) -> int:
        return sum(daemon.held for daemon in self._daemons)

    def _act(self, daemon: _Daemon) -> None:
        daemon.held -= sum(
            self._source.random() < self._end_probability for _ in range(daemon.held)
        )
        if self._source.random() < 0.2 and daemon.wanted != self._max_wanted:
            daemon.wanted += 1
        if self._max_wanted is None or daemon.is_due(self._now_ms):
            self._state(daemon)

    def _state(self, daemon: _Daemon) -> None:
        self._number += 1
        daemon.stated = daemon.changes
        daemon.stated_ms = self._now_ms
        statement = statement_of(
            self._number,
            daemon.held,
            daemon.wanted,
            daemon.noticed,
            daemon.rejected,
            slots=self._slots,
            shown=self._shown,
            max_rejections=self._max_rejections,
        )
        daemon.rejected = 0
        if self._source.random() >= self._loss:
            arrives_ms = self._now_ms + self._delay_ms()
            if self._keeps_order:
                arrives_ms = max(arrives_ms, daemon.last_arrives_ms)
            daemon.last_arrives_ms = arrives_ms
            self._statements.append((arrives_ms, daemon, statement))

    def _deliver_statements(self) -> None:
        due = [each for each in self._statements if each[0] <= self._now_ms]
        self._statements = [each for each in self._statements if each[0] > self._now_ms]
        for _, daemon, statement in due:
            self._ledger.record(daemon.holder, statement, 1.0, self._now_ms)
            self._grant()

    def _grant(self) -> None:
        for holder, grant in self._ledger.grant(INSTANCE, DAEMONS, self._now_ms).items():
            receiver = next(each for each in self._daemons if each.holder == holder)
            if self._source.random() >= self._loss:
                self._grants.append((self._now_ms + self._delay_ms(), receiver, grant))

    def _deliver_grants(self) -> None:
        due = [each for each in self._grants if each[0] <= self._now_ms]
        self._grants = [each for each in self._grants if each[0] > self._now_ms]
        for _, daemon, grant in due:
            if grant.number <= daemon.noticed:
                continue
            daemon.noticed = grant.number
            for _ in range(min(grant.count, daemon.wanted)):
                self._send(daemon)

    def _send(self, daemon: _Daemon) -> None:
        if self._server.takes(self._held(), self._source.random(), self._now_ms):
            daemon.wanted -= 1
            daemon.held += 1
        else:
            daemon.rejected += 1

    def _delay_ms(self) -> float:
        return self._source.uniform(0.0, self._max_delay_ms)
