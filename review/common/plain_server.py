"""Stand-in of a plain server, written to the platform's page "Servers".

It works on some requests at a time, queues a few more and declines the others with 503 and
``X-Not-Executed``. Each answer carries ``X-Request-Id`` back. As a faulty server it sends some of
its refusals twice: the surplus answer comes late, in the place where the next one is due. Of all
its answers in a time of faults, no more than the given share have a surplus copy.
Arguments: service, store, run log, share of surplus answers, and the times of faults, in seconds
from its first request.
"""

import asyncio
import base64
import json
import sys
import time
import uuid

SLOTS = 2
QUEUE = 2
WORK_SECONDS = 0.045
HEARTBEAT_SECONDS = 1.2


class PlainServer:
    """A server of a service whose requests may run once only."""

    def __init__(self, service: str, store: str, log: str, share: float, spans: str) -> None:
        self.instance = f"i-{uuid.uuid4().hex[:10]}"
        self._service, self._store = service, store
        self._log = open(log, "a", buffering=1)  # noqa: SIM115
        self._share = share
        self._spans = [tuple(map(float, span.split("-"))) for span in spans.split(",") if span]
        self._answered = self._copied = 0
        self._slots = asyncio.Semaphore(SLOTS)
        self._present = 0
        self._first_at: float | None = None
        self.port = 0

    def _is_faulty(self) -> bool:
        now = time.monotonic()
        self._first_at = self._first_at or now
        elapsed = now - self._first_at
        return any(begin <= elapsed < end for begin, end in self._spans)

    def _is_copied(self, answer: bytes) -> bool:
        """Whether an answer is a refusal that is sent twice, within the share."""
        if not self._is_faulty():
            return False
        self._answered += 1
        is_refusal = answer.startswith(b"HTTP/1.1 503")
        if not is_refusal or self._copied + 1 > self._share * self._answered:
            return False
        self._copied += 1
        return True

    async def on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection, one request at a time."""
        surplus = b""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *fields = head.strip().split("\r\n")
                pairs = (field.partition(":") for field in fields)
                headers = {name.lower(): value.strip() for name, _, value in pairs}
                await reader.readexactly(int(headers.get("content-length", "0")))
                if surplus:
                    self._log.write(f"surplus goes before {headers.get('x-request-id')}\n")
                    writer.write(surplus)
                    surplus = b""
                answer = await self._answer(first.split(" ")[1], headers)
                writer.write(answer)
                await writer.drain()
                if self._is_copied(answer):
                    surplus = answer
                    self._log.write(f"sends the refusal of {headers['x-request-id']} twice\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    async def _answer(self, path: str, headers: dict[str, str]) -> bytes:
        request_id = headers.get("x-request-id", "")
        if path == "/healthz":
            return self._encode(200, [("X-Instance-Id", self.instance)])
        if headers.get("x-expect-instance", self.instance) != self.instance:
            return self._encode(421, [("X-Not-Executed", "1"), ("X-Request-Id", request_id)])
        if not request_id:
            return self._encode(400, [("X-Not-Executed", "1")])
        if self._present >= SLOTS + QUEUE:
            self._log.write(f"declined {request_id}\n")
            return self._encode(503, [("X-Not-Executed", "1"), ("X-Request-Id", request_id)])
        self._present += 1
        try:
            async with self._slots:
                self._log.write(f"run {request_id} {time.time():.3f}\n")
                await asyncio.sleep(WORK_SECONDS)
        finally:
            self._present -= 1
        stamp = ("X-Response-Stamp", f"{self.instance}.{request_id}")
        return self._encode(200, [stamp, ("X-Request-Id", request_id)], request_id.encode())

    @staticmethod
    def _encode(status: int, headers: list[tuple[str, str]], body: bytes = b"") -> bytes:
        lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers]
        return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body

    async def keep_entry(self) -> None:
        """Write the entry in the store at every heartbeat."""
        entry = {
            "service": self._service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "cold-remaining-ms": 0,
            "seq": 0,
        }
        value = base64.b64encode(json.dumps(entry).encode()).decode()
        body = json.dumps(
            {"put": [{"table": "servers", "key": self.instance, "value": value}]}
        ).encode()
        host, _, port = self._store.rpartition(":")
        while True:
            reader, writer = await asyncio.open_connection(host, int(port))
            head = f"POST /_apply HTTP/1.1\r\nHost: store\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            await reader.readuntil(b"\r\n\r\n")
            writer.close()
            await asyncio.sleep(HEARTBEAT_SECONDS)


async def main() -> None:
    """Run the server until it is killed."""
    service, store, log, share, spans = sys.argv[1:6]
    server = PlainServer(service, store, log, float(share), spans)
    listener = await asyncio.start_server(server.on_connection, "127.0.0.1", 0)
    server.port = listener.sockets[0].getsockname()[1]
    print(f"ready {server.port}", flush=True)
    await server.keep_entry()


if __name__ == "__main__":
    asyncio.run(main())
