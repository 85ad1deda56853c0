"""Relays requests to peers while this daemon cannot reach any server.

A peer serves a relayed request or declines it, and never relays it again. Peers in other zones are
preferred, since a network fault may affect a whole zone.
"""

import random
from collections.abc import Callable

from attrs import evolve

from loomwind.clock import Clock
from loomwind.http.client import HttpClient
from loomwind.http.client_connection import ClientConnection
from loomwind.http.errors import ConnectFailed, ConnectionBroken, ConnectionEnded, HttpError
from loomwind.http.messages import HttpRequest
from loomwind.metrics import Metrics
from loomwind.serving.errors import RelayDeclined, SendFailed
from loomwind.serving.forwarder import MAX_REFUSAL_BODY_BYTES, OpenResponse, OutgoingRequest
from loomwind.serving.peers import PeerEntry, PeerTable
from loomwind.serving.ports import Dialect
from loomwind.serving.relay_protocol import (
    RelayMetadata,
    configuration_version_of,
    decode_error,
    is_server_response,
    origin_version_of,
    strip_relay_head,
)

CONNECT_TIMEOUT_SECONDS = 0.4
# How long a peer that declined or was unreachable is skipped for a service.
DECLINE_BACKOFF_MS = 1000.0
# Lets a peer's refusal, which tells whether the request has run, arrive before the deadline.
RESPONSE_MARGIN_SECONDS = 0.05


class PeerRelay:
    """Selects peers and relays requests to them."""

    def __init__(
        self,
        zone: str,
        peers: PeerTable,
        client: HttpClient,
        dialect: Dialect,
        metrics: Metrics,
        on_configuration: Callable[[str, int], None],
    ) -> None:
        """Initialize the relay.

        :param zone: this daemon's zone.
        :param on_configuration: called with a peer's ``host:port`` and the configuration version
            with which it served a request.
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
        """Return a peer that may reach a service's servers, or None if there is none to ask.

        :param asked: IDs of the peer processes already asked to serve this request.
        """
        now_ms = self._clock.now_ms()
        candidates = [
            peer
            for peer in self._peers.others()
            if peer.relay
            and peer.incarnation not in asked
            and self._declined_until_ms.get((peer.incarnation, service), 0.0) <= now_ms
        ]
        other_zones = [peer for peer in candidates if peer.zone != self._zone]
        return random.choice(other_zones or candidates) if candidates else None

    async def connect(self, peer: PeerEntry, service: str) -> ClientConnection:
        """Return a connection to a peer, on which nothing has been sent yet.

        :raises RelayDeclined: the peer cannot be reached.
        """
        try:
            return await self._client.acquire(peer.relay, CONNECT_TIMEOUT_SECONDS)
        except ConnectFailed as error:
            self._record_declined(peer, service)
            raise RelayDeclined(f"not reached: {error}") from error

    async def send(
        self,
        connection: ClientConnection,
        peer: PeerEntry,
        service: str,
        outgoing: OutgoingRequest,
        now: float,
        last_event_id: str | None,
        metadata: RelayMetadata,
    ) -> OpenResponse:
        """Send a request to a peer and return the head of the server's response.

        :raises RelayDeclined: the peer declined the request; nothing has run.
        :raises Refused: the peer refused the request, which is final.
        :raises SendFailed: no response was received; the request may have run.
        """
        try:
            connection.send_request(self._relay_request(outgoing, now, last_event_id, metadata))
            head = await connection.read_head()
            if not is_server_response(head):
                raise decode_error(head, await self._read_body(connection))
        except ConnectionEnded as error:
            raise RelayDeclined(str(error)) from error
        except HttpError as error:
            connection.close()
            self._count("failed")
            raise SendFailed(f"{peer.address}: {error}", may_have_run=True) from error
        except RelayDeclined:
            self._client.release(connection)
            self._record_declined(peer, service)
            raise
        except BaseException:
            self._client.release(connection)
            raise
        self._count("answered")
        version = configuration_version_of(head)
        self._newest_configuration = max(self._newest_configuration, version)
        self._on_configuration(peer.address, version)
        software_version = origin_version_of(head, metadata.software_version)
        return OpenResponse(connection, strip_relay_head(head), software_version)

    def _relay_request(
        self,
        outgoing: OutgoingRequest,
        now: float,
        last_event_id: str | None,
        metadata: RelayMetadata,
    ) -> HttpRequest:
        request = outgoing.request
        remaining = outgoing.deadline - now - RESPONSE_MARGIN_SECONDS
        headers = self._dialect.peer_headers(request, remaining, last_event_id)
        version = max(metadata.configuration_version, self._newest_configuration)
        metadata = evolve(metadata, configuration_version=version)
        return HttpRequest(request.method, request.target, headers + metadata.headers, request.body)

    async def _read_body(self, connection: ClientConnection) -> bytes:
        """Return the body of a peer's own response.

        :raises ConnectionBroken: it is too large.
        """
        body = bytearray()
        while chunk := await connection.read_body():
            body += chunk
            if len(body) > MAX_REFUSAL_BODY_BYTES:
                raise ConnectionBroken("a refusal is too large")
        return bytes(body)

    def _record_declined(self, peer: PeerEntry, service: str) -> None:
        self._count("declined")
        now_ms = self._clock.now_ms()
        self._declined_until_ms = {
            key: until_ms for key, until_ms in self._declined_until_ms.items() if until_ms > now_ms
        }
        self._declined_until_ms[(peer.incarnation, service)] = now_ms + DECLINE_BACKOFF_MS

    def _count(self, outcome: str) -> None:
        self._metrics.peer_relays.labels("sent", outcome).inc()
