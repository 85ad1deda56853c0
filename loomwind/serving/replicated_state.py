"""A daemon's copy of the configuration and the server list, updated from the store and from peers.

A configuration is replaced only by a newer version. The original documents are kept, so that they
can be sent to peers that cannot reach the store.
"""

import asyncio
import math
import zlib
from collections.abc import Callable, Iterable

from msgspec.structs import replace

from loomwind.clock import MS_PER_SECOND
from loomwind.http.server import ServerLimits
from loomwind.logs import log_state
from loomwind.messages.serving import (
    ConfigurationCopy,
    DirectoryCopy,
    ServerDeparture,
    ServerDepartures,
    ServerDocument,
)
from loomwind.metrics import Metrics
from loomwind.serving.follower import StoreHealth
from loomwind.serving.pool import ServerPool
from loomwind.serving.ports import DocumentParser, MalformedDocument, Snapshot
from loomwind.serving.routes import RouteTable
from loomwind.serving.update_origin import UpdateOrigin, UpdateSource
from loomwind.serving.views import Configuration, ServerEntry, ServerState


class ReplicatedState:
    """Configuration and server list of one daemon.

    :ivar routes: the active routes; None until a configuration is known.
    :ivar limits: limits on callers' requests; defaults until a configuration is known.
    :ivar servers_fresh_at: loop time at which the server list last matched the store.
    :ivar configuration_listeners: called after a newer configuration was activated.
    :ivar on_departures: called with departing servers when this daemon first learns of them.
    """

    def __init__(
        self,
        parser: DocumentParser,
        configuration_key: str,
        pool: ServerPool,
        health: StoreHealth,
        metrics: Metrics,
    ) -> None:
        self._parser = parser
        self._configuration_key = configuration_key
        self.pool = pool
        self._health = health
        self._metrics = metrics
        self._configuration_document = b""
        self._cached_copy: ConfigurationCopy | None = None
        self._configured = asyncio.Event()
        self.configuration_listeners: list[Callable[[], None]] = []
        self._server_documents: dict[str, bytes] = {}
        self._server_change_versions: dict[str, int] = {}
        self._servers_changed = asyncio.Event()
        self.routes: RouteTable | None = None
        self.limits = ServerLimits()
        self.servers_fresh_at = float("-inf")
        self.on_departures: Callable[[tuple[ServerDeparture, ...]], None] = lambda departures: None
        self._pending_departures: list[ServerDeparture] = []

    @property
    def configuration(self) -> Configuration | None:
        """Return the active configuration, or None."""
        return self.routes.configuration if self.routes else None

    @property
    def configuration_version(self) -> int:
        """Return the version of the active configuration; 0 for none."""
        return self.routes.configuration.version if self.routes else 0

    # Configuration.

    def on_configuration_rows(self, snapshot: Snapshot, is_full: bool) -> None:
        """Apply rows of the configuration table."""
        source = UpdateSource.TABLE if is_full else UpdateSource.FEED
        for row in snapshot.rows:
            if row.key == self._configuration_key and not row.deleted:
                self._apply_configuration(row.value, UpdateOrigin(source, row.version))

    def on_configuration_copy(self, copy: ConfigurationCopy, sender: str) -> None:
        """Apply a configuration received from a peer, if it is newer.

        :param sender: the peer's ``host:port``, for the log.
        """
        if copy.version <= self.configuration_version:
            return
        try:
            document = zlib.decompress(copy.document)
        except zlib.error as error:
            log_state("configuration", "unreadable", error=str(error), teller=sender)
            return
        self._apply_configuration(document, UpdateOrigin(UpdateSource.PEER, 0, sender))

    def _apply_configuration(self, document: bytes, origin: UpdateOrigin) -> None:
        """Activate a configuration, unless the active one is at least as new."""
        source = origin.source.value
        try:
            configuration = self._parser.parse_configuration(document)
        except MalformedDocument as error:
            log_state("configuration", "unreadable", error=str(error), source=source)
            return
        if self.routes is not None and configuration.version <= self.configuration_version:
            return
        self.routes = RouteTable(configuration, self.routes)
        self._configured.set()
        self._configuration_document = document
        self.limits = _server_limits(configuration)
        self._metrics.catalog_version.set(configuration.version)
        log_state(
            "configuration",
            "in-force",
            version=configuration.version,
            source=source,
            teller=origin.sender,
            row_version=origin.version,
        )
        self.pool.demand.wake()
        for listener in self.configuration_listeners:
            listener()

    async def wait_for_configuration(self, timeout_ms: float) -> None:
        """Wait until a configuration is known, at most for the given time."""
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
                await self._configured.wait()
        except TimeoutError:
            return

    def configuration_copy(self) -> ConfigurationCopy:
        """Return the active configuration for a peer; version 0 when there is none."""
        version = self.configuration_version
        if self._cached_copy is None or self._cached_copy.version != version:
            self._cached_copy = ConfigurationCopy(
                version, zlib.compress(self._configuration_document, 1)
            )
        return self._cached_copy

    # Servers.

    def on_server_rows(self, snapshot: Snapshot, is_full: bool) -> None:
        """Apply rows of the server table."""
        store_unstable = self._health.recently_failed(self._now())
        origin = UpdateOrigin(
            UpdateSource.TABLE if is_full else UpdateSource.FEED, snapshot.version
        )
        if is_full:
            listed = {row.key for row in snapshot.rows if not row.deleted}
            self._remove_unlisted(listed, store_unstable, origin)
        if is_full or self._has_missed(snapshot):
            self.pool.versions.record_gap(self._now() * MS_PER_SECOND)
        for row in snapshot.rows:
            if row.deleted:
                self._remove_server(row.key, store_unstable, origin)
            else:
                self._apply_server(row.key, row.value, origin)
        self._finish_update(snapshot.version)

    def _has_missed(self, snapshot: Snapshot) -> bool:
        """Whether an entry was removed that this daemon has never seen."""
        return any(
            row.deleted
            and row.version > self.server_version
            and row.key not in self._server_documents
            for row in snapshot.rows
        )

    def on_directory_copy(self, copy: DirectoryCopy, sender: str = "") -> None:
        """Apply a peer's server list, if it is newer.

        :param sender: the peer's ``host:port``, for the log.
        """
        if copy.version <= self.server_version:
            return
        self._adopt_versions(copy)
        store_unstable = copy.store_in_trouble or self._health.recently_failed(self._now())
        origin = UpdateOrigin(UpdateSource.PEER, copy.version, sender)
        self._remove_unlisted(copy.listed, store_unstable, origin)
        for server in copy.servers:
            self._apply_server(server.name, server.document, origin)
        self._finish_update(copy.version)

    def _adopt_versions(self, copy: DirectoryCopy) -> None:
        """Adopt what a peer knows of versions whose servers may have come and gone meanwhile."""
        versions, now_ms = self.pool.versions, self._now() * MS_PER_SECOND
        if copy.software_versions is None:
            versions.record_gap(now_ms)
            return
        versions.adopt_from_peer(
            copy.software_versions, copy.versions_row, copy.unregistered_versions, now_ms
        )

    def on_departure_notice(self, notice: ServerDepartures) -> None:
        """Apply a peer's notice of departing servers.

        Departures inferred from a removed entry are ignored while the store is unstable, since
        entries may then lapse although their servers are running.
        """
        store_unstable = self._health.recently_failed(self._now())
        for departure in notice.departures:
            if store_unstable and not departure.listed:
                continue
            if self.pool.directory.record_departure(
                departure.name, departure.instance, departure.version
            ):
                origin = UpdateOrigin(UpdateSource.GOSSIP, departure.version, notice.sender)
                self._log_server("departing", departure.instance, origin)
                self._pending_departures.append(departure)
        self._publish_departures()

    def _publish_departures(self) -> None:
        """Pass newly learned departures to the listener.

        One response of the store may both remove an entry and add it again, so servers that are
        ready again are left out.
        """
        departures = tuple(
            each for each in self._pending_departures if not self._is_ready_again(each)
        )
        self._pending_departures.clear()
        if departures:
            self.on_departures(departures)

    def _is_ready_again(self, departure: ServerDeparture) -> bool:
        """Return whether a server recorded as departing is listed as ready again."""
        directory = self.pool.directory
        known = directory.get(departure.name)
        same_instance = known is not None and known.instance == departure.instance
        return same_instance and not directory.is_departing(departure.name)

    def _record_departure(self, known: ServerEntry, origin: UpdateOrigin, listed: bool) -> None:
        """Record a departure that was not known before."""
        if not self.pool.directory.is_departing(known.name):
            departure = ServerDeparture(known.name, known.instance, origin.version, listed)
            self._pending_departures.append(departure)

    @property
    def server_version(self) -> int:
        """Return the store version of the server list."""
        return self.pool.directory.version

    def directory_copy(self, after_version: int) -> DirectoryCopy | None:
        """Return the list changes for a peer without access to the store.

        None when this daemon has no access either, or no newer version.
        """
        if self._health.available_since is None:
            return None
        return self.directory_changes(after_version)

    def directory_changes(self, after_version: int) -> DirectoryCopy | None:
        """Return the changes of the server list since a version; None when there are none.

        The models that servers hold may be outdated in it; the leader announces these separately.
        """
        if self.server_version <= after_version:
            return None
        changed = tuple(
            ServerDocument(name, document)
            for name, document in self._server_documents.items()
            if self._server_change_versions[name] > after_version
        )
        store_unstable = self._health.recently_failed(self._now())
        listed = tuple(self._server_documents)
        versions = self.pool.versions
        return DirectoryCopy(
            self.server_version,
            listed,
            changed,
            store_unstable,
            versions.services() if versions.is_known and versions.is_complete else None,
            versions.row_version,
            versions.unregistered,
        )

    async def wait_for_server_change(self, timeout: float) -> None:
        """Wait until a server is added, removed or changes state, or ``timeout`` seconds pass."""
        changed = self._servers_changed
        try:
            async with asyncio.timeout(timeout):
                await changed.wait()
        except TimeoutError:
            return

    def _signal_server_change(self) -> None:
        self._servers_changed.set()
        self._servers_changed = asyncio.Event()

    def _remove_unlisted(
        self, listed: Iterable[str], store_unstable: bool, origin: UpdateOrigin
    ) -> None:
        listed_names = set(listed)
        for name in [name for name in self._server_documents if name not in listed_names]:
            self._remove_server(name, store_unstable, origin)

    def _remove_server(self, name: str, store_unstable: bool, origin: UpdateOrigin) -> None:
        self._server_documents.pop(name, None)
        self._server_change_versions.pop(name, None)
        self._signal_server_change()
        known = self.pool.directory.get(name)
        if known is not None and not store_unstable:
            self._record_departure(known, origin, listed=False)
        self.pool.directory.remove(name, self._now(), store_unstable, self.servers_fresh_at)
        self._log_server("unlisted", name, origin, store_in_trouble=store_unstable)

    def _log_server(self, state: str, server: str, origin: UpdateOrigin, **fields: object) -> None:
        """Log a server's new state, the origin of the update and the age of the list before it."""
        log_state(
            "server",
            state,
            server=server,
            source=origin.source.value,
            teller=origin.sender,
            list_version=origin.version,
            list_age_ms=round(self.list_age_ms) if math.isfinite(self.list_age_ms) else None,
            **fields,
        )

    @property
    def list_age_ms(self) -> float:
        """Return the time since the list last matched the store; infinite if it never did."""
        return (self._now() - self.servers_fresh_at) * MS_PER_SECOND

    def _apply_server(self, name: str, document: bytes, origin: UpdateOrigin) -> None:
        try:
            entry = self._parser.parse_server(name, document)
        except MalformedDocument as error:
            log_state("server", "unreadable", server=name, error=str(error))
            if name in self._server_documents:
                self._remove_server(name, False, origin)
            return
        directory = self.pool.directory
        known = directory.get(name)
        if known is not None and entry.is_older_than(known):
            log_state("server", "outdated", server=entry.instance, newer=known.instance)
            return
        if known is not None and known.instance != entry.instance:
            log_state("server", "started-again", server=entry.instance, earlier=known.instance)
            known = None
        is_new = name not in self._server_documents
        if is_new or known is None or _without_held(known) != _without_held(entry):
            self._server_change_versions[name] = origin.version
            self._signal_server_change()
        if known is None or known.state is not entry.state:
            self._log_server(
                entry.state.value,
                entry.instance,
                origin,
                service=entry.service,
                zone=entry.zone,
                software=entry.software_version,
            )
        if known is not None and entry.state is ServerState.DRAINING:
            self._record_departure(known, origin, listed=True)
        self._server_documents[name] = document
        directory.put(entry)
        now_ms = self._now() * MS_PER_SECOND
        self.pool.versions.record_listed(entry.service, entry.software_version, now_ms)

    def _finish_update(self, version: int) -> None:
        directory = self.pool.directory
        directory.advance_version(version)
        self._metrics.servers.set(len(directory.entries()))
        self._metrics.servers_usable.set(directory.usable_count(self._now()))
        self.pool.refresh()
        self._publish_departures()

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()


def _without_held(entry: ServerEntry) -> ServerEntry:
    """Return an entry without the fields that the leader announces sooner."""
    return replace(entry, revision=0, held=())


def _server_limits(configuration: Configuration) -> ServerLimits:
    limits = configuration.limits
    return ServerLimits(
        max_head_bytes=limits.max_head_bytes,
        max_body_bytes=limits.max_body_bytes,
        head_timeout_seconds=limits.head_timeout_seconds,
        idle_timeout_seconds=limits.idle_timeout_seconds,
    )
