"""Stand-in for a model engine with fenced orders, batching, resumable streams and faults.

Responses are derived from the prompt, so that a test can match a response to its request. Test
endpoints: ``POST /_fault``, ``GET /_executions`` (executions by idempotency key or request id),
``GET /_statistics``, ``GET /_inventory``, ``POST /_checkpoints``.
"""

import asyncio
import random
import uuid
from collections import Counter, OrderedDict
from typing import Any

import fire
import msgspec
from msgspec import Struct

from loomwind.engines.protocol import (
    ARTIFACT_HEADER,
    LEAVING,
    NOT_RUN,
    OUTCOME_HEADER,
    PRIORITY_HEADER,
    REQUEST_ID_HEADER,
    RESUME_HEADER,
    STATE_HEADER,
    CacheEvent,
    CacheEvents,
    CheckpointItem,
    FenceRequest,
    Order,
    StatusReport,
)
from loomwind.http.client import Connector, HttpClient
from loomwind.http.messages import Headers, HttpRequest, HttpResponse
from loomwind.http.server import Exchange, HttpServer, ServerLimits
from standins.batching import Batch
from standins.close_delimited import start_close_delimited
from standins.faults import Faults, apply_delay, decode_faults, json_response
from standins.replicas import Replicas

STATUS_LAG_SECONDS = 0.3
CACHE_EVENT_LAG_SECONDS = 0.5
CACHE_EVENT_LOSS_RATE = 0.1
PREFIX_BYTES = 64
MAX_STORED_GENERATIONS = 4096
WEIGHT_FETCH_TIMEOUT_SECONDS = 120.0


class ChatMessage(Struct):
    """A message of a chat-completions request."""

    role: str
    content: str


class ChatRequest(Struct):
    """The fields of a chat-completions request that the stand-in reads."""

    model: str
    messages: list[ChatMessage] = []
    stream: bool = False
    max_tokens: int = 8


class Generation(Struct):
    """A response body as pieces that are sent with a pause after each."""

    pieces: list[bytes]
    content_type: str


def generate(request_id: str, chat: ChatRequest) -> Generation:
    """Return the response to a chat request; equal requests get equal responses."""
    prompt = chat.messages[-1].content if chat.messages else ""
    tokens = [f"{prompt}/{index} " for index in range(chat.max_tokens)]
    if not chat.stream:
        message = {"role": "assistant", "content": "".join(tokens)}
        body: dict[str, Any] = {
            "id": request_id,
            "object": "chat.completion",
            "model": chat.model,
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
        }
        encoded = msgspec.json.encode(body)
        empty = [b""] * (len(tokens) - 1)
        return Generation([*empty, encoded], "application/json")
    pieces = []
    for token in tokens:
        chunk = {
            "id": request_id,
            "object": "chat.completion.chunk",
            "model": chat.model,
            "choices": [{"index": 0, "delta": {"content": token}}],
        }
        pieces.append(b"data: " + msgspec.json.encode(chunk) + b"\n\n")
    pieces.append(b"data: [DONE]\n\n")
    return Generation(pieces, "text/event-stream")


