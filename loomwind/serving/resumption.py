"""Finds the software version at which a stream that its caller resumes must go on.

If streams may have begun at one version only, that is the answer. Otherwise the origin of the
stream is looked up; a stream whose origin is unknown is not continued.
"""

from loomwind.clock import Clock
from loomwind.logs import log_decision
from loomwind.serving.errors import RETRY_SOON_SECONDS, OriginUnknown
from loomwind.serving.origin_log import OriginLog
from loomwind.serving.ports import StoreUnavailable
from loomwind.serving.stream_origins import StreamOrigin
from loomwind.serving.version_registry import VersionRegistry
from loomwind.serving.views import CallerRequest

# A daemon that has just started learns the registry within a few calls to the store.
LOOKUP_TIMEOUT_MS = 1500.0
REGISTRY_POLL_MS = 20.0


class Resumption:
    """Finds the required software versions of resumed streams."""

    def __init__(self, registry: VersionRegistry, origins: OriginLog) -> None:
        self._registry = registry
        self._origins = origins
        self._clock = Clock()

    async def required_version(self, caller: CallerRequest, service: str) -> str | None:
        """Return the software version that the server must have; None for any.

        :raises OriginUnknown: nothing tells where the stream began.
        """
        if caller.last_event_id is None:
            return None
        origin = self._origins.find(caller.origin_id) if caller.origin_id else None
        source = "origin-known"
        if origin is None:
            await self._wait_for_registry()
            sole_version = self._registry.sole_version(service)
            if sole_version is not None:
                self._log(caller, service, sole_version, "sole-version")
                return sole_version
            origin = await self._look_up(caller.origin_id)
            source = "origin-looked-up"
        # Versions of different services are not related.
        version = origin.software_version if origin.service == service else None
        self._log(caller, service, version, source)
        return version

    def _log(self, caller: CallerRequest, service: str, version: str | None, source: str) -> None:
        """Log the version that is required, and what this daemon took it from."""
        log_decision(
            "version-required",
            caller.request_id,
            origin=caller.origin_id,
            version=version,
            source=source,
            possible=sorted(self._registry.possible(service)),
            registry=self._registry.row_version if self._registry.is_known else None,
        )

    async def _wait_for_registry(self) -> None:
        deadline_ms = self._clock.now_ms() + LOOKUP_TIMEOUT_MS
        while not self._registry.is_known and self._clock.now_ms() < deadline_ms:
            await self._clock.sleep_ms(REGISTRY_POLL_MS)

    async def _look_up(self, origin_id: str | None) -> StreamOrigin:
        """Return the origin of a stream.

        :raises OriginUnknown: there is none, or the store did not respond.
        """
        if not origin_id:
            raise OriginUnknown("the request does not tell which attempt began its stream")
        try:
            origin = await self._origins.look_up(origin_id, LOOKUP_TIMEOUT_MS)
        except StoreUnavailable as error:
            detail = f"where the stream began cannot be read: {error}"
            raise OriginUnknown(detail, RETRY_SOON_SECONDS) from error
        if origin is None:
            raise OriginUnknown("it is not known at which software version the stream began")
        return origin
