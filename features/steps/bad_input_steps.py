"""Steps that send malformed bytes over plain sockets."""

import json
import socket
from typing import Any

from behave import then, when

from features.support.caller import chat, send
from features.support.processes import wait_until
from features.support.site import LOCALHOST, DaemonProcess

CHAT = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
ANSWER_TIMEOUT_SECONDS = 30.0


def with_body(body: str, headers: str = "", start: str = CHAT) -> bytes:
    """Return a request with a body of the announced length."""
    return f"{start}{headers}Content-Length: {len(body)}\r\n\r\n{body}".encode()


def chat_body(model: str) -> str:
    """Return the body of a chat request."""
    return json.dumps({"model": model, "messages": [{"role": "user", "content": "x"}]})


SENT: dict[str, bytes] = {
    "not-http": b"what is this\r\n\r\n",
    "two-lengths": f"{CHAT}Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!".encode(),
    "length-and-chunked": (
        f"{CHAT}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n".encode()
    ),
    "bad-chunk": f"{CHAT}Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n".encode(),
    "large-head": f"{CHAT}X-Filler: {'a' * 40_000}\r\n\r\n".encode(),
    "many-headers": (CHAT + "".join(f"X-{n}: 1\r\n" for n in range(100)) + "\r\n").encode(),
    "large-body": f"{CHAT}Content-Length: 99999999\r\n\r\n".encode(),
    "unknown-model": with_body(chat_body("nobody")),
    "unknown-version": with_body(chat_body("tutor@v9")),
    "unknown-group": with_body(chat_body("tutor"), "X-Group: strangers\r\n"),
    "unknown-route": b"GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n",
    "bad-json": with_body('{"model": "tutor", "messages": ['),
    "no-model": with_body('{"messages": []}'),
    "bad-deadline": with_body(chat_body("tutor"), "Request-Timeout: soon\r\n"),
    "negative-deadline": with_body(chat_body("tutor"), "Request-Timeout: -1\r\n"),
    "nan-deadline": with_body(chat_body("tutor"), "Request-Timeout: nan\r\n"),
    "wrong-method": b"GET /v1/chat/completions HTTP/1.1\r\nHost: x\r\n\r\n",
    "trace-method": b"TRACE /book/x HTTP/1.1\r\nHost: x\r\n\r\n",
    "long-key": with_body(chat_body("tutor"), f"Idempotency-Key: {'k' * 500}\r\n"),
}


def daemon_of(context: Any) -> DaemonProcess:
    """Return the only daemon."""
    daemon: DaemonProcess = context.site.daemons["daemon-1"]
    return daemon


def connect(context: Any) -> socket.socket:
    """Return a connection to the daemon."""
    port = daemon_of(context).ports.caller
    return socket.create_connection((LOCALHOST, port), ANSWER_TIMEOUT_SECONDS)


def exchange(context: Any, data: bytes) -> bytes:
    """Send bytes and return all that comes back until the answer's body is whole or the end."""
    with connect(context) as connection:
        connection.sendall(data)
        answer = b""
        while piece := connection.recv(65536):
            answer += piece
            if b"}" in answer.partition(b"\r\n\r\n")[2]:
                break
    return answer


@when("a caller sends the bytes {name}")
def step_bytes(context: Any, name: str) -> None:
    context.answer = exchange(context, SENT[name])


@when("a caller sends half a head and waits")
def step_half_head(context: Any) -> None:
    context.answer = exchange(context, CHAT[:30].encode())


@when("a caller sends half a body and waits")
def step_half_body(context: Any) -> None:
    context.answer = exchange(context, with_body(chat_body("tutor"))[:-10])


@when("a caller sends a body longer than announced")
def step_long_body(context: Any) -> None:
    with connect(context) as connection:
        connection.sendall(with_body(chat_body("tutor")) + b"these bytes are no request\r\n\r\n")
        answer = b""
        while piece := connection.recv(65536):
            answer += piece
    context.answer = answer


@then("the answer has status {status:d} and problem {problem}, and states not-run")
def step_answer(context: Any, status: int, problem: str) -> None:
    head, _, body = context.answer.partition(b"\r\n\r\n")
    assert head.startswith(f"HTTP/1.1 {status} ".encode()), head[:200]
    assert b"application/problem+json" in head and b"x-outcome: not-run" in head, head
    decoded = json.loads(body)
    assert decoded["type"].endswith(f":{problem}"), decoded
    assert decoded["status"] == status and decoded["outcome"] == "not-run", decoded


@then("the first answer is whole and the rest is refused as malformed")
def step_first_whole(context: Any) -> None:
    answers = context.answer.split(b"HTTP/1.1 ")[1:]
    assert len(answers) == 2, answers
    assert (answers[0].startswith(b"200 ") and b'"x/7 "' in answers[0]) or b"x/7" in answers[0]
    assert answers[1].startswith(b"400 ") and b"malformed-request" in answers[1]


@then("another caller is still served")
def step_still_served(context: Any) -> None:
    reply = send(chat(daemon_of(context).address, "tutor"))
    assert reply.status == 200, reply.body


@when("{count:d} callers ask for {model} and go away")
def step_go_away(context: Any, count: int, model: str) -> None:
    connections = [connect(context) for _ in range(count)]
    for connection in connections:
        connection.sendall(with_body(chat_body(model)))
    daemon = daemon_of(context)
    wait_until(
        lambda: daemon.metric("loomwind_requests_accepted_total") >= count, "requests arrived"
    )
    for connection in connections:
        connection.close()
    context.count = count


@then("the daemon counts them as cancelled and nothing waits")
def step_cancelled(context: Any) -> None:
    daemon = daemon_of(context)
    wait_until(lambda: daemon.metric("loomwind_requests_waiting") == 0, "nothing waits")
    ended = daemon.metric("loomwind_requests_cancelled_total")
    ended += daemon.metric("loomwind_requests_answered_total")
    assert ended >= context.count, ended
