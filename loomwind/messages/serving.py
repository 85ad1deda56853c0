"""Messages between the daemons of a pool: demand, server holdings and replicated state."""

from msgspec import Struct

from loomwind.leadership.lease import LeaseHolder
from loomwind.messages.identity import Message
from loomwind.serving.demand import RunningCount, RunningStreams, TargetDemand
from loomwind.serving.expectations import ExpectedTarget
from loomwind.serving.permit_ledger import PermitGrant, PermitHolder, PermitStatement
from loomwind.serving.rejection_limits import ServiceRejectionLimit
from loomwind.serving.residency import LearnedConcurrencyLimit, ServerHolding
from loomwind.serving.stream_origins import OriginGroup, read_hashes
from loomwind.serving.version_registry import ServiceVersions


class PoolDemand(Message, frozen=True, tag=True, array_like=True):
    """Reports a daemon's queued and running requests to the leader.

    :param sender: the daemon's name.
    :param store_answers: whether the daemon reaches the store.
    :param next_report_in_ms: the time until the daemon's next report; longer in a large fleet.
    :param unreachable_services: the services whose servers the daemon cannot connect to.
    :param streams: the running requests by model and software version.
    """

    sender: str
    demand: tuple[TargetDemand, ...]
    running: tuple[RunningCount, ...]
    store_answers: bool = True
    next_report_in_ms: float = 0.0
    unreachable_services: tuple[str, ...] = ()
    streams: tuple[RunningStreams, ...] = ()


class LeaderQuestion(Message, frozen=True, tag=True, array_like=True):
    """Asks the lease holder whether it is still running."""


class LeaderAnswer(Message, frozen=True, tag=True, array_like=True):
    """Identifies the process that answers a :class:`LeaderQuestion`.

    :param incarnation: the ID of the daemon process.
    :param lease_version: the version of its last write to the lease row; 0 if it is not the
        leader.
    :param store_answers: whether the daemon reaches the store.
    """

    incarnation: str
    lease_version: int = 0
    store_answers: bool = True


class LeaseNotice(Message, frozen=True, tag=True, array_like=True):
    """Announces a write to the lease row; sent by the daemon that wrote it.

    :param holder: the current lease holder; None if the lease was released.
    :param version: the row's version after the write.
    :param store_answers: whether the daemon reaches the store.
    """

    holder: LeaseHolder | None
    version: int
    store_answers: bool


class PoolHoldings(Message, frozen=True, tag=True, array_like=True):
    """Distributes the models held by each server, as last read by the leader.

    :param fence: the leader's fencing token; messages with a lower token than seen are ignored.
    :param store_limits: learned concurrency limits of the weight store, for the next leader.
    """

    fence: int
    holdings: tuple[ServerHolding, ...]
    store_limits: tuple[LearnedConcurrencyLimit, ...] = ()


class PoolExpectations(Message, frozen=True, tag=True, array_like=True):
    """Tells a daemon with waiting requests when the leader expects their models to be loaded.

    :param fence: the leader's fencing token; messages with a lower token than seen are ignored.
    """

    fence: int
    expected: tuple[ExpectedTarget, ...]


class PoolDigest(Message, frozen=True, tag=True, array_like=True):
    """Versions of a daemon's state, so that a peer can send what is newer.

    :param sender: the daemon's peer address, ``host:port``.
    :param store_answers: whether the daemon reaches the store.
    :param prompt_crashes: a digest of the known prompts that crash servers; 0 for none.
    """

    sender: str
    configuration_version: int
    server_version: int
    store_answers: bool
    prompt_crashes: int = 0


class ConfigurationNotice(Message, frozen=True, tag=True, array_like=True):
    """Announces the configuration version that a daemon has applied.

    :param sender: the daemon's peer address, ``host:port``.
    """

    sender: str
    version: int


class ConfigurationQuestion(Message, frozen=True, tag=True, array_like=True):
    """Requests a peer's configuration.

    :param version: the version that the requesting daemon has applied.
    """

    version: int


class ConfigurationCopy(Message, frozen=True, tag=True, array_like=True):
    """The configuration document, compressed with zlib."""

    version: int
    document: bytes


class ServerListQuestion(Message, frozen=True, tag=True, array_like=True):
    """Requests changes of the server list from a daemon that follows the store (long poll).

    :param version: the version that the requesting daemon has.
    :param wait_ms: how long the answer may be delayed until there is a change.
    """

    version: int
    wait_ms: int


