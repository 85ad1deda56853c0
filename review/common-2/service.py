"""The service that the plays use: six model servers that hold one model, and its clients."""

import asyncio
import itertools
import json
import time
from collections.abc import Callable
from typing import Any

from deployment import HOST, Daemon, Reply, Site, call, free_port, send, state_of

CONTACT_S = 3.0
SERVERS = 6
ZONES = ["zone-a", "zone-b", "zone-c"]
MODEL = "daka510000"
ROUTE_HOST = "ficu95.example"
PATH = "/lohu930/2f"
FIRST_PART = "5c1e07a2"
DEADLINE_MS = 25_000
BACK_AFTER_S = 3.5
# A request that runs beside brittle servers takes 3.9 s.
EVENTS, EVENT_S = 14, 0.28
# The platform asks each daemon once a second, and takes out one that misses twice.
READY_PERIOD_S = 1.0
MISSES_UNTIL_OUT = 2

_numbers = itertools.count(1)


def configuration(slots: int) -> dict[str, Any]:
    """Return the configuration of a service with one model."""
    model = {
        "name": MODEL,
        "weights-mb": 65_100.0,
        "load-time-s": 3.0,
        "adapters": 0,
        "adapter-mb": 66.0,
        "warm-s": 0.9,
        "disk-load-s": 1.2,
    }
    engine = {
        "slots": slots,
        "weights-mb": 200_000.0,
        "adapter-slots": 8,
        "loads-per-s": 3.0,
        "models": [model],
    }
    route = {
        "name": "essay",
        "host": ROUTE_HOST,
        "path-prefix": "/lohu930/",
        "kind": "streaming",
        "resumable": True,
        "sticky-sessions": True,
        "timeout-ms": DEADLINE_MS,
        "target-latency-ms": 6000,
        "gap-aim-ms": 300,
        "priority": 1,
        "max-attempts": 2,
        "service": "tutor-models",
    }
    limits = {
        "max-header-bytes": 16384,
        "max-body-bytes": 1 << 20,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    }
    service = {
        "name": "tutor-models",
        "health-path": "/healthz",
        "max-conns": 360,
        "engine": engine,
    }
    return {"version": 3, "routes": [route], "services": [service], "limits": limits}


def start_servers(site: Site, slots: int) -> list[int]:
    """Start the store and the model servers, all of which hold the model; return their ports."""
    document = configuration(slots)
    site.start_store()
    site.configure(document)
    models = site.folder / "models.json"
    models.write_text(json.dumps(document["services"][0]["engine"]["models"]))
    ports = [free_port() for _ in range(SERVERS)]
    for number, port in enumerate(ports):
        site.start(
            f"server-{number}",
            "model_server",
            *("--service", "tutor-models", "--store", f"{HOST}:{site.store_port}"),
            *("--models", str(models), "--held", MODEL, "--memory_mb", "200000"),
            *("--adapter_slots", "8", "--port", str(port), "--slots", str(slots)),
            *("--zone", ZONES[number % len(ZONES)]),
        )
    for port in ports:
        state_of(port)
    return ports


def set_faults(ports: list[int], **faults: Any) -> None:
    """Set the faults of all servers; those that are not named are off."""
    for port in ports:
        call(port, "POST", "/_fault", json.dumps(faults).encode())


def prompt(first: str, document: str) -> str:
    """Return a prompt of a shared part, a document's part and one of the request alone."""
    return f"{first}:350,{document}:400,own{next(_numbers):06d}:60"


async def ask(site: Site, daemon: Daemon, kind: str, parts: str, events: int) -> Reply:
    """Send one request and write to the record how it ended."""
    headers = {"X-Model": MODEL, "X-Token-Usage": f"810,{events}", "X-Prompt-Prefix": parts}
    reply = await send(daemon.front, PATH, ROUTE_HOST, DEADLINE_MS, headers)
    refusal = "" if reply.status == 200 else reply.body[:60]
    site.note(
        f"{kind} {reply.request_id} at {daemon.name} prompt {parts} sent {reply.sent_s:.3f} "
        f"ended {reply.ended_s:.3f} status {reply.status} complete {reply.is_complete} "
        f"{reply.error} {refusal}"
    )
    return reply


