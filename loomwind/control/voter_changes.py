"""Keeps the voter set complete: replaces voters that failed or are leaving.

A new voter first fetches the claims of a majority of the present voters; see ``claims``.
"""

import asyncio

from loomwind.control.claims import ClaimStore
from loomwind.control.register_service import RegisterService
from loomwind.control.voter_set import choose_voters, has_live_majority
from loomwind.membership.detector import MemberState
from loomwind.membership.service import Membership
from loomwind.messages import (
    AdmitVoter,
    ClaimTransfer,
    ClaimTransferRequest,
    MemberInfo,
    VoterAdmitted,
    VoterId,
)
from loomwind.peering.errors import PeerUnreachable
from loomwind.peering.transport import PeerTransport

ADMISSION_TIMEOUT_SECONDS = 2.0


class VoterChanges:
    """Changes the voter set: the controller's side and the new voter's side."""

    def __init__(
        self,
        register: RegisterService,
        membership: Membership,
        transport: PeerTransport,
        claims: ClaimStore,
        voter_count: int,
    ) -> None:
        self._register = register
        self._membership = membership
        self._transport = transport
        self._claims = claims
        self._voter_count = voter_count

    async def repair(self) -> bool:
        """Replace voters that failed or are leaving, and add missing ones; only while leading.

        :returns: whether the voter set changed.
        :raises RegisterUnavailable: the change may or may not be committed.
        """
        current = self._register.committed.voters
        alive = self._membership.alive()
        suspects = self._membership.detector.in_state(MemberState.SUSPECT)
        target = choose_voters(current, alive + [m.info for m in suspects], self._voter_count)
        if set(target) == set(current) or not has_live_majority(current, alive):
            return False
        for voter in target:
            if voter not in current and not await self._admit(voter):
                return False
        await self._register.change_voters(target)
        return True

    async def _admit(self, voter: VoterId) -> bool:
        info = self._register.info(voter)
        if info is None:
            return False
        message = AdmitVoter(
            cell=self._register.cell,
            generation=self._register.generation,
            epoch=self._register.committed.epoch + 1,
            present=self._register.voter_infos(),
            voter_count=len(self._register.voters),
        )
        if voter == self._membership.own.identity:
            return (await self.on_admit(message)).ready
        try:
            answer = await self._transport.call(info.address, message, ADMISSION_TIMEOUT_SECONDS)
        except PeerUnreachable:
            return False
        return isinstance(answer, VoterAdmitted) and answer.ready

    async def on_admit(self, message: AdmitVoter) -> VoterAdmitted:
        """Prepare to become a voter by fetching the claims of a majority of the present voters."""
        request = ClaimTransferRequest(message.cell, message.generation, message.epoch)
        transfers = await asyncio.gather(
            *(self._fetch_claims(info, request) for info in message.present)
        )
        ready = [transfer for transfer in transfers if transfer is not None and transfer.ready]
        if 2 * len(ready) <= message.voter_count:
            return VoterAdmitted(ready=False)
        now = self._membership.now
        self._claims.import_claims(message.generation, message.epoch, ready, now)
        return VoterAdmitted(ready=True)

    async def _fetch_claims(
        self, info: MemberInfo, request: ClaimTransferRequest
    ) -> ClaimTransfer | None:
        if info.identity == self._membership.own.identity:
            return self._claims.on_transfer_request(request, self._membership.now)
        try:
            answer = await self._transport.call(info.address, request)
        except PeerUnreachable:
            return None
        if isinstance(answer, ClaimTransfer) and answer.voter == info.identity:
            return answer
        return None
