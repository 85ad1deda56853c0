"""Messages about claims on requests that must run at most once."""

import enum

from msgspec import Struct

from loomwind.messages.identity import MemberInfo, Message, VoterId


class ClaimVerdict(enum.Enum):
    """A voter's decision on a claim.

    GRANTED: the voter recorded the claim.
    TAKEN: another claim to the key is recorded.
    SEALED: the claim belongs to an earlier generation or epoch than the voter accepts.
    NOT_READY: the voter does not have the claims of the present voters.
    BARRIER: claims of an earlier generation were lost, and may not have expired.
    """

    GRANTED = "granted"
    TAKEN = "taken"
    SEALED = "sealed"
    NOT_READY = "not-ready"
    BARRIER = "barrier"


class Claim(Message, frozen=True, tag=True, array_like=True):
    """Asks a voter to let one daemon run a request that must run at most once.

    :param generation: the generation of the voter set that decides on the claim.
    :param epoch: the epoch of that voter set.
    :param key: the key that identifies the request.
    """

    cell: str
    generation: int
    epoch: int
    key: str
    claimant: VoterId
    attempt: int


class ClaimAnswer(Message, frozen=True, tag=True, array_like=True):
    """A voter's decision on a claim.

    :param holder: the claimant of the recorded claim to the key; None if there is none.
    """

    voter: VoterId
    verdict: ClaimVerdict
    holder: VoterId | None = None


class ClaimRelease(Message, frozen=True, tag=True, array_like=True):
    """Withdraws a claim: the request did not run under it, and will not."""

    cell: str
    key: str
    claimant: VoterId
    attempt: int


class ClaimTransferRequest(Message, frozen=True, tag=True, array_like=True):
    """Requests a voter's claims for a new voter.

    The voter grants no claims in earlier epochs afterwards, since the new voter would miss them.
    """

    cell: str
    generation: int
    epoch: int


class ClaimRecord(Struct, frozen=True, array_like=True):
    """A recorded claim.

    :param age_seconds: the time since it was granted.
    """

    key: str
    claimant: VoterId
    attempt: int
    age_seconds: float


class ClaimTransfer(Message, frozen=True, tag=True, array_like=True):
    """The claims of one voter.

    :param ready: whether this voter has all earlier claims, and so can grant claims itself.
    """

    voter: VoterId
    ready: bool
    records: tuple[ClaimRecord, ...]


class AdmitVoter(Message, frozen=True, tag=True, array_like=True):
    """Asks a daemon to become a voter, by fetching the claims of the present voters.

    :param present: the present voters whose addresses are known.
    :param voter_count: the number of present voters, including those with unknown addresses.
    """

    cell: str
    generation: int
    epoch: int
    present: tuple[MemberInfo, ...]
    voter_count: int


class VoterAdmitted(Message, frozen=True, tag=True, array_like=True):
    """Reports whether the daemon has the claims of a majority of the present voters."""

    ready: bool