class Entrance:
    """The platform's address: passes new connections to the daemons that are in, by turns."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._misses = dict.fromkeys((daemon.name for daemon in site.daemons), 0)
        self._turns = itertools.count()

    def next(self) -> Daemon:
        """Return the daemon that gets the next connection."""
        daemons = self._site.daemons
        ready = [each for each in daemons if self._misses[each.name] < MISSES_UNTIL_OUT]
        return (ready or daemons)[next(self._turns) % len(ready or daemons)]

    async def watch(self) -> None:
        """Ask all daemons whether they are ready, until cancelled."""
        await asyncio.gather(*(self._watch(daemon) for daemon in self._site.daemons))

    async def _watch(self, daemon: Daemon) -> None:
        while True:
            begun = time.monotonic()
            is_ready = await _is_ready(daemon.ready)
            self._misses[daemon.name] = 0 if is_ready else self._misses[daemon.name] + 1
            await asyncio.sleep(max(0.0, begun + READY_PERIOD_S - time.monotonic()))


async def _is_ready(port: int) -> bool:
    try:
        async with asyncio.timeout(READY_PERIOD_S):
            reader, writer = await asyncio.open_connection(HOST, port)
            try:
                writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                return b" 200 " in await reader.readline()
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return False


class Disturbances:
    """When each daemon was disturbed, from which follows whether it is in touch."""

    def __init__(self) -> None:
        self._spans: list[tuple[str, float, float]] = []

    def add(self, daemon: str, from_s: float, to_s: float) -> None:
        """Add a span in which a daemon was disturbed."""
        self._spans.append((daemon, from_s, to_s))

    def is_in_touch(self, daemon: str, at_s: float) -> bool:
        """Whether a daemon had not been disturbed for ``contact-ms`` at a time."""
        return not any(
            name == daemon and from_s <= at_s <= to_s + CONTACT_S
            for name, from_s, to_s in self._spans
        )


def note_bans(site: Site) -> None:
    """Write to the record what the daemons have banned."""
    for daemon in site.daemons:
        for line in daemon.log_lines():
            if line.get("message_type") == "loomwind:prompt" and line.get("state") == "banned":
                site.note(f"{daemon.name} logs {json.dumps(line)}")


def count_late_arrivals(site: Site, ports: list[int], bad: str) -> int:
    """Count the requests with a part that reached servers too late; 0 before five crashes.

    All daemons of these plays are in touch all the time.
    """
    states = [state_of(port) for port in ports]
    crashes = sorted(at for state in states for at in state["crash_times_s"])
    seen = sorted(
        (at, request_id, parts)
        for state in states
        for at, request_id, parts in state["seen"]
        if parts.startswith(bad)
    )
    for at in crashes:
        site.note(f"a server fell at {at:.3f}")
    for at, request_id, parts in seen:
        site.note(f"{request_id} reached a server at {at:.3f} with {parts}")
    if len(crashes) < 5:
        site.note(f"{len(crashes)} servers fell: the rule does not apply")
        return 0
    late = [each for each in seen if each[0] > crashes[4] + CONTACT_S]
    site.note(
        f"fifth fall at {crashes[4]:.3f}; {len(late)} requests with the part reached servers "
        f"later than {CONTACT_S * 1000:.0f} ms after it, 3 are allowed"
    )
    return len(late)


def count_falls(
    site: Site, ports: list[int], senders: dict[str, str], disturbances: Disturbances
) -> int:
    """Count the falls of servers for which machines in touch sent most of what was rejected.

    :param senders: the daemon of each request, by its ID.
    """
    counted = 0
    for port in ports:
        state = state_of(port)
        for fell_s in state["fall_times_s"]:
            rejected = [
                (at_s, senders.get(request_id, ""))
                for at_s, request_id, _ in state["rejected"]
                if fell_s - 1.05 <= at_s <= fell_s + 0.01
            ]
            in_touch = sum(disturbances.is_in_touch(name, at_s) for at_s, name in rejected)
            counts = 2 * in_touch > len(rejected)
            counted += counts
            site.note(
                f"server {port} fell at {fell_s:.3f}: rejected {len(rejected)} in a second, "
                f"{in_touch} from machines in touch; {'counts' if counts else 'does not count'}"
            )
        rejected_ids = {request_id for _, request_id, _ in state["rejected"]}
        for at_s, request_id, _ in state["seen"]:
            end = "was rejected" if request_id in rejected_ids else "ran"
            site.note(f"{request_id} reached server {port} at {at_s:.3f} and {end}")
        site.note(f"server {port} rejected {len(state['rejected'])} in all")
    return counted


async def load_brittle(
    site: Site,
    ports: list[int],
    rate: float,
    max_rejections: int,
    slots: int,
    queue: int,
    disturb: Callable[[Site, Disturbances], Any],
) -> tuple[dict[str, str], Disturbances]:
    """Send more than the servers hold, while they are brittle, until the disturbances are over.

    :param queue: how many requests may wait at a server once ``contact-ms`` have passed.
    """
    base = {"back_after_seconds": BACK_AFTER_S, "event_seconds": EVENT_S}
    base |= {"max_rejections": max_rejections}
    await asyncio.to_thread(set_faults, ports, **base, places=3 * slots)
    site.note(f"the servers say Server-Brittle: {max_rejections}")
    entrance, disturbances = Entrance(site), Disturbances()
    senders: dict[str, str] = {}
    tasks: set[asyncio.Task[None]] = set()

    async def one(daemon: Daemon) -> None:
        parts = prompt(FIRST_PART, f"doc{next(_numbers) % 50:05d}")
        headers = {"X-Model": MODEL, "X-Token-Usage": f"810,{EVENTS}", "X-Prompt-Prefix": parts}
        reply = Reply()
        senders[reply.request_id] = daemon.name
        try:
            await send(daemon.front, PATH, ROUTE_HOST, DEADLINE_MS, headers, reply=reply)
        finally:
            site.note(
                f"sound {reply.request_id} at {daemon.name} sent {reply.sent_s:.3f} "
                f"ended {reply.ended_s:.3f} status {reply.status} "
                f"complete {reply.is_complete} {reply.error}"
            )

    async def play() -> None:
        await asyncio.sleep(CONTACT_S + 0.5)
        await asyncio.to_thread(set_faults, ports, **base, places=slots + queue)
        site.note(f"fewer requests may wait: {queue} beside the {slots} that run")
        await asyncio.sleep(CONTACT_S)
        await disturb(site, disturbances)
        await asyncio.sleep(2.0)

    watching = asyncio.create_task(entrance.watch())
    playing = asyncio.create_task(play())
    while not playing.done():
        task = asyncio.create_task(one(entrance.next()))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / rate)
    watching.cancel()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    playing.result()
    return senders, disturbances
