"""Steps for any order of sends, answers and copies of answers on the connections of a pool."""

import asyncio
import contextlib
import itertools
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from attrs import define, field, frozen
from behave import then, when

from loomwind.http.client import Connector, HttpClient
from loomwind.http.client_connection import MAX_IDENTIFIED_EXCHANGES, ClientConnection
from loomwind.http.errors import HttpError, RequestRepeated
from loomwind.http.messages import HttpRequest

LOCALHOST = "127.0.0.1"
ID_HEADER = "x-request-id"
# Tells the sends of one request apart, which its id does not.
SEND_HEADER = "x-send"
CALLERS = 3
SENDS_PER_CALLER = 12
DISTINCT_IDS = 8
MAX_COPIES = 3
COPY_SHARE = 0.5
SEGMENTED_SHARE = 0.4
MAX_ITERATIONS_BETWEEN = 6
TIMEOUT_SECONDS = 10.0
EARLY_HINT = b"HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n"


@frozen
class Outcome:
    """What a caller got for one send.

    :ivar answered: the send that the answer was made for; the error's text if there was none.
    """

    send: str
    answered: str


@define
class CopyingServer:
    """A server that repeats answers of a connection before, with and after later ones."""

    choices: random.Random
    copies: int = 0
    _writers: list[asyncio.StreamWriter] = field(factory=list)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self._writers.append(writer)
        sent: list[bytes] = []
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                headers = await _read_request(reader)
                before = self._copies(sent)
                sent.append(self._answer(headers[ID_HEADER], headers[SEND_HEADER]))
                await self._write(writer, [*before, sent[-1], *self._copies(sent)])

    async def close(self) -> None:
        """Close all connections."""
        for writer in self._writers:
            writer.close()
            with contextlib.suppress(ConnectionError):
                await writer.wait_closed()

    def _copies(self, sent: list[bytes]) -> list[bytes]:
        if not sent or self.choices.random() >= COPY_SHARE:
            return []
        copies = self.choices.choices(sent, k=self.choices.randint(1, MAX_COPIES))
        self.copies += len(copies)
        return copies

    def _answer(self, request_id: str, send: str) -> bytes:
        """Return an answer, or a refusal, with any framing."""
        framing = self.choices.choice(("length", "empty", "chunks", "no content", "after a hint"))
        status = 204 if framing == "no content" else self.choices.choice((200, 500, 503))
        lines = [f"HTTP/1.1 {status} X", f"{ID_HEADER}: {request_id}", f"{SEND_HEADER}: {send}"]
        body = b""
        match framing:
            case "length" | "after a hint":
                body = send.encode()
                lines.append(f"content-length: {len(body)}")
            case "empty":
                lines.append("content-length: 0")
            case "chunks":
                body = f"{len(send):x}\r\n{send}\r\n0\r\n\r\n".encode()
                lines.append("transfer-encoding: chunked")
        hint = EARLY_HINT if framing == "after a hint" else b""
        return hint + "\r\n".join([*lines, "", ""]).encode() + body

    async def _write(self, writer: asyncio.StreamWriter, responses: list[bytes]) -> None:
        """Write responses, together or cut into segments at any place."""
        data = b"".join(responses)
        cuts = [0, len(data)]
        if self.choices.random() < SEGMENTED_SHARE:
            cuts += self.choices.choices(range(len(data)), k=self.choices.randint(1, 4))
        else:
            ends = [len(b"".join(responses[:count])) for count in range(len(responses))]
            cuts += [end for end in ends if self.choices.random() < SEGMENTED_SHARE]
        cuts.sort()
        for begin, end in itertools.pairwise(cuts):
            writer.write(data[begin:end])
            for _ in range(self.choices.randint(0, MAX_ITERATIONS_BETWEEN)):
                await asyncio.sleep(0)


