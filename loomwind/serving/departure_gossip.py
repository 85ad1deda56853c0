"""Gossips server departures: a daemon that learns of one forwards it to its gossip targets once.

Gossip reaches nearly all daemons at once. If messages are lost, the updates from mirrors and the
store (:mod:`loomwind.serving.server_list`) bound the delay until a daemon learns of a departure.
"""

from loomwind.messages.serving import ServerDeparture, ServerDepartures
from loomwind.peering.transport import PeerTransport
from loomwind.serving.peers import PeerTable
from loomwind.serving.replicated_state import ReplicatedState


class DepartureGossip:
    """Forwards the departures that this daemon learns of.

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
        replicated_state.on_departures = self.broadcast

    def broadcast(self, departures: tuple[ServerDeparture, ...]) -> None:
        """Send newly learned departures to the gossip targets."""
        notice = ServerDepartures(self._own_address, departures)
        for peer in self._peers.gossip_targets():
            self._transport.send(peer.address, notice)
