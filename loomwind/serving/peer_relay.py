"""Lets peers serve requests while this daemon reaches no server itself.

A peer serves a request of another daemon or declines it, and never passes it on again. Peers of
other zones are asked first, since a fault may cut a whole zone.
"""

import random
from collections.abc import Callable

from loomwind.clock import Clock
from loomwind.http.client import ClientConnection, HttpClient
from loomwind.http.errors import ConnectFailed, HttpError
from loomwind.http.messages import HttpRequest, HttpResponse
from loomwind.metrics import Metrics
from loomwind.serving.errors import RelayDeclined, SendFailed
from loomwind.serving.forwarder import OpenResponse, OutgoingRequest
from loomwind.serving.peers import PeerEntry, PeerTable
from loomwind.serving.ports import Dialect
from loomwind.serving.relay_protocol import (
    RelayTerms,
    configuration_of,
    error_of,
    is_server_answer,
    without_own_fields,
)

CONNECT_TIMEOUT_SECONDS = 0.4
# How long a peer that has declined, or cannot be reached, is not asked again for a service.
DECLINED_MS = 1000.0
# A peer's refusal, which says whether the request has run, should come before the time is over.
ANSWER_MARGIN_SECONDS = 0.05


class PeerRelay:
    """This daemon's requests that peers serve."""

    def __init__(
        self,
        zone: str,
        peers: PeerTable,
        client: HttpClient,
        dialect: Dialect,
        metrics: Metrics,
        on_configuration: Callable[[str, int], None],
    ) -> None:
        """Make a relay.

        :param zone: this daemon's own zone.
        :param on_configuration: called with a peer's ``host:port`` and the version of the
            configuration by which it has served a request.
        """
        self._zone = zone
        self._peers = peers
        self._client = client
        self._dialect = dialect
        self._metrics = metrics
        self._clock = Clock()
        self._declined_until_ms: dict[tuple[str, str], float] = {}
        self._on_configuration = on_configuration
        self._newest_configuration = 0

    def pick(self, service: str, asked: set[str]) -> PeerEntry | None:
        """Return a peer that may reach a service's servers; None when there is none to ask.

        :param asked: the lives of peers that were asked for this request.
        """
        now_ms = self._clock.now_ms()
        able = [
            peer
            for peer in self._peers.others()
            if peer.relay
            and peer.life not in asked
            and self._declined_until_ms.get((peer.life, service), 0.0) <= now_ms
        ]
        elsewhere = [peer for peer in able if peer.zone != self._zone]
        return random.choice(elsewhere or able) if able else None

    async def connect(self, peer: PeerEntry, service: str) -> ClientConnection:
        """Return a connection to a peer, on which nothing has been sent yet.

        :raises RelayDeclined: there is none.
        """
        try:
            return await self._client.acquire(peer.relay, CONNECT_TIMEOUT_SECONDS)
        except ConnectFailed as error:
            self._note_declined(peer, service)
            raise RelayDeclined(f"not reached: {error}") from error

    async def send(
        self,
        connection: ClientConnection,
        peer: PeerEntry,
        service: str,
        outgoing: OutgoingRequest,
        now: float,
        last_event_id: str | None,
        terms: RelayTerms,
    ) -> OpenResponse:
        """Send a request to a peer and return the head of the server's answer.

        :raises RelayDeclined: the peer has not taken it, and nothing has run.
        :raises Refused: the peer's final answer.
        :raises SendFailed: there is no answer; it may have run.
        """
        try:
            connection.send_request(self._as_sent(outgoing, now, last_event_id, terms))
            head = await connection.read_head()
            if not is_server_answer(head):
                raise error_of(head, await self._read_body(connection))
        except HttpError as error:
            connection.close()
            self._count("failed")
            raise SendFailed(f"{peer.address}: {error}", may_have_run=True) from error
        except RelayDeclined:
            self._client.release(connection)
            self._note_declined(peer, service)
            raise
        except BaseException:
            self._client.release(connection)
            raise
        self._count("answered")
        version = configuration_of(head)
        self._newest_configuration = max(self._newest_configuration, version)
        self._on_configuration(peer.address, version)
        own_head = HttpResponse(head.status, without_own_fields(head.headers))
        return OpenResponse(connection, own_head)

    def _as_sent(
        self, outgoing: OutgoingRequest, now: float, last_event_id: str | None, terms: RelayTerms
    ) -> HttpRequest:
        request = outgoing.request
        remaining = outgoing.deadline - now - ANSWER_MARGIN_SECONDS
        headers = self._dialect.peer_headers(request, remaining, last_event_id)
        version = max(terms.configuration_version, self._newest_configuration)
        terms = RelayTerms(terms.runs, version)
        return HttpRequest(request.method, request.target, headers + terms.headers, request.body)

    async def _read_body(self, connection: ClientConnection) -> bytes:
        body = bytearray()
        while piece := await connection.read_body():
            body += piece
        return bytes(body)

    def _note_declined(self, peer: PeerEntry, service: str) -> None:
        self._count("declined")
        now_ms = self._clock.now_ms()
        self._declined_until_ms = {
            key: until_ms for key, until_ms in self._declined_until_ms.items() if until_ms > now_ms
        }
        self._declined_until_ms[(peer.life, service)] = now_ms + DECLINED_MS

    def _count(self, end: str) -> None:
        self._metrics.peer_relays.labels("sent", end).inc()
