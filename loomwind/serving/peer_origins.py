"""Shares with the peers at which software versions streams began, without the store.

The daemon that relayed the first event of a stream knows its origin, also while the store does not
answer or the origin is not stored yet. Look-ups of a moment share one question to all peers. Each
daemon also sends its new origins to a few peers, which know them when it dies or stands still: at
once while several versions count, otherwise now and then.
"""

import asyncio
import random

from attrs import frozen

from loomwind.clock import Clock
from loomwind.logs import log_state
from loomwind.messages.serving import OriginAnswer, OriginNotice, OriginQuestion
from loomwind.peering.errors import PeerUnreachable
from loomwind.peering.transport import PeerTransport
from loomwind.serving.origin_log import OriginLog
from loomwind.serving.peers import PeerTable
from loomwind.serving.stream_origins import (
    HASH_BYTES,
    StreamOrigin,
    group_origins,
    hash_request_id,
    read_groups,
)

BATCH_MS = 15.0
REPLICAS = 3
QUIET_INTERVAL_SECONDS = 0.5
# A peer answers from memory; one that is busy, or stands still, is not waited for.
ANSWER_TIMEOUT_SECONDS = 0.15


@frozen
class PeerFinding:
    """What the peers said of a stream.

    :ivar origin: where the stream began; None if no peer knew it.
    :ivar silent: how many peers did not answer, and may know it.
    """

    origin: StreamOrigin | None
    silent: int


class _Batch:
    """The look-ups that share one question.

    :ivar findings: what is awaited, by the hash of the request ID.
    """

    def __init__(self) -> None:
        self.findings: dict[int, asyncio.Future[PeerFinding]] = {}

    def resolve(self, request_hash: int, finding: PeerFinding) -> None:
        """Pass on a finding, unless the look-up has one."""
        future = self.findings.get(request_hash)
        if future is not None and not future.done():
            future.set_result(finding)


class PeerOrigins:
    """Asks all peers for origins, and answers their questions."""

    def __init__(self, transport: PeerTransport, peers: PeerTable, origins: OriginLog) -> None:
        self._transport = transport
        self._peers = peers
        self._origins = origins
        self._clock = Clock()
        self._batch: _Batch | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def look_up(self, request_id: str) -> PeerFinding:
        """Return what the peers know of a stream; the first one that knows it decides."""
        request_hash = hash_request_id(request_id)
        if self._batch is None:
            self._batch = _Batch()
            task = asyncio.get_running_loop().create_task(self._ask_all(self._batch))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        future = self._batch.findings.setdefault(
            request_hash, asyncio.get_running_loop().create_future()
        )
        return await asyncio.shield(future)

    def answer(self, question: OriginQuestion) -> OriginAnswer:
        """Return the origins that this daemon knows of those asked for."""
        known = {
            request_hash: origin
            for request_hash in question.hashes()
            if (origin := self._origins.find_hash(request_hash)) is not None
        }
        return OriginAnswer(group_origins(known))

    def on_notice(self, notice: OriginNotice) -> None:
        """Keep the origins of a peer's streams."""
        self._origins.record_replicas(read_groups(notice.groups))

    async def run(self) -> None:
        """Replicate new origins until cancelled."""
        while True:
            await self._wait_until_due()
            if origins := self._origins.take_unreplicated():
                self._send(origins)
            await self._clock.sleep_ms(self._peers.scale_interval(BATCH_MS))

    async def _wait_until_due(self) -> None:
        try:
            async with asyncio.timeout(self._peers.scale_interval(QUIET_INTERVAL_SECONDS)):
                await self._origins.replication_due.wait()
        except TimeoutError:
            return

    def _send(self, origins: dict[int, StreamOrigin]) -> None:
        notice = OriginNotice(group_origins(origins))
        others = self._peers.others()
        for peer in random.sample(others, min(REPLICAS, len(others))):
            self._transport.send(peer.address, notice)

    async def _ask_all(self, batch: _Batch) -> None:
        """Ask all peers; each look-up of the batch gets a finding, whatever happens."""
        silent = 1
        try:
            await self._clock.sleep_ms(self._peers.scale_interval(BATCH_MS))
            self._batch = None
            silent = await self._count_silent(batch)
        except Exception as error:
            log_state("peer-origins", "failed", error=repr(error))
        finally:
            if self._batch is batch:
                self._batch = None
            for request_hash in batch.findings:
                batch.resolve(request_hash, PeerFinding(None, silent))

    async def _count_silent(self, batch: _Batch) -> int:
        """Ask all peers; returns how many of them did not answer."""
        hashes = b"".join(each.to_bytes(HASH_BYTES, "big") for each in batch.findings)
        question = OriginQuestion(hashes)
        addresses = [peer.address for peer in self._peers.others()]
        questions = (self._ask(each, question, batch) for each in addresses)
        answered = await asyncio.gather(*questions, return_exceptions=True)
        for address, answer in zip(addresses, answered, strict=True):
            if isinstance(answer, BaseException):
                log_state("peer-origins", "failed", peer=address, error=repr(answer))
        return sum(answer is not True for answer in answered)

    async def _ask(self, address: str, question: OriginQuestion, batch: _Batch) -> bool:
        """Ask one peer; returns whether it answered."""
        try:
            answer = await self._transport.call(address, question, ANSWER_TIMEOUT_SECONDS)
        except PeerUnreachable as error:
            # A process that refuses connections has lost its memory.
            return error.refused
        if not isinstance(answer, OriginAnswer):
            return False
        for request_hash, origin in read_groups(answer.groups).items():
            batch.resolve(request_hash, PeerFinding(origin, 0))
        return True
