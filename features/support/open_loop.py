"""Sends requests at a given rate, however long their answers take, from one event loop."""

import asyncio
import random
import uuid
from collections.abc import Iterator, Sequence

from attrs import frozen

from features.support.caller import Request
from loomwind.http.client import Connector, HttpClient
from loomwind.http.errors import HttpError
from loomwind.http.messages import HttpRequest

TIMEOUT_MARGIN_SECONDS = 2.0


@frozen
class Outcome:
    """How a request ended.

    :ivar status: of the response; 0 if there was none, or no complete one.
    :ivar begun_s: when it was sent, in seconds since the load began.
    :ivar seconds: from the request to the end of the response.
    :ivar retry_after_seconds: when its caller may come back; None if the response does not tell.
    """

    status: int
    begun_s: float
    seconds: float
    body: str = ""
    retry_after_seconds: float | None = None


def send_at_rate(
    requests: Sequence[Request], rate_per_s: float, seconds: float, seed: int
) -> list[Outcome]:
    """Send copies of the requests, one kind after the other, at random intervals.

    :param rate_per_s: of all requests together.
    """
    return asyncio.run(_OpenLoop(requests, rate_per_s, random.Random(seed)).run(seconds))


class _OpenLoop:
    def __init__(
        self, requests: Sequence[Request], rate_per_s: float, source: random.Random
    ) -> None:
        self._requests = requests
        self._rate_per_s = rate_per_s
        self._source = source
        self._client = HttpClient(Connector())

    async def run(self, seconds: float) -> list[Outcome]:
        loop = asyncio.get_running_loop()
        begun_at = loop.time()
        tasks = []
        for number, at_s in enumerate(self._arrivals(seconds)):
            await asyncio.sleep(begun_at + at_s - loop.time())
            request = self._requests[number % len(self._requests)]
            tasks.append(loop.create_task(self._send(request, at_s)))
        outcomes = await asyncio.gather(*tasks)
        self._client.close()
        return list(outcomes)

    def _arrivals(self, seconds: float) -> Iterator[float]:
        at_s = self._source.expovariate(self._rate_per_s)
        while at_s < seconds:
            yield at_s
            at_s += self._source.expovariate(self._rate_per_s)

    async def _send(self, request: Request, begun_s: float) -> Outcome:
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        headers = request.headers | {"x-request-id": uuid.uuid4().hex}
        message = HttpRequest(request.method, request.path, tuple(headers.items()), request.body)
        timeout = request.timeout_seconds + TIMEOUT_MARGIN_SECONDS
        try:
            response = await self._client.request(request.address, message, timeout)
        except HttpError as error:
            return Outcome(0, begun_s, loop.time() - began_at, repr(error))
        retry_after = response.header("retry-after")
        return Outcome(
            response.status,
            begun_s,
            loop.time() - began_at,
            response.body[:60].decode(errors="replace"),
            None if retry_after is None else float(retry_after),
        )
