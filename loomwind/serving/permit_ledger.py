"""Grants the daemons' permits for requests to servers that must not reject many. No I/O.

For each such server one daemon keeps this ledger. A permit stands for one request in progress, and
all permits together never exceed the server's limit, which :mod:`loomwind.serving.learned_limit`
finds below its slots. Daemons state how many requests they have there and want to send in all, not
changes, so a lost message does no harm.
"""

import random

from attrs import define, field, frozen
from msgspec import Struct

from loomwind.serving.learned_limit import LearnedLimit

# How often a daemon states what it has in progress, for a daemon that takes over the ledger.
RENEWAL_MS = 300.0
# A statement holds until three renewals in a row were missed.
EXPIRY_RENEWALS = 4
# A new ledger grants little until every daemon has stated what it has.
WARM_UP_MS = 1.2 * RENEWAL_MS
# A grant that the daemon has not noticed for so long was lost.
GRANT_VALID_MS = 500.0


class PermitHolder(Struct, frozen=True, array_like=True):
    """A daemon process that sends requests.

    :param address: ``host:port`` at which peers reach it.
    """

    address: str
    incarnation: str


class PermitStatement(Struct, frozen=True, array_like=True):
    """What a daemon has at a server, and asks for.

    :param number: rises with each statement of a daemon; messages may pass each other.
    :param held: its requests in progress there.
    :param wanted: how many more it would send.
    :param noticed: the number of its last grant that it knows.
    :param rejected: how many requests were rejected for want of a place since the last statement.
    :param slots: the number of requests that the server works on at once, by its own statement.
    :param max_rejections: the rejections in a second that the server stands.
    :param is_settled: whether the server said so long enough ago for all daemons to know.
    :param refused: how many requests were rejected for another cause since the last statement.
    :param shown: what the last grant gave as ``shown``.
    """

    instance: str
    number: int
    held: int
    wanted: int
    noticed: int
    rejected: int
    slots: int
    max_rejections: int
    is_settled: bool
    refused: int = 0
    shown: int = 0


class PermitGrant(Struct, frozen=True, array_like=True):
    """Permits for a daemon, and how the server stands.

    :param number: rises with each grant to a daemon for a server.
    :param count: the number of permits; may be 0 in an answer.
    :param limit: the number of requests of all daemons that the server may have.
    :param wanted: the number of requests of all daemons that wait for it.
    :param shown: how many requests it has had at once without rejecting any; 0 if nothing is known.
    """

    instance: str
    number: int
    count: int
    limit: int
    wanted: int
    shown: int = 0


@frozen
class _Unnoticed:
    """A grant that its daemon may not know yet."""

    number: int
    count: int
    expires_ms: float


@define
class _Holding:
    """The requests of a daemon at a server, as of its newest statement."""

    number: int
    held: int
    wanted: int
    expires_ms: float
    grants: int = 0
    unnoticed: list[_Unnoticed] = field(factory=list)

    @property
    def count(self) -> int:
        """Return the requests in progress, and those that may be sent."""
        return self.held + self.unnoticed_count

    @property
    def unnoticed_count(self) -> int:
        """Return the permits that the daemon may not know yet."""
        return sum(each.count for each in self.unnoticed)

    @property
    def unserved(self) -> int:
        """Return how many requests wait that no permit is on its way for."""
        return max(0, self.wanted - self.unnoticed_count)


@define
class _ServerPermits:
    """The permits for one server.

    :ivar warm_until_ms: until when requests that nobody has stated yet may be in progress there.
    """

    learned: LearnedLimit
    warm_until_ms: float
    holdings: dict[PermitHolder, _Holding] = field(factory=dict)

    def total(self) -> int:
        """Return the number of permits of all daemons."""
        return sum(each.count for each in self.holdings.values())

    def held(self) -> int:
        """Return the requests of all daemons that are in progress for certain."""
        return sum(each.held for each in self.holdings.values())

    def wanted(self) -> int:
        """Return how many requests of all daemons wait."""
        return sum(each.unserved for each in self.holdings.values())

    def expire(self, now_ms: float) -> None:
        """Drop what daemons have stated, or were granted, too long ago."""
        expired = [name for name, each in self.holdings.items() if each.expires_ms <= now_ms]
        for name in expired:
            del self.holdings[name]
        for holding in self.holdings.values():
            holding.unnoticed = [g for g in holding.unnoticed if g.expires_ms > now_ms]


