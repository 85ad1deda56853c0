"""Steps about leases whose holder and the other daemons have different settings."""

from typing import Any

from behave import given, then, when
from msgspec.structs import replace

from loomwind.clock import MS_PER_SECOND
from loomwind.leadership.lease import Lease, LeaseAction, LeaseHolder

OWN = LeaseHolder("daemon-1", "life-1", "a:1")
OTHER = LeaseHolder("daemon-2", "life-2", "a:2")
MARGIN_SECONDS = 0.1
NOW = 100.0
ADDRESSES = {"its address": OWN.address, "another one": "a:9"}


@given("a daemon with leases of {seconds:g} s")
def step_daemon(context: Any, seconds: float) -> None:
    context.lease = Lease(OWN, seconds, 0.01, MARGIN_SECONDS)


def _see(context: Any, holder: LeaseHolder) -> None:
    context.lease.record_row(1, holder, NOW)


@when("it sees the row of a holder with leases of {seconds:g} s")
def step_row(context: Any, seconds: float) -> None:
    _see(context, replace(OTHER, duration_ms=seconds * MS_PER_SECOND))


@when("it sees the row of a holder that does not say its duration")
def step_row_without_duration(context: Any) -> None:
    _see(context, OTHER)


@when("it sees the row of a process of its own name at {address}")
def step_row_of_own_name(context: Any, address: str) -> None:
    _see(context, LeaseHolder(OWN.name, "life-0", ADDRESSES[address], 1.0 * MS_PER_SECOND))


def _action(context: Any, now: float) -> LeaseAction:
    lease: Lease = context.lease
    return lease.action(now, store_available_seconds=NOW)


@then("it takes the lease {seconds:g} s later")
def step_takes(context: Any, seconds: float) -> None:
    assert _action(context, NOW + seconds) is LeaseAction.ACQUIRE


@then("it does not take the lease {seconds:g} s later")
def step_waits(context: Any, seconds: float) -> None:
    assert _action(context, NOW + seconds) is LeaseAction.WAIT


@then("it takes the lease at once")
def step_takes_at_once(context: Any) -> None:
    step_takes(context, 0.0)


@then("it does not take the lease at once")
def step_waits_at_once(context: Any) -> None:
    step_waits(context, 0.0)


@when("it acquires the lease, its leases are set to {seconds:g} s, and it renews the lease")
def step_renew(context: Any, seconds: float) -> None:
    lease: Lease = context.lease
    lease.record_missing_row(0, NOW)
    lease.record_write(1, NOW)
    lease.set_duration(seconds)
    lease.record_write(2, NOW)


@when(
    "its write has no response, its leases are set to {seconds:g} s, and the row shows that write"
)
def step_lost_response(context: Any, seconds: float) -> None:
    lease: Lease = context.lease
    lease.record_missing_row(0, NOW)
    written = lease.row()
    lease.set_duration(seconds)
    lease.record_write(1, NOW, written)


@then("its row says {seconds:g} s")
def step_own_row(context: Any, seconds: float) -> None:
    assert context.lease.row().duration_ms == seconds * MS_PER_SECOND


@then("it does not lead {seconds:g} s later")
def step_not_leading(context: Any, seconds: float) -> None:
    assert context.lease.is_leader(NOW)
    assert not context.lease.is_leader(NOW + seconds)


# Holders by turns.


@given("a daemon with leases of {seconds:g} s that leaves the lease to others for {wait:g} s")
def step_daemon_that_waits(context: Any, seconds: float, wait: float) -> None:
    context.lease = Lease(OWN, seconds, 0.01, MARGIN_SECONDS, wait)


def _lead(lease: Lease) -> None:
    lease.record_missing_row(0, NOW)
    lease.record_write(1, NOW)
    assert lease.is_leader(NOW)


def _be_replaced(lease: Lease) -> None:
    lease.record_row(2, OTHER, NOW)
    lease.record_row(3, None, NOW)


@when("it has led, another daemon takes the lease, and that one releases it")
def step_replaced(context: Any) -> None:
    _lead(context.lease)
    _be_replaced(context.lease)


@when("it has led and stepped down, another daemon takes the lease, and releases it")
def step_stepped_down_and_replaced(context: Any) -> None:
    _lead(context.lease)
    context.lease.release()
    _be_replaced(context.lease)


@when("it starts while another daemon holds the lease, and that one releases it")
def step_started(context: Any) -> None:
    _be_replaced(context.lease)


@when("it has led and stepped down")
def step_stepped_down(context: Any) -> None:
    _lead(context.lease)
    context.lease.release()
    context.lease.record_row(2, None, NOW)


@when("it starts and there is no row")
def step_no_row(context: Any) -> None:
    context.lease.record_missing_row(0, NOW)


@when("it starts and its earlier process holds the lease")
def step_own_row_of_earlier_process(context: Any) -> None:
    context.lease.record_row(1, replace(OWN, incarnation="life-0"), NOW)
