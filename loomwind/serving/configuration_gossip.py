"""Gossips configuration versions: daemons announce new ones to their gossip targets.

Announcements carry only the version number; peers fetch the document, so each gets it once. Daemons
that cannot reach the store learn of a version as soon as the others. If messages are lost, digests
(:mod:`loomwind.serving.anti_entropy`) carry the version later.
"""

import asyncio

from loomwind.logs import log_state
from loomwind.messages.serving import (
    ConfigurationCopy,
    ConfigurationNotice,
    ConfigurationQuestion,
)
from loomwind.peering.errors import PeerUnreachable
from loomwind.peering.transport import PeerTransport
from loomwind.serving.peers import PeerTable
from loomwind.serving.replicated_state import ReplicatedState

# Versions that arrive within this time share one announcement.
NOTICE_BATCH_SECONDS = 0.05
FETCH_TIMEOUT_SECONDS = 0.5


class ConfigurationGossip:
    """Announces this daemon's configuration version and fetches newer ones.

    :param own_address: this daemon's peer address, ``host:port``.
    """

    def __init__(
        self,
        own_address: str,
        transport: PeerTransport,
        peers: PeerTable,
        replicated_state: ReplicatedState,
    ) -> None:
        self._own_address = own_address
        self._transport = transport
        self._peers = peers
        self._replicated_state = replicated_state
        self._changed = asyncio.Event()
        self._version_announced = asyncio.Event()
        self._newest_known_version = 0
        self._sources: list[str] = []
        replicated_state.configuration_listeners.append(self._changed.set)

    async def run(self) -> None:
        """Announce and fetch versions; never returns."""
        async with asyncio.TaskGroup() as work:
            work.create_task(self._announce_changes())
            work.create_task(self._fetch_newer())

    # Outgoing announcements and answers.

    async def _announce_changes(self) -> None:
        while True:
            await self._changed.wait()
            self._changed.clear()
            for peer in self._peers.gossip_targets():
                self._send_notice(peer.address)
            await asyncio.sleep(NOTICE_BATCH_SECONDS)

    def _send_notice(self, address: str) -> None:
        version = self._replicated_state.configuration_version
        self._transport.send(address, ConfigurationNotice(self._own_address, version))

    def answer(self, question: ConfigurationQuestion) -> ConfigurationCopy:
        """Return the applied configuration to a peer that requests it."""
        return self._replicated_state.configuration_copy()

    # Versions of peers.

    def record_peer_version(self, address: str, version: int) -> None:
        """Record the version that a peer has applied, and notify the peer if it is outdated."""
        own = self._replicated_state.configuration_version
        if version < own:
            self._send_notice(address)
        if version <= max(own, self._newest_known_version - 1):
            return
        if version > self._newest_known_version:
            self._newest_known_version = version
            self._sources.clear()
        self._sources.append(address)
        self._version_announced.set()

    async def _fetch_newer(self) -> None:
        while True:
            await self._version_announced.wait()
            self._version_announced.clear()
            while (
                self._sources
                and self._newest_known_version > self._replicated_state.configuration_version
            ):
                sender = self._sources.pop(0)
                try:
                    await self._fetch(sender)
                except Exception as error:
                    log_state("configuration", "failed", teller=sender, error=repr(error))

    async def _fetch(self, sender: str) -> None:
        question = ConfigurationQuestion(self._replicated_state.configuration_version)
        try:
            copy = await self._transport.call(sender, question, FETCH_TIMEOUT_SECONDS)
        except PeerUnreachable as error:
            log_state("configuration", "not-fetched", teller=sender, reason=str(error))
            return
        if isinstance(copy, ConfigurationCopy):
            self._replicated_state.on_configuration_copy(copy, sender)
