"""Finds the software version at which a stream that its caller resumes must go on.

An origin that anyone knows is the answer, however old that knowledge is. That streams can have
begun at one version only is an answer while the server list is young enough, and the registry was
read since servers may have been missed. Otherwise the stored origins and the peers are asked,
whichever answers first; a stream whose origin is unknown is not continued.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable, Iterable

from attrs import frozen

from loomwind.clock import MS_PER_SECOND, Clock
from loomwind.logs import log_decision, log_state
from loomwind.serving.errors import RETRY_SOON_SECONDS, OriginUnknown
from loomwind.serving.origin_log import OriginLog
from loomwind.serving.peer_origins import PeerOrigins
from loomwind.serving.ports import StoreUnavailable
from loomwind.serving.stream_origins import StreamOrigin
from loomwind.serving.version_registry import VersionRegistry
from loomwind.serving.views import CallerRequest

LOOKUP_TIMEOUT_MS = 1500.0
CONFIRM_RETRY_MS = 100.0
# A daemon that stood still gets a new list from the store or a peer within two calls.
LIST_WAIT_MS = 500.0
LIST_POLL_MS = 20.0
# The store answers within a few milliseconds; only what it does not answer is asked elsewhere.
STORE_HEAD_START_MS = 40.0
# A peer that stands still may answer the second time.
ASK_PAUSES_MS = (STORE_HEAD_START_MS, 250.0)


@frozen
class Clue:
    """What one source says of the origin of a stream.

    :ivar origin: where the stream began; None if the source does not know it.
    :ivar may_be_known_later: whether the source may know it when it is asked again.
    """

    source: str
    origin: StreamOrigin | None = None
    may_be_known_later: bool = False
    detail: str = "it is not known at which software version the stream began"


class Resumption:
    """Finds the required software versions of resumed streams."""

    def __init__(
        self,
        registry: VersionRegistry,
        origins: OriginLog,
        peer_origins: PeerOrigins,
        confirm_registry: Callable[[], Awaitable[None]],
        list_age_ms: Callable[[], float],
    ) -> None:
        """Create a finder.

        :param confirm_registry: reads the registry; raises StoreUnavailable.
        :param list_age_ms: returns the time since the server list matched the store.
        """
        self._registry = registry
        self._origins = origins
        self._peer_origins = peer_origins
        self._confirm_registry = confirm_registry
        self._list_age_ms = list_age_ms
        self._clock = Clock()

    async def required_version(self, caller: CallerRequest, service: str) -> str | None:
        """Return the software version that the server must have; None for any.

        :raises OriginUnknown: nothing tells where the stream began.
        """
        if caller.last_event_id is None:
            return None
        clue = self._known_here(caller.origin_id, service) or await self._search(
            caller.origin_id, service
        )
        if clue.origin is None:
            retry_after_seconds = RETRY_SOON_SECONDS if clue.may_be_known_later else None
            raise OriginUnknown(clue.detail, retry_after_seconds)
        # Versions of different services are not related.
        version = clue.origin.software_version if clue.origin.service == service else None
        if version is not None:
            await self._wait_for_list(service, version)
        self._log(caller, service, version, clue.source)
        return version

    def _known_here(self, origin_id: str | None, service: str) -> Clue | None:
        """Return what this daemon knows without a call; None if that is nothing."""
        origin = self._origins.find(origin_id) if origin_id else None
        if origin is not None:
            return Clue("origin-known", origin)
        return self._sole_version(service)

    def _sole_version(self, service: str) -> Clue | None:
        version = self._registry.sole_version(service)
        if version is None or not self._is_current():
            return None
        return Clue("sole-version", StreamOrigin(service, version))

    def _is_current(self) -> bool:
        return self._registry.is_current(self._list_age_ms(), self._clock.now_ms())

    async def _wait_for_list(self, service: str, version: str) -> None:
        """Wait briefly for a newer server list if an outdated one has no server of the version."""
        await self._poll_list(
            lambda: (
                self._registry.is_listed(service, version)
                or self._registry.is_recent(self._list_age_ms())
            )
        )

    async def _poll_list(self, is_sufficient: Callable[[], bool]) -> None:
        """Wait briefly until the server list suffices."""
        deadline_ms = self._clock.now_ms() + LIST_WAIT_MS
        while not (is_sufficient() or self._clock.now_ms() >= deadline_ms):
            await self._clock.sleep_ms(LIST_POLL_MS)

    async def _search(self, origin_id: str | None, service: str) -> Clue:
        """Ask the registry, and if that does not decide it, the stored origins and the peers."""
        searches = [asyncio.create_task(_attempt("registry", self._confirm, service))]
        try:
            await asyncio.wait(searches, timeout=STORE_HEAD_START_MS / MS_PER_SECOND)
            if origin_id and not (searches[0].done() and searches[0].result().origin):
                look_up = _attempt("origin-looked-up", self._look_up, origin_id)
                ask_peers = _attempt("origin-asked", self._ask_peers, origin_id)
                searches.extend(asyncio.create_task(each) for each in (look_up, ask_peers))
            return await _first_to_know(searches)
        finally:
            for search in searches:
                search.cancel()

    async def _confirm(self, service: str) -> Clue:
        """Read the registry; its only version is the answer if a recent server list agrees."""
        deadline_ms = self._clock.now_ms() + LOOKUP_TIMEOUT_MS
        while len(self._registry.possible(service)) < 2:
            try:
                await self._confirm_registry()
                break
            except StoreUnavailable as error:
                if (clue := self._sole_version(service)) is not None:
                    return clue
                if self._clock.now_ms() + CONFIRM_RETRY_MS >= deadline_ms:
                    detail = f"the registered software versions cannot be read: {error}"
                    return Clue("registry", None, True, detail)
            await self._clock.sleep_ms(CONFIRM_RETRY_MS)
        await self._poll_list(
            lambda: self._is_current() or self._registry.sole_version(service) is None
        )
        if self._registry.sole_version(service) is not None and not self._is_current():
            return Clue("registry", None, True, "the server list is too old to tell the version")
        return self._sole_version(service) or Clue("registry")

    async def _look_up(self, origin_id: str) -> Clue:
        """Look in the rows of all daemons."""
        try:
            origin = await self._origins.look_up(origin_id, LOOKUP_TIMEOUT_MS)
        except StoreUnavailable as error:
            detail = f"where the stream began cannot be read: {error}"
            return Clue("origin-looked-up", None, True, detail)
        return Clue("origin-looked-up", origin)

    async def _ask_peers(self, origin_id: str) -> Clue:
        """Ask the daemons, which know the origins of the streams that they relayed."""
        silent = 0
        for pause_ms in ASK_PAUSES_MS:
            await self._clock.sleep_ms(pause_ms)
            finding = await self._peer_origins.look_up(origin_id)
            silent = finding.silent
            if finding.origin is not None or not silent:
                return Clue("origin-asked", finding.origin)
        return Clue(
            "origin-asked",
            None,
            True,
            f"where the stream began is unknown: {silent} peers are silent",
        )

    def _log(self, caller: CallerRequest, service: str, version: str | None, source: str) -> None:
        """Log the version that is required, and what this daemon took it from."""
        list_age_ms = self._list_age_ms()
        log_decision(
            "version-required",
            caller.request_id,
            origin=caller.origin_id,
            version=version,
            source=source,
            possible=sorted(self._registry.possible(service)),
            registry=self._registry.row_version if self._registry.is_known else None,
            list_age_ms=round(list_age_ms) if math.isfinite(list_age_ms) else None,
        )


async def _attempt(source: str, search: Callable[[str], Awaitable[Clue]], subject: str) -> Clue:
    """Return the clue of a search; one that fails unexpectedly leaves the others to decide."""
    try:
        return await search(subject)
    except Exception as error:
        log_state("resumption", "failed", source=source, sought=subject, error=repr(error))
        return Clue(source, None, True, "the search for where the stream began failed")


async def _first_to_know(searches: Iterable[asyncio.Task[Clue]]) -> Clue:
    """Return the first clue with an origin; otherwise one that says whether to ask again."""
    pending = set(searches)
    clues: list[Clue] = []
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for search in done:
            clues.append(search.result())
            if clues[-1].origin is not None:
                return clues[-1]
    return max(clues, key=lambda clue: clue.may_be_known_later)
