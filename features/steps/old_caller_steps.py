"""Steps for callers of HTTP/1.0, for whom the end of the connection ends the response."""

import socket
from typing import Any

from behave import then, when

from features.steps.pool_steps import first_daemon, pool
from features.support.caller import Request

READ_BYTES = 65_536


def read_to_end(request: Request) -> tuple[bytes, bool]:
    """Send a request of HTTP/1.0; return the response, and whether the connection was closed."""
    fields = {**request.headers, "content-length": str(len(request.body))}
    lines = [f"{request.method} {request.path} HTTP/1.0"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    host, _, port = request.address.partition(":")
    response = b""
    with socket.create_connection((host, int(port)), request.timeout_seconds) as connection:
        connection.sendall("\r\n".join([*lines, "", ""]).encode() + request.body)
        try:
            while data := connection.recv(READ_BYTES):
                response += data
        except ConnectionResetError:
            return response, False
    return response, True


@when("a caller of HTTP 1.0 reads a stream on {route} for {target} with {events:d} events")
def step_read(context: Any, route: str, target: str, events: int) -> None:
    request = pool(context).request(first_daemon(context), route, target, events)
    context.response, context.is_closed = read_to_end(request)


@then("it got {count:d} events, and its connection did not end as after a complete response")
def step_not_complete(context: Any, count: int) -> None:
    assert context.response.count(b"\nid: ") == count, context.response
    assert not context.is_closed, "the connection was closed as after a complete response"
