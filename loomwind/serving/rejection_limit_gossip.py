"""Tells peers which services have servers that fall over when they reject too many requests."""

from loomwind.clock import Clock
from loomwind.logs import log_state
from loomwind.messages.serving import RejectionLimitNotice
from loomwind.peering.transport import PeerTransport
from loomwind.serving.peers import PeerTable
from loomwind.serving.ports import ResponseCheck
from loomwind.serving.rejection_limits import RejectionLimits
from loomwind.serving.views import ServerEntry


class RejectionLimitGossip:
    """Spreads new limits at once; peers that have missed one get it with the next digest."""

    def __init__(
        self, transport: PeerTransport, peers: PeerTable, limits: RejectionLimits, clock: Clock
    ) -> None:
        self._transport = transport
        self._peers = peers
        self._limits = limits
        self._clock = clock

    def observe_response(self, entry: ServerEntry, check: ResponseCheck) -> None:
        """Record what a server's response says."""
        self.observe(entry, check.max_rejections_per_second)

    def observe(self, entry: ServerEntry, max_per_second: int | None) -> None:
        """Record what a server says of the rejections that it stands."""
        if self._limits.observe(entry, max_per_second, self._clock.now_ms()):
            self._spread(entry.instance)

    def on_notice(self, notice: RejectionLimitNotice) -> None:
        """Record what a peer has heard."""
        if self._limits.adopt(notice.limits, self._clock.now_ms()):
            self._spread("a peer")

    def send_to(self, address: str) -> None:
        """Tell one peer of all limits, if there are any."""
        limits = self._limits.active(self._clock.now_ms())
        if limits:
            self._transport.send(address, RejectionLimitNotice(limits))

    def _spread(self, teller: str) -> None:
        limits = self._limits.active(self._clock.now_ms())
        for limit in limits:
            log_state(
                "rejection-limit",
                "known",
                service=limit.service,
                max_per_second=limit.max_per_second,
                teller=teller,
            )
        for peer in self._peers.gossip_targets():
            self._transport.send(peer.address, RejectionLimitNotice(limits))