async def _read_request(reader: asyncio.StreamReader) -> dict[str, str]:
    """Read a request with a length, and return its headers."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    lines = (each.split(": ", 1) for each in head.split("\r\n")[1:] if each)
    headers = {name.lower(): value for name, value in lines}
    await reader.readexactly(int(headers["content-length"]))
    return headers


@asynccontextmanager
async def _listening(server: "CopyingServer | NumberingServer") -> AsyncIterator[str]:
    """Run a server, and return its address."""
    listener = await asyncio.start_server(server.serve, LOCALHOST, 0)
    try:
        yield f"{LOCALHOST}:{listener.sockets[0].getsockname()[1]}"
    finally:
        listener.close()
        await server.close()


@when("callers send requests to servers that repeat answers, in {count:d} seeded runs")
def step_run(context: Any, count: int) -> None:
    context.outcomes, context.copies = {}, 0
    for seed in range(count):
        server = CopyingServer(random.Random(seed))
        context.outcomes[seed] = asyncio.run(_send_all(server))
        context.copies += server.copies


async def _send_all(server: CopyingServer) -> list[Outcome]:
    """Have several callers send requests at once, each one after the other."""
    client = HttpClient(Connector(), id_header=ID_HEADER)
    async with _listening(server) as address:
        outcomes = await asyncio.gather(
            *(_send_some(server, client, address, f"c{number}") for number in range(CALLERS))
        )
        client.close()
    return [outcome for each in outcomes for outcome in each]


async def _send_some(
    server: CopyingServer, client: HttpClient, address: str, caller: str
) -> list[Outcome]:
    outcomes = []
    for number in range(SENDS_PER_CALLER):
        send, request_id = f"{caller}-{number}", f"r{server.choices.randrange(DISTINCT_IDS)}"
        headers = ((ID_HEADER, request_id), (SEND_HEADER, send))
        try:
            response = await client.request(
                address, HttpRequest("POST", "/", headers, b"hi"), TIMEOUT_SECONDS
            )
            outcomes.append(Outcome(send, response.header(SEND_HEADER) or ""))
        except HttpError as error:
            outcomes.append(Outcome(send, repr(error)))
        for _ in range(server.choices.randint(0, MAX_ITERATIONS_BETWEEN)):
            await asyncio.sleep(0)
    return outcomes


@then("each send gets the answer that was made for it")
def step_matched(context: Any) -> None:
    wrong = {
        seed: [each for each in outcomes if each.answered != each.send]
        for seed, outcomes in context.outcomes.items()
    }
    wrong = {seed: outcomes for seed, outcomes in wrong.items() if outcomes}
    assert not wrong, (len(wrong), dict(list(wrong.items())[:3]))


@then("many copies were sent")
def step_copies(context: Any) -> None:
    assert context.copies >= len(context.outcomes), context.copies


@define
class NumberingServer:
    """A server that answers with the number of the connection that a request came over.

    :ivar copied: the number of the request before whose answer the previous one is repeated.
    """

    copied: int = 0
    received: int = 0
    _writers: list[asyncio.StreamWriter] = field(factory=list)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self._writers.append(writer)
        number, previous = str(len(self._writers)), b""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                headers = await _read_request(reader)
                self.received += 1
                answer = (
                    f"HTTP/1.1 200 OK\r\n{ID_HEADER}: {headers[ID_HEADER]}\r\n"
                    f"content-length: {len(number)}\r\n\r\n{number}"
                ).encode()
                writer.write((previous if self.received == self.copied else b"") + answer)
                previous = answer

    async def close(self) -> None:
        """Close all connections."""
        for writer in self._writers:
            writer.close()
            with contextlib.suppress(ConnectionError):
                await writer.wait_closed()


def _request(request_id: str) -> HttpRequest:
    return HttpRequest("POST", "/", ((ID_HEADER, request_id),), b"hi")


async def _connections_used(server: NumberingServer, count: int) -> list[int]:
    """Return the number of the connection that each of some requests went over."""
    client = HttpClient(Connector(), id_header=ID_HEADER)
    async with _listening(server) as address:
        requests = [_request(f"r{number}") for number in range(count)]
        responses = [await client.request(address, each, TIMEOUT_SECONDS) for each in requests]
        client.close()
    return [int(response.body) for response in responses]


@when(
    "a caller sends 3 requests, before the answer to the second of which a copy of the first comes"
)
def step_copy(context: Any) -> None:
    context.connections = asyncio.run(_connections_used(NumberingServer(copied=2), 3))


@then("they went over connections 1, 1, 2")
def step_new_connection(context: Any) -> None:
    assert context.connections == [1, 1, 2], context.connections


@when("a request is sent twice on one connection")
def step_send_twice(context: Any) -> None:
    asyncio.run(_send_twice(context))


async def _send_twice(context: Any) -> None:
    client, server = HttpClient(Connector(), id_header=ID_HEADER), NumberingServer()
    context.is_rejected = False
    async with _listening(server) as address:
        connection = await client.open(address, TIMEOUT_SECONDS)
        await _exchange(connection)
        try:
            await _exchange(connection)
        except RequestRepeated:
            context.is_rejected = True
        connection.close()
    context.received = server.received


async def _exchange(connection: ClientConnection) -> None:
    connection.send_request(_request("r1"))
    await connection.read_head()
    while await connection.read_body():
        pass


@then("the second send fails, and the server has got one request")
def step_one_received(context: Any) -> None:
    assert (context.is_rejected, context.received) == (True, 1), context.received


@when("a caller sends as many requests as a connection may carry, and one more")
def step_many(context: Any) -> None:
    count = MAX_IDENTIFIED_EXCHANGES + 1
    context.connections = asyncio.run(_connections_used(NumberingServer(), count))


@then("only the last one went over a second connection")
def step_last(context: Any) -> None:
    *earlier, last = context.connections
    assert (set(earlier), last) == ({1}, 2), context.connections
