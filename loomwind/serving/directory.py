"""The servers that may get work, from what the directory lists. Pure; time is passed in.

An entry that vanishes is a server that leaves, unless the store itself was in trouble: then the
entry may be gone though the server is well, so it is kept for a while and each send still names
the server that it is meant for.
"""

from msgspec import Struct

from loomwind.serving.views import ServerEntry, ServerState

VANISHED_GRACE_PART = 0.9
# A list that has been older than this part of the bound was not followed: the store was away.
FOLLOWED_PART = 0.7


class _Listed(Struct):
    """A server that is known.

    :param replaced: whether another life was seen at its address.
    :param departed_at_version: the store's version at which a peer knew that it leaves; 0 for none.
    """

    entry: ServerEntry
    vanished_at: float | None = None
    replaced: bool = False
    departed_at_version: int = 0


class ServerDirectory:
    """Servers by name, each in its newest life.

    :ivar version: the store's version that the directory stands at.
    """

    def __init__(self, drain_seconds: float) -> None:
        """Make a directory.

        :param drain_seconds: how soon after the store has said so a server gets no new work.
        """
        self.set_drain_seconds(drain_seconds)
        self._servers: dict[str, _Listed] = {}
        self.version = 0

    def set_drain_seconds(self, drain_seconds: float) -> None:
        """Change how soon a server that leaves gets no new work."""
        self._vanished_grace = VANISHED_GRACE_PART * drain_seconds
        self._followed_age = FOLLOWED_PART * drain_seconds

    def put(self, entry: ServerEntry) -> None:
        """Take in an entry as listed now."""
        listed = _Listed(entry)
        known = self._servers.get(entry.name)
        if known is not None and known.entry.instance == entry.instance:
            listed.replaced = known.replaced
            listed.departed_at_version = known.departed_at_version
        self._servers[entry.name] = listed

    def advance(self, version: int) -> None:
        """Take in that the list is as the store has it at a version: it goes before older words.

        Not for an entry that has vanished, which counts on although the list lacks it.
        """
        self.version = max(self.version, version)
        for known in self._servers.values():
            if known.vanished_at is None and known.departed_at_version <= self.version:
                known.departed_at_version = 0

    def note_departure(self, name: str, instance: str, version: int) -> bool:
        """Take in a peer's word that a server leaves; returns whether that is news.

        :param version: the store's version at which it was known. A list as new goes before it.
        """
        known = self._servers.get(name)
        if known is None or known.entry.instance != instance or version <= self.version:
            return False
        news = not self.is_departing(name)
        known.departed_at_version = max(known.departed_at_version, version)
        return news

    def remove(self, name: str, now: float, store_in_trouble: bool, fresh_at: float) -> None:
        """Take in that an entry has gone.

        :param fresh_at: when the list, with the entry in it, was known to be as the store has it.
            The entry may have gone just after that; one that lapsed while the store was away for
            longer says nothing, and counts on from now.
        """
        known = self._servers.get(name)
        if known is None:
            return
        if store_in_trouble and known.entry.state is ServerState.READY:
            gone_at = fresh_at if now - fresh_at < self._followed_age else now
            known.vanished_at = known.vanished_at or gone_at
        else:
            del self._servers[name]

    def is_departing(self, name: str) -> bool:
        """Whether a server is known to leave, by its entry or by a peer."""
        known = self._servers.get(name)
        if known is None:
            return False
        return known.entry.state is ServerState.DRAINING or known.departed_at_version > 0

    def note_replaced(self, entry: ServerEntry) -> None:
        """Another server answers at the address of this one: this life of it is gone."""
        known = self._servers.get(entry.name)
        if known is not None and known.entry.instance == entry.instance:
            known.replaced = True

    def get(self, name: str) -> ServerEntry | None:
        """Return a server that is known, whatever its state."""
        known = self._servers.get(name)
        return known.entry if known else None

    def usable(self, service: str, now: float) -> list[ServerEntry]:
        """Return the servers of a service that may get new work."""
        return [
            known.entry
            for known in self._servers.values()
            if known.entry.service == service and self._record_accepts_requests(known, now)
        ]

    def accepts_requests(self, entry: ServerEntry, now: float) -> bool:
        """Whether a server may still get new work in the life that an entry names."""
        known = self._servers.get(entry.name)
        if known is None or known.entry.instance != entry.instance:
            return False
        return self._record_accepts_requests(known, now)

    def usable_count(self, now: float) -> int:
        """Return how many servers of all services may get new work."""
        return sum(
            1 for known in self._servers.values() if self._record_accepts_requests(known, now)
        )

    def entries(self) -> list[ServerEntry]:
        """Return all servers that are known."""
        return [known.entry for known in self._servers.values() if not known.replaced]

    def _record_accepts_requests(self, known: _Listed, now: float) -> bool:
        if known.replaced or self.is_departing(known.entry.name):
            return False
        if known.vanished_at is None:
            return True
        return now < known.vanished_at + self._vanished_grace
