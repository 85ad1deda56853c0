"""A fleet of daemons that follow a store: the real followers, a made store and links.

It runs in virtual time. The store and the links can be given faults.
"""

import asyncio
import random
from collections.abc import Coroutine
from typing import cast

from attrs import frozen

from features.support.fake_store import (
    SERVICE,
    DaemonStoreClient,
    FakeStore,
    configuration_document,
)
from loomwind import constants
from loomwind.leadership.lease import LeaseHolder
from loomwind.messages import AnyMessage
from loomwind.messages.serving import (
    ConfigurationNotice,
    ConfigurationQuestion,
    DirectoryCopy,
    PoolDigest,
    ServerDepartures,
    ServerListQuestion,
)
from loomwind.metrics import Metrics
from loomwind.peering.errors import PeerUnreachable
from loomwind.peering.transport import PeerTransport
from loomwind.platform.documents import PlatformDocuments
from loomwind.serving.anti_entropy import AntiEntropy
from loomwind.serving.configuration_gossip import ConfigurationGossip
from loomwind.serving.configuration_polling import ConfigurationPolling
from loomwind.serving.departure_gossip import DepartureGossip
from loomwind.serving.follower import StoreHealth, TableFollower
from loomwind.serving.peers import PeerEntry, PeerTable
from loomwind.serving.pool import ServerPool
from loomwind.serving.ports import Store
from loomwind.serving.prompt_guard import PromptGuard
from loomwind.serving.replicated_state import ReplicatedState
from loomwind.serving.server_list import ServerListFollower
from loomwind.settings import BoundSettings

LINK_SECONDS = 0.002
CONFIGURATION_KEY = "config"


