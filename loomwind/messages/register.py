"""The register: ballots, values, promises and acknowledgements."""

from msgspec import Struct

from loomwind.messages.identity import Message, VoterId
from loomwind.schema import Artifact


class Ballot(Struct, frozen=True, order=True, array_like=True):
    """A candidate's claim to lead; unique, since it carries the candidate's identity."""

    round: int = 0
    candidate: VoterId = VoterId("", "")


class Intent(Struct, frozen=True, order=True, array_like=True):
    """A decision that one life of an engine may hold an artifact, and the memory reserved for it.

    :param engine: the engine's name.
    :param instance: the engine's life; a restarted engine holds nothing of an earlier one.
    :param memory_mib: accelerator memory in MiB.
    """

    engine: str
    instance: str
    artifact: Artifact
    memory_mib: int


class Stamp(Struct, frozen=True, order=True, array_like=True):
    """The age of a register value: generation first, then ballot, then version."""

    generation: int = 0
    ballot: Ballot = Ballot()
    version: int = 0


class RegisterValue(Struct, frozen=True, array_like=True):
    """What the voters hold: the cell's placement map and the voter set itself.

    :param joint: the earlier voter set while a change of voters is not yet settled.
    :param epoch: counts the voter sets of the generation.
    :param fenced_engines: engines that were fenced and read in this generation. What any other
        engine holds is not known.
    """

    stamp: Stamp
    voters: tuple[VoterId, ...]
    joint: tuple[VoterId, ...] = ()
    epoch: int = 0
    fenced_engines: tuple[str, ...] = ()
    intents: tuple[Intent, ...] = ()


class Prepare(Message, frozen=True, tag=True, array_like=True):
    """Ask a voter to promise that it accepts no lower ballot."""

    cell: str
    generation: int
    ballot: Ballot


class Promise(Message, frozen=True, tag=True, array_like=True):
    """A voter's promise, with the value that it accepted last."""

    cell: str
    voter: VoterId
    generation: int
    ballot: Ballot
    accepted: RegisterValue | None


class Accept(Message, frozen=True, tag=True, array_like=True):
    """Ask a voter to hold a value."""

    cell: str
    value: RegisterValue


class Accepted(Message, frozen=True, tag=True, array_like=True):
    """A voter holds the value of that stamp, or a newer one of the same ballot."""

    cell: str
    voter: VoterId
    stamp: Stamp


class Refused(Message, frozen=True, tag=True, array_like=True):
    """A voter has promised a higher ballot, or is in a newer generation."""

    cell: str
    voter: VoterId
    generation: int
    promised: Ballot
