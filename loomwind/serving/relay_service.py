"""Serves requests relayed by peers that cannot reach a server, or declines them."""

import asyncio

from loomwind import constants
from loomwind.http.errors import ClientDisconnected
from loomwind.http.messages import HttpRequest
from loomwind.http.server import Exchange
from loomwind.logs import log_decision
from loomwind.serving.errors import Refused, RelayDeclined, StreamTruncated
from loomwind.serving.failures import end_failed_request
from loomwind.serving.handler import RequestHandler
from loomwind.serving.relay_protocol import (
    RelayMetadata,
    RelayOutcome,
    configuration_headers,
    outcome_headers,
    read_metadata,
    strip_relay_headers,
)


class RelayService:
    """Answers each relayed request with a server's response, a refusal or a decline."""

    def __init__(self, handler: RequestHandler) -> None:
        self._handler = handler
        self._open_count = 0

    async def handle(self, exchange: Exchange) -> None:
        """Answer one relayed request."""
        exchange.extra_headers = configuration_headers(self._handler.configuration_version())
        try:
            metadata, request = self._accept(exchange)
        except RelayDeclined as declined:
            await self._decline(exchange, declined)
            return
        self._open_count += 1
        self._handler.open_requests += 1
        try:
            await self._serve(exchange, request, metadata)
        finally:
            self._handler.open_requests -= 1
            self._open_count -= 1

    def _accept(self, exchange: Exchange) -> tuple[RelayMetadata, HttpRequest]:
        """Return the metadata of a relayed request, and the request without relay headers.

        :raises RelayDeclined: this daemon cannot serve it now.
        """
        request = exchange.request
        if request is None:
            raise RelayDeclined("the request cannot be read")
        try:
            metadata = read_metadata(request)
        except ValueError as error:
            raise RelayDeclined("it carries no terms") from error
        if self._handler.rejects_waiting:
            raise RelayDeclined("this daemon is leaving")
        if self._handler.configuration_version() < metadata.configuration_version:
            raise RelayDeclined("the configuration here is older")
        if self._open_count >= constants.MAX_RELAYED_REQUESTS:
            raise RelayDeclined("too many requests of peers are here")
        headers = strip_relay_headers(request.headers)
        return metadata, HttpRequest(request.method, request.target, headers, request.body)

    async def _serve(
        self, exchange: Exchange, request: HttpRequest, metadata: RelayMetadata
    ) -> None:
        outcome, request_id = "served", ""
        try:
            caller = self._handler.dialect.read_request(request)
            request_id = caller.request_id
            await self._handler.route_request(exchange, request, caller, metadata)
        except RelayDeclined as declined:
            outcome = "declined"
            await self._decline(exchange, declined)
        except Refused as refusal:
            outcome = "refused"
            headers = outcome_headers(RelayOutcome.REFUSED, refusal.retry_after_seconds)
            await exchange.respond(refusal.status, headers, str(refusal).encode())
        except StreamTruncated as cut:
            outcome = "cut"
            log_decision("cut", request_id, reason=str(cut))
            exchange.abort()
        except ClientDisconnected:
            outcome = "cancelled"
            raise
        except asyncio.CancelledError as error:
            outcome = "failed" if exchange.is_connected else "cancelled"
            if not exchange.is_connected:
                raise
            await self._fail(exchange, request_id, error)
        except Exception as error:
            outcome = "failed"
            await self._fail(exchange, request_id, error)
        finally:
            self._handler.metrics.peer_relays.labels("taken", outcome).inc()

    @staticmethod
    async def _fail(exchange: Exchange, request_id: str, error: BaseException) -> None:
        headers = outcome_headers(RelayOutcome.FAILED)
        await end_failed_request(exchange, request_id, error, headers)

    @staticmethod
    async def _decline(exchange: Exchange, declined: RelayDeclined) -> None:
        log_decision("relay-not-taken", "", reason=str(declined))
        await exchange.respond(503, outcome_headers(RelayOutcome.DECLINED), str(declined).encode())
