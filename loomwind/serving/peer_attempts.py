"""A request's attempts to be served by a peer, while no server can be reached from here."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from loomwind.http.server import Exchange
from loomwind.logs import log_decision
from loomwind.serving.breaker import ServerHealth
from loomwind.serving.errors import SendFailed
from loomwind.serving.forwarder import OpenResponse, OutgoingRequest
from loomwind.serving.peers import PeerEntry
from loomwind.serving.relay_protocol import RelayTerms
from loomwind.serving.server_selector import ServerSelector
from loomwind.serving.stream_relay import StreamRelay
from loomwind.serving.views import ServerEntry, ServerState

if TYPE_CHECKING:
    from loomwind.serving.handler import RequestHandler

# Peers that are asked to serve one request; then it is tried from here, as it would be otherwise.
MOST_PEERS_ASKED = 4


class PeerAttempts:
    """The attempts of one request."""

    def __init__(
        self,
        serving: "RequestHandler",
        exchange: Exchange,
        outgoing: OutgoingRequest,
        service: str,
        choice: ServerSelector,
        stream: StreamRelay,
        allowed: bool,
    ) -> None:
        """Make the attempts.

        :param allowed: False for a request that a peer could not serve itself: it goes one hop.
        """
        self._serving = serving
        self._exchange = exchange
        self._outgoing = outgoing
        self._service = service
        self._choice = choice
        self._stream = stream
        self._allowed = allowed
        self._asked: set[str] = set()

    @property
    def asked(self) -> int:
        """Return how many peers were asked."""
        return len(self._asked)

    def are_better(self) -> bool:
        """Whether a peer may serve the request better: no server can be reached from here."""
        return self._allowed and self._choice.is_service_unreachable(self._serving.now())

    def next_peer(self) -> PeerEntry | None:
        """Return a peer to ask; None when there is none, and then no more are asked."""
        peer = None
        if len(self._asked) < MOST_PEERS_ASKED:
            peer = self._serving.relay.pick(self._service, self._asked)
        if peer is None:
            self._allowed = False
        else:
            self._asked.add(peer.life)
        return peer

    async def exchange_with(self, peer: PeerEntry, runs: int, on_sent: Callable[[], None]) -> None:
        """Let a peer serve the request, and pass its server's answer on.

        :param runs: at how many servers it may have run already.
        :param on_sent: called once it is handed over, and may run from then on.
        :raises RelayDeclined: the peer has not taken it, and nothing has run.
        :raises Refused: the peer's final answer.
        :raises SendFailed: there is no whole answer; it may have run.
        """
        relay = self._serving.relay
        connection = await relay.connect(peer, self._service)
        on_sent()
        answer = await relay.send(
            connection,
            peer,
            self._service,
            self._outgoing,
            self._serving.now(),
            self._stream.last_event_id,
            RelayTerms(runs, self._serving.configuration_version()),
        )
        self.log("relayed", peer, "")
        await self._pass_on(peer, answer)

    async def _pass_on(self, peer: PeerEntry, answer: OpenResponse) -> None:
        if answer.streamed:
            entry = ServerEntry(
                peer.address, self._service, peer.relay, peer.zone, 1, ServerState.READY
            )
            await self._stream.relay(entry, answer, ServerHealth())
            self._serving.forwarder.release(answer.connection)
            return
        body = await self._serving.forwarder.read_full_body(answer)
        status = answer.head.status
        if self._exchange.started:
            raise SendFailed(f"{peer.address}: a resumed stream got {status}", may_have_run=True)
        headers = self._serving.dialect.response_headers(answer.head)
        await self._exchange.respond(status, headers, body)

    def log(self, decision: str, peer: PeerEntry, reason: str) -> None:
        """Say what has become of an attempt."""
        log_decision(
            decision,
            self._outgoing.caller.request_id,
            peer=peer.address,
            reason=reason,
            reach=self._serving.pool.connectivity_of(self._service).state.value,
        )