class ServerDocument(Message, frozen=True, tag=True, array_like=True):
    """One server's entry as stored."""

    name: str
    document: bytes


class DirectoryCopy(Message, frozen=True, tag=True, array_like=True):
    """The server list for a peer: the names of all entries, and the entries that it lacks.

    :param version: the store version of the list.
    :param listed: the names of all entries; any other entry has been removed.
    :param servers: the entries that changed since the peer's version.
    :param store_in_trouble: whether the store recently failed, so that entries may be missing
        although their servers still run.
    :param software_versions: the registered software versions; None if the sender does not know
        every version that the list has had.
    :param versions_row: the store version of the row that they were read from.
    :param unregistered_versions: pairs of service and version that were listed, and are not
        registered as far as the sender knows.
    """

    version: int
    listed: tuple[str, ...]
    servers: tuple[ServerDocument, ...]
    store_in_trouble: bool = False
    software_versions: tuple[ServiceVersions, ...] | None = None
    versions_row: int = 0
    unregistered_versions: tuple[tuple[str, str], ...] = ()


class ServerListAnswer(Message, frozen=True, tag=True, array_like=True):
    """Changes of the server list.

    :param held_ms: how long the answer was delayed to wait for a change.
    :param age_ms: the time since the answering daemon last heard from the store.
    :param copy: the changes; None if there are none.
    """

    held_ms: float
    age_ms: float
    copy: DirectoryCopy | None = None


class OriginQuestion(Message, frozen=True, tag=True, array_like=True):
    """Asks at which software versions streams began.

    :param request_hashes: the hashes of the request IDs that brought the first events, packed.
    """

    request_hashes: bytes

    def hashes(self) -> list[int]:
        """Return the hashes one by one."""
        return read_hashes(self.request_hashes)


class OriginAnswer(Message, frozen=True, tag=True, array_like=True):
    """The origins that a daemon knows of those asked for."""

    groups: tuple[OriginGroup, ...]


class OriginNotice(Message, frozen=True, tag=True, array_like=True):
    """Replicates the origins of streams that a daemon has begun."""

    groups: tuple[OriginGroup, ...]


class PermitReport(Message, frozen=True, tag=True, array_like=True):
    """States a daemon's requests in progress at servers, and those that it would send."""

    sender: PermitHolder
    statements: tuple[PermitStatement, ...]


class PermitQuestion(Message, frozen=True, tag=True, array_like=True):
    """A :class:`PermitReport` that is answered with :class:`PermitGrants`."""

    sender: PermitHolder
    statements: tuple[PermitStatement, ...]


class PermitGrants(Message, frozen=True, tag=True, array_like=True):
    """Permits for a daemon; in an answer, one item for each statement."""

    grants: tuple[PermitGrant, ...]


class RejectionLimitNotice(Message, frozen=True, tag=True, array_like=True):
    """Tells of services whose servers fall over when they reject too many requests."""

    limits: tuple[ServiceRejectionLimit, ...]


class ServerDeparture(Message, frozen=True, array_like=True):
    """A server instance that is leaving and gets no new requests.

    :param instance: the ID of the server instance.
    :param version: the store version at which the departure was observed.
    :param listed: True if the server's entry marks it as leaving, False if the entry was removed.
    """

    name: str
    instance: str
    version: int
    listed: bool


class ServerDepartures(Message, frozen=True, tag=True, array_like=True):
    """Announces server departures that a daemon has just learned of.

    :param sender: the daemon's peer address, ``host:port``.
    """

    sender: str
    departures: tuple[ServerDeparture, ...]


class PromptCrash(Struct, frozen=True, array_like=True):
    """A server process that ended when it began to answer a request.

    :param identity: the ID of a part of the prompt that other prompts may share, or of the request.
    :param position: the zero-based position of the part in the prompt.
    :param instance: the ID of the server instance.
    :param age_ms: the time since the crash.
    :param up_ms: the time before the crash at which the server still accepted a connection; 0 if
        that is not known.
    """

    identity: str
    position: int
    instance: str
    age_ms: float
    up_ms: float = 0.0


class PromptCrashes(Message, frozen=True, tag=True, array_like=True):
    """Reports crashes that a daemon has just learned of, or that a peer may not know.

    :param sender: the daemon's peer address, ``host:port``.
    """

    sender: str
    crashes: tuple[PromptCrash, ...]


class PromptsAnswered(Message, frozen=True, tag=True, array_like=True):
    """Clears suspected prompt parts: requests with them were answered completely."""

    identities: tuple[str, ...]
