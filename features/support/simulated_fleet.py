"""A fleet of daemons with the real followers, a fake store and a simulated network.

It runs in virtual time. Faults can be injected into the store and the network.
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
from loomwind.clock import Clock
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
from loomwind.platform.documents import PlatformDocumentParser
from loomwind.serving.anti_entropy import AntiEntropy
from loomwind.serving.configuration_gossip import ConfigurationGossip
from loomwind.serving.configuration_polling import ConfigurationPolling
from loomwind.serving.departure_gossip import DepartureGossip
from loomwind.serving.follower import StoreHealth, TableFollower
from loomwind.serving.peers import PeerEntry, PeerTable
from loomwind.serving.pool import ServerPool
from loomwind.serving.ports import Store
from loomwind.serving.prompt_guard import PromptGuard
from loomwind.serving.rejection_limit_gossip import RejectionLimitGossip
from loomwind.serving.replicated_state import ReplicatedState
from loomwind.serving.server_list import ServerListFollower
from loomwind.settings import BoundSettings

LINK_LATENCY_SECONDS = 0.002
CONFIGURATION_KEY = "config"


class SimulatedNetwork:
    """The network between daemons.

    :ivar unreachable: daemons that exchange no messages with peers.
    :ivar drops_gossip: whether notices of departures and configuration versions are lost.
    """

    def __init__(self) -> None:
        self.unreachable: set[str] = set()
        self.drops_gossip = False
        self._daemons: dict[str, FleetDaemon] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def add(self, daemon: "FleetDaemon") -> None:
        """Add a daemon, replacing an earlier one of the same name."""
        self._daemons[daemon.name] = daemon

    async def call(
        self, sender: str, address: str, message: AnyMessage, timeout: float
    ) -> AnyMessage:
        """Send a request to a peer and return its response."""
        try:
            async with asyncio.timeout(timeout):
                await self._transmit(sender, address)
                answer = await self._daemons[address].on_message(message)
                await self._transmit(sender, address)
        except TimeoutError as error:
            raise PeerUnreachable("no response") from error
        assert answer is not None
        return answer

    def send(self, sender: str, address: str, message: AnyMessage) -> None:
        """Send a message to a peer without waiting for a response."""
        task = asyncio.get_running_loop().create_task(self._send(sender, address, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, sender: str, address: str, message: AnyMessage) -> None:
        lost = self.drops_gossip and isinstance(message, ServerDepartures | ConfigurationNotice)
        if not lost and not {sender, address} & self.unreachable:
            await asyncio.sleep(LINK_LATENCY_SECONDS)
            await self._daemons[address].on_message(message)

    async def _transmit(self, sender: str, address: str) -> None:
        await asyncio.sleep(LINK_LATENCY_SECONDS)
        if {sender, address} & self.unreachable:
            await asyncio.Event().wait()


class DaemonTransport:
    """The network as one daemon uses it."""

    def __init__(self, network: SimulatedNetwork, daemon: str) -> None:
        self._network = network
        self._daemon = daemon

    async def call(self, address: str, message: AnyMessage, timeout: float) -> AnyMessage:
        """Send a request to a peer and return its response."""
        return await self._network.call(self._daemon, address, message, timeout)

    def send(self, address: str, message: AnyMessage) -> None:
        """Send a message to a peer without waiting for a response."""
        self._network.send(self._daemon, address, message)


class SimulatedPeerTable:
    """The daemons of the fleet in order; the first ones are mirrors."""

    def __init__(self, own: str, names: list[str], mirrors: int) -> None:
        self._own = own
        self._entries = [PeerEntry(name, "z", f"life-{name}") for name in names]
        self._mirrors = mirrors

    def others(self) -> list[PeerEntry]:
        """Return all other daemons."""
        return [entry for entry in self._entries if entry.address != self._own]

    def mirrors(self) -> list[PeerEntry]:
        """Return the daemons that follow the store for others."""
        return self._entries[: self._mirrors]

    def is_mirror(self) -> bool:
        """Return whether this daemon follows the store for others."""
        mirrors = self.mirrors()
        return not mirrors or any(entry.address == self._own for entry in mirrors)

    def scale_interval(self, seconds: float) -> float:
        """Return an interval, longer in a large fleet."""
        return seconds * max(1.0, len(self._entries) / constants.SMALL_FLEET_DAEMONS)

    def gossip_targets(self) -> list[PeerEntry]:
        """Return the daemons that this one forwards gossip to."""
        count = len(self._entries)
        if not count:
            return []
        place = next(i for i, entry in enumerate(self._entries) if entry.address == self._own)
        return [self._entries[(place + (1 << i)) % count] for i in range((count - 1).bit_length())]


@frozen
class FleetTables:
    """The store tables that daemons follow."""

    servers: FakeStore
    configuration: FakeStore


class FleetDaemon:
    """The components of a daemon that follow the store and exchange updates with peers."""

    def __init__(
        self,
        name: str,
        tables: FleetTables,
        network: SimulatedNetwork,
        peers: SimulatedPeerTable,
        bounds: BoundSettings,
    ) -> None:
        self.name = name
        health = StoreHealth()
        self.replicated_state = ReplicatedState(
            PlatformDocumentParser(), CONFIGURATION_KEY, ServerPool(bounds), health, Metrics()
        )
        self._server_table = TableFollower(
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
            self._server_table,
            cast(PeerTransport, DaemonTransport(network, name)),
            cast(PeerTable, peers),
            self.replicated_state,
            bounds,
        )
        prompts = PromptGuard(
            name, cast(PeerTransport, DaemonTransport(network, name)), cast(PeerTable, peers)
        )
        self._configurations = ConfigurationGossip(
            name,
            cast(PeerTransport, DaemonTransport(network, name)),
            cast(PeerTable, peers),
            self.replicated_state,
        )
        self._anti_entropy = AntiEntropy(
            name,
            cast(PeerTransport, DaemonTransport(network, name)),
            cast(PeerTable, peers),
            self.replicated_state,
            health,
            prompts,
            self._configurations,
            RejectionLimitGossip(
                cast(PeerTransport, DaemonTransport(network, name)),
                cast(PeerTable, peers),
                self.replicated_state.pool.rejection_limits,
                Clock(),
            ),
        )
        DepartureGossip(
            name,
            cast(PeerTransport, DaemonTransport(network, name)),
            cast(PeerTable, peers),
            self.replicated_state,
        )

    async def on_message(self, message: AnyMessage) -> AnyMessage | None:
        """Handle a message from a peer."""
        match message:
            case ServerListQuestion():
                return await self._follower.answer(message)
            case PoolDigest():
                self._anti_entropy.on_digest(message)
            case ConfigurationNotice():
                self._configurations.record_peer_version(message.sender, message.version)
            case ConfigurationQuestion():
                return self._configurations.answer(message)
            case DirectoryCopy():
                self.replicated_state.on_directory_copy(message)
            case ServerDepartures():
                self.replicated_state.on_departure_notice(message)
        return None

    def uses(self, server: str) -> bool:
        """Return whether this daemon may send requests to a server."""
        now = asyncio.get_running_loop().time()
        return any(
            entry.name == server
            for entry in self.replicated_state.pool.directory.usable(SERVICE, now)
        )

    async def run(self) -> None:
        """Run the components until cancelled."""
        await asyncio.gather(
            self._follower.run(),
            self._configuration.run(),
            self._configurations.run(),
            self._anti_entropy.run(),
        )


class Fleet:
    """Daemons, store and network."""

    def __init__(self, daemons: int, mirrors: int, servers: int, bound_ms: float) -> None:
        """Create a fleet.

        :param bound_ms: how soon a departure or a configuration must be applied everywhere.
        """
        self.store = FakeStore(servers)
        self.configuration = FakeStore(0, self.store.faults)
        self._configuration_version = 0
        self.network = SimulatedNetwork()
        self.names = [f"d{number}" for number in range(daemons)]
        self.mirrors = self.names[:mirrors]
        self._bounds = bounds = BoundSettings(drain_ms=bound_ms, apply_ms=bound_ms)
        self._tables = tables = FleetTables(self.store, self.configuration)
        self.daemons = [
            FleetDaemon(
                name, tables, self.network, SimulatedPeerTable(name, self.names, mirrors), bounds
            )
            for name in self.names
        ]
        for daemon in self.daemons:
            self.network.add(daemon)
        self._tasks: list[asyncio.Task[None]] = []

    def restart(self, name: str) -> FleetDaemon:
        """Restart a daemon with empty state and no known peers; the others still know it."""
        alone = SimulatedPeerTable(name, [], 0)
        daemon = FleetDaemon(name, self._tables, self.network, alone, self._bounds)
        self.network.add(daemon)
        self._tasks.append(asyncio.ensure_future(daemon.run()))
        return daemon

    def write_configuration(self) -> int:
        """Write the next version of the configuration and return its number."""
        self._configuration_version += 1
        document = configuration_document(self._configuration_version)
        self.configuration.put(CONFIGURATION_KEY, document)
        return self._configuration_version

    async def start(self, rng: random.Random) -> None:
        """Start the daemons at random times within one second."""
        for daemon in self.daemons:
            self._tasks.append(asyncio.ensure_future(self._start_later(daemon, rng.random())))

    @staticmethod
    async def _start_later(daemon: FleetDaemon, delay: float) -> None:
        await asyncio.sleep(delay)
        await daemon.run()

    def spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        """Run a coroutine until the fleet stops."""
        self._tasks.append(asyncio.ensure_future(coroutine))

    async def stop(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
