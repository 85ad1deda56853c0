"""Spreads the word that a server leaves: each daemon that hears it first tells its fingers.

By gossip nearly all daemons know as soon as any of them does. Where messages are lost, what mirrors
and the store tell (:mod:`loomwind.serving.server_list`) bounds how late a daemon learns of it.
"""

from loomwind.messages.serving import ServerDeparture, ServerDepartures
from loomwind.peering.transport import PeerTransport
from loomwind.serving.beliefs import Beliefs
from loomwind.serving.peers import PeerTable


class DepartureGossip:
    """One daemon's part in spreading departures.

    :param own_address: ``host:port`` of this daemon for peers.
    """

    def __init__(
        self, own_address: str, transport: PeerTransport, peers: PeerTable, beliefs: Beliefs
    ) -> None:
        self._own_address = own_address
        self._transport = transport
        self._peers = peers
        beliefs.on_departures = self.broadcast

    def broadcast(self, departures: tuple[ServerDeparture, ...]) -> None:
        """Pass on what this daemon has just learned."""
        notice = ServerDepartures(self._own_address, departures)
        for peer in self._peers.fingers():
            self._transport.cast(peer.address, notice)
