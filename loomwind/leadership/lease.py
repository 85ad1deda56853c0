"""The lease state machine. Pure: no I/O, and time is passed in.

The lease is a row that its holder writes again and again, each time only if it is as the holder
left it. Whoever sees the row unchanged for the whole duration may take it over. The fence is the
store's version at the taking; it rises with each new leader for ever. A leader acts only while its
own steady clock says that the lease is good, counted from before its last good write was sent.
A holder whose process is known to have ended is not waited for: another life of the same daemon, or
a host that refuses connections at its address.
"""

import enum

from msgspec import Struct


class LeaseHolder(Struct, frozen=True):
    """Who holds the lease.

    :param name: the daemon's name; orders are given in it.
    :param life: names one life of its process.
    :param address: ``host:port`` for peers.
    """

    name: str
    life: str
    address: str


class LeaseAction(enum.Enum):
    """What to do now."""

    WAIT = enum.auto()
    ACQUIRE = enum.auto()
    RENEW = enum.auto()


class Lease:
    """One daemon's view of the lease.

    :ivar holder: who holds it as far as is known; None when it is free or not known.
    :ivar fence: set while this daemon leads.
    """

    def __init__(
        self,
        own: LeaseHolder,
        duration_seconds: float,
        renew_interval_seconds: float,
        margin_seconds: float,
    ) -> None:
        """Make a lease.

        :param duration_seconds: how long others wait for the next renewal.
        :param renew_seconds: the time between renewals.
        :param margin_seconds: how much earlier the holder itself stops to act.
        """
        self._own = own
        self._duration_seconds = duration_seconds
        self._renew_interval_seconds = renew_interval_seconds
        self._margin_seconds = margin_seconds
        self.holder: LeaseHolder | None = None
        self.fence: int | None = None
        self._ended_process_id = ""
        self._vacant_since = 0.0
        self._row_known = False
        self._row_exists = False
        self._version = 0
        self._last_change_at = 0.0
        self._valid_until = 0.0
        self._renewed_at = 0.0

    def set_duration(self, duration_seconds: float) -> None:
        """Change how long others wait; the next renewal counts with it."""
        self._duration_seconds = duration_seconds

    @property
    def version(self) -> int:
        """Return the version of the row's last change that is known."""
        return self._version

    @property
    def expected_version(self) -> int:
        """Return the version that the next write expects; 0 when there is no row."""
        return self._version if self._row_exists else 0

    def is_leader(self, now: float) -> bool:
        """Whether this daemon may act as the leader now."""
        return self.fence is not None and now < self._valid_until

    def record_row(self, version: int, holder: LeaseHolder | None, now: float) -> None:
        """Take in the row as the store shows it; None when there is none."""
        if self._row_known and version <= self._version:
            return
        self._row_known = True
        self._version = version
        self._row_exists = holder is not None
        self._last_change_at = now
        self.holder = holder
        if holder is None:
            self._vacant_since = now
        if holder is None or holder.life != self._own.life:
            self.fence = None

    def record_missing_row(self, version: int, now: float) -> None:
        """The table was read, and the row is not in it.

        :param version: the store's version of that reading.
        """
        if not self._row_known:
            self._row_known = True
            self._last_change_at = now
            self._vacant_since = now
        elif self._row_exists:
            self.record_row(version, None, now)

    def record_ended_process(self, process_id: str, now: float) -> None:
        """A life of a daemon is known to have ended: its lease need not be waited out."""
        if self._ended_process_id != process_id:
            self._vacant_since = now
        self._ended_process_id = process_id

    def record_write(self, version: int, sent_at: float) -> None:
        """A write of this daemon was acknowledged.

        :param sent_at: the time before it was sent.
        """
        if version < self._version:
            return
        if self.fence is None:
            self.fence = version
        self.holder = self._own
        self._row_known = True
        self._row_exists = True
        self._version = version
        self._last_change_at = sent_at
        self._renewed_at = sent_at
        self._valid_until = sent_at + self._duration_seconds - self._margin_seconds

    def release(self) -> None:
        """This daemon gave the lease up."""
        self.fence = None
        self._valid_until = 0.0

    def action(
        self, now: float, store_available_seconds: float, extra_wait_seconds: float = 0.0
    ) -> LeaseAction:
        """Return what to do.

        :param answers_for_seconds: for how long the store has answered every call of this daemon;
            a row that stood still while the store was away says nothing about its holder.
        :param longer_seconds: how much longer to wait for a renewal than the lease asks.
        """
        if not self._row_known:
            return LeaseAction.WAIT
        if self.holder is not None and self.holder.life == self._own.life:
            due = self.fence is None or now - self._renewed_at >= self._renew_interval_seconds
            return LeaseAction.RENEW if due else LeaseAction.WAIT
        if self.holder is None or self.holder.life == self._ended_process_id:
            vacant = now - self._vacant_since >= extra_wait_seconds
            return LeaseAction.ACQUIRE if vacant else LeaseAction.WAIT
        if self.holder.name == self._own.name:
            return LeaseAction.ACQUIRE
        expired = now - self._last_change_at >= self._duration_seconds + extra_wait_seconds
        if expired and store_available_seconds >= 2 * self._renew_interval_seconds:
            return LeaseAction.ACQUIRE
        return LeaseAction.WAIT
