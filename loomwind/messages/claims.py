"""Claims on requests that run at most once, and their transfer to new voters."""

import enum

from msgspec import Struct

from loomwind.messages.identity import MemberInfo, Message, VoterId


class ClaimVerdict(enum.Enum):
    """What a voter says to a claim."""

    GRANTED = "granted"
    TAKEN = "taken"
    SEALED = "sealed"
    NOT_READY = "not-ready"
    BARRIER = "barrier"


class Claim(Message, frozen=True, tag=True, array_like=True):
    """Ask a voter to record that one daemon may run a request that must run at most once.

    :param generation: generation of the voter set that the claim counts in.
    :param epoch: epoch of that voter set.
    """

    cell: str
    generation: int
    epoch: int
    key: str
    claimant: VoterId
    attempt: int


class ClaimAnswer(Message, frozen=True, tag=True, array_like=True):
    """A voter's verdict on a claim; ``holder`` has the key when it is taken."""

    voter: VoterId
    verdict: ClaimVerdict
    holder: VoterId | None = None


class ClaimRelease(Message, frozen=True, tag=True, array_like=True):
    """The claimant says that the request did not run under its claim, and will not."""

    cell: str
    key: str
    claimant: VoterId
    attempt: int


class ClaimTransferRequest(Message, frozen=True, tag=True, array_like=True):
    """A new voter asks an earlier one for its claims, and to grant none in an earlier epoch."""

    cell: str
    generation: int
    epoch: int


class ClaimRecord(Struct, frozen=True, array_like=True):
    """A recorded claim. ``age_seconds`` is how long ago it was granted."""

    key: str
    claimant: VoterId
    attempt: int
    age_seconds: float


class ClaimTransfer(Message, frozen=True, tag=True, array_like=True):
    """The claims of one voter; ``ready`` says whether it was itself ready to grant."""

    voter: VoterId
    ready: bool
    records: tuple[ClaimRecord, ...]


class AdmitVoter(Message, frozen=True, tag=True, array_like=True):
    """The controller asks a daemon to become a voter: to fetch the claims of the present ones.

    :param voter_count: how many present voters there are, also where an address is not known.
    """

    cell: str
    generation: int
    epoch: int
    present: tuple[MemberInfo, ...]
    voter_count: int


class VoterAdmitted(Message, frozen=True, tag=True, array_like=True):
    """Whether the daemon has the claims of a majority of the present voters."""

    ready: bool
