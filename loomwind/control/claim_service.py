"""The client side of claims: asks the voters before a request that may run only once is sent."""

import asyncio
import enum
import itertools
import random
from collections import Counter
from collections.abc import Callable

from msgspec import Struct

from loomwind import constants
from loomwind.control.claims import ClaimStore
from loomwind.control.errors import ClaimBarrier, ClaimTaken, ClaimUnavailable
from loomwind.membership.service import Membership
from loomwind.messages import (
    Claim,
    ClaimAnswer,
    ClaimRelease,
    ClaimVerdict,
    MemberInfo,
    RoutingUpdate,
)
from loomwind.peering.errors import PeerUnreachable
from loomwind.peering.transport import PeerTransport

BACKOFF_SECONDS = (0.005, 0.05)
CALL_TIMEOUT_SECONDS = 0.5


class ClaimHandle(Struct, frozen=True):
    """Identifies a claim of this daemon, to release it later."""

    key: str
    attempt: int


class ClaimResult(enum.Enum):
    """The result of asking all voters for a claim.

    GRANTED: a majority granted it.
    CONTESTED: at least one voter has recorded another claim to the key, which may lack a majority.
    NO_MAJORITY: too few voters granted it, and none has recorded another claim to the key.
    """

    GRANTED = enum.auto()
    CONTESTED = enum.auto()
    NO_MAJORITY = enum.auto()


class ClaimService:
    """Claims keys by getting grants from a majority of the cell's voters."""

    def __init__(
        self,
        membership: Membership,
        transport: PeerTransport,
        store: ClaimStore,
        routing: Callable[[], RoutingUpdate | None],
    ) -> None:
        self._membership = membership
        self._transport = transport
        self._store = store
        self._routing = routing
        self._attempts = itertools.count(1)
        self._random = random.Random(membership.own.identity.incarnation)

    async def claim(self, key: str, timeout: float) -> ClaimHandle:
        """Claim a key.

        :raises ClaimTaken: another request holds the claim, or may hold it.
        :raises ClaimBarrier: earlier claims were lost, and may not have expired.
        :raises ClaimUnavailable: no majority granted the claim within ``timeout`` seconds.
        """
        contested = False
        try:
            async with asyncio.timeout(min(timeout, constants.CLAIM_TIMEOUT_SECONDS)):
                while True:
                    handle = ClaimHandle(key, next(self._attempts))
                    result = await self._attempt_claim(handle)
                    if result is ClaimResult.GRANTED:
                        return handle
                    contested = result is ClaimResult.CONTESTED
                    await asyncio.sleep(self._random.uniform(*BACKOFF_SECONDS))
        except TimeoutError as error:
            if contested:
                raise ClaimTaken(f"key {key!r} may have been used before") from error
            raise ClaimUnavailable("no majority of the voters granted the key") from error

    async def _attempt_claim(self, handle: ClaimHandle) -> ClaimResult:
        """Ask all voters once, and release the grants if they are not a majority."""
        try:
            result = await self._request_grants(handle)
        except BaseException:
            self.release(handle)
            raise
        if result is not ClaimResult.GRANTED:
            self.release(handle)
        return result

    async def _request_grants(self, handle: ClaimHandle) -> ClaimResult:
        update = self._routing()
        if update is None or not update.voters:
            return ClaimResult.NO_MAJORITY
        claim = Claim(
            self._membership.own.cell,
            update.stamp.generation,
            update.epoch,
            handle.key,
            self._membership.own.identity,
            handle.attempt,
        )
        answers = await asyncio.gather(
            *(self._request_grant(info, claim) for info in update.voters)
        )
        counted = [
            answer
            for info, answer in zip(update.voters, answers, strict=True)
            if answer is not None and answer.voter == info.identity
        ]
        return self._evaluate(handle.key, counted, len(update.voters))

    @staticmethod
    def _evaluate(key: str, answers: list[ClaimAnswer], voters: int) -> ClaimResult:
        """Return the result of the voters' answers.

        :raises ClaimTaken: a majority of the voters recorded another claim, or blocked the key.
        :raises ClaimBarrier: a voter reports that earlier claims were lost.
        """
        verdicts = [answer.verdict for answer in answers]
        if ClaimVerdict.BARRIER in verdicts:
            raise ClaimBarrier("earlier claims were lost with a majority of the voters")
        if 2 * verdicts.count(ClaimVerdict.GRANTED) > voters:
            return ClaimResult.GRANTED
        holders = Counter(a.holder for a in answers if a.verdict is ClaimVerdict.TAKEN)
        if any(2 * count > voters for count in holders.values()):
            raise ClaimTaken(f"key {key!r} was used before")
        return ClaimResult.CONTESTED if holders else ClaimResult.NO_MAJORITY

    async def _request_grant(self, info: MemberInfo, claim: Claim) -> ClaimAnswer | None:
        if info.identity == self._membership.own.identity:
            return self._store.on_claim(claim, self._membership.now)
        try:
            answer = await self._transport.call(info.address, claim, CALL_TIMEOUT_SECONDS)
        except PeerUnreachable:
            return None
        return answer if isinstance(answer, ClaimAnswer) else None

    def release(self, handle: ClaimHandle) -> None:
        """Release the claim of a request that did not run and will not."""
        own = self._membership.own
        message = ClaimRelease(own.cell, handle.key, own.identity, handle.attempt)
        update = self._routing()
        for info in update.voters if update else ():
            if info.identity == own.identity:
                self._store.on_release(message)
            else:
                self._transport.send(info.address, message)