class Engine:
    """One instance of an engine."""

    def __init__(
        self,
        name: str,
        memory_mib: int = 16_384,
        concurrency: int = 8,
        weights: str = "",
        first_token_seconds: float = 0.01,
        token_seconds: float = 0.002,
    ) -> None:
        self.name = name
        self.faults = Faults()
        self.executions: Counter[str] = Counter()
        self.replicas = Replicas(
            uuid.uuid4().hex[:12], memory_mib, concurrency, self._fetch_weights
        )
        self.server = HttpServer(self._serve, ServerLimits(max_body_bytes=8 << 20))
        self._weight_store = weights
        self._http = HttpClient(Connector())
        self._batch = Batch(concurrency)
        self._first_token_seconds = first_token_seconds
        self._token_seconds = token_seconds
        self._generations: OrderedDict[str, Generation] = OrderedDict()
        self._running: dict[str, asyncio.Task[Any]] = {}
        self._report = StatusReport(self.replicas.instance, False)
        self._cache_events: list[CacheEvent] = []
        self._cache_event_count = 0
        self._random = random.Random(name)

    async def _fetch_weights(self, seconds: float) -> None:
        if not self._weight_store:
            await asyncio.sleep(seconds * self.faults.load_factor)
            return
        request = HttpRequest("POST", "/weights", (), msgspec.json.encode(seconds))
        await self._http.request(self._weight_store, request, WEIGHT_FETCH_TIMEOUT_SECONDS)

    async def _serve(self, exchange: Exchange) -> None:
        request = exchange.request
        if request is None or (self.faults.down and not request.path.startswith("/_")):
            exchange.abort()
            return
        if request.path == "/v1/chat/completions":
            await self._chat(exchange, request)
            return
        if not request.path.startswith("/_"):
            await apply_delay(self.faults, request.path)
        response = await self._handle_control(request)
        drops_response = self.faults.lose_answers and request.path.startswith(self.faults.matches)
        if drops_response and not request.path.startswith("/_"):
            exchange.abort()
            return
        await exchange.respond(response.status, response.headers, response.body)

    async def _handle_control(self, request: HttpRequest) -> HttpResponse:
        path = request.path
        if path == "/v1/fence":
            fence = msgspec.json.decode(request.body, type=FenceRequest).fence
            return json_response(self.replicas.raise_fence(fence))
        if path == "/v1/orders":
            order = msgspec.json.decode(request.body, type=Order)
            # A started order completes even if the controller that sent it disconnects.
            execution = asyncio.get_running_loop().create_task(self.replicas.execute_order(order))
            return json_response(await asyncio.shield(execution))
        if path == "/v1/status":
            self._schedule_status()
            return json_response(self._report)
        if path == "/v1/cache-events":
            after = int(request.target.partition("after=")[2] or 0)
            events = tuple(event for event in self._cache_events if event.sequence > after)
            return json_response(CacheEvents(events))
        if request.method == "DELETE" and path.startswith("/v1/requests/"):
            task = self._running.get(path.rpartition("/")[2])
            if task is not None:
                task.cancel()
            return json_response(task is not None)
        return self._handle_test_control(request)

    def _handle_test_control(self, request: HttpRequest) -> HttpResponse:
        if request.path == "/_fault":
            self.faults = decode_faults(request.body)
            self.replicas.leaving = self.faults.leaving
            return json_response(self.faults)
        if request.path == "/_executions":
            return json_response(self.executions)
        if request.path == "/_statistics":
            return json_response(self.replicas.statistics)
        if request.path == "/_inventory":
            return json_response(self.replicas.inventory())
        if request.path == "/_checkpoints":
            for item in msgspec.json.decode(request.body, type=list[CheckpointItem]):
                self.replicas.cache(item.artifact, item.tier)
            return json_response(None)
        return HttpResponse(404)

    def _schedule_status(self) -> None:
        report = StatusReport(
            self.replicas.instance, self.faults.leaving, self._batch.running, self._batch.waiting
        )
        loop = asyncio.get_running_loop()
        loop.call_later(STATUS_LAG_SECONDS, setattr, self, "_report", report)
        if report.leaving != self._report.leaving:
            self._report = report

    async def _chat(self, exchange: Exchange, request: HttpRequest) -> None:
        request_id = request.header(REQUEST_ID_HEADER) or uuid.uuid4().hex
        echoed_id = "someone-else" if self.faults.wrong_request_id else request_id
        headers: Headers = ((REQUEST_ID_HEADER, echoed_id),)
        if self.faults.leaving:
            headers += ((STATE_HEADER, LEAVING),)
        replica = self.replicas.get_ready(request.header(ARTIFACT_HEADER) or "")
        resume_offset = int(request.header(RESUME_HEADER) or -1)
        generation = self._generations.get(request_id)
        unresumable = resume_offset >= 0 and (generation is None or self.faults.cannot_resume)
        refused = self.faults.refuse or self.faults.leaving or replica is None or unresumable
        if refused or replica is None:
            status = 503 if self.faults.refuse or self.faults.leaving else 409
            await exchange.respond(status, (*headers, (OUTCOME_HEADER, NOT_RUN)), b"")
            return
        if generation is None or resume_offset < 0:
            self.executions[request.header("idempotency-key") or request_id] += 1
            generation = generate(request_id, msgspec.json.decode(request.body, type=ChatRequest))
            self._store_generation(request_id, generation)
            self._emit_cache_event(request)
        task = asyncio.current_task()
        assert task is not None
        self._running[request_id] = task
        self.replicas.record_request_start(replica)
        try:
            async with self._batch.slot(int(request.header(PRIORITY_HEADER) or 0)):
                await self._stream(
                    exchange, generation, headers, max(resume_offset, 0), resume_offset >= 0
                )
        finally:
            self.replicas.record_request_end(replica)
            self._running.pop(request_id, None)

    def _store_generation(self, request_id: str, generation: Generation) -> None:
        self._generations[request_id] = generation
        if len(self._generations) > MAX_STORED_GENERATIONS:
            self._generations.popitem(last=False)

    async def _stream(
        self,
        exchange: Exchange,
        generation: Generation,
        headers: Headers,
        skip_bytes: int,
        resumed: bool,
    ) -> None:
        cut_after_bytes = self.faults.cut_after_bytes if not resumed else 0
        await apply_delay(self.faults, "/v1/chat/completions")
        await asyncio.sleep(self._first_token_seconds)
        if self.faults.lose_answers and "/v1/chat/completions".startswith(self.faults.matches):
            exchange.abort()
            return
        headers = (*headers, ("content-type", generation.content_type))
        if self.faults.unframed:
            await self._stream_close_delimited(
                exchange, generation, headers, skip_bytes, cut_after_bytes
            )
            return
        await exchange.start(200, headers)
        sent = 0
        for piece in generation.pieces:
            unsent = piece[max(0, skip_bytes - sent) :]
            sent += len(piece)
            if unsent:
                await exchange.send(unsent)
            if cut_after_bytes and sent >= cut_after_bytes:
                exchange.abort()
                return
            pause_seconds = self.faults.token_seconds or self._token_seconds
            if pause_seconds:
                await asyncio.sleep(pause_seconds)
        await exchange.finish()

    async def _stream_close_delimited(
        self,
        exchange: Exchange,
        generation: Generation,
        headers: Headers,
        skip_bytes: int,
        cut_after_bytes: int,
    ) -> None:
        body = b"".join(generation.pieces)
        start_close_delimited(exchange, headers)
        exchange.send_raw(body[skip_bytes : cut_after_bytes or len(body)])
        exchange.abort()

    def _emit_cache_event(self, request: HttpRequest) -> None:
        self._cache_event_count += 1
        event = CacheEvent(self._cache_event_count, request.body[:PREFIX_BYTES].hex(), True)
        if self._random.random() >= CACHE_EVENT_LOSS_RATE:
            loop = asyncio.get_running_loop()
            loop.call_later(CACHE_EVENT_LAG_SECONDS, self._cache_events.append, event)


async def _serve(engine: Engine, host: str, port: int) -> None:
    await engine.server.start(host, port)
    print(f"ready {engine.server.port}", flush=True)
    await asyncio.Event().wait()


def main(
    name: str = "engine",
    port: int = 0,
    host: str = "127.0.0.1",
    memory_mib: int = 16_384,
    concurrency: int = 8,
    weights: str = "",
    first_token_seconds: float = 0.01,
    token_seconds: float = 0.002,
) -> None:
    """Run the engine stand-in until the process is killed.

    :param weights: ``host:port`` of the weight store; if empty, loads only sleep.
    """
    engine = Engine(name, memory_mib, concurrency, weights, first_token_seconds, token_seconds)
    asyncio.run(_serve(engine, host, port))


if __name__ == "__main__":
    fire.Fire(main)
