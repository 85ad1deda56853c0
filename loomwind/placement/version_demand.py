"""The copies that running streams need at their software version during a release. Pure.

A stream that has begun is resumed only by a server of the same software version, and while several
versions serve, those of one are about to leave.
"""

import math
from collections.abc import Iterable, Iterator, Mapping, Sequence

import attrs

from loomwind.placement.demand_view import PendingDemand
from loomwind.placement.plan import PlanInput
from loomwind.placement.server_tracker import ServerTracker
from loomwind.serving.demand import VersionedModel
from loomwind.serving.views import ModelKey

MIN_COPIES = 2
# A server that joins during a release replaces one of another version, which drains within seconds.
# Until then the other version needs a copy more, since it may be the holder that leaves.
REPLACEMENT_SECONDS = 10.0
# A load delays others at the weight store, so that a single stream does not warrant one.
MIN_STREAMS_FOR_LOAD = 2
# A model that is loaded gives way to another of the same version only for this many times as many
# streams, so that small changes do not move models.
REPLACEMENT_FACTOR = 2.0


@attrs.frozen
class VersionDemand:
    """Running and resumed streams of a model at a software version.

    :ivar copies: the servers of that version that hold or load it, or have memory reserved for it.
    """

    key: VersionedModel
    streams: int
    copies: tuple[ServerTracker, ...]

    @property
    def may_load(self) -> bool:
        """Whether one more copy may be loaded; those beyond the second one load in turn."""
        target = ModelKey(self.key.model)
        return len(self.copies) < MIN_COPIES or all(copy.holds(target) for copy in self.copies)

    @property
    def priority(self) -> float:
        """Return the streams, weighted so that loaded models stay."""
        return self.streams * (REPLACEMENT_FACTOR if self.copies else 1.0)


@attrs.frozen
class MissingCopy:
    """A copy that a version should get.

    :ivar copies: the number of copies that the version has.
    """

    key: VersionedModel
    streams: int
    copies: int


@attrs.frozen
class VersionCopies:
    """The copies that the servers of each version have room for.

    :ivar missing: the copies to load, fewest copies first, then by priority.
    :ivar kept: pairs of instance and model name that are not evicted for a further copy.
    :ivar demanded: the models of which a version keeps at least one loaded copy.
    """

    missing: tuple[MissingCopy, ...] = ()
    kept: frozenset[tuple[str, str]] = frozenset()
    demanded: frozenset[VersionedModel] = frozenset()


def version_demand(
    inputs: PlanInput, pending_demand: Sequence[PendingDemand] = ()
) -> list[VersionDemand]:
    """Return the streams by model and version, by priority; none while one version serves."""
    by_version = _servers_by_version(inputs)
    if len(by_version) < 2:
        return []
    streams = inputs.demand.streams(inputs.service, inputs.now)
    for pending in pending_demand:
        version = pending.key.software_version
        if version is not None:
            key = VersionedModel(inputs.service, pending.key.target.model, version)
            resumed = pending.waiting + pending.expected_retries
            streams[key] = streams.get(key, 0) + resumed
    copies = _copies(inputs)
    demand = [
        VersionDemand(key, streams[key], tuple(copies.get(key, ())))
        for key in streams
        if key.software_version in by_version and inputs.model(key.model) is not None
    ]
    return sorted(demand, key=lambda each: (-each.priority, each.key))


def version_copies(inputs: PlanInput, demand: Sequence[VersionDemand]) -> VersionCopies:
    """Return the copies that the servers of each version should have.

    :param demand: by priority. Each model gets a first copy before any gets a second one.
    """
    rooms = {
        version: _Room(servers, [each for each in demand if each.key.software_version == version])
        for version, servers in _servers_by_version(inputs).items()
    }
    wanted = {version: _wanted_copies(inputs, version) for version in rooms}
    placed: dict[VersionedModel, list[ServerTracker]] = {each.key: [] for each in demand}
    for copies in range(max(wanted.values(), default=0)):
        for each in demand:
            if copies >= wanted[each.key.software_version]:
                continue
            server = rooms[each.key.software_version].place(each, placed[each.key])
            if server is not None:
                placed[each.key].append(server)
    return VersionCopies(
        tuple(_missing(demand, placed)),
        frozenset(_kept(demand, placed)),
        frozenset(key for key, servers in placed.items() if servers),
    )


def _wanted_copies(inputs: PlanInput, software_version: str) -> int:
    """Return how many copies of a model a version needs, so that one stays when servers leave."""
    return max(MIN_COPIES, 1 + _replacements(inputs, software_version))


def staying_servers(inputs: PlanInput) -> list[ServerTracker]:
    """Return the servers of versions that no other version replaces.

    New requests run at any version, so that their models belong where servers stay.
    """
    return [
        server
        for version, servers in _servers_by_version(inputs).items()
        if not _replacements(inputs, version)
        for server in servers
    ]


