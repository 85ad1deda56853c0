"""Tracks the listed servers and which of them may receive requests. Pure; time is passed in.

A removed entry means that its server is leaving, unless the store recently failed: then the entry
may have lapsed although the server is running, so the server is kept for a grace period. That is
safe because each request names the server instance that it is meant for.
"""

from msgspec import Struct

from loomwind.serving.views import ServerEntry, ServerState

MISSING_GRACE_FRACTION = 0.9
# A list older than this fraction of the drain bound was not being updated: the store was
# unavailable.
MAX_LIST_AGE_FRACTION = 0.7


class _ServerRecord(Struct):
    """A known server.

    :param missing_since: when its entry may have been removed; None while it is listed.
    :param is_replaced: whether another instance responded at its address.
    :param departing_since_version: the store version at which a peer saw it departing; 0 for none.
    """

    entry: ServerEntry
    missing_since: float | None = None
    is_replaced: bool = False
    departing_since_version: int = 0


class ServerDirectory:
    """Servers by name, each with its newest instance.

    :ivar version: the store version of the directory.
    """

    def __init__(self, drain_seconds: float) -> None:
        """Create an empty directory.

        :param drain_seconds: how soon after its departure was stored a server must get no requests.
        """
        self.set_drain_seconds(drain_seconds)
        self._servers: dict[str, _ServerRecord] = {}
        self.version = 0

    def set_drain_seconds(self, drain_seconds: float) -> None:
        """Change how soon a departing server must get no requests."""
        self._missing_grace_seconds = MISSING_GRACE_FRACTION * drain_seconds
        self._max_list_age_seconds = MAX_LIST_AGE_FRACTION * drain_seconds

    def put(self, entry: ServerEntry) -> None:
        """Add or update a listed entry."""
        record = _ServerRecord(entry)
        previous = self._servers.get(entry.name)
        if previous is not None and previous.entry.instance == entry.instance:
            record.is_replaced = previous.is_replaced
            record.departing_since_version = previous.departing_since_version
        self._servers[entry.name] = record

    def advance_version(self, version: int) -> None:
        """Record that the list matches the store at a version; it overrides older departures.

        Departures of missing entries are kept, since the list no longer describes these servers.
        """
        self.version = max(self.version, version)
        for record in self._servers.values():
            if record.missing_since is None and record.departing_since_version <= self.version:
                record.departing_since_version = 0

    def record_departure(self, name: str, instance: str, version: int) -> bool:
        """Record a departure reported by a peer; returns whether it was not known before.

        :param version: the store version at which the peer knew it; ignored if the list is as new.
        """
        record = self._servers.get(name)
        if record is None or record.entry.instance != instance or version <= self.version:
            return False
        newly_departing = not self.is_departing(name)
        record.departing_since_version = max(record.departing_since_version, version)
        return newly_departing

    def remove(self, name: str, now: float, store_in_trouble: bool, list_fresh_at: float) -> None:
        """Record that an entry was removed from the list.

        :param list_fresh_at: when the list, including the entry, last matched the store. The grace
            period starts there, since the entry may have been removed right after. If the store was
            unavailable for longer, the removal tells nothing and the period starts now.
        """
        record = self._servers.get(name)
        if record is None:
            return
        if store_in_trouble and record.entry.state is ServerState.READY:
            missing_since = (
                list_fresh_at if now - list_fresh_at < self._max_list_age_seconds else now
            )
            record.missing_since = record.missing_since or missing_since
        else:
            del self._servers[name]

    def is_departing(self, name: str) -> bool:
        """Return whether a server is departing, according to its entry or a peer."""
        record = self._servers.get(name)
        if record is None:
            return False
        return record.entry.state is ServerState.DRAINING or record.departing_since_version > 0

    def record_replaced(self, entry: ServerEntry) -> None:
        """Record that another server responds at the address: this instance is gone."""
        record = self._servers.get(entry.name)
        if record is not None and record.entry.instance == entry.instance:
            record.is_replaced = True

    def is_replaced(self, entry: ServerEntry) -> bool:
        """Whether another server, or a later process of this one, responds at the address.

        That alone proves that a process has ended: the entries of some are removed before, and
        connections are also refused by networks, or by servers that complete their requests.
        """
        record = self._servers.get(entry.name)
        if record is None:
            return False
        if record.entry.instance == entry.instance:
            return record.is_replaced
        return entry.is_older_than(record.entry)

    def get(self, name: str) -> ServerEntry | None:
        """Return a known server in any state, or None."""
        record = self._servers.get(name)
        return record.entry if record else None

    def usable(self, service: str, now: float) -> list[ServerEntry]:
        """Return the servers of a service that may receive requests."""
        return [
            record.entry
            for record in self._servers.values()
            if record.entry.service == service and self._is_usable(record, now)
        ]

    def accepts_requests(self, entry: ServerEntry, now: float) -> bool:
        """Return whether the server instance of an entry may still receive requests."""
        record = self._servers.get(entry.name)
        if record is None or record.entry.instance != entry.instance:
            return False
        return self._is_usable(record, now)

    def services(self) -> set[str]:
        """Return the services of the known servers."""
        return {record.entry.service for record in self._servers.values()}

    def software_versions(self, service: str) -> list[str]:
        """Return the software versions of the known servers of a service, sorted."""
        entries = (record.entry for record in self._servers.values())
        return sorted({entry.software_version for entry in entries if entry.service == service})

    def usable_count(self, now: float) -> int:
        """Return how many servers of all services may receive requests."""
        return sum(1 for record in self._servers.values() if self._is_usable(record, now))

    def entries(self) -> list[ServerEntry]:
        """Return all known servers that were not replaced."""
        return [record.entry for record in self._servers.values() if not record.is_replaced]

    def _is_usable(self, record: _ServerRecord, now: float) -> bool:
        if record.is_replaced or self.is_departing(record.entry.name):
            return False
        if record.missing_since is None:
            return True
        return now < record.missing_since + self._missing_grace_seconds
