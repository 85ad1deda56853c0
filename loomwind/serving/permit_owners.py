"""Asks the daemons that keep servers' ledgers for permits, and keeps those of other servers.

Rendezvous hashing ranks the daemons for each server. The first one that answers keeps its ledger;
without an answer of the first few, a daemon keeps to its share of what the server takes.
"""

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable, Iterable

from attrs import define

from loomwind.clock import MS_PER_SECOND, Clock
from loomwind.leadership.lease import LeaseHolder
from loomwind.logs import log_state
from loomwind.messages.serving import PermitGrants, PermitQuestion, PermitReport
from loomwind.metrics import Metrics
from loomwind.peering.errors import PeerUnreachable
from loomwind.peering.transport import PeerTransport
from loomwind.serving.peers import PeerTable
from loomwind.serving.permit_ledger import (
    PermitGrant,
    PermitHolder,
    PermitLedger,
    PermitStatement,
)
from loomwind.serving.server_cost import rendezvous_score

OWNERS_ASKED = 3
ANSWER_TIMEOUT_SECONDS = 0.15
# A daemon that did not answer is passed over for so long, one that refuses connections for longer.
SILENT_MS = 1000.0
REFUSED_MS = 3000.0
RANKING_VALID_MS = 1000.0
# A daemon that has just started is in its peers' lists within a few calls of the store.
LISTED_AFTER_MS = 2000.0
# Paused servers, and limits that rise, have places without a word from any daemon.
REVIEW_INTERVAL_MS = 100.0


@define
class _Ranking:
    addresses: list[str]
    expires_ms: float


