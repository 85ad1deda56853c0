"""Messages between routers and the controller: demand, routes and the state of back ends."""

from msgspec import Struct

from loomwind.messages.identity import MemberInfo, Message, VoterId
from loomwind.messages.register import Stamp
from loomwind.schema import Artifact


class DemandEntry(Struct, frozen=True, array_like=True):
    """Requests of one group for one artifact at one router.

    :param waiting: the number of queued requests.
    :param running: the number of running requests.
    :param arrivals: the number of requests that arrived since the last report.
    :param nearest_deadline_seconds: the time until the earliest deadline of a waiting request.
    """

    artifact: Artifact
    group: str
    waiting: int
    running: int
    arrivals: int
    nearest_deadline_seconds: float


class DemandReport(Message, frozen=True, tag=True, array_like=True):
    """Reports the queued and running requests of one router."""

    cell: str
    router: VoterId
    entries: tuple[DemandEntry, ...]


class GroupPlaces(Struct, frozen=True, array_like=True):
    """One group's part of an engine's slots at a router.

    :param places: the number of slots; may be fractional.
    """

    group: str
    places: float


class EngineRoute(Struct, frozen=True, array_like=True):
    """An engine, with the replicas that are ready on it.

    :param slots: how many requests this router may run on the engine concurrently.
    :param places: how the slots are divided among the groups that have demand.
    """

    engine: str
    address: str
    zone: str
    slots: int
    replicas: tuple[Artifact, ...]
    places: tuple[GroupPlaces, ...] = ()


class ApplicationRoute(Struct, frozen=True, array_like=True):
    """An application server that accepts requests."""

    application: str
    identity: str
    address: str
    zone: str


class LoadEstimate(Struct, frozen=True, array_like=True):
    """When an artifact that is not ready is expected to become ready.

    :param seconds: the expected time until then.
    """

    artifact: Artifact
    seconds: float


class RoutingUpdate(Message, frozen=True, tag=True, array_like=True):
    """Distributes the controller's routing table, in full or as a change.

    :param base: the sequence number of the update that this one changes; 0 for a full table.
    :param engines: all engines, or those that changed since ``base``.
    :param removed: the engines that were removed since ``base``.
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
    """Requests the newest routing update that a peer has."""

    cell: str


class BackendReport(Message, frozen=True, tag=True, array_like=True):
    """Reports that a router or watcher observed a back end leaving or failing.

    :param leaving: whether the back end announced that it is shutting down.
    :param failed: whether it did not answer.
    """

    cell: str
    backend: str
    leaving: bool
    failed: bool
