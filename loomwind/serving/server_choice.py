"""Chooses a server for one request, by what this daemon sees of those that can run it."""

import random

from loomwind.clock import MS_PER_SECOND
from loomwind.serving.choose import Candidate, choose
from loomwind.serving.forwarder import Forwarder
from loomwind.serving.pool import ServerPool
from loomwind.serving.views import CallerRequest, ServerEntry


class ServerChoice:
    """The choices of one request.

    :ivar tried: the servers that it was sent to, by instance.
    """

    def __init__(
        self, pool: ServerPool, forwarder: Forwarder, zone: str, service: str, caller: CallerRequest
    ) -> None:
        """Make a choice.

        :param zone: this daemon's own zone.
        """
        self._pool = pool
        self._connectivity = pool.connectivity_of(service)
        self._forwarder = forwarder
        self._zone = zone
        self._service = service
        self._caller = caller
        self._candidates: list[Candidate] = []
        self.tried: set[str] = set()

    def choose(self, now: float) -> ServerEntry | None:
        """Return a server to send to now, or None when no server can run the request."""
        found = [self._candidate(entry, now) for entry in self._able(now)]
        noise = [random.random() for _ in found]
        chosen = choose(found, self._zone, self._cache_key(), noise)
        self._candidates = found
        return chosen.entry if chosen else None

    def _able(self, now: float) -> list[ServerEntry]:
        if self._connectivity.is_unreachable and (proven := self._proven(now)):
            return proven
        return self._pool.able(self._service, self._caller.target, now)

    def _candidate(self, entry: ServerEntry, now: float) -> Candidate:
        health = self._pool.health(entry)
        return Candidate(
            entry,
            health.in_flight,
            health.error_share,
            health.is_open(now) or health.is_suspect(now),
            entry.instance in self.tried,
            self._forwarder.has_idle_connection(entry),
        )

    def is_cut_off(self, now: float) -> bool:
        """Whether servers accept no connection, and none of those that are open can be used."""
        return self._connectivity.is_unreachable and not self._proven(now)

    def _proven(self, now: float) -> list[ServerEntry]:
        """Return the servers from which something has come, on connections that are idle now, since
        new ones have failed.
        """
        since = self._connectivity.failing_since_ms / MS_PER_SECOND
        return [
            entry
            for entry in self._pool.holders(self._service, self._caller.target, now)
            if self._pool.health(entry).heard_at > since
            and self._forwarder.has_idle_connection(entry)
        ]

    def has_other(self, entry: ServerEntry, now: float) -> bool:
        """Whether another server could run the request."""
        others = self._pool.able(self._service, self._caller.target, now)
        return any(other.instance != entry.instance for other in others)

    def passed_over(self, server: str) -> list[str]:
        """Return the servers that were not chosen the last time, with what spoke against each."""
        return [
            f"{candidate.entry.instance}: {candidate.describe()}"
            for candidate in self._candidates
            if candidate.entry.instance != server
        ]

    def _cache_key(self) -> str:
        shared = self._caller.prompt[:-1]
        return shared[-1].identity if shared else ""
