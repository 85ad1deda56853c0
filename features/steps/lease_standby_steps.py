"""Steps about which daemons of a fleet try to take the lease; no real time passes."""

from typing import Any, cast

import msgspec
from behave import given, then, when

from loomwind import constants
from loomwind.leadership.election import Election
from loomwind.leadership.lease import Lease, LeaseAction, LeaseHolder
from loomwind.serving.follower import StoreHealth
from loomwind.serving.leader_watch import QUESTION_JITTER, QUESTION_TIMEOUT_SECONDS
from loomwind.serving.peers import PEER_KEY_PREFIX, PeerEntry, PeerTable
from loomwind.serving.pool import ServerPool
from loomwind.serving.ports import Snapshot, Store, StoredRow
from loomwind.settings import BoundSettings

LEASE_SECONDS = 1.8
RENEW_SECONDS = 0.45
MARGIN_SECONDS = 0.3
STORE_ANSWERS_SECONDS = 100.0
START_SECONDS = 1000.0
HOLDER = LeaseHolder("holder", "life-holder", "a:0")


class FleetDaemon:
    """One daemon's view of the fleet and of the lease."""

    def __init__(self, name: str, rows: tuple[StoredRow, ...] | None) -> None:
        """Initialize a daemon.

        :param rows: the rows of all daemons; None if it has not read them.
        """
        own = LeaseHolder(name, f"life-{name}", "a:1")
        self.lease = Lease(own, LEASE_SECONDS, RENEW_SECONDS, MARGIN_SECONDS)
        store = cast(Store, None)
        self.election = Election(store, "lease", own, self.lease, StoreHealth())
        pool = ServerPool(BoundSettings())
        self.peers = PeerTable(own, self.election, pool)
        if rows is not None:
            self.peers.on_rows(Snapshot(rows, 1), is_full=True)

    @property
    def is_standby(self) -> bool:
        """Whether the leader notifies this daemon of each renewal."""
        return self.election.extra_wait_seconds == 0.0

    @property
    def max_contact_interval_seconds(self) -> float:
        """Return the longest time between two messages from a leader that answers."""
        pause = self.peers.scale_interval(constants.LEADER_CHECK_INTERVAL_SECONDS) * (
            1 + QUESTION_JITTER
        )
        return pause + QUESTION_TIMEOUT_SECONDS

    def action_after(self, seconds: float) -> LeaseAction:
        """Return the daemon's lease action at a time after the start of the scenario."""
        now = START_SECONDS + seconds
        return self.lease.action(now, STORE_ANSWERS_SECONDS, self.election.extra_wait_seconds)


@given("a fleet of {count:d} daemons")
def step_fleet(context: Any, count: int) -> None:
    names = [f"front-{number}" for number in range(count)]
    entries = {name: PeerEntry("a:1", "z", f"life-{name}") for name in names}
    rows = tuple(
        StoredRow(PEER_KEY_PREFIX + name, 1, msgspec.json.encode(entry), False)
        for name, entry in entries.items()
    )
    context.fleet = [FleetDaemon(name, rows) for name in names]


@given("a daemon that has not read the list of daemons")
def step_alone(context: Any) -> None:
    context.fleet = [FleetDaemon("front-0", None)]


@when("the leader renews its lease, and each other daemon learns of it only by asking the leader")
@when("neither the leader nor a standby renews the lease any more")
def step_heard(context: Any) -> None:
    for daemon in context.fleet:
        daemon.lease.record_row(5, HOLDER, START_SECONDS)


@when("the lease is vacant")
def step_vacant(context: Any) -> None:
    context.fleet[0].lease.record_missing_row(1, START_SECONDS)


@then("only standbys may try to take the lease")
def step_only_standbys(context: Any) -> None:
    others = [d for d in context.fleet if not d.is_standby]
    assert others
    takers = [
        d for d in others if d.action_after(d.max_contact_interval_seconds) is not LeaseAction.WAIT
    ]
    assert not takers, f"{len(takers)} of {len(others)} try to take a renewed lease"


@then("each daemon may take it after the time in which it would have learned of a renewal")
def step_takes(context: Any) -> None:
    for daemon in context.fleet:
        late = daemon.max_contact_interval_seconds + LEASE_SECONDS
        assert daemon.action_after(late) is LeaseAction.ACQUIRE


@then(
    "the daemons read the list at most {most:d} times per second in total while the fleet changes"
)
def step_reads(context: Any, most: int) -> None:
    reads = sum(1 / daemon.peers.poll_interval_seconds() for daemon in context.fleet)
    assert reads <= most, reads


@then(
    "each kind of reader retries at most {most:d} times per second while the store is unavailable"
)
def step_retries(context: Any, most: int) -> None:
    retries = sum(1 / daemon.peers.max_retry_seconds() for daemon in context.fleet)
    assert retries <= most, retries


@then("standbys read the list at least every 0.5 s")
def step_standby_reads(context: Any) -> None:
    intervals = [
        daemon.peers.poll_interval_seconds() for daemon in context.fleet if daemon.is_standby
    ]
    assert intervals and max(intervals) <= 0.5, intervals


@then("it waits before it takes the lease")
def step_waits(context: Any) -> None:
    daemon = context.fleet[0]
    assert daemon.action_after(0.0) is LeaseAction.WAIT
    assert (
        daemon.action_after(daemon.max_contact_interval_seconds + LEASE_SECONDS)
        is LeaseAction.ACQUIRE
    )
