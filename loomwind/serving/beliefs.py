"""What a daemon believes of configuration and servers, as told by the store or by a peer.

A configuration never gives way to one that is not newer. Documents are kept as they came, so that a
peer that the store does not serve can be sent a copy.
"""

import asyncio
import enum
import math
import zlib
from collections.abc import Callable, Iterable

from attrs import frozen
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
from loomwind.serving.ports import Documents, MalformedDocument, Snapshot
from loomwind.serving.routes import RouteTable
from loomwind.serving.views import Configuration, ServerEntry, ServerState


class Source(enum.Enum):
    """By which way the list of servers, or the configuration, was learned."""

    FEED = "feed"
    TABLE = "table"
    PEER = "peer"
    GOSSIP = "gossip"


@frozen
class Origin:
    """Where a change in the list of servers, or of the configuration, comes from.

    :param version: the store's version that the list stands at with the change, or that wrote the
        configuration; 0 when a peer did not say.
    :param sender: the peer's ``host:port``; empty when the store itself has told.
    """

    source: Source
    version: int
    sender: str = ""


class Beliefs:
    """Configuration and servers of one daemon.

    :ivar routes: the routes in force; None before a configuration is known.
    :ivar limits: what callers may send; those of the configuration once there is one.
    :ivar servers_fresh_at: loop time at which the list of servers was as the store has it.
    :ivar configuration_listeners: called when a newer configuration is in force.
    :ivar on_departures: called with servers that leave, as soon as that is first known here.
    """

    def __init__(
        self,
        documents: Documents,
        configuration_key: str,
        pool: ServerPool,
        health: StoreHealth,
        metrics: Metrics,
    ) -> None:
        self._documents = documents
        self._configuration_key = configuration_key
        self.pool = pool
        self._health = health
        self._metrics = metrics
        self._configuration_document = b""
        self._copy: ConfigurationCopy | None = None
        self.configuration_listeners: list[Callable[[], None]] = []
        self._server_documents: dict[str, bytes] = {}
        self._server_changes: dict[str, int] = {}
        self._servers_changed = asyncio.Event()
        self.routes: RouteTable | None = None
        self.limits = ServerLimits()
        self.servers_fresh_at = float("-inf")
        self.on_departures: Callable[[tuple[ServerDeparture, ...]], None] = lambda departures: None
        self._departures: list[ServerDeparture] = []

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force, or None."""
        return self.routes.configuration if self.routes else None

    @property
    def configuration_version(self) -> int:
        """Return the version in force; 0 for none."""
        return self.routes.configuration.version if self.routes else 0

    # Configuration.

    def on_configuration_rows(self, snapshot: Snapshot, whole: bool) -> None:
        """Take in rows of the configuration's table."""
        source = Source.TABLE if whole else Source.FEED
        for row in snapshot.rows:
            if row.key == self._configuration_key and not row.gone:
                self._apply(row.value, Origin(source, row.version))

    def on_configuration_copy(self, copy: ConfigurationCopy, sender: str) -> None:
        """Take in what a peer has sent.

        :param sender: the peer's ``host:port``, for the log.
        """
        if copy.version <= self.configuration_version:
            return
        try:
            document = zlib.decompress(copy.document)
        except zlib.error as error:
            log_state("configuration", "unreadable", error=str(error), teller=sender)
            return
        self._apply(document, Origin(Source.PEER, 0, sender))

    def _apply(self, document: bytes, origin: Origin) -> None:
        """Put a configuration in force, unless one as new is in force already."""
        source = origin.source.value
        try:
            configuration = self._documents.configuration(document)
        except MalformedDocument as error:
            log_state("configuration", "unreadable", error=str(error), source=source)
            return
        if self.routes is not None and configuration.version <= self.configuration_version:
            return
        self.routes = RouteTable(configuration, self.routes)
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

    def configuration_copy(self) -> ConfigurationCopy:
        """Return the configuration in force for a peer; one of version 0 when there is none."""
        version = self.configuration_version
        if self._copy is None or self._copy.version != version:
            self._copy = ConfigurationCopy(version, zlib.compress(self._configuration_document, 1))
        return self._copy

    # Servers.

    def on_server_rows(self, snapshot: Snapshot, whole: bool) -> None:
        """Take in rows of the servers' table."""
        trouble = self._health.in_trouble(self._now())
        origin = Origin(Source.TABLE if whole else Source.FEED, snapshot.version)
        if whole:
            listed = {row.key for row in snapshot.rows if not row.gone}
            self._drop_all_but(listed, trouble, origin)
        for row in snapshot.rows:
            if row.gone:
                self._drop(row.key, trouble, origin)
            else:
                self._put(row.key, row.value, origin)
        self._note_servers(snapshot.version)

    def on_directory_copy(self, copy: DirectoryCopy, sender: str = "") -> None:
        """Take in a peer's list of servers, if it is newer.

        :param sender: the peer's ``host:port``, for the log.
        """
        if copy.version <= self.server_version:
            return
        trouble = copy.store_in_trouble or self._health.in_trouble(self._now())
        origin = Origin(Source.PEER, copy.version, sender)
        self._drop_all_but(copy.listed, trouble, origin)
        for server in copy.servers:
            self._put(server.name, server.document, origin)
        self._note_servers(copy.version)

    def on_departure_notice(self, notice: ServerDepartures) -> None:
        """Take in a peer's word that servers leave.

        That an entry has gone says nothing to a daemon that knows the store to be in trouble.
        """
        trouble = self._health.in_trouble(self._now())
        for departure in notice.departures:
            if trouble and not departure.listed:
                continue
            if self.pool.directory.note_departure(
                departure.name, departure.instance, departure.version
            ):
                origin = Origin(Source.GOSSIP, departure.version, notice.sender)
                self._log_server("departing", departure.instance, origin)
                self._departures.append(departure)
        self._tell_departures()

    def _tell_departures(self) -> None:
        """Hand over what has become known of servers that leave.

        One answer of the store may say that an entry has gone and that it is back.
        """
        departures = tuple(each for each in self._departures if not self._is_back(each))
        self._departures.clear()
        if departures:
            self.on_departures(departures)

    def _is_back(self, departure: ServerDeparture) -> bool:
        """Whether a server that was taken to leave is listed as ready after all."""
        directory = self.pool.directory
        known = directory.get(departure.name)
        same_life = known is not None and known.instance == departure.instance
        return same_life and not directory.is_departing(departure.name)

    def _note_departure(self, known: ServerEntry, origin: Origin, listed: bool) -> None:
        """Note that a server leaves that was taken to stay."""
        if not self.pool.directory.is_departing(known.name):
            departure = ServerDeparture(known.name, known.instance, origin.version, listed)
            self._departures.append(departure)

    @property
    def server_version(self) -> int:
        """Return the store's version that the list of servers stands at."""
        return self.pool.directory.version

    def directory_copy(self, than_version: int) -> DirectoryCopy | None:
        """Return what a peer lacks that the store does not serve; None when this daemon is no
        better off.
        """
        if self._health.answering_since is None:
            return None
        return self.directory_changes(than_version)

    def directory_changes(self, than_version: int) -> DirectoryCopy | None:
        """Return what changed in the list since a version; None when nothing did.

        What a server holds may be older in it: the leader tells that.
        """
        if self.server_version <= than_version:
            return None
        changed = tuple(
            ServerDocument(name, raw)
            for name, raw in self._server_documents.items()
            if self._server_changes[name] > than_version
        )
        trouble = self._health.in_trouble(self._now())
        listed = tuple(self._server_documents)
        return DirectoryCopy(self.server_version, listed, changed, trouble)

    async def wait_for_server_change(self, timeout: float) -> None:
        """Wait until a server comes, goes or changes its state, or for ``timeout`` seconds."""
        changed = self._servers_changed
        try:
            async with asyncio.timeout(timeout):
                await changed.wait()
        except TimeoutError:
            return

    def _note_server_change(self) -> None:
        self._servers_changed.set()
        self._servers_changed = asyncio.Event()

    def _drop_all_but(self, listed: Iterable[str], trouble: bool, origin: Origin) -> None:
        kept = set(listed)
        for name in [name for name in self._server_documents if name not in kept]:
            self._drop(name, trouble, origin)

    def _drop(self, name: str, trouble: bool, origin: Origin) -> None:
        self._server_documents.pop(name, None)
        self._server_changes.pop(name, None)
        self._note_server_change()
        known = self.pool.directory.get(name)
        if known is not None and not trouble:
            self._note_departure(known, origin, listed=False)
        self.pool.directory.remove(name, self._now(), trouble, self.servers_fresh_at)
        self._log_server("unlisted", name, origin, store_in_trouble=trouble)

    def _log_server(self, state: str, server: str, origin: Origin, **fields: object) -> None:
        """Say what is known of a server now, by which way, and how old the list was before."""
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
        """Return how long ago the list was as the store has it; infinite before it ever was."""
        return (self._now() - self.servers_fresh_at) * MS_PER_SECOND

    def _put(self, name: str, document: bytes, origin: Origin) -> None:
        try:
            entry = self._documents.server(name, document)
        except MalformedDocument as error:
            log_state("server", "unreadable", server=name, error=str(error))
            if name in self._server_documents:
                self._drop(name, False, origin)
            return
        directory = self.pool.directory
        known = directory.get(name)
        if known is not None and entry.is_older_than(known):
            log_state("server", "outdated", server=entry.instance, newer=known.instance)
            return
        if known is not None and known.instance != entry.instance:
            log_state("server", "started-again", server=entry.instance, earlier=known.instance)
            known = None
        new = name not in self._server_documents
        if new or known is None or _standing(known) != _standing(entry):
            self._server_changes[name] = origin.version
            self._note_server_change()
        if known is None or known.state is not entry.state:
            self._log_server(
                entry.state.value,
                entry.instance,
                origin,
                service=entry.service,
                zone=entry.zone,
            )
        if known is not None and entry.state is ServerState.DRAINING:
            self._note_departure(known, origin, listed=True)
        self._server_documents[name] = document
        directory.put(entry)

    def _note_servers(self, version: int) -> None:
        directory = self.pool.directory
        directory.advance(version)
        self._metrics.servers.set(len(directory.entries()))
        self._metrics.servers_usable.set(directory.usable_count(self._now()))
        self.pool.refresh()
        self._tell_departures()

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()


def _standing(entry: ServerEntry) -> ServerEntry:
    """Return an entry without what the leader tells sooner."""
    return replace(entry, revision=0, held=())


def _server_limits(configuration: Configuration) -> ServerLimits:
    limits = configuration.limits
    return ServerLimits(
        max_head_bytes=limits.max_head_bytes,
        max_body_bytes=limits.max_body_bytes,
        head_timeout_seconds=limits.head_timeout_seconds,
        idle_timeout_seconds=limits.idle_timeout_seconds,
    )
