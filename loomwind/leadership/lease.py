"""The lease state machine. It does no I/O; the caller passes in the time.

The lease is a row in the store. Its holder renews it by conditional writes, which fail if the row
changed since the holder's last write. A daemon that sees the row unchanged for the lease duration
may acquire the lease. The fencing token is the store's version at the acquisition, so each leader
has a higher one than its predecessors. A holder acts as the leader only while the lease is valid by
its own monotonic clock, measured from just before it sent its last successful write.

The row has the duration that its holder counts with, which is that of the settings when it acquired
the lease. Others wait at least as long, whatever their settings are.

A holder whose process is known to have ended does not block the lease until it expires. This is
known when a new process of the same daemon runs at the same address, or another process answers at
the holder's address: the earlier one has let go of its port. A refused connection does not show it:
partitions refuse connections as well.
"""

import enum
import math

import msgspec
from msgspec import Struct
from msgspec.structs import replace

from loomwind.clock import MS_PER_SECOND


class LeaseHolder(Struct, frozen=True):
    """The daemon that holds the lease; stored as JSON in the lease row.

    :param name: the daemon's name, under which it sends orders to servers.
    :param incarnation: the ID of the daemon process; stored as ``life``.
    :param address: the daemon's peer address, ``host:port``.
    :param duration_ms: how long its lease lasts without a renewal; 0 if the row does not say so.
    """

    name: str
    incarnation: str = msgspec.field(name="life")
    address: str
    duration_ms: float = 0.0


class LeaseAction(enum.Enum):
    """What a daemon should do about the lease."""

    WAIT = enum.auto()
    ACQUIRE = enum.auto()
    RENEW = enum.auto()