class PermitLedger:
    """The permits for all servers whose ledger this daemon keeps."""

    def __init__(self) -> None:
        self._servers: dict[str, _ServerPermits] = {}

    def limit_of(self, instance: str) -> int | None:
        """Return the number of requests that a server may have; None if it has no ledger here."""
        server = self._servers.get(instance)
        return None if server is None else server.learned.limit

    def total(self, instance: str) -> int:
        """Return the number of permits for a server."""
        server = self._servers.get(instance)
        return 0 if server is None else server.total()

    def record(
        self,
        daemon: PermitHolder,
        statement: PermitStatement,
        interval_scale: float,
        now_ms: float,
        is_substitute: bool = False,
    ) -> None:
        """Record what a daemon states; an older statement than the last one is ignored.

        :param interval_scale: by how much daemons stretch the intervals between renewals.
        :param is_substitute: whether another daemon would keep the ledger if it answered, which
            may do so for some of the daemons still.
        """
        server = self._server(statement, interval_scale, now_ms)
        server.expire(now_ms)
        server.learned.is_substitute = is_substitute
        if is_substitute and not server.holdings and statement.is_settled:
            server.warm_until_ms = now_ms + WARM_UP_MS * interval_scale
        expires_ms = now_ms + EXPIRY_RENEWALS * RENEWAL_MS * interval_scale
        holding = server.holdings.get(daemon)
        if holding is None:
            holding = _Holding(statement.number, 0, 0, expires_ms, grants=statement.noticed)
            server.holdings[daemon] = holding
        if statement.number >= holding.number:
            holding.number = statement.number
            holding.held, holding.wanted = statement.held, statement.wanted
            holding.expires_ms = expires_ms
            holding.grants = max(holding.grants, statement.noticed)
            holding.unnoticed = [g for g in holding.unnoticed if g.number > statement.noticed]
        if statement.rejected:
            server.learned.record_rejections(statement.rejected, server.total(), now_ms)
        if statement.refused:
            server.learned.record_refusals(statement.refused, now_ms)

    def grant(
        self, instance: str, daemon_count: int, now_ms: float
    ) -> dict[PermitHolder, PermitGrant]:
        """Grant the free permits for a server to the daemons whose requests wait.

        :param daemon_count: the number of daemons that may have requests in progress.
        :returns: the grants by daemon.
        """
        server = self._servers[instance]
        learned = server.learned
        learned.observe(server.held(), now_ms)
        is_warm = now_ms >= server.warm_until_ms
        share = learned.limit if is_warm else learned.limit // daemon_count
        counts: dict[PermitHolder, int] = {}
        for _ in range(learned.room(server.total(), now_ms)):
            candidates = {
                name: holding.unserved - counts.get(name, 0)
                for name, holding in server.holdings.items()
                if holding.count + counts.get(name, 0) < share
            }
            waiting = {name: count for name, count in candidates.items() if count > 0}
            if not waiting:
                break
            (daemon,) = random.choices(list(waiting), list(waiting.values()))
            counts[daemon] = counts.get(daemon, 0) + 1
        return {name: self._record_grant(instance, name, n, now_ms) for name, n in counts.items()}

    def _record_grant(
        self, instance: str, daemon: PermitHolder, count: int, now_ms: float
    ) -> PermitGrant:
        server = self._servers[instance]
        holding = server.holdings[daemon]
        holding.grants += 1
        expires_ms = now_ms + GRANT_VALID_MS
        holding.unnoticed.append(_Unnoticed(holding.grants, count, expires_ms))
        learned = server.learned
        learned.record_granted(count, now_ms)
        return PermitGrant(
            instance, holding.grants, count, learned.limit, server.wanted(), learned.shown
        )

    def no_grant(self, instance: str) -> PermitGrant:
        """Return how a server stands, for a daemon that gets no permit."""
        server = self._servers[instance]
        learned = server.learned
        return PermitGrant(instance, 0, 0, learned.limit, server.wanted(), learned.shown)

    def waited_for(self) -> list[str]:
        """Return the servers for which requests wait."""
        return [name for name, server in self._servers.items() if server.wanted()]

    def _server(
        self, statement: PermitStatement, interval_scale: float, now_ms: float
    ) -> _ServerPermits:
        server = self._servers.get(statement.instance)
        if server is None:
            warm_up_ms = WARM_UP_MS * interval_scale if statement.is_settled else 0.0
            learned = LearnedLimit.begin(statement.slots, statement.max_rejections, now_ms)
            server = _ServerPermits(learned, now_ms + warm_up_ms)
            self._servers[statement.instance] = server
        learned = server.learned
        learned.max_rejections = statement.max_rejections
        if learned.slots != statement.slots:
            learned.set_slots(statement.slots)
        if now_ms <= server.warm_until_ms:
            learned.adopt(statement.shown, now_ms)
        return server

    def retain_only(self, instances: set[str], now_ms: float) -> None:
        """Drop the ledgers of all servers but the given ones, and those with requests."""
        for server in self._servers.values():
            server.expire(now_ms)
        self._servers = {
            name: each for name, each in self._servers.items() if name in instances or each.holdings
        }
