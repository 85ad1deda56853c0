"""Evens out what daemons know: each tells a random peer its versions, and is sent what is newer."""

import asyncio
import random

from loomwind import constants
from loomwind.messages.serving import PoolDigest
from loomwind.peering.transport import PeerTransport
from loomwind.serving.beliefs import Beliefs
from loomwind.serving.follower import StoreHealth
from loomwind.serving.peers import PeerTable


class AntiEntropy:
    """One daemon's digests, and its answers to those of others.

    :param own_address: ``host:port`` of this daemon for peers.
    """

    def __init__(
        self,
        own_address: str,
        transport: PeerTransport,
        peers: PeerTable,
        beliefs: Beliefs,
        health: StoreHealth,
    ) -> None:
        self._own_address = own_address
        self._transport = transport
        self._peers = peers
        self._beliefs = beliefs
        self._health = health

    async def run(self) -> None:
        """Let a peer know for ever what this daemon knows."""
        while True:
            await asyncio.sleep(constants.POOL_DIGEST_INTERVAL_SECONDS)
            others = self._peers.others()
            if not others:
                continue
            digest = PoolDigest(
                self._own_address,
                self._beliefs.configuration_version,
                self._beliefs.server_version,
                self._health.answering_since is not None,
            )
            self._transport.cast(random.choice(others).address, digest)

    def on_digest(self, digest: PoolDigest) -> None:
        """Send a peer what it lacks."""
        configuration = self._beliefs.configuration_copy(digest.configuration_version)
        if configuration is not None:
            self._transport.cast(digest.sender, configuration)
        if digest.store_answers:
            return
        directory = self._beliefs.directory_copy(digest.server_version)
        if directory is not None:
            self._transport.cast(digest.sender, directory)
