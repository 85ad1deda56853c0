"""Attempts to relay a request to peers while this daemon cannot reach any server."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from loomwind.http.server import Exchange
from loomwind.logs import log_decision
from loomwind.serving.breaker import ServerHealth
from loomwind.serving.errors import SendFailed
from loomwind.serving.final_errors import is_false_promise
from loomwind.serving.forwarder import OpenResponse, OutgoingRequest
from loomwind.serving.peers import PeerEntry
from loomwind.serving.relay_protocol import RelayMetadata
from loomwind.serving.server_selector import ServerSelector
from loomwind.serving.stream_relay import StreamRelay
from loomwind.serving.views import ServerEntry, ServerState

if TYPE_CHECKING:
    from loomwind.serving.handler import RequestHandler

# After this many peers were asked, the request is sent to servers directly, as without a relay.
MAX_PEERS_ASKED = 4


class PeerAttempts:
    """The relay attempts of one request."""

    def __init__(
        self,
        handler: "RequestHandler",
        exchange: Exchange,
        outgoing: OutgoingRequest,
        service: str,
        selector: ServerSelector,
        stream: StreamRelay,
        allowed: bool,
    ) -> None:
        """Initialize the attempts.

        :param allowed: False for a request that was relayed here; a request is relayed only once.
        """
        self._handler = handler
        self._exchange = exchange
        self._outgoing = outgoing
        self._service = service
        self._selector = selector
        self._stream = stream
        self._allowed = allowed
        self._asked: set[str] = set()

    @property
    def asked_count(self) -> int:
        """Return the number of peers asked."""
        return len(self._asked)

    def should_relay(self) -> bool:
        """Whether to relay the request, because no server can be reached from here."""
        return self._allowed and self._selector.is_service_unreachable(self._handler.now())

    def next_peer(self) -> PeerEntry | None:
        """Return the next peer to ask; None, which ends the attempts, if there is none left."""
        peer = None
        if len(self._asked) < MAX_PEERS_ASKED:
            peer = self._handler.relay.pick(self._service, self._asked)
        if peer is None:
            self._allowed = False
        else:
            self._asked.add(peer.incarnation)
        return peer

    async def relay_to(self, peer: PeerEntry, runs: int, on_sent: Callable[[], None]) -> None:
        """Relay the request to a peer and forward the response.

        :param runs: the number of servers that may have run the request already.
        :param on_sent: called when the request is about to be sent and may run from then on.
        :raises RelayDeclined: the peer declined the request; nothing has run.
        :raises Refused: the peer refused the request, which is final.
        :raises SendFailed: the response is missing or incomplete; the request may have run.
        """
        relay = self._handler.relay
        connection = await relay.connect(peer, self._service)
        on_sent()
        response = await relay.send(
            connection,
            peer,
            self._service,
            self._outgoing,
            self._handler.now(),
            self._stream.last_event_id,
            RelayMetadata(
                runs, self._handler.configuration_version(), self._selector.software_version
            ),
        )
        self.log_result("relayed", peer, "")
        await self._forward_answer(peer, response)

    async def _forward_answer(self, peer: PeerEntry, response: OpenResponse) -> None:
        if response.streamed:
            entry = ServerEntry(
                peer.address,
                self._service,
                peer.relay,
                peer.zone,
                1,
                ServerState.READY,
                software_version=response.software_version,
            )
            await self._stream.relay(entry, response, ServerHealth())
            self._handler.forwarder.release(response.connection)
            return
        body = await self._handler.forwarder.read_full_body(response)
        status = response.head.status
        if self._exchange.started:
            raise SendFailed(f"{peer.address}: a resumed stream got {status}", may_have_run=True)
        if is_false_promise(status, self._outgoing.route):
            raise SendFailed(f"{peer.address}: status {status}", may_have_run=True)
        headers = self._handler.dialect.response_headers(response.head)
        await self._exchange.respond(status, headers, body)

    def log_result(self, decision: str, peer: PeerEntry, reason: str) -> None:
        """Log the result of an attempt."""
        log_decision(
            decision,
            self._outgoing.caller.request_id,
            peer=peer.address,
            reason=reason,
            reach=self._handler.pool.connectivity_of(self._service).state.value,
        )
