"""Stand-in of a model server, written to the platform's pages; it holds one model.

It answers with a stream of events, of which each names the version of the server's software. A
request with ``Last-Event-Id`` goes on after that event. As a faulty server (``srv_grey``, reset) it
resets a share of its connections after the head of an answer, before the first event.
Arguments: service, store, run log, software version, model, share of resets, and the milliseconds
between two events.
"""

import asyncio
import base64
import json
import random
import socket
import struct
import sys
import time
import uuid

HEARTBEAT_SECONDS = 1.2


class ModelServer:
    """A server that streams."""

    def __init__(self, arguments: list[str]) -> None:
        service, store, log, version, model, share, event_ms = arguments
        self.instance = f"i-{uuid.uuid4().hex[:10]}"
        self._born = time.time_ns() // 1_000_000
        self._service, self._store, self._version = service, store, version
        self._log = open(log, "a", buffering=1)  # noqa: SIM115
        self._model, self._share, self._event_s = model, float(share), float(event_ms) / 1000
        self._random = random.Random(5)
        self.port = 0

    async def on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection, one request at a time."""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *fields = head.strip().split("\r\n")
                pairs = (field.partition(":") for field in fields)
                headers = {name.lower(): value.strip() for name, _, value in pairs}
                await reader.readexactly(int(headers.get("content-length", "0")))
                if not await self._answer(first.split(" ")[1], headers, writer):
                    return
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    async def _answer(
        self, path: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        request_id = headers.get("x-request-id", "")
        if path == "/healthz":
            self._send(writer, 200)
        elif headers.get("x-expect-instance", self.instance) != self.instance:
            self._send(writer, 421)
        elif path == "/report":
            self._send(writer, 200, json.dumps(self._report()).encode())
        elif path == "/order":
            self._send(writer, 409)
        elif headers.get("x-model") != self._model:
            self._send(writer, 421, request_id=request_id)
        else:
            return await self._stream(request_id, headers, writer)
        return True

    def _send(
        self, writer: asyncio.StreamWriter, status: int, body: bytes = b"", request_id: str = ""
    ) -> None:
        lines = [f"HTTP/1.1 {status} X", f"X-Instance-Id: {self.instance}"]
        lines += [f"X-Request-Id: {request_id}"] if request_id else []
        lines += ["X-Not-Executed: 1"] if status == 421 else []
        writer.write("\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body)

    async def _stream(
        self, request_id: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        begin = int(headers.get("last-event-id") or 0) + 1
        end = int(headers["x-token-usage"].split(",")[1])
        self._log.write(f"{self._version} runs {request_id} from event {begin}\n")
        lines = ["HTTP/1.1 200 OK", f"X-Request-Id: {request_id}"]
        lines += [f"X-Response-Stamp: {self.instance}.{request_id}"]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked", "", ""]
        writer.write("\r\n".join(lines).encode())
        await writer.drain()
        if begin == 1 and self._random.random() < self._share:
            await asyncio.sleep(self._event_s)
            self._log.write(f"{self._version} resets {request_id} before its first event\n")
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
            return False
        for number in range(begin, end + 1):
            await asyncio.sleep(self._event_s)
            event = f"id: {number}\ndata: {self._version}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True

    def _report(self) -> dict[str, object]:
        return {
            "stage": "both",
            "models": [{"name": self._model, "version": 1, "adapters": []}],
            "busy": False,
            "seq": 0,
            "waiting": 0,
            "running": 0,
            "kv-used": 0,
            "kv-total": 100000,
            "handles": 0,
            "born": self._born,
        }

    async def keep_entry(self) -> None:
        """Write the entry in the store at every heartbeat."""
        entry = {
            "service": self._service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "zone-a",
            "version": self._version,
            "slots": 64,
            "state": "ready",
            "cold-remaining-ms": 0,
            "seq": 0,
            "models": [{"name": self._model, "version": 1, "adapters": []}],
            "born": self._born,
        }
        value = base64.b64encode(json.dumps(entry).encode()).decode()
        row = {"table": "servers", "key": self.instance, "value": value}
        body = json.dumps({"put": [row]}).encode()
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
    server = ModelServer(sys.argv[1:8])
    listener = await asyncio.start_server(server.on_connection, "127.0.0.1", 0)
    server.port = listener.sockets[0].getsockname()[1]
    print(f"ready {server.port}", flush=True)
    await server.keep_entry()


if __name__ == "__main__":
    asyncio.run(main())
