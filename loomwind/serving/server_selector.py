"""Selects a server for a request, from this daemon's observations of those that can run it.

A stream that has begun is continued only by servers of one software version.
"""

import random
from collections.abc import Callable

from loomwind.clock import MS_PER_SECOND
from loomwind.serving.forwarder import Forwarder
from loomwind.serving.inactivity import Liveness, Silence
from loomwind.serving.pool import ServerPool
from loomwind.serving.server_cost import Candidate, lowest_cost
from loomwind.serving.views import CallerRequest, ServerEntry


class ServerSelector:
    """Selects servers for the attempts of one request.

    :ivar tried: instances at which an attempt has failed.
    :ivar allowed: the only instances that the request may be sent to; None for no limit.
    :ivar dropped: instances that have not responded to the request in time, in the order of the
        attempts; each counts as suspect, although no request is in progress there.
    :ivar full: the servers that could run the request at the last choice, if all were full.
    :ivar software_version: the version that the server must have; None for any.
    """

    def __init__(
        self,
        pool: ServerPool,
        forwarder: Forwarder,
        zone: str,
        service: str,
        caller: CallerRequest,
        is_resumable: bool = False,
        is_full: Callable[[ServerEntry], bool] = lambda entry: False,
    ) -> None:
        """Create a selector.

        :param zone: the zone of this daemon.
        :param is_resumable: whether the caller may resume the stream that the request begins.
        :param is_full: whether a server has no place for a request.
        """
        self._pool = pool
        self._connectivity = pool.connectivity_of(service)
        self._forwarder = forwarder
        self._zone = zone
        self._service = service
        self._caller = caller
        self._is_resumable = is_resumable
        self._is_full = is_full
        self._candidates: list[Candidate] = []
        self.tried: set[str] = set()
        self.allowed: set[str] | None = None
        self.full: list[ServerEntry] = []
        self.dropped: list[str] = []
        self.software_version: str | None = None

    def choose(self, now: float) -> ServerEntry | None:
        """Return the server with the lowest cost; None when no server can run the request."""
        able = self._able(now)
        with_place = [entry for entry in able if not self._is_full(entry)]
        self.full = [] if with_place else able
        return self._lowest_cost(with_place, now)

    def choose_replacement(
        self, silent: ServerEntry, silence: Silence, now: float
    ) -> ServerEntry | None:
        """Return the server that may take the request over from a silent one; None for none.

        A response that has begun named its software version, also before its first event. Servers
        that have not responded to the request come last, the one that was asked last before others.
        """
        entries = [
            entry
            for entry in self._eligible(now)
            if entry.instance != silent.instance
            and entry.instance not in self.tried
            and (not silence.has_begun or entry.software_version == silent.software_version)
            and silence.may_be_taken_over(self._liveness(entry, now))
        ]
        again = [entry for entry in entries if self.dropped[-1:] == [entry.instance]]
        if self.allowed is None:
            again = [entry for entry in entries if entry.instance not in self.dropped] or again
        return self._lowest_cost(again or entries, now)

    def _liveness(self, entry: ServerEntry, now: float) -> Liveness:
        health = self._pool.health(entry)
        is_suspect = health.is_open(now) or health.is_suspect(now) or health.is_unreachable(now)
        return Liveness(
            health.last_received_at * MS_PER_SECOND, health.in_flight, is_suspect, health.moves
        )

    def _lowest_cost(self, entries: list[ServerEntry], now: float) -> ServerEntry | None:
        candidates = [self._candidate(entry, now) for entry in entries]
        noise = [random.random() for _ in candidates]
        chosen = lowest_cost(candidates, self._zone, self._cache_key(), noise)
        self._candidates = candidates
        return chosen.entry if chosen else None

    def _eligible(self, now: float) -> list[ServerEntry]:
        return [entry for entry in self._able(now) if not self._is_full(entry)]

    def _able(self, now: float) -> list[ServerEntry]:
        if self._connectivity.is_unreachable and (responsive := self._responsive_idle(now)):
            return self._of_allowed(responsive)
        return self._of_allowed(
            self._of_version(
                self._pool.reachable_candidates(self._service, self._caller.target, now)
            )
        )

    def _of_allowed(self, entries: list[ServerEntry]) -> list[ServerEntry]:
        """Return the servers that may get the request.

        Among those that may get it again, one at which it has not failed goes first.
        """
        if self.allowed is None:
            return entries
        allowed = [entry for entry in entries if entry.instance in self.allowed]
        return [entry for entry in allowed if entry.instance not in self.tried] or allowed

    def _of_version(self, entries: list[ServerEntry]) -> list[ServerEntry]:
        """Return the servers that have the required software version.

        While none is required, a stream that can be resumed begins only at a registered version.
        """
        if self.software_version is not None:
            return [entry for entry in entries if entry.software_version == self.software_version]
        if not self._is_resumable:
            return entries
        may_begin, now_ms = self._pool.versions.may_begin, self._pool.now() * MS_PER_SECOND
        return [
            entry for entry in entries if may_begin(entry.service, entry.software_version, now_ms)
        ]

    def _candidate(self, entry: ServerEntry, now: float) -> Candidate:
        health = self._pool.health(entry)
        is_suspect = health.is_open(now) or health.is_suspect(now)
        is_suspect = is_suspect or entry.instance in self.dropped
        return Candidate(
            entry,
            health.in_flight,
            health.error_rate,
            is_suspect,
            entry.instance in self.tried,
            self._forwarder.has_idle_connection(entry),
        )

    def is_service_unreachable(self, now: float) -> bool:
        """Whether new connections to the servers fail and no idle connection is known to work."""
        return self._connectivity.is_unreachable and not self._responsive_idle(now)

    def _responsive_idle(self, now: float) -> list[ServerEntry]:
        """Return servers with an idle connection that sent data after connects began to fail."""
        since = self._connectivity.failing_since_ms / MS_PER_SECOND
        candidates = self._pool.candidates(self._service, self._caller.target, now)
        return [
            entry
            for entry in self._of_version(candidates)
            if self._pool.health(entry).last_received_at > since
            and self._forwarder.has_idle_connection(entry)
        ]

    def demand_version(self, now: float) -> str | None:
        """Return the version that the server must have; None if all usable servers have it."""
        usable = self._pool.directory.usable(self._service, now)
        return self.software_version if len(self._of_version(usable)) < len(usable) else None

    def is_version_gone(self, now: float) -> bool:
        """Whether a version is required that no usable server has."""
        if self.software_version is None:
            return False
        return not self._of_version(self._pool.directory.usable(self._service, now))

    def are_allowed_gone(self, now: float) -> bool:
        """Whether the request may be sent to some servers only, and none of them is usable."""
        if self.allowed is None:
            return False
        return not self._of_allowed(self._pool.directory.usable(self._service, now))

    def passed_over(self, server: str) -> list[str]:
        """Return the other candidates of the last selection, with their cost inputs."""
        return [
            f"{candidate.entry.instance}: {candidate.describe()}"
            for candidate in self._candidates
            if candidate.entry.instance != server
        ]

    def _cache_key(self) -> str:
        shared = self._caller.prompt[:-1]
        return shared[-1].identity if shared else ""
