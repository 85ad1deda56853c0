"""Demo: a daemon, a simulated platform and an engine in one process; a cold and a warm request."""

import asyncio
import time

import msgspec
from msgspec import Struct

from loomwind.daemon import Daemon
from loomwind.http.client import Connector, HttpClient
from loomwind.http.messages import HttpRequest
from loomwind.schema import Group, Model, Version
from loomwind.settings import (
    BackendSettings,
    ListenSettings,
    PlatformSettings,
    Settings,
)
from standins.engine import Engine
from standins.platform import Platform

ANY_PORT = "127.0.0.1:0"
LOAD_SECONDS = 2.0
START_TIMEOUT_SECONDS = 10.0


class DemoResult(Struct, frozen=True):
    """Status and time to the first byte of the body of one response."""

    status: int
    first_token_seconds: float


def demo_settings(platform_port: int, engine_port: int) -> Settings:
    """Return settings for a cell of one daemon and one engine."""
    platform = f"127.0.0.1:{platform_port}"
    return Settings(
        name="demo",
        listen=ListenSettings(ANY_PORT, ANY_PORT, ANY_PORT, ANY_PORT),
        platform=PlatformSettings(table=platform, objects=platform),
        backends=(BackendSettings("engine-1", f"127.0.0.1:{engine_port}"),),
        groups=(Group(name="evening-classes"),),
        models=(
            Model(
                name="tutor",
                group="evening-classes",
                versions=(Version(name="v1", memory_mib=8000, load_seconds=LOAD_SECONDS),),
                current="v1",
            ),
        ),
    )


async def send_chat_request(client: HttpClient, address: str, prompt: str) -> DemoResult:
    """Send a streaming chat request and print the response as it arrives."""
    message = {"role": "user", "content": prompt}
    body = {"model": "tutor", "stream": True, "messages": [message]}
    headers = (("content-type", "application/json"), ("request-timeout", "20"))
    request = HttpRequest("POST", "/v1/chat/completions", headers, msgspec.json.encode(body))
    connection = await client.acquire(address, START_TIMEOUT_SECONDS)
    started = time.monotonic()
    connection.send_request(request)
    head = await connection.read_head()
    first_token_seconds = 0.0
    while chunk := await connection.read_body():
        first_token_seconds = first_token_seconds or time.monotonic() - started
        print(chunk.decode(), end="", flush=True)
    client.release(connection)
    return DemoResult(head.status, first_token_seconds)


async def run_demo() -> int:
    """Run the demo.

    :returns: the exit status: 0 when both requests succeeded.
    """
    platform = Platform()
    await platform.server.start("127.0.0.1", 0)
    engine = Engine("engine-1", weights=f"127.0.0.1:{platform.server.port}")
    await engine.server.start("127.0.0.1", 0)
    daemon = Daemon(demo_settings(platform.server.port, engine.server.port))
    await daemon.start()
    client = HttpClient(Connector())
    try:
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while not daemon.is_ready():
                await asyncio.sleep(0.05)
        address = f"127.0.0.1:{daemon.callers.port}"
        print("A cold request: the model is not loaded.")
        cold = await send_chat_request(client, address, "madainn mhath")
        print("A warm request: the model is loaded.")
        warm = await send_chat_request(client, address, "ciamar a tha thu")
    finally:
        client.close()
        daemon.close()
        engine.server.close()
        platform.server.close()
    print(f"cold first token after {cold.first_token_seconds:.3f} s (load {LOAD_SECONDS} s)")
    print(f"warm first token after {warm.first_token_seconds:.3f} s")
    return 0 if cold.status == warm.status == 200 else 1
