"""Messages between daemons that serve one pool: demand, holdings, and newer contents."""

from msgspec import Struct

from loomwind.leadership.lease import LeaseHolder
from loomwind.messages.identity import Message
from loomwind.serving.demand import RunningCount, TargetDemand
from loomwind.serving.expectations import ExpectedTarget
from loomwind.serving.residency import LearnedConcurrencyLimit, ServerHolding


class PoolDemand(Message, frozen=True, tag=True, array_like=True):
    """Told to the leader: what callers of a daemon ask for, and what runs for them.

    :param sender: the daemon's name.
    :param store_answers: whether the daemon reaches the store.
    :param next_in_ms: the time until the daemon's next report; longer in a large fleet.
    :param cut_services: the services whose servers it does not reach.
    """

    sender: str
    demand: tuple[TargetDemand, ...]
    running: tuple[RunningCount, ...]
    store_answers: bool = True
    next_in_ms: float = 0.0
    cut_services: tuple[str, ...] = ()


class LeaderQuestion(Message, frozen=True, tag=True, array_like=True):
    """Asked of the daemon that holds the lease: does that life still run?"""


class LeaderAnswer(Message, frozen=True, tag=True, array_like=True):
    """Names the life that answers.

    :param lease_version: the version at which it wrote the lease's row last; 0 when it does not
        lead.
    :param store_answers: whether it reaches the store.
    """

    life: str
    lease_version: int = 0
    store_answers: bool = True


class LeaseNotice(Message, frozen=True, tag=True, array_like=True):
    """Told by the daemon that wrote the lease's row.

    :param holder: who holds the lease now; None when it was given up.
    :param version: the row's version after the write.
    :param store_answers: whether the daemon reaches the store.
    """

    holder: LeaseHolder | None
    version: int
    store_answers: bool


class PoolHoldings(Message, frozen=True, tag=True, array_like=True):
    """Told by the leader: what servers hold, as it has read it.

    :param fence: the leader's fence; a lower one than was heard is ignored.
    :param paces: what it has learned of the weight store, for the next leader.
    """

    fence: int
    holdings: tuple[ServerHolding, ...]
    paces: tuple[LearnedConcurrencyLimit, ...] = ()


class PoolExpectations(Message, frozen=True, tag=True, array_like=True):
    """Told by the leader to a daemon whose requests wait: when their models should be there.

    :param fence: the leader's fence; a lower one than was heard is ignored.
    """

    fence: int
    expected: tuple[ExpectedTarget, ...]


class PoolDigest(Message, frozen=True, tag=True, array_like=True):
    """What a daemon knows, by version, so that a peer that knows more can send it.

    :param sender: ``host:port`` of the daemon for peers.
    :param store_answers: whether the daemon reaches the store.
    :param prompt_crashes: what it knows of prompts that crash servers, as one number; 0 for none.
    """

    sender: str
    configuration_version: int
    server_version: int
    store_answers: bool
    prompt_crashes: int = 0


class ConfigurationNotice(Message, frozen=True, tag=True, array_like=True):
    """Told by a daemon that has a version of the configuration in force.

    :param teller: ``host:port`` of the daemon for peers.
    """

    teller: str
    version: int


class ConfigurationQuestion(Message, frozen=True, tag=True, array_like=True):
    """Asks a peer for its configuration.

    :param version: what the asker has in force.
    """

    version: int


class ConfigurationCopy(Message, frozen=True, tag=True, array_like=True):
    """The configuration's document, compressed by zlib."""

    version: int
    document: bytes


class ServerListQuestion(Message, frozen=True, tag=True, array_like=True):
    """Asked of a daemon that follows the store's list of servers.

    :param version: what the asker knows.
    :param wait_ms: how long the answer may wait for a change.
    """

    version: int
    wait_ms: int


class ServerDocument(Message, frozen=True, tag=True, array_like=True):
    """One server's entry as it stands in the store."""

    name: str
    document: bytes


class DirectoryCopy(Message, frozen=True, tag=True, array_like=True):
    """The servers' entries for a peer: all that are listed, and those that it does not know.

    :param version: the store's version that they stand at.
    :param listed: the names of all entries; one that is missing is gone.
    :param servers: the entries that changed since the peer's version.
    :param store_in_trouble: whether entries may be missing without a cause.
    """

    version: int
    listed: tuple[str, ...]
    servers: tuple[ServerDocument, ...]
    store_in_trouble: bool = False


class ServerListAnswer(Message, frozen=True, tag=True, array_like=True):
    """What changed in the list of servers.

    :param held_ms: how long the answer has waited for a change.
    :param age_ms: how long ago the store last told the daemon that answers.
    :param copy: the changes; None when there is none.
    """

    held_ms: float
    age_ms: float
    copy: DirectoryCopy | None = None


class ServerDeparture(Message, frozen=True, array_like=True):
    """One life of a server that gets no new work.

    :param instance: names the life.
    :param version: the store's version at which it was known to leave.
    :param listed: whether its entry says so; otherwise the entry is gone.
    """

    name: str
    instance: str
    version: int
    listed: bool


class ServerDepartures(Message, frozen=True, tag=True, array_like=True):
    """Told by a daemon that has just learned which servers leave.

    :param teller: ``host:port`` of the daemon for peers.
    """

    teller: str
    departures: tuple[ServerDeparture, ...]


class PromptCrash(Struct, frozen=True, array_like=True):
    """A server ended as it began to answer a request.

    :param identity: names a part of the request's prompt that others may share.
    :param position: the part's place in the prompt, from 0.
    :param instance: names the life of the server.
    :param age_ms: how long ago it was.
    """

    identity: str
    position: int
    instance: str
    age_ms: float


class PromptCrashes(Message, frozen=True, tag=True, array_like=True):
    """Told by a daemon that has just learned of crashes, or that knows more than a peer.

    :param teller: ``host:port`` of the daemon for peers.
    """

    teller: str
    crashes: tuple[PromptCrash, ...]


class PromptsAnswered(Message, frozen=True, tag=True, array_like=True):
    """Names parts of prompts, suspected to crash servers, that were answered whole."""

    identities: tuple[str, ...]
