"""Claims: the voters' record of which daemon may run a request that must run at most once.

A claim is valid once a majority of a voter set has granted it. When the voter set changes, the new
voter first fetches the claims of a majority of the old set. The voters that send them grant no more
claims in the old epoch, so that no claim is granted twice across the change. This module is the
voter side: a state machine without I/O, to which times are passed in seconds.
"""

from msgspec import Struct

from loomwind.messages import (
    Claim,
    ClaimAnswer,
    ClaimRecord,
    ClaimRelease,
    ClaimTransfer,
    ClaimTransferRequest,
    ClaimVerdict,
    VoterId,
)


class GrantedClaim(Struct, frozen=True):
    """A claim that this voter granted or fetched from another voter."""

    claimant: VoterId
    attempt: int
    granted_at: float


NO_CLAIMANT = VoterId("", "")


def _merge_claim(granted: GrantedClaim | None, fetched: GrantedClaim) -> GrantedClaim:
    """Return the claim to keep after another one to the same key was fetched.

    If two claims to a key were granted, it stays blocked for all: either may have a majority of
    the earlier voters. The specification's ``claim-conflict`` mutation shows the failure otherwise.
    """
    if granted is None:
        return fetched
    same = (granted.claimant, granted.attempt) == (fetched.claimant, fetched.attempt)
    granted_at = max(granted.granted_at, fetched.granted_at)
    return GrantedClaim(fetched.claimant if same else NO_CLAIMANT, fetched.attempt, granted_at)


class ClaimStore:
    """The claims of one voter.

    Claims expire after the retention time, which is documented for callers.
    """

    def __init__(self, identity: VoterId, retention_seconds: float) -> None:
        self._identity = identity
        self._retention_seconds = retention_seconds
        self._claims: dict[str, GrantedClaim] = {}
        self._generation = 0
        self._sealed_epoch = 0
        self._ready = False
        self._barrier_until = 0.0

    def __len__(self) -> int:
        return len(self._claims)

    def start_generation(self, generation: int, now: float) -> None:
        """Become ready as one of the first voters of a generation.

        The claims of an earlier generation are lost. Until they would have expired, the voter
        grants no claims: it cannot know whether a request with the same key ran already.
        """
        if generation <= self._generation:
            return
        self._generation = generation
        self._sealed_epoch = 0
        self._ready = True
        if generation > 1:
            self._barrier_until = now + self._retention_seconds

    def on_claim(self, claim: Claim, now: float) -> ClaimAnswer:
        """Answer a claim. A repeated claim of the same attempt is granted again."""
        self._expire_claims(now)
        verdict = self._decide(claim, now)
        granted = self._claims.get(claim.key)
        return ClaimAnswer(self._identity, verdict, granted.claimant if granted else None)

    def _decide(self, claim: Claim, now: float) -> ClaimVerdict:
        if not self._ready:
            return ClaimVerdict.NOT_READY
        if (claim.generation, claim.epoch) < (self._generation, self._sealed_epoch):
            return ClaimVerdict.SEALED
        if now < self._barrier_until:
            return ClaimVerdict.BARRIER
        granted = self._claims.get(claim.key)
        if granted is None:
            self._claims[claim.key] = GrantedClaim(claim.claimant, claim.attempt, now)
            return ClaimVerdict.GRANTED
        same = (granted.claimant, granted.attempt) == (claim.claimant, claim.attempt)
        return ClaimVerdict.GRANTED if same else ClaimVerdict.TAKEN

    def on_release(self, release: ClaimRelease) -> None:
        """Remove a claim whose claimant reports that the request did not run."""
        granted = self._claims.get(release.key)
        if granted and (granted.claimant, granted.attempt) == (release.claimant, release.attempt):
            del self._claims[release.key]

    def _expire_claims(self, now: float) -> None:
        """Remove claims past the retention time; the dictionary is ordered by grant time."""
        while self._claims:
            key, oldest = next(iter(self._claims.items()))
            if now - oldest.granted_at < self._retention_seconds:
                return
            del self._claims[key]

    def on_transfer_request(self, request: ClaimTransferRequest, now: float) -> ClaimTransfer:
        """Return all claims, and grant none in an earlier epoch from now on."""
        self._expire_claims(now)
        if request.generation == self._generation:
            self._sealed_epoch = max(self._sealed_epoch, request.epoch)
        records = tuple(
            ClaimRecord(key, granted.claimant, granted.attempt, now - granted.granted_at)
            for key, granted in self._claims.items()
        )
        return ClaimTransfer(self._identity, self._ready, records)

    def import_claims(
        self, generation: int, epoch: int, transfers: list[ClaimTransfer], now: float
    ) -> None:
        """Take in the claims of a majority of the earlier voter set, and become ready."""
        merged = dict(self._claims)
        for transfer in transfers:
            for record in transfer.records:
                granted_at = now - record.age_seconds
                fetched = GrantedClaim(record.claimant, record.attempt, granted_at)
                merged[record.key] = _merge_claim(merged.get(record.key), fetched)
        self._claims = dict(sorted(merged.items(), key=lambda item: item[1].granted_at))
        self._generation = generation
        self._sealed_epoch = epoch
        self._ready = True
