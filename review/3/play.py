"""Plays the case: a surplus refusal arrives in the place of the answer to another request."""

import sys
import threading
import time
import uuid
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from harness import WITH_TROUBLE, Case, Daemon, call, route, run_case  # noqa: E402

SERVERS = 5
FAULTY = 3
# Some clients send one request after the other; many send one at the same moment, now and then.
STEADY_CLIENTS = 4
STEADY_PAUSE_SECONDS = 0.03
BURST_CLIENTS = 40
BURST_PERIOD_SECONDS = 1.0
SECONDS = 56.0
# Largest dose of the site: "extra late", share 0.6, x 0.03, for 5 s. Of five servers that is three.
SURPLUS_SHARE = 0.03
SPANS = "2-7,10-15,18-23,26-31,34-39,42-47,50-55"


def play(case: Case) -> bool:
    """Return whether a request that may run once ran twice, or ran and was refused."""
    store = case.start_store()
    service = {"name": "orders", "health-path": "/healthz", "max-conns": 96}
    case.configure([route("book", "non_idempotent", "orders", **{"max-attempts": 1})], [service])
    logs = []
    for number in range(SERVERS):
        logs.append(case.folder / f"runs-{number}.txt")
        faulty = WITH_TROUBLE and number < FAULTY
        arguments = ["orders", store, str(logs[-1])]
        arguments += [str(SURPLUS_SHARE if faulty else 0), SPANS]
        program = str(FOLDER.parent / "common" / "plain_server.py")
        case.stand_in(["python3", program, *arguments], f"server-{number}")
    daemons = case.start_daemons(2)
    case.wait_ready(daemons, SERVERS)
    end = time.monotonic() + SECONDS
    statuses: dict[str, int] = {}

    def send(daemon: Daemon) -> None:
        request_id = uuid.uuid4().hex[:16]
        headers = {"X-Request-Id": request_id, "X-Deadline-Ms": "1500"}
        reply = call(daemon.caller, "POST", "/book/1", headers, b"one booking")
        statuses[request_id] = reply.status
        case.note(f"{request_id} answered {reply.status} {reply.error}")

    def steady(daemon: Daemon) -> None:
        while time.monotonic() < end:
            send(daemon)
            time.sleep(STEADY_PAUSE_SECONDS)

    def burst(daemon: Daemon) -> None:
        while time.monotonic() < end:
            time.sleep(BURST_PERIOD_SECONDS - time.monotonic() % BURST_PERIOD_SECONDS)
            send(daemon)

    kinds = [steady] * STEADY_CLIENTS + [burst] * BURST_CLIENTS
    threads = [
        threading.Thread(target=kind, args=(daemons[number % len(daemons)],))
        for number, kind in enumerate(kinds)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    time.sleep(1.0)
    runs: Counter[str] = Counter()
    for number, log in enumerate(logs):
        for line in log.read_text().splitlines():
            case.note(f"server {number}: {line}")
            if line.startswith("run "):
                runs[line.split(" ")[1]] += 1
    twice = [name for name, count in runs.items() if count > 1]
    refused = [name for name, status in statuses.items() if status in (429, 503) and runs[name]]
    case.note(f"requests {len(statuses)}, by status {dict(Counter(statuses.values()))}")
    case.note(f"ran twice: {twice}")
    case.note(f"refused, but ran: {refused}")
    return bool(twice or refused)


if __name__ == "__main__":
    run_case(str(FOLDER), play)
