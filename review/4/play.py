"""Plays the case: a relayed stream is continued at another software version than began it."""

import re
import signal
import socket
import sys
import threading
import time
import uuid
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from harness import HOST, WITH_TROUBLE, Case, Daemon, route, run_case  # noqa: E402

DAEMONS = 6
STREAMS = 150
STREAM_PAUSE_SECONDS = 0.026
EVENTS = 90
EVENT_MS = 100
# Of three servers, one is faulty ("srv_grey", reset): the default dose, x 0.4.
RESET_SHARE = 0.4
MODEL = "m1"
# The rule allows two streams.
ALLOWED_STREAMS = 2


def read_stream(daemon: Daemon, request_id: str, more: dict[str, str]) -> tuple[bytes, bytes]:
    """Send a request that may be resumed; returns the head and the body of the answer."""
    headers = {
        "Host": HOST,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": "15000",
        "X-Model": MODEL,
        "X-Token-Usage": f"100,{EVENTS}",
        "X-Prompt-Prefix": f"{request_id[:8]}:100",
        "Connection": "close",
        "Content-Length": "2",
    }
    fields = (headers | more).items()
    lines = ["POST /drill/1 HTTP/1.1"] + [f"{name}: {value}" for name, value in fields]
    host, _, port = daemon.caller.rpartition(":")
    data = b""
    try:
        with socket.create_connection((host, int(port)), 20) as connection:
            connection.sendall("\r\n".join([*lines, "", "hi"]).encode())
            while chunk := connection.recv(65536):
                data += chunk
    except OSError:
        pass
    head, _, body = data.partition(b"\r\n\r\n")
    return head, body


def play(case: Case) -> bool:
    """Return whether more than two streams hold events of two software versions."""
    store = case.start_store()
    engine = {
        "slots": 64,
        "weights-mb": 100000.0,
        "adapter-slots": 2,
        "loads-per-s": 3.0,
        "models": [
            {
                "name": MODEL,
                "weights-mb": 42700.0,
                "load-time-s": 2.5,
                "adapters": 0,
                "adapter-mb": 66.0,
            }
        ],
    }
    service = {"name": "tutor", "health-path": "/healthz", "max-conns": 370, "engine": engine}
    changes = {"resumable": True, "timeout-ms": 15000, "target-latency-ms": 600, "gap-aim-ms": 300}
    case.configure(
        [route("drill", "streaming", "tutor", **{"max-attempts": 3, **changes})], [service]
    )
    daemons = case.make_daemons(DAEMONS)
    cut_off = daemons[0]
    links, logs = [], []
    for number, (version, share) in enumerate((("v1", RESET_SHARE), ("v2", 0), ("v2", 0))):
        logs.append(case.folder / f"runs-{number}.txt")
        program = str(FOLDER.parent / "common" / "model_server.py")
        share = share if WITH_TROUBLE else 0
        arguments = ["tutor", store, str(logs[-1]), version, MODEL, str(share), str(EVENT_MS)]
        _, port = case.stand_in(["python3", program, *arguments], f"server-{number}")
        program = str(FOLDER.parent / "common" / "link.py")
        address = f"127.0.0.1:{port}"
        link, port = case.stand_in(["python3", program, address], f"link-{number}")
        links.append(link)
        cut_off.links[address] = f"127.0.0.1:{port}"
    for daemon in daemons:
        daemon.start()
    case.wait_ready(daemons, len(logs))
    # All daemons have opened both versions by then.
    time.sleep(6.0)
    if WITH_TROUBLE:
        case.note(f"{cut_off.name} is cut from all servers: resets, and new ones are refused")
        for link in links:
            link.send_signal(signal.SIGUSR1)
    time.sleep(1.0)
    answers: dict[str, bytes] = {}

    def client(number: int) -> None:
        first_id = uuid.uuid4().hex[:16]
        head, body = read_stream(cut_off, first_id, {})
        note(first_id, cut_off, head, body)
        ids = re.findall(rb"id: (\d+)\n", body)
        if ids and int(ids[-1]) < EVENTS:
            # The client takes the stream up again, once, at another daemon.
            more = {"Last-Event-Id": ids[-1].decode(), "Resumes": first_id}
            again_id = uuid.uuid4().hex[:16]
            daemon = daemons[1 + number % (DAEMONS - 1)]
            head, rest = read_stream(daemon, again_id, more)
            note(f"{again_id}, which resumes {first_id},", daemon, head, rest)
            body += rest
        answers[first_id] = body

    def note(request: str, daemon: Daemon, head: bytes, body: bytes) -> None:
        events = re.findall(rb"id: (\d+)\ndata: (v\d)\n\n", body)
        text = " ".join(f"{number.decode()}:{version.decode()}" for number, version in events)
        case.note(f"{request} at {daemon.name} answered {head[:13]!r}, events {text}")

    threads = [threading.Thread(target=client, args=(number,)) for number in range(STREAMS)]
    for thread in threads:
        thread.start()
        time.sleep(STREAM_PAUSE_SECONDS)
    if WITH_TROUBLE:
        cut_off.signal(signal.SIGKILL)
    for thread in threads:
        thread.join()
    for number, log in enumerate(logs):
        for line in log.read_text().splitlines():
            case.note(f"server {number}: {line}")
    mixed = [
        name for name, body in answers.items() if len(set(re.findall(rb"data: (v\d)", body))) > 1
    ]
    whole = Counter(body.endswith(b"0\r\n\r\n") for body in answers.values())
    case.note(f"streams: {len(answers)}, complete or not: {dict(whole)}")
    case.note(f"streams that hold events of two versions: {len(mixed)}: {mixed}")
    return len(mixed) > ALLOWED_STREAMS


if __name__ == "__main__":
    run_case(str(FOLDER), play)
