"""The software versions at which the streams of each service may have begun. No I/O.

What servers of two versions write does not fit together, so a stream is continued only at the
version that began it. The registry is kept in a row of the store, so that a daemon that has just
started also knows of versions whose servers have left. A version is registered before streams begin
at it, and is removed only when no stream of its servers can still be resumed.

That a service has one version only is believed for the belief lease after the copy was taken. A
further version is registered as opening: its first streams wait until all beliefs without it have
expired. Then a second write opens it, so that daemons that start later need not wait. A version
that cannot be registered is waited for as long; only a server list within the lease tells of it.
"""

from collections.abc import Callable, Collection, Iterable, Mapping

import msgspec
from msgspec import Struct

from loomwind.decoding import DecodeError, decode_json
from loomwind.serving.directory import ServerDirectory
from loomwind.serving.errors import MalformedVersions

# Of the drain bound. Longer than the age of a server list in normal operation, 0.7.
BELIEF_LEASE_FRACTION = 0.8
# Longer than the lease, for clocks of different rates and the granularity of timers.
OPENING_WAIT_FRACTION = 0.9

ServiceVersion = tuple[str, str]


class ServiceVersions(Struct, frozen=True, array_like=True):
    """The registered software versions of a service, sorted.

    :param opening: those of them at which streams do not begin at once.
    """

    service: str
    versions: tuple[str, ...]
    opening: tuple[str, ...] = ()


