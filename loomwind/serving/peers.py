"""Membership of the daemons in a pool, based on one row per daemon in the store."""

import bisect

import msgspec
import xxhash
from msgspec import Struct

from loomwind import constants
from loomwind.decoding import DecodeError, decode_json
from loomwind.leadership.election import Election
from loomwind.leadership.lease import LeaseHolder
from loomwind.logs import log_state
from loomwind.serving.pool import ServerPool
from loomwind.serving.ports import MalformedDocument, Snapshot, StoredRow

PEER_KEY_PREFIX = "daemon/"
STANDBY_COUNT = 5
# Lets standbys, which are notified of each renewal, take an expired lease before other daemons.
NON_STANDBY_DELAY_SECONDS = 0.7
POLL_SECONDS_PER_DAEMON = 0.01
# Limit for the leader, which must send its decisions to new daemons, and for standbys, which may
# become leader.
MAX_POLL_SECONDS = 0.5
# Other daemons only use the list to find peers, and tolerate outdated entries.
MAX_FOLLOWER_POLL_SECONDS = 5.0
BASE_RETRY_SECONDS = 0.6
# Must be below the 3 s within which the deployments require a daemon to be in touch again.
MAX_RETRY_SECONDS = 2.0
MIN_MIRRORS = 3
DAEMONS_PER_MIRROR = 25


class PeerEntry(Struct, frozen=True):
    """A daemon's row in the store.

    :param address: the peer address, ``host:port``.
    :param incarnation: the ID of the daemon process; stored as ``life``.
    :param relay: the address that accepts relayed requests, ``host:port``; empty for none.
    """

    address: str
    zone: str
    incarnation: str = msgspec.field(name="life")
    relay: str = ""


class PeerTable:
    """The rows of all daemons, and the roles (standby, mirror) derived from them."""

    def __init__(
        self,
        own: LeaseHolder,
        election: Election,
        pool: ServerPool,
    ) -> None:
        self._own = own
        self._election = election
        self._pool = pool
        self._peers: dict[str, PeerEntry] = {}
        self._ranked: list[str] = []
        self._election.extra_wait_seconds = self._extra_wait_seconds()

    def others(self) -> list[PeerEntry]:
        """Return all daemons except this one."""
        return [peer for name, peer in self._peers.items() if name != self._own.name]

    @property
    def is_listed(self) -> bool:
        """Whether this daemon's own row is known, so that its peers know it too."""
        return self._own.name in self._peers

    def get(self, name: str) -> PeerEntry | None:
        """Return the daemon with this name, or None if it has no row."""
        return self._peers.get(name)

    def scale_interval(self, seconds: float) -> float:
        """Return an interval scaled with the fleet size, to bound the load on the leader."""
        return seconds * max(1.0, len(self._peers) / constants.SMALL_FLEET_DAEMONS)

    def on_rows(self, snapshot: Snapshot, is_full: bool) -> None:
        """Apply changed rows of the daemon table, or all rows if ``is_full``."""
        if is_full:
            self._peers.clear()
        for row in snapshot.rows:
            if row.key.startswith(PEER_KEY_PREFIX):
                self._on_peer_row(row)
        self._ranked = sorted(self._peers, key=_hash_rank)
        self._pool.set_daemon_count(len(self._peers))
        self._election.extra_wait_seconds = self._extra_wait_seconds()

    def _extra_wait_seconds(self) -> float:
        """Return how much longer than a standby this daemon waits for a renewal of the lease.

        It learns of renewals only by asking the leader, which happens less often in a large fleet.
        """
        if self._own.name in self._ranked[:STANDBY_COUNT]:
            return 0.0
        interval = constants.LEADER_CHECK_INTERVAL_SECONDS
        return NON_STANDBY_DELAY_SECONDS + self.scale_interval(interval) - interval

    def poll_interval_seconds(self) -> float:
        """Return the pause between two reads of the rows.

        Each change wakes the long poll of every daemon, and all daemons may start at the same time.
        """
        interval = POLL_SECONDS_PER_DAEMON * len(self._peers)
        if self._own.name in self._ranked[:STANDBY_COUNT] or self.leads:
            return min(MAX_POLL_SECONDS, interval)
        return min(MAX_FOLLOWER_POLL_SECONDS, self.scale_interval(interval))

    @property
    def leads(self) -> bool:
        """Whether this daemon is the leader."""
        return self._election.lease.fence is not None

    def max_retry_seconds(self) -> float:
        """Return the longest pause between two calls while the store does not answer.

        Mirrors, which read for other daemons, retry as often as in a small fleet.
        """
        if self.is_mirror():
            return BASE_RETRY_SECONDS
        return min(MAX_RETRY_SECONDS, self.scale_interval(BASE_RETRY_SECONDS))

    def standbys(self) -> list[PeerEntry]:
        """Return the daemons that may take the lease first and are notified of each renewal."""
        names = [name for name in self._ranked[:STANDBY_COUNT] if name != self._own.name]
        return [self._peers[name] for name in names]

    def mirrors(self) -> list[PeerEntry]:
        """Return the daemons that follow the store on behalf of the others."""
        count = max(MIN_MIRRORS, len(self._peers) // DAEMONS_PER_MIRROR)
        return [self._peers[name] for name in self._ranked[:count]]

    def is_mirror(self) -> bool:
        """Return whether this daemon follows the store for others; True until any is known."""
        mirrors = self.mirrors()
        return not mirrors or any(mirror.incarnation == self._own.incarnation for mirror in mirrors)

    def gossip_targets(self) -> list[PeerEntry]:
        """Return the daemons at distances 1, 2, 4, ... on the hash ring, like the fingers of Chord.

        A message that each daemon forwards once to its targets reaches all over several paths.
        """
        count = len(self._ranked)
        if not count:
            return []
        place = bisect.bisect_left(self._ranked, _hash_rank(self._own.name), key=_hash_rank)
        distances = (1 << power for power in range((count - 1).bit_length()))
        names = {self._ranked[(place + distance) % count] for distance in distances}
        return [self._peers[name] for name in names if name != self._own.name]

    def _on_peer_row(self, row: StoredRow) -> None:
        name = row.key.removeprefix(PEER_KEY_PREFIX)
        if row.deleted:
            self._peers.pop(name, None)
            return
        try:
            self._peers[name] = decode_peer(row.value)
        except MalformedDocument as error:
            log_state("peer", "unreadable", peer=name, error=str(error))


def decode_peer(value: bytes) -> PeerEntry:
    """Decode a daemon's row.

    :raises MalformedDocument: the value is not a daemon's row.
    """
    try:
        return decode_json(value, PeerEntry)
    except DecodeError as error:
        raise MalformedDocument(f"daemon: {error}") from error


def _hash_rank(name: str) -> int:
    """Return a hash of a name, which orders the daemons identically on every daemon."""
    return xxhash.xxh64_intdigest(name.encode())