class PermitOwners:
    """This daemon's end of the permit protocol.

    :ivar on_grant: called with permits that were granted to this daemon.
    """

    def __init__(
        self,
        own: LeaseHolder,
        transport: PeerTransport,
        peers: PeerTable,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        """Initialize the permit protocol.

        :param own: identifies this daemon's process.
        """
        self._own = PermitHolder(own.address, own.incarnation)
        self._transport = transport
        self._peers = peers
        self._metrics = metrics
        self._clock = clock
        self._ledger = PermitLedger()
        self._rankings: dict[str, _Ranking] = {}
        self._passed_over_until_ms: dict[str, float] = {}
        self._lone_next_ms: dict[str, float] = {}
        self._started_ms = clock.now_ms()
        self.on_grant: Callable[[PermitGrant], None] = lambda grant: None

    @property
    def interval_scale(self) -> float:
        """Return by how much intervals are stretched in a large fleet."""
        return self._peers.scale_interval(1.0)

    # Statements of this daemon.

    async def ask(self, statement: PermitStatement) -> PermitGrant:
        """State what this daemon wants, and return what is granted at once."""
        for address in self._owners(statement.instance):
            if address == self._own.address:
                return self._record(self._own, statement)
            try:
                grants = await self._call(address, (statement,))
            except PeerUnreachable as error:
                self._pass_over(address, error)
                continue
            return grants[0]
        return self._grant_alone(statement)

    async def _call(
        self, address: str, statements: tuple[PermitStatement, ...]
    ) -> tuple[PermitGrant, ...]:
        question = PermitQuestion(self._own, statements)
        answer = await self._transport.call(address, question, ANSWER_TIMEOUT_SECONDS)
        if not isinstance(answer, PermitGrants) or len(answer.grants) != len(statements):
            raise PeerUnreachable(f"{address} does not know permits")
        return answer.grants

    def _pass_over(self, address: str, error: PeerUnreachable) -> None:
        for_ms = REFUSED_MS if error.refused else SILENT_MS
        self._passed_over_until_ms[address] = self._clock.now_ms() + for_ms
        log_state("permits", "owner-silent", owner=address, error=str(error))

    def report(self, statements: Iterable[PermitStatement]) -> None:
        """State what is in progress and wanted, without waiting for an answer."""
        for address, stated in self._by_owner(statements).items():
            if address == self._own.address:
                self._record_own(stated)
            else:
                self._transport.send(address, PermitReport(self._own, tuple(stated)))

    async def renew(self, statements: Iterable[PermitStatement]) -> None:
        """State what is in progress and wanted; finds out which owners don't answer."""
        renewals = (self._renew(owner, each) for owner, each in self._by_owner(statements).items())
        await asyncio.gather(*renewals)

    async def _renew(self, owner: str, statements: list[PermitStatement]) -> None:
        if owner == self._own.address:
            self._record_own(statements)
            return
        try:
            grants = await self._call(owner, tuple(statements))
        except PeerUnreachable as error:
            self._pass_over(owner, error)
            return
        for grant in grants:
            self.on_grant(grant)

    def _record_own(self, statements: Iterable[PermitStatement]) -> None:
        for statement in statements:
            self.on_grant(self._record(self._own, statement))

    def _grant_alone(self, statement: PermitStatement) -> PermitGrant:
        """Grant this daemon's share of what the server is known to take, or else of rejections."""
        daemon_count = len(self._peers.others()) + 1
        share = min(statement.slots, statement.shown) // daemon_count
        if self._is_starting():
            count = 0
        elif share or statement.held or not statement.wanted:
            count = max(0, min(statement.wanted, share - statement.held))
        else:
            count = self._grant_paced(statement, daemon_count)
        self._metrics.permits.labels("alone").inc(count)
        number = statement.noticed + 1
        return PermitGrant(statement.instance, number, count, max(1, share), statement.wanted)

    def _is_starting(self) -> bool:
        """Whether the number of daemons is not known yet."""
        is_new = self._clock.now_ms() - self._started_ms < LISTED_AFTER_MS
        return is_new and not self._peers.is_listed

    def _grant_paced(self, statement: PermitStatement, daemon_count: int) -> int:
        """Grant one permit at a time; the first one at random, as other daemons may begin too."""
        now_ms = self._clock.now_ms()
        pause_ms = MS_PER_SECOND * daemon_count / max(1, statement.max_rejections)
        next_ms = self._lone_next_ms.get(statement.instance, float("-inf"))
        if next_ms < now_ms - pause_ms:
            self._lone_next_ms[statement.instance] = now_ms + random.uniform(0.0, pause_ms)
            return 0
        if now_ms < next_ms:
            return 0
        self._lone_next_ms[statement.instance] = now_ms + pause_ms
        return 1

    # The ledgers that are kept here.

    def answer(self, question: PermitQuestion) -> PermitGrants:
        """Record what a peer states, and return what is granted to it."""
        return PermitGrants(
            tuple(self._record(question.sender, each) for each in question.statements)
        )

    def on_report(self, report: PermitReport) -> None:
        """Record what a peer states; it is told what is granted to it."""
        for statement in report.statements:
            grant = self._record(report.sender, statement)
            if grant.count:
                self._transport.send(report.sender.address, PermitGrants((grant,)))

    def on_grants(self, message: PermitGrants) -> None:
        """Use the permits that a peer grants."""
        for grant in message.grants:
            self.on_grant(grant)

    async def run(self) -> None:
        """Grant places that are free without a word from any daemon, until cancelled."""
        while True:
            await self._clock.sleep_ms(REVIEW_INTERVAL_MS * self.interval_scale)
            for instance in self._ledger.waited_for():
                before = self._ledger.limit_of(instance)
                self._grant(instance)
                self._log_limit(instance, before)

    def _record(self, daemon: PermitHolder, statement: PermitStatement) -> PermitGrant:
        """Record a statement, and send other daemons what is granted to them.

        :returns: the grant of the daemon that made the statement.
        """
        instance = statement.instance
        before = self._ledger.limit_of(instance)
        self._ledger.record(
            daemon,
            statement,
            self.interval_scale,
            self._clock.now_ms(),
            is_substitute=self._ranking(instance).addresses[:1] != [self._own.address],
        )
        granted = self._grant(instance, but=daemon)
        self._log_limit(instance, before, statement, daemon.address)
        return granted if granted is not None else self._ledger.no_grant(instance)

    def _grant(self, instance: str, but: PermitHolder | None = None) -> PermitGrant | None:
        """Grant what is free, and tell the daemons; returns the grant of the one left out."""
        daemon_count = len(self._peers.others()) + 1
        grants = self._ledger.grant(instance, daemon_count, self._clock.now_ms())
        answered = grants.pop(but, None) if but is not None else None
        for daemon, grant in grants.items():
            if daemon == self._own:
                self.on_grant(grant)
            else:
                self._transport.send(daemon.address, PermitGrants((grant,)))
        return answered

    def _log_limit(
        self,
        instance: str,
        before: int | None,
        statement: PermitStatement | None = None,
        sender: str = "",
    ) -> None:
        limit = self._ledger.limit_of(instance)
        if limit == before:
            return
        log_state(
            "permits",
            "limit-changed",
            server=instance,
            limit=limit,
            slots=statement.slots if statement else None,
            in_progress=self._ledger.total(instance),
            rejected=statement.rejected if statement else 0,
            refused=statement.refused if statement else 0,
            teller=sender,
        )

    # The ranking of owners.

    def _by_owner(self, statements: Iterable[PermitStatement]) -> dict[str, list[PermitStatement]]:
        grouped: defaultdict[str, list[PermitStatement]] = defaultdict(list)
        for statement in statements:
            if owners := self._owners(statement.instance):
                grouped[owners[0]].append(statement)
        return grouped

    def _owners(self, instance: str) -> list[str]:
        """Return the daemons that may keep a server's ledger, the first one first.

        Empty while this daemon is in nobody's list, since others would not ask it either.
        """
        now_ms, passed_over = self._clock.now_ms(), self._passed_over_until_ms
        addresses = self._ranking(instance).addresses
        return [each for each in addresses if passed_over.get(each, 0.0) <= now_ms]

    def _ranking(self, instance: str) -> _Ranking:
        now_ms = self._clock.now_ms()
        ranking = self._rankings.get(instance)
        if ranking is None or ranking.expires_ms <= now_ms:
            ranking = _Ranking(self._rank(instance), now_ms + RANKING_VALID_MS)
            self._rankings[instance] = ranking
        return ranking

    def _rank(self, instance: str) -> list[str]:
        if not self._peers.is_listed:
            return []
        addresses = [self._own.address, *(peer.address for peer in self._peers.others())]
        addresses.sort(key=lambda address: rendezvous_score(instance, address), reverse=True)
        return addresses[:OWNERS_ASKED]

    def retain_only(self, instances: set[str]) -> None:
        """Drop the state of all servers but the given ones."""
        self._ledger.retain_only(instances, self._clock.now_ms())
        self._rankings = {k: v for k, v in self._rankings.items() if k in instances}
        self._lone_next_ms = {k: v for k, v in self._lone_next_ms.items() if k in instances}
