"""Admits requests to servers that fall over when they reject too many.

Such a server gets a request only with a permit from the daemon that keeps its ledger, so that all
daemons together send no more than it has places for. A request that finds every server full waits
here until a permit for one of them is granted; :mod:`loomwind.serving.wait_policy` decides for how
long.
"""

import asyncio
import heapq
import itertools
import random
from collections import Counter
from collections.abc import Sequence

from attrs import define, field

from loomwind.clock import MS_PER_SECOND, Clock
from loomwind.logs import log_state
from loomwind.metrics import Metrics
from loomwind.serving.permit_ledger import RENEWAL_MS, PermitGrant, PermitStatement
from loomwind.serving.permit_owners import PermitOwners
from loomwind.serving.pool import ServerPool
from loomwind.serving.rejections import RejectionCause
from loomwind.serving.views import ModelKey, ServerEntry

# A limit that was first said longer ago is known to every daemon.
SETTLED_AFTER_MS = 2500.0
# Changes that are close together are stated in one message.
REPORT_DELAY_MS = 3.0
# How long a server without a free permit is passed over by requests that arrive.
FULL_MS = 150.0
# A request waits for permits of so many servers, which bounds the messages in a large fleet.
MAX_SERVERS_WAITED_FOR = 8
# Whether servers have joined, or need permits no more, is looked up this often.
RECHECK_MS = 500.0
# What the owner of a ledger has said of a server is of use for so long.
STANDING_VALID_MS = 1500.0
INITIAL_HOLD_MS = 500.0
HOLD_DECAY = 0.9


@define(eq=False)
class _Waiter:
    """A request that waits for a permit.

    :ivar result: the server that it has a permit for; None if it gets none.
    :ivar is_counted: whether it is counted as in progress at its server already.
    """

    result: asyncio.Future[ServerEntry | None]
    entries: Sequence[ServerEntry]
    is_counted: bool


@define
class _Server:
    """The requests of this daemon for one server.

    :ivar permits: those that were granted and not given back.
    :ivar queue: requests that wait for a permit, the oldest first; also some that do no more.
    :ivar wanted: the number of those that still wait.
    :ivar noticed: the number of the last grant.
    :ivar limit: the number of requests of all daemons that it may have.
    :ivar waiting: the number of requests of all daemons that waited for it.
    :ivar shown: how many requests it has had at once without rejecting any; 0 if nothing is known.
    """

    entry: ServerEntry
    permits: int = 0
    queue: list[tuple[float, int, _Waiter]] = field(factory=list)
    wanted: int = 0
    noticed: int = 0
    asking: asyncio.Task[None] | None = None
    is_asked_again: bool = False
    full_until_ms: float = 0.0
    limit: int = 0
    waiting: int = 0
    shown: int = 0
    standing_ms: float = float("-inf")