def _replacements(inputs: PlanInput, software_version: str) -> int:
    """Return how many servers have joined lately at versions that are newer to this leader."""
    by_version = _servers_by_version(inputs)
    listed_since = {
        version: min(server.tracked_since for server in servers)
        for version, servers in by_version.items()
    }
    return sum(
        inputs.now - server.tracked_since < REPLACEMENT_SECONDS
        for version, servers in by_version.items()
        if listed_since[version] > listed_since[software_version]
        for server in servers
    )


class _Room:
    """The memory of a version's servers while copies are placed on them.

    :ivar _held_mb: the memory of demanded copies that a server has and that are not placed yet.
    """

    def __init__(self, servers: Sequence[ServerTracker], demand: Iterable[VersionDemand]) -> None:
        self._servers = servers
        self._free_mb = {server.entry.instance: server.profile.memory_mb for server in servers}
        self._held_mb = dict.fromkeys(self._free_mb, 0.0)
        for each in demand:
            for server in each.copies:
                self._held_mb[server.entry.instance] += _memory_mb(server, each.key.model)

    def place(self, demand: VersionDemand, placed: Sequence[ServerTracker]) -> ServerTracker | None:
        """Take memory for one more copy, at a server that has one already if there is one.

        :param placed: the servers of the copies placed before.
        """
        name = demand.key.model
        copy = next((server for server in demand.copies if server not in placed), None)
        if copy is not None:
            self._held_mb[copy.entry.instance] -= _memory_mb(copy, name)
            return copy if self._take(copy, name) else None
        if demand.streams < MIN_STREAMS_FOR_LOAD:
            return None
        if _memory_mb(self._servers[0], name) > max(self._free_mb.values()):
            return None
        others = [server for server in self._servers if self._fits(server, name, placed)]
        roomiest = max(others, key=self._unclaimed_mb, default=None)
        return roomiest if roomiest is not None and self._take(roomiest, name) else None

    def _take(self, server: ServerTracker, name: str) -> bool:
        """Take the memory of a model, unless the server has too little."""
        memory_mb = _memory_mb(server, name)
        if memory_mb > self._free_mb[server.entry.instance]:
            return False
        self._free_mb[server.entry.instance] -= memory_mb
        return True

    def _fits(self, server: ServerTracker, name: str, placed: Sequence[ServerTracker]) -> bool:
        fits = _memory_mb(server, name) <= self._free_mb[server.entry.instance]
        return fits and server not in placed

    def _unclaimed_mb(self, server: ServerTracker) -> float:
        instance = server.entry.instance
        return self._free_mb[instance] - self._held_mb[instance]


def _memory_mb(server: ServerTracker, name: str) -> float:
    model = server.profile.model(name)
    return math.inf if model is None else model.memory_mb


Placed = Mapping[VersionedModel, Sequence[ServerTracker]]


def _missing(demand: Sequence[VersionDemand], placed: Placed) -> Iterator[MissingCopy]:
    """Yield the copies to load: first copies, then second ones, then further ones."""
    worthwhile = [each for each in demand if each.streams >= MIN_STREAMS_FOR_LOAD]
    lacking = [
        each for each in worthwhile if each.may_load and len(each.copies) < len(placed[each.key])
    ]
    for each in sorted(lacking, key=lambda each: len(each.copies)):
        yield MissingCopy(each.key, each.streams, len(each.copies))


def _kept(demand: Sequence[VersionDemand], placed: Placed) -> Iterator[tuple[str, str]]:
    """Yield the placed copies that exist, as pairs of instance and model name."""
    for each in demand:
        for server in placed[each.key]:
            if server in each.copies:
                yield (server.entry.instance, each.key.model)


def _servers_by_version(inputs: PlanInput) -> dict[str, list[ServerTracker]]:
    """Return the servers that may receive orders, by software version."""
    found: dict[str, list[ServerTracker]] = {}
    for server in inputs.servers:
        found.setdefault(server.entry.software_version, []).append(server)
    return found


def _copies(inputs: PlanInput) -> dict[VersionedModel, list[ServerTracker]]:
    """Return the servers that hold or load a model, or have memory reserved for it."""
    found: dict[VersionedModel, list[ServerTracker]] = {}
    index = inputs.index
    holders = [(name, server) for name, servers in index.holders.items() for server in servers]
    loading = [(name, server) for name, servers in index.loading.items() for server in servers]
    reserved = [(server.memory_reserved_for(inputs.now), server) for server in inputs.servers]
    for name, server in (*holders, *loading, *reserved):
        if name is not None:
            key = VersionedModel(inputs.service, name, server.entry.software_version)
            copies = found.setdefault(key, [])
            if server not in copies:
                copies.append(server)
    return found
