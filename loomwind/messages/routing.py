"""Demand from the routers, routes to them, and what was seen of back ends."""

from msgspec import Struct

from loomwind.messages.identity import MemberInfo, Message, VoterId
from loomwind.messages.register import Stamp
from loomwind.schema import Artifact


class DemandEntry(Struct, frozen=True, array_like=True):
    """Requests of one group for one artifact at one router.

    :param arrivals: requests since the last report.
    :param nearest_deadline_seconds: time left of the most urgent waiting one.
    """

    artifact: Artifact
    group: str
    waiting: int
    running: int
    arrivals: int
    nearest_deadline_seconds: float


class DemandReport(Message, frozen=True, tag=True, array_like=True):
    """What waits and runs at one router."""

    cell: str
    router: VoterId
    entries: tuple[DemandEntry, ...]


class GroupPlaces(Struct, frozen=True, array_like=True):
    """The part of an engine's places at a router that is for one group; a fraction."""

    group: str
    places: float


class EngineRoute(Struct, frozen=True, array_like=True):
    """An engine with the replicas that are ready on it.

    :param slots: how many requests this router may run there at once.
    :param places: how the slots divide among the groups that want them.
    """

    engine: str
    address: str
    zone: str
    slots: int
    replicas: tuple[Artifact, ...]
    places: tuple[GroupPlaces, ...] = ()


class ApplicationRoute(Struct, frozen=True, array_like=True):
    """An application server that takes work."""

    application: str
    identity: str
    address: str
    zone: str


class LoadEstimate(Struct, frozen=True, array_like=True):
    """When an artifact that is not ready is expected to be."""

    artifact: Artifact
    seconds: float


class RoutingUpdate(Message, frozen=True, tag=True, array_like=True):
    """The controller's view of where requests can go.

    :param base: the sequence that this one changes; 0 for one that stands alone.
    :param engines: all engines, or those that changed since ``base``.
    :param removed: engines that are no longer there since ``base``.
    """

    cell: str
    stamp: Stamp
    sequence: int
    base: int
    engines: tuple[EngineRoute, ...]
    removed: tuple[str, ...]
    applications: tuple[ApplicationRoute, ...]
    estimates: tuple[LoadEstimate, ...]
    voters: tuple[MemberInfo, ...]
    epoch: int


class RoutingRequest(Message, frozen=True, tag=True, array_like=True):
    """Ask a peer for the newest routing update that it holds."""

    cell: str


class BackendReport(Message, frozen=True, tag=True, array_like=True):
    """A router or watcher saw a back end say that it is leaving, or found it not answering."""

    cell: str
    backend: str
    leaving: bool
    failed: bool
