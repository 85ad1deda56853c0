"""Messages of the register, which replicates a cell's placement by a Paxos-like protocol."""

from msgspec import Struct

from loomwind.messages.identity import Message, VoterId
from loomwind.schema import Artifact


class Ballot(Struct, frozen=True, order=True, array_like=True):
    """The number of a leadership attempt; unique, since it contains the candidate's identity."""

    round: int = 0
    candidate: VoterId = VoterId("", "")


class Intent(Struct, frozen=True, order=True, array_like=True):
    """A decision that an engine instance may hold an artifact, with the memory reserved for it.

    :param engine: the engine's name.
    :param instance: the ID of the engine instance; a restarted engine has lost its artifacts.
    :param memory_mib: the reserved accelerator memory in MiB.
    """

    engine: str
    instance: str
    artifact: Artifact
    memory_mib: int


class Stamp(Struct, frozen=True, order=True, array_like=True):
    """Orders register values by generation, then ballot, then version."""

    generation: int = 0
    ballot: Ballot = Ballot()
    version: int = 0


class RegisterValue(Struct, frozen=True, array_like=True):
    """The replicated value: the cell's placement map and its voter set.

    :param joint: the previous voter set until a majority of both sets accepts the change.
    :param epoch: the number of the voter set within the generation.
    :param fenced_engines: the engines that were fenced and read in this generation. The contents of
        other engines are unknown.
    :param intents: the artifacts that engines may hold.
    """

    stamp: Stamp
    voters: tuple[VoterId, ...]
    joint: tuple[VoterId, ...] = ()
    epoch: int = 0
    fenced_engines: tuple[str, ...] = ()
    intents: tuple[Intent, ...] = ()


class Prepare(Message, frozen=True, tag=True, array_like=True):
    """Asks a voter to promise that it accepts no lower ballot."""

    cell: str
    generation: int
    ballot: Ballot


class Promise(Message, frozen=True, tag=True, array_like=True):
    """A voter's promise, with the last value that it accepted."""

    cell: str
    voter: VoterId
    generation: int
    ballot: Ballot
    accepted: RegisterValue | None


class Accept(Message, frozen=True, tag=True, array_like=True):
    """Asks a voter to accept a value."""

    cell: str
    value: RegisterValue


class Accepted(Message, frozen=True, tag=True, array_like=True):
    """Confirms that a voter accepted the value of this stamp, or a newer one of the same ballot."""

    cell: str
    voter: VoterId
    stamp: Stamp


class Refused(Message, frozen=True, tag=True, array_like=True):
    """Refuses a message: the voter promised a higher ballot, or is in a newer generation."""

    cell: str
    voter: VoterId
    generation: int
    promised: Ballot