class VersionRegistry:
    """One daemon's copy of the registry, together with the versions that the directory lists.

    :ivar is_known: whether the registry was received since this daemon started.
    :ivar row_version: the store version of the row; 0 when there is none.
    :ivar is_writable: whether the last write of the row succeeded or was not needed.
    :ivar on_new_version: called when a further version of a service becomes known.
    """

    def __init__(self, directory: ServerDirectory, drain_ms: float) -> None:
        self._directory = directory
        self._registered: dict[str, frozenset[str]] = {}
        self._opening: frozenset[ServiceVersion] = frozenset()
        self._unregistered: set[ServiceVersion] = set()
        self._known_since_ms: dict[ServiceVersion, float] = {}
        self._confirmed_at_ms = float("-inf")
        self._incomplete_since_ms = float("-inf")
        self.is_known = False
        self.row_version = 0
        self.is_writable = True
        self.on_new_version: Callable[[], None] = lambda: None
        self.set_drain_ms(drain_ms)

    def set_drain_ms(self, drain_ms: float) -> None:
        """Apply a changed bound, on which the age of server lists depends."""
        self._lease_ms = BELIEF_LEASE_FRACTION * drain_ms
        self._wait_ms = OPENING_WAIT_FRACTION * drain_ms

    # Updates.

    def replace(self, services: Iterable[ServiceVersions], row_version: int, now_ms: float) -> None:
        """Adopt the registry as read from the store, unless a newer one is known."""
        if self.is_known and row_version < self.row_version:
            return
        services = tuple(services)
        before = self._pairs()
        self._registered = {each.service: frozenset(each.versions) for each in services}
        self._opening = frozenset(
            (each.service, version) for each in services for version in each.opening
        )
        self.row_version = row_version
        self.is_known = True
        for pair in self._pairs() - before:
            self._known_since_ms[pair] = now_ms
        self._unregistered -= self._pairs()
        self._forget(before - self._pairs(), now_ms)
        if self._pairs() - before:
            self.on_new_version()

    def reset(self, now_ms: float) -> None:
        """Record that the row does not exist."""
        before = self._pairs()
        self._registered = {}
        self._opening = frozenset()
        self.row_version = 0
        self._forget(before, now_ms)

    def _forget(self, pairs: Iterable[ServiceVersion], now_ms: float) -> None:
        """Let versions that have left the registry be waited for when they return."""
        for service, version in pairs:
            self._known_since_ms.pop((service, version), None)
            if version in self._listed(service):
                self.record_listed(service, version, now_ms)

    def adopt_from_peer(
        self,
        services: Iterable[ServiceVersions],
        row_version: int,
        unregistered: Iterable[ServiceVersion],
        now_ms: float,
    ) -> None:
        """Adopt a peer's registry, and the versions that it has seen listed since."""
        if not self.is_known or row_version > self.row_version:
            self.replace(services, row_version, now_ms)
        for service, version in unregistered:
            self.record_listed(service, version, now_ms)
        self._incomplete_since_ms = float("-inf")

    def record_listed(self, service: str, version: str, now_ms: float) -> None:
        """Record that a server of a version is listed, or was."""
        pair = (service, version)
        if pair in self._unregistered or version in self._registered.get(service, frozenset()):
            return
        self._unregistered.add(pair)
        self._known_since_ms.setdefault(pair, now_ms)
        self.on_new_version()

    def record_gap(self, now_ms: float) -> None:
        """Record that servers may have been listed and removed without this daemon's notice."""
        self._incomplete_since_ms = now_ms

    def confirm(self, read_began_ms: float) -> None:
        """Record that the registry was read, by a call that began at the given time."""
        self._confirmed_at_ms = max(self._confirmed_at_ms, read_began_ms)

    # The registry.

    def services(self) -> tuple[ServiceVersions, ...]:
        """Return the registered versions of all services."""
        return _to_service_versions(self._registered, self._opening)

    @property
    def unregistered(self) -> tuple[ServiceVersion, ...]:
        """Return the pairs of service and version that were listed and are not registered."""
        return tuple(sorted(self._unregistered))

    def service_names(self) -> set[str]:
        """Return the services that are registered or have listed servers."""
        seen = {service for service, _ in self._unregistered}
        return self._registered.keys() | self._directory.services() | seen

    @property
    def has_unregistered(self) -> bool:
        """Whether a server was listed whose version is not registered."""
        return bool(self._unregistered) or any(
            self._listed(service) - self._registered.get(service, frozenset())
            for service in self._directory.services()
        )

    def with_listed(self) -> tuple[ServiceVersions, ...]:
        """Return the registered versions together with those of all servers that were listed.

        Nothing is believed of a service before its first registration, so its versions are open.
        """
        possible = {service: self.possible(service) for service in self.service_names()}
        added = {
            (service, version)
            for service, versions in possible.items()
            if service in self._registered
            for version in versions - self._registered[service]
        }
        return _to_service_versions(possible, self._opening | added)

    def without(self, retired: Collection[ServiceVersion]) -> tuple[ServiceVersions, ...]:
        """Return the registered versions except some pairs of service and version.

        The last version of a service stays: daemons may believe in it until another is registered.
        """
        kept = {
            service: frozenset(each for each in versions if (service, each) not in retired)
            for service, versions in self._registered.items()
        }
        return _to_service_versions(
            {service: versions or self._registered[service] for service, versions in kept.items()},
            self._opening,
        )

    def with_opened(self, now_ms: float) -> tuple[ServiceVersions, ...]:
        """Return the registered versions; those whose wait is over are open."""
        return _to_service_versions(self._registered, self._opening - self.waited(now_ms))

    def waited(self, now_ms: float) -> frozenset[ServiceVersion]:
        """Return the opening versions that all beliefs of all daemons include by now."""
        return frozenset(pair for pair in self._opening if self._has_waited(pair, now_ms))

    def unlisted(self) -> frozenset[ServiceVersion]:
        """Return the registered pairs of service and version that no listed server has."""
        return frozenset(
            (service, version)
            for service, versions in self._registered.items()
            for version in versions - self._listed(service)
        )

    # Decisions.

    def may_begin(self, service: str, version: str, now_ms: float) -> bool:
        """Whether streams may begin at servers of a version.

        A version that cannot be registered is waited for as one that is opening.
        """
        pair = (service, version)
        is_registered = version in self._registered.get(service, frozenset())
        if is_registered and pair not in self._opening:
            return True
        if not is_registered and self.is_known and self.is_writable:
            return False
        return self._has_waited(pair, now_ms)

    def possible(self, service: str) -> frozenset[str]:
        """Return the versions at which a stream that can still be resumed may have begun."""
        seen = frozenset(version for each, version in self._unregistered if each == service)
        return self._registered.get(service, frozenset()) | self._listed(service) | seen

    def sole_version(self, service: str) -> str | None:
        """Return the only version at which streams can have begun, as far as this copy tells.

        None if there are several, or the registry is not known. A decision that this copy may be
        too old for needs :meth:`is_current` as well.
        """
        possible = self.possible(service)
        is_certain = self.is_known and service in self._registered and len(possible) == 1
        return next(iter(possible)) if is_certain else None

    def is_current(self, list_age_ms: float, now_ms: float) -> bool:
        """Whether no stream can have begun at a version that this copy lacks.

        The registry alone does not tell: streams also begin at a version that cannot be registered.

        :param list_age_ms: the time since the server list matched the store.
        """
        is_confirmed = self.is_recent(now_ms - self._confirmed_at_ms)
        return self.is_recent(list_age_ms) and (self.is_complete or is_confirmed)

    def is_recent(self, age_ms: float) -> bool:
        """Whether a copy of an age is within the belief lease."""
        return age_ms < self._lease_ms

    def is_listed(self, service: str, version: str) -> bool:
        """Whether the server list of this daemon has a server of a version."""
        return version in self._listed(service)

    @property
    def is_complete(self) -> bool:
        """Whether this copy has every version that any server list so far has had."""
        return self._incomplete_since_ms <= self._confirmed_at_ms

    def _has_waited(self, pair: ServiceVersion, now_ms: float) -> bool:
        return now_ms - self._known_since_ms.get(pair, now_ms) >= self._wait_ms

    def _pairs(self) -> frozenset[ServiceVersion]:
        return frozenset(
            (service, version)
            for service, versions in self._registered.items()
            for version in versions
        )

    def _listed(self, service: str) -> frozenset[str]:
        return frozenset(self._directory.software_versions(service))


def _to_service_versions(
    registered: Mapping[str, frozenset[str]], opening: Collection[ServiceVersion]
) -> tuple[ServiceVersions, ...]:
    """Return versions by service in a fixed order."""
    return tuple(
        ServiceVersions(
            service,
            tuple(sorted(versions)),
            tuple(sorted(each for each in versions if (service, each) in opening)),
        )
        for service, versions in sorted(registered.items())
        if versions
    )


def encode_versions(services: tuple[ServiceVersions, ...]) -> bytes:
    """Encode the row of the registry."""
    return msgspec.json.encode(services)


def decode_versions(value: bytes) -> tuple[ServiceVersions, ...]:
    """Decode the row of the registry.

    :raises MalformedVersions: the row is not a registry.
    """
    try:
        return decode_json(value, tuple[ServiceVersions, ...])
    except DecodeError as error:
        raise MalformedVersions(str(error)) from error
