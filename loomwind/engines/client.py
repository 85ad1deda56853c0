"""Client for the control calls of the engine protocol."""

from typing import TypeVar

import msgspec

from loomwind.decoding import DecodeError, decode_json
from loomwind.engines.errors import EngineResponseLost, EngineUnreachable
from loomwind.engines.protocol import (
    FenceRequest,
    Inventory,
    Order,
    OrderAnswer,
    StatusReport,
)
from loomwind.http.client import HttpClient
from loomwind.http.errors import ConnectFailed, ConnectRefused, HttpError
from loomwind.http.messages import HttpRequest

Answer = TypeVar("Answer")


class EngineClient:
    """Sends control requests to engines by address.

    A response does not name the order or fence, and an engine may repeat it where the next one on
    the connection is due; so each of them has a connection of its own.
    """

    def __init__(self, probes: HttpClient, unpooled: HttpClient) -> None:
        """Create a client.

        :param probes: reads load reports and is used for nothing else.
        :param unpooled: a client without idle connections, for fences and orders.
        """
        self._probes = probes
        self._unpooled = unpooled

    async def fence(self, address: str, request: FenceRequest, timeout_seconds: float) -> Inventory:
        """Raise an engine's fence and return its inventory.

        :raises EngineUnreachable: nothing was sent.
        :raises EngineResponseLost: the fence may have been raised.
        """
        body = msgspec.json.encode(request)
        return await self._post(address, "/v1/fence", body, Inventory, timeout_seconds)

    async def order(self, address: str, order: Order, timeout_seconds: float) -> OrderAnswer:
        """Send an order and return the answer once the order is executed or refused.

        :raises EngineUnreachable: nothing was sent.
        :raises EngineResponseLost: the order may have been executed, or may still be.
        """
        body = msgspec.json.encode(order)
        return await self._post(address, "/v1/orders", body, OrderAnswer, timeout_seconds)

    async def status(self, address: str, timeout_seconds: float) -> StatusReport:
        """Return an engine's load report.

        :raises EngineUnreachable: nothing was sent.
        :raises EngineResponseLost: no complete, valid response was received.
        """
        request = HttpRequest("GET", "/v1/status")
        return await self._exchange(self._probes, address, request, StatusReport, timeout_seconds)

    async def _post(
        self,
        address: str,
        path: str,
        body: bytes,
        response_type: type[Answer],
        timeout_seconds: float,
    ) -> Answer:
        headers = (("content-type", "application/json"),)
        request = HttpRequest("POST", path, headers, body)
        return await self._exchange(
            self._unpooled, address, request, response_type, timeout_seconds
        )

    @staticmethod
    async def _exchange(
        client: HttpClient,
        address: str,
        request: HttpRequest,
        response_type: type[Answer],
        timeout_seconds: float,
    ) -> Answer:
        try:
            response = await client.request(address, request, timeout_seconds)
            return decode_json(response.body, response_type)
        except ConnectRefused as error:
            raise EngineUnreachable(str(error), refused=True) from error
        except ConnectFailed as error:
            raise EngineUnreachable(str(error)) from error
        except (HttpError, DecodeError) as error:
            raise EngineResponseLost(str(error)) from error