class SimulatedNetwork:
    """The links between daemons.

    :ivar silent: daemons that answer no peer, and hear none.
    :ivar loses_gossip: whether word of departures, and of versions, is lost.
    """

    def __init__(self) -> None:
        self.silent: set[str] = set()
        self.loses_gossip = False
        self._daemons: dict[str, FleetDaemon] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def add(self, daemon: "FleetDaemon") -> None:
        """Let a daemon be reached."""
        self._daemons[daemon.name] = daemon

    async def call(
        self, sender: str, address: str, message: AnyMessage, timeout: float
    ) -> AnyMessage:
        """Ask a peer."""
        try:
            async with asyncio.timeout(timeout):
                await self._pass(sender, address)
                answer = await self._daemons[address].on_message(message)
                await self._pass(sender, address)
        except TimeoutError as error:
            raise PeerUnreachable("no answer") from error
        assert answer is not None
        return answer

    def cast(self, sender: str, address: str, message: AnyMessage) -> None:
        """Tell a peer."""
        task = asyncio.get_running_loop().create_task(self._cast(sender, address, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _cast(self, sender: str, address: str, message: AnyMessage) -> None:
        lost = self.loses_gossip and isinstance(message, ServerDepartures | ConfigurationNotice)
        if not lost and not {sender, address} & self.silent:
            await asyncio.sleep(LINK_SECONDS)
            await self._daemons[address].on_message(message)

    async def _pass(self, sender: str, address: str) -> None:
        await asyncio.sleep(LINK_SECONDS)
        if {sender, address} & self.silent:
            await asyncio.Event().wait()


class DaemonTransport:
    """The links as one daemon uses them."""

    def __init__(self, links: SimulatedNetwork, daemon: str) -> None:
        self._links = links
        self._daemon = daemon

    async def call(self, address: str, message: AnyMessage, timeout: float) -> AnyMessage:
        """Ask a peer."""
        return await self._links.call(self._daemon, address, message, timeout)

    def cast(self, address: str, message: AnyMessage) -> None:
        """Tell a peer."""
        self._links.cast(self._daemon, address, message)


class SimulatedPeerTable:
    """The fleet's daemons in their order; the first ones are mirrors."""

    def __init__(self, own: str, names: list[str], mirrors: int) -> None:
        self._own = own
        self._entries = [PeerEntry(name, "z", f"life-{name}") for name in names]
        self._mirrors = mirrors

    def others(self) -> list[PeerEntry]:
        """Return all daemons but this one."""
        return [entry for entry in self._entries if entry.address != self._own]

    def mirrors(self) -> list[PeerEntry]:
        """Return the daemons that read the store for others."""
        return self._entries[: self._mirrors]

    def is_mirror(self) -> bool:
        """Whether this daemon reads the store for others."""
        mirrors = self.mirrors()
        return not mirrors or any(entry.address == self._own for entry in mirrors)

    def paced(self, seconds: float) -> float:
        """Return an interval, longer in a large fleet."""
        return seconds * max(1.0, len(self._entries) / constants.SMALL_FLEET_DAEMONS)

    def fingers(self) -> list[PeerEntry]:
        """Return the daemons that this one passes word on to."""
        count = len(self._entries)
        if not count:
            return []
        place = next(i for i, entry in enumerate(self._entries) if entry.address == self._own)
        return [self._entries[(place + (1 << i)) % count] for i in range((count - 1).bit_length())]


@frozen
class FleetTables:
    """The store's tables that daemons follow."""

    servers: FakeStore
    configuration: FakeStore


class FleetDaemon:
    """One daemon's part that follows the store."""

    def __init__(
        self,
        name: str,
        tables: FleetTables,
        links: SimulatedNetwork,
        peers: SimulatedPeerTable,
        bounds: BoundSettings,
    ) -> None:
        self.name = name
        health = StoreHealth()
        self.replicated_state = ReplicatedState(
            PlatformDocuments(), CONFIGURATION_KEY, ServerPool(bounds), health, Metrics()
        )
        self._table = TableFollower(
            cast(Store, DaemonStoreClient(tables.servers, name)),
            "servers",
            health,
            self.replicated_state.on_server_rows,
        )
        polling = ConfigurationPolling(cast(PeerTable, peers), lambda: bounds)
        self._configuration = TableFollower(
            cast(Store, DaemonStoreClient(tables.configuration, name)),
            "op",
            health,
            self.replicated_state.on_configuration_rows,
            polling.poll_interval_seconds,
            long_poll_seconds=polling.long_poll_seconds,
        )
        self._follower = ServerListFollower(
            LeaseHolder(name, f"life-{name}", name),
            self._table,
            cast(PeerTransport, DaemonTransport(links, name)),
            cast(PeerTable, peers),
            self.replicated_state,
            bounds,
        )
        prompts = PromptGuard(
            name, cast(PeerTransport, DaemonTransport(links, name)), cast(PeerTable, peers)
        )
        self._configurations = ConfigurationGossip(
            name,
            cast(PeerTransport, DaemonTransport(links, name)),
            cast(PeerTable, peers),
            self.replicated_state,
        )
        self._anti_entropy = AntiEntropy(
            name,
            cast(PeerTransport, DaemonTransport(links, name)),
            cast(PeerTable, peers),
            self.replicated_state,
            health,
            prompts,
            self._configurations,
        )
        DepartureGossip(
            name,
            cast(PeerTransport, DaemonTransport(links, name)),
            cast(PeerTable, peers),
            self.replicated_state,
        )

    async def on_message(self, message: AnyMessage) -> AnyMessage | None:
        """Act on a peer's message."""
        match message:
            case ServerListQuestion():
                return await self._follower.answer(message)
            case PoolDigest():
                self._anti_entropy.on_digest(message)
            case ConfigurationNotice():
                self._configurations.note_version(message.teller, message.version)
            case ConfigurationQuestion():
                return self._configurations.answer(message)
            case DirectoryCopy():
                self.replicated_state.on_directory_copy(message)
            case ServerDepartures():
                self.replicated_state.on_departure_notice(message)
        return None

    def uses(self, server: str) -> bool:
        """Whether a request may be sent to a server."""
        now = asyncio.get_running_loop().time()
        return any(
            entry.name == server
            for entry in self.replicated_state.pool.directory.usable(SERVICE, now)
        )

    async def run(self) -> None:
        """Follow for ever."""
        await asyncio.gather(
            self._follower.run(),
            self._configuration.run(),
            self._configurations.run(),
            self._anti_entropy.run(),
        )


class Fleet:
    """Daemons, store and links, with their faults."""

    def __init__(self, daemons: int, mirrors: int, servers: int, bound_ms: float) -> None:
        """Make a fleet.

        :param bound_ms: how soon a departure, or a configuration, has to count everywhere.
        """
        self.store = FakeStore(servers)
        self.configuration = FakeStore(0, self.store.faults)
        self._configuration_version = 0
        self.links = SimulatedNetwork()
        self.names = [f"d{number}" for number in range(daemons)]
        self.mirrors = self.names[:mirrors]
        self._bounds = bounds = BoundSettings(drain_ms=bound_ms, apply_ms=bound_ms)
        self._tables = tables = FleetTables(self.store, self.configuration)
        self.daemons = [
            FleetDaemon(
                name, tables, self.links, SimulatedPeerTable(name, self.names, mirrors), bounds
            )
            for name in self.names
        ]
        for daemon in self.daemons:
            self.links.add(daemon)
        self._tasks: list[asyncio.Task[None]] = []

    def restart(self, name: str) -> FleetDaemon:
        """Let a daemon start again: it knows nothing, no peer either; the others know of it."""
        alone = SimulatedPeerTable(name, [], 0)
        daemon = FleetDaemon(name, self._tables, self.links, alone, self._bounds)
        self.links.add(daemon)
        self._tasks.append(asyncio.ensure_future(daemon.run()))
        return daemon

    def write_configuration(self) -> int:
        """Write the next version of the configuration, and return it."""
        self._configuration_version += 1
        document = configuration_document(self._configuration_version)
        self.configuration.put(CONFIGURATION_KEY, document)
        return self._configuration_version

    async def start(self, draw: random.Random) -> None:
        """Let the daemons begin within a second of each other."""
        for daemon in self.daemons:
            self._tasks.append(asyncio.ensure_future(self._start_later(daemon, draw.random())))

    @staticmethod
    async def _start_later(daemon: FleetDaemon, delay: float) -> None:
        await asyncio.sleep(delay)
        await daemon.run()

    def spawn(self, work: Coroutine[None, None, None]) -> None:
        """Run something beside the daemons until the fleet stops."""
        self._tasks.append(asyncio.ensure_future(work))

    async def stop(self) -> None:
        """End everything."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
