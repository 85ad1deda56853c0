"""A daemon's relay path alone: caller connection, forward and relay, without control.

The pipeline's own modules do the work; only routing is replaced by one fixed back end.
"""

import asyncio

import fire

from bench.small_site import LOCALHOST
from loomwind import constants
from loomwind.http.client import Connector, HttpClient
from loomwind.http.server import Exchange, HttpServer
from loomwind.metrics import Metrics
from loomwind.pipeline.forward import Attempt, Forwarder
from loomwind.pipeline.parse import parse
from loomwind.pipeline.relay import Relay
from loomwind.pipeline.types import AdmittedRequest, Backend, IdentifiedRequest, SelectedRequest
from loomwind.schema import Artifact
from loomwind.settings import LimitSettings

ARTIFACT = Artifact("model", "v1")


class RelayOnly:
    """Serves every request from one back end."""

    def __init__(self, backend: str) -> None:
        client = HttpClient(Connector())
        self._backend = Backend("source", backend, "zone")
        self._forwarder = Forwarder(client, lambda backend: None)
        self._relay = Relay(
            client, self._forwarder, Metrics().relayed_bytes, constants.STREAM_STALL_TIMEOUT_SECONDS
        )
        self._limits = LimitSettings()
        self.server = HttpServer(self._serve)

    async def _serve(self, exchange: Exchange) -> None:
        parsed = parse(exchange, self._limits, asyncio.get_running_loop().time())
        http = parsed.http
        chat = type(http)("POST", "/v1/chat/completions", http.headers, b"{}")
        parsed = type(parsed)(chat, parsed.request_id, parsed.received_at, parsed.deadline, None)
        identified = IdentifiedRequest(parsed, ARTIFACT, "bench", 1.0, 0, 1, True)
        selected = SelectedRequest(AdmittedRequest(identified), self._backend)
        response = await self._forwarder.forward(Attempt(selected))
        await self._relay.stream(exchange, response, parsed.request_id)


async def _serve(backend: str) -> None:
    relay = RelayOnly(backend)
    await relay.server.start(LOCALHOST, 0)
    print(f"ready {relay.server.port}", flush=True)
    await asyncio.Event().wait()


def main(backend: str) -> None:
    """Relay from one back end until killed."""
    asyncio.run(_serve(backend))


if __name__ == "__main__":
    fire.Fire(main)
