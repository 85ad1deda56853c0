"""The servers that may get work, from what the directory lists. Pure; time is passed in.

An entry that vanishes is a server that leaves, unless the store itself was in trouble: then the
entry may be gone though the server is well, so it is kept for a while and each send still names
the server that it is meant for.
"""

from msgspec import Struct

from loomwind.serving.views import ServerEntry, ServerState

MISSING_GRACE_FRACTION = 0.9
# A list that has been older than this part of the bound was not followed: the store was away.
MAX_LIST_AGE_FRACTION = 0.7


class _ServerRecord(Struct):
    """A server that is known.

    :param replaced: whether another life was seen at its address.
    :param departed_at_version: the store's version at which a peer knew that it leaves; 0 for none.
    """

    entry: ServerEntry
    missing_since: float | None = None
    is_replaced: bool = False
    departing_since_version: int = 0


class ServerDirectory:
    """Servers by name, each in its newest life.

    :ivar version: the store's version that the directory stands at.
    """

    def __init__(self, drain_seconds: float) -> None:
        """Make a directory.

        :param drain_seconds: how soon after the store has said so a server gets no new work.
        """
        self.set_drain_seconds(drain_seconds)
        self._servers: dict[str, _ServerRecord] = {}
        self.version = 0

    def set_drain_seconds(self, drain_seconds: float) -> None:
        """Change how soon a server that leaves gets no new work."""
        self._missing_grace_seconds = MISSING_GRACE_FRACTION * drain_seconds
        self._max_list_age_seconds = MAX_LIST_AGE_FRACTION * drain_seconds

    def put(self, entry: ServerEntry) -> None:
        """Take in an entry as listed now."""
        record = _ServerRecord(entry)
        previous = self._servers.get(entry.name)
        if previous is not None and previous.entry.instance == entry.instance:
            record.is_replaced = previous.is_replaced
            record.departing_since_version = previous.departing_since_version
        self._servers[entry.name] = record

    def advance_version(self, version: int) -> None:
        """Take in that the list is as the store has it at a version: it goes before older words.

        Not for an entry that has vanished, which counts on although the list lacks it.
        """
        self.version = max(self.version, version)
        for record in self._servers.values():
            if record.missing_since is None and record.departing_since_version <= self.version:
                record.departing_since_version = 0

    def note_departure(self, name: str, instance: str, version: int) -> bool:
        """Take in a peer's word that a server leaves; returns whether that is news.

        :param version: the store's version at which it was known. A list as new goes before it.
        """
        record = self._servers.get(name)
        if record is None or record.entry.instance != instance or version <= self.version:
            return False
        newly_departing = not self.is_departing(name)
        record.departing_since_version = max(record.departing_since_version, version)
        return newly_departing

    def remove(self, name: str, now: float, store_in_trouble: bool, list_fresh_at: float) -> None:
        """Take in that an entry has gone.

        :param fresh_at: when the list, with the entry in it, was known to be as the store has it.
            The entry may have gone just after that; one that lapsed while the store was away for
            longer says nothing, and counts on from now.
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
        """Whether a server is known to leave, by its entry or by a peer."""
        record = self._servers.get(name)
        if record is None:
            return False
        return record.entry.state is ServerState.DRAINING or record.departing_since_version > 0

    def note_replaced(self, entry: ServerEntry) -> None:
        """Another server answers at the address of this one: this life of it is gone."""
        record = self._servers.get(entry.name)
        if record is not None and record.entry.instance == entry.instance:
            record.is_replaced = True

    def get(self, name: str) -> ServerEntry | None:
        """Return a server that is known, whatever its state."""
        record = self._servers.get(name)
        return record.entry if record else None

    def usable(self, service: str, now: float) -> list[ServerEntry]:
        """Return the servers of a service that may get new work."""
        return [
            record.entry
            for record in self._servers.values()
            if record.entry.service == service and self._is_usable(record, now)
        ]

    def accepts_requests(self, entry: ServerEntry, now: float) -> bool:
        """Whether a server may still get new work in the life that an entry names."""
        record = self._servers.get(entry.name)
        if record is None or record.entry.instance != entry.instance:
            return False
        return self._is_usable(record, now)

    def usable_count(self, now: float) -> int:
        """Return how many servers of all services may get new work."""
        return sum(1 for record in self._servers.values() if self._is_usable(record, now))

    def entries(self) -> list[ServerEntry]:
        """Return all servers that are known."""
        return [record.entry for record in self._servers.values() if not record.is_replaced]

    def _is_usable(self, record: _ServerRecord, now: float) -> bool:
        if record.is_replaced or self.is_departing(record.entry.name):
            return False
        if record.missing_since is None:
            return True
        return now < record.missing_since + self._missing_grace_seconds