class Lease:
    """One daemon's view of the lease.

    :ivar holder: the last known holder; None if the lease is free or its state is unknown.
    :ivar fence: the fencing token of this daemon; None while it does not hold the lease.
    """

    def __init__(
        self,
        own: LeaseHolder,
        duration_seconds: float,
        renew_interval_seconds: float,
        margin_seconds: float,
        return_seconds: float = 0.0,
    ) -> None:
        """Initialize a lease of unknown state.

        :param duration_seconds: how long other daemons wait for a renewal before they acquire it.
        :param renew_interval_seconds: the time between renewals.
        :param margin_seconds: how long before the lease expires the holder stops acting as leader.
        :param return_seconds: how long a daemon that has led leaves the lease to others once one of
            them has held it, so that servers do not get orders of two daemons by turns.
        """
        self._own = own
        self._duration_seconds = duration_seconds
        self._term_duration_seconds = duration_seconds
        self._renew_interval_seconds = renew_interval_seconds
        self._margin_seconds = margin_seconds
        self._return_seconds = return_seconds
        self._led_until = -math.inf
        self._was_taken = False
        self.holder: LeaseHolder | None = None
        self.fence: int | None = None
        self._ended_incarnation = ""
        self._vacant_since = 0.0
        self._row_known = False
        self._row_exists = False
        self._version = 0
        self._last_change_at = 0.0
        self._valid_until = 0.0
        self._renewed_at = 0.0

    def set_duration(self, duration_seconds: float, return_seconds: float = 0.0) -> None:
        """Set the lease duration; a holder applies it when it next acquires the lease."""
        self._duration_seconds = duration_seconds
        self._return_seconds = return_seconds

    def row(self) -> LeaseHolder:
        """Return the value of the row that this daemon writes."""
        is_holder = self.fence is not None
        seconds = self._term_duration_seconds if is_holder else self._duration_seconds
        return replace(self._own, duration_ms=seconds * MS_PER_SECOND)

    @property
    def version(self) -> int:
        """Return the row version of the last known change."""
        return self._version

    @property
    def expected_version(self) -> int:
        """Return the row version that the next write requires; 0 if there is no row."""
        return self._version if self._row_exists else 0

    def is_leader(self, now: float) -> bool:
        """Return whether this daemon holds a valid lease."""
        return self.remaining_seconds(now) > 0.0

    def remaining_seconds(self, now: float) -> float:
        """Return for how long this daemon may act as the leader; 0 if it may not."""
        return max(0.0, self._valid_until - now) if self.fence is not None else 0.0

    def record_row(self, version: int, holder: LeaseHolder | None, now: float) -> None:
        """Apply a version of the lease row; ``holder`` is None if the row was deleted."""
        if self._row_known and version <= self._version:
            return
        if not self._row_known:
            # An earlier process of this daemon may have led until now.
            self._led_until = now
        self._row_known = True
        self._version = version
        self._row_exists = holder is not None
        self._last_change_at = now
        self.holder = holder
        if holder is None:
            self._vacant_since = now
        elif holder.name != self._own.name:
            self._was_taken = True
        if holder is None or holder.incarnation != self._own.incarnation:
            self._end_term()

    def _end_term(self) -> None:
        if self.fence is not None:
            self._led_until = self._valid_until
        self.fence = None

    def record_missing_row(self, version: int, now: float) -> None:
        """Record that a read of the table found no lease row.

        :param version: the store's version at the read.
        """
        if not self._row_known:
            self._row_known = True
            self._last_change_at = now
            self._vacant_since = now
        elif self._row_exists:
            self.record_row(version, None, now)

    def record_ended_process(self, incarnation: str, now: float) -> None:
        """Record that a process has ended, so that its lease may be acquired before it expires.

        :param incarnation: the :attr:`LeaseHolder.incarnation` of the process.
        """
        if self._ended_incarnation != incarnation:
            self._vacant_since = now
        self._ended_incarnation = incarnation

    def record_write(
        self, version: int, sent_at: float, written: LeaseHolder | None = None
    ) -> None:
        """Record a successful write of this daemon.

        :param sent_at: the time just before the write was sent.
        :param written: the value that was written; None for that of :meth:`row`.
        """
        if version < self._version:
            return
        self.holder = written or self.row()
        if self.fence is None:
            self.fence = version
            self._was_taken = False
            self._term_duration_seconds = self._duration_of(self.holder)
        self._row_known = True
        self._row_exists = True
        self._version = version
        self._last_change_at = sent_at
        self._renewed_at = sent_at
        self._valid_until = sent_at + self._term_duration_seconds - self._margin_seconds

    def release(self) -> None:
        """Stop holding the lease; the row in the store is unchanged."""
        self._end_term()
        self._valid_until = 0.0

    def _duration_of(self, holder: LeaseHolder) -> float:
        return holder.duration_ms / MS_PER_SECOND or self._duration_seconds

    def action(
        self, now: float, store_available_seconds: float, extra_wait_seconds: float = 0.0
    ) -> LeaseAction:
        """Return the next action.

        :param store_available_seconds: how long the store has answered every call of this daemon.
            While the store is unavailable, an unchanged row does not mean that the holder stopped.
        :param extra_wait_seconds: how long to wait before acquiring the lease once it is free or
            has expired.
        """
        if not self._row_known:
            return LeaseAction.WAIT
        if self.holder is not None and self.holder.incarnation == self._own.incarnation:
            due = self.fence is None or now - self._renewed_at >= self._renew_interval_seconds
            return LeaseAction.RENEW if due else LeaseAction.WAIT
        own = self._own.name, self._own.address
        if self.holder is not None and (self.holder.name, self.holder.address) == own:
            return LeaseAction.ACQUIRE
        if self._was_taken and now < self._led_until + self._return_seconds:
            return LeaseAction.WAIT
        if self.holder is None or self.holder.incarnation == self._ended_incarnation:
            vacant = now - self._vacant_since >= extra_wait_seconds
            return LeaseAction.ACQUIRE if vacant else LeaseAction.WAIT
        duration_seconds = max(self._duration_seconds, self._duration_of(self.holder))
        expired = now - self._last_change_at >= duration_seconds + extra_wait_seconds
        if expired and store_available_seconds >= 2 * self._renew_interval_seconds:
            return LeaseAction.ACQUIRE
        return LeaseAction.WAIT