class Admission:
    """Gets permits for this daemon's requests."""

    def __init__(
        self, pool: ServerPool, owners: PermitOwners, metrics: Metrics, clock: Clock
    ) -> None:
        self._pool = pool
        self._limits = pool.rejection_limits
        self._owners = owners
        self._metrics = metrics
        self._clock = clock
        self._servers: dict[str, _Server] = {}
        self._rejected: Counter[str] = Counter()
        self._refused: Counter[str] = Counter()
        self._hold_ms: dict[str, float] = {}
        self._to_report: set[str] = set()
        self._report_timer: asyncio.TimerHandle | None = None
        self._numbers = itertools.count(1)

    def is_limited(self, entry: ServerEntry) -> bool:
        """Whether requests to a server need a permit."""
        return self._limits.limit_of(entry, self._clock.now_ms()) is not None

    def is_full(self, entry: ServerEntry) -> bool:
        """Whether a server that needs permits had none free a moment ago.

        While requests of this daemon wait for it, its owner tells when it has.
        """
        server = self._servers.get(entry.instance)
        if server is None or not self.is_limited(entry):
            return False
        return server.wanted > 0 or self._clock.now_ms() < server.full_until_ms

    # Requests.

    async def acquire(self, entry: ServerEntry) -> bool:
        """Get a permit for a request that is counted as in progress at a server already.

        :returns: whether a permit was free.
        """
        server = self._server(entry)
        waiter = self._begin_wait((entry,), self._clock.now_ms(), is_counted=True)
        if server.asking is None or server.asking.done():
            server.asking = asyncio.get_running_loop().create_task(self._ask(server))
        else:
            server.is_asked_again = True
        return await self._finish_wait(waiter, None) is not None

    async def wait_for_permit(
        self, entries: Sequence[ServerEntry], since_ms: float, timeout_ms: float
    ) -> ServerEntry | None:
        """Wait for a permit of one of several servers; the oldest request comes first.

        :returns: the server that the permit is for; None if there is none in time, or the servers
            should be looked up again.
        """
        limited = [entry for entry in entries if self.is_limited(entry)]
        if not limited:
            return None
        chosen = random.sample(limited, min(MAX_SERVERS_WAITED_FOR, len(limited)))
        waiter = self._begin_wait(chosen, since_ms, is_counted=False)
        self._schedule_reports(chosen)
        self._metrics.waiting_for_place.inc()
        try:
            return await self._finish_wait(waiter, min(timeout_ms, RECHECK_MS))
        finally:
            self._metrics.waiting_for_place.dec()

    def end_waits(self) -> None:
        """End all waits without a permit, since some of the requests may not be sent any more."""
        for server in self._servers.values():
            for _, _, waiter in server.queue:
                if not waiter.result.done():
                    waiter.result.set_result(None)

    def _begin_wait(
        self, entries: Sequence[ServerEntry], since_ms: float, is_counted: bool
    ) -> _Waiter:
        waiter = _Waiter(asyncio.get_running_loop().create_future(), entries, is_counted)
        for entry in entries:
            server = self._server(entry)
            server.wanted += 1
            heapq.heappush(server.queue, (since_ms, next(self._numbers), waiter))
        return waiter

    async def _finish_wait(self, waiter: _Waiter, timeout_ms: float | None) -> ServerEntry | None:
        """Wait for the result; a permit that comes as the caller leaves is given back."""
        timeout = None if timeout_ms is None else timeout_ms / MS_PER_SECOND
        try:
            await asyncio.wait({waiter.result}, timeout=timeout)
        except asyncio.CancelledError:
            if waiter.result.done() and (entry := waiter.result.result()) is not None:
                self.give_back(entry)
            raise
        finally:
            for entry in waiter.entries:
                self._server(entry).wanted -= 1
            if not waiter.result.done():
                waiter.result.cancel()
        return None if waiter.result.cancelled() else waiter.result.result()

    def give_back(self, entry: ServerEntry, held_ms: float | None = None) -> None:
        """Give a permit back.

        :param held_ms: how long its request was in progress; None if it was not sent.
        """
        server = self._server(entry)
        server.permits = max(0, server.permits - 1)
        if held_ms is not None:
            average_ms = self._hold_ms.get(entry.service, held_ms)
            self._hold_ms[entry.service] = HOLD_DECAY * average_ms + (1 - HOLD_DECAY) * held_ms
        self._schedule_report(entry.instance)

    def record_rejection(self, entry: ServerEntry, target: ModelKey | None) -> None:
        """Record that a server rejected a request.

        :param target: the model or adapter that the request needs.
        """
        if not self.is_limited(entry):
            return
        self._server(entry)
        cause = self._pool.rejection_cause(entry, target)
        counts = self._rejected if cause is RejectionCause.NO_PLACE else self._refused
        counts[entry.instance] += 1
        self._schedule_report(entry.instance)

    def _server(self, entry: ServerEntry) -> _Server:
        return self._servers.setdefault(entry.instance, _Server(entry))

    # The owners of the ledgers.

    async def _ask(self, server: _Server) -> None:
        """Ask for the requests that want a permit now; those that get none are told so."""
        instance = server.entry.instance
        while True:
            server.is_asked_again = False
            asked = [waiter for _, _, waiter in server.queue if waiter.is_counted]
            try:
                grant = await self._owners.ask(self._state(instance))
            except Exception as error:
                log_state("permits", "failed", server=instance, error=repr(error))
                grant = PermitGrant(instance, server.noticed, 0, server.limit, server.waiting)
            self.on_grant(grant)
            self._deny(server, asked)
            if not server.is_asked_again:
                return

    def _deny(self, server: _Server, asked: Sequence[_Waiter]) -> None:
        denied = [waiter for waiter in asked if not waiter.result.done()]
        for waiter in denied:
            waiter.result.set_result(None)
        if denied:
            self._metrics.permits.labels("denied").inc(len(denied))
            server.full_until_ms = self._clock.now_ms() + FULL_MS
            self._schedule_report(server.entry.instance)

    def on_grant(self, grant: PermitGrant) -> None:
        """Pass permits to the requests that have waited longest for the server."""
        server = self._servers.get(grant.instance)
        if server is None:
            return
        server.limit, server.waiting = grant.limit, grant.wanted
        server.shown = grant.shown or server.shown
        server.standing_ms = self._clock.now_ms()
        if grant.number <= server.noticed:
            # The owner takes what came before the last grant noticed for used or returned.
            return
        server.noticed = grant.number
        for _ in range(grant.count):
            if not self._pass_permit(server):
                self._schedule_report(grant.instance)
                return

    def _pass_permit(self, server: _Server) -> bool:
        while server.queue:
            _, _, waiter = heapq.heappop(server.queue)
            if not waiter.result.done():
                server.permits += 1
                self._metrics.permits.labels("granted").inc()
                waiter.result.set_result(server.entry)
                self._schedule_reports(waiter.entries)
                return True
        return False

    def _schedule_reports(self, entries: Sequence[ServerEntry]) -> None:
        for entry in entries:
            self._schedule_report(entry.instance)

    def _state(self, instance: str) -> PermitStatement:
        server = self._servers[instance]
        server.queue = [each for each in server.queue if not each[2].result.done()]
        heapq.heapify(server.queue)
        entry = server.entry
        now_ms = self._clock.now_ms()
        asking = sum(waiter.is_counted for _, _, waiter in server.queue)
        # Requests that were sent before the server needed permits have none.
        unpermitted = self._pool.health(entry).in_flight - server.permits - asking
        return PermitStatement(
            instance,
            next(self._numbers),
            server.permits + max(0, unpermitted),
            len(server.queue),
            server.noticed,
            self._rejected.pop(instance, 0),
            max(1, entry.slots),
            self._limits.limit_of(entry, now_ms) or 0,
            self._limits.known_for_ms(entry.service, now_ms) > SETTLED_AFTER_MS,
            self._refused.pop(instance, 0),
            server.shown,
        )

    def _schedule_report(self, instance: str) -> None:
        self._to_report.add(instance)
        if self._report_timer is None:
            loop = asyncio.get_running_loop()
            self._report_timer = loop.call_later(REPORT_DELAY_MS / MS_PER_SECOND, self._report)

    def _report(self) -> None:
        self._report_timer = None
        instances = [name for name in self._to_report if name in self._servers]
        self._to_report.clear()
        self._owners.report([self._state(instance) for instance in instances])

    async def run(self) -> None:
        """Renew the statements about servers with requests until cancelled."""
        while True:
            await self._clock.sleep_ms(RENEWAL_MS * self._owners.interval_scale)
            entries = self._pool.directory.entries()
            self._retain_only({entry.instance for entry in entries})
            used = [
                self._server(entry).entry.instance
                for entry in entries
                if self.is_limited(entry) and self._is_used(entry)
            ]
            await self._owners.renew([self._state(instance) for instance in used])

    def _is_used(self, entry: ServerEntry) -> bool:
        server = self._servers.get(entry.instance)
        is_waited_for = server is not None and (server.wanted > 0 or server.permits > 0)
        return is_waited_for or self._pool.health(entry).in_flight > 0

    def _retain_only(self, instances: set[str]) -> None:
        """Drop the state of all servers but the given ones, and those with requests."""
        self._servers = {
            name: server
            for name, server in self._servers.items()
            if name in instances or server.wanted or server.permits
        }
        self._owners.retain_only(instances)

    # The time until a place is free.

    def hold_ms(self, service: str) -> float:
        """Return how long requests take up a place on average."""
        return self._hold_ms.get(service, INITIAL_HOLD_MS)

    def place_in_ms(self, entries: Sequence[ServerEntry]) -> float | None:
        """Return the expected time until a request gets a permit of one of several servers.

        None if nothing was heard of them lately.
        """
        now_ms = self._clock.now_ms()
        known = [
            server
            for entry in entries
            if (server := self._servers.get(entry.instance)) is not None
            and now_ms - server.standing_ms < STANDING_VALID_MS
        ]
        if not known:
            return None
        limit = sum(server.limit for server in known)
        # A request that waits for several servers is counted at each of them.
        counted = min(MAX_SERVERS_WAITED_FOR, len(known))
        ahead = sum(server.waiting for server in known) / counted
        return (ahead + 1) * self.hold_ms(known[0].entry.service) / max(1, limit)
