"""Anti-entropy: each daemon sends a digest to a random peer, which replies with newer state."""

import asyncio
import random

from loomwind import constants
from loomwind.messages.serving import PoolDigest
from loomwind.peering.transport import PeerTransport
from loomwind.serving.configuration_gossip import ConfigurationGossip
from loomwind.serving.follower import StoreHealth
from loomwind.serving.peers import PeerTable
from loomwind.serving.prompt_guard import PromptGuard
from loomwind.serving.rejection_limit_gossip import RejectionLimitGossip
from loomwind.serving.replicated_state import ReplicatedState

# A daemon that has just started lacks the others' state, so it checks often until it knows a peer.
NO_PEERS_POLL_SECONDS = 0.05


class AntiEntropy:
    """Sends this daemon's digests and answers those of its peers.

    :param own_address: this daemon's peer address, ``host:port``.
    """

    def __init__(
        self,
        own_address: str,
        transport: PeerTransport,
        peers: PeerTable,
        replicated_state: ReplicatedState,
        health: StoreHealth,
        prompts: PromptGuard,
        configurations: ConfigurationGossip,
        rejection_limits: RejectionLimitGossip,
    ) -> None:
        self._own_address = own_address
        self._transport = transport
        self._peers = peers
        self._replicated_state = replicated_state
        self._health = health
        self._prompts = prompts
        self._configurations = configurations
        self._rejection_limits = rejection_limits

    async def run(self) -> None:
        """Send digests to random peers periodically; never returns."""
        while True:
            others = self._peers.others()
            if not others:
                await asyncio.sleep(NO_PEERS_POLL_SECONDS)
                continue
            self._transport.send(random.choice(others).address, self._own_digest())
            await asyncio.sleep(constants.POOL_DIGEST_INTERVAL_SECONDS)

    def _own_digest(self) -> PoolDigest:
        return PoolDigest(
            self._own_address,
            self._replicated_state.configuration_version,
            self._replicated_state.server_version,
            self._health.available_since is not None,
            self._prompts.digest(),
        )

    def on_digest(self, digest: PoolDigest) -> None:
        """Send a peer the state it lacks; reply with a digest if no peer is known."""
        if not self._peers.others():
            self._transport.send(digest.sender, self._own_digest())
        self._configurations.record_peer_version(digest.sender, digest.configuration_version)
        self._rejection_limits.send_to(digest.sender)
        own_crashes = self._prompts.digest()
        if own_crashes and own_crashes != digest.prompt_crashes:
            self._transport.send(digest.sender, self._prompts.all_crashes())
        if digest.store_answers:
            return
        directory = self._replicated_state.directory_copy(digest.server_version)
        if directory is not None:
            self._transport.send(digest.sender, directory)
