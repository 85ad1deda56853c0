"""Callers of a soak, which keep their connections for as long as they may."""

import random
import threading
import time
import uuid
from collections.abc import Iterable

from attrs import define, field

from features.support.caller import KeptConnection, Reply, Request
from features.support.pipeline import PipelinedConnection
from features.support.pool_site import PoolSite
from features.support.soak_record import Attempt, SoakRecord, SoakRoute, StreamRecord
from features.support.streams import STREAM_EVENTS, Stream

MODEL = "m1"
RESUMABLE = SoakRoute("drill", is_stream=True, is_repeatable=True)
STREAMS = (
    SoakRoute("draft", is_stream=True),
    SoakRoute("talk", is_stream=True),
    SoakRoute("aside", is_stream=True, is_permanent=False),
)
BOOK = SoakRoute("book")
LOOK = SoakRoute("look", is_repeatable=True)
PLAIN_ROUTES = (BOOK, BOOK, LOOK, LOOK, SoakRoute("extra", is_repeatable=True, is_permanent=False))
PERMANENT_ROUTES = (RESUMABLE, *STREAMS[:2], BOOK, LOOK)
TIMEOUT_SECONDS = 8.0
MAX_ATTEMPTS = 8
PIPELINE_DEPTH = 3
# Callers of a daemon take up a connection that has rested for up to this share of its idle limit.
IDLE_SHARE = 0.8
MAX_DAEMONS_PER_CALLER = 8
MS_PER_SECOND = 1000


@define
class _Connections:
    """The connections of one caller to one daemon, and when each was last used."""

    kept: KeptConnection
    pipelined: PipelinedConnection
    kept_used_at: float | None = None
    pipelined_used_at: float | None = None

    def close(self) -> None:
        """Close both."""
        self.kept.close()
        self.pipelined.close()


@define
class SoakCaller:
    """Sends one random request after the other, each to a random daemon."""

    site: PoolSite
    record: SoakRecord
    stopping: threading.Event
    source: random.Random
    daemons: list[str] = field(factory=list)
    connections: dict[str, _Connections] = field(factory=dict)

    def run(self) -> None:
        """Send requests until the soak stops."""
        names = sorted(self.site.daemons)
        self.daemons = self.source.sample(names, min(MAX_DAEMONS_PER_CALLER, len(names)))
        for name in self.daemons:
            address = self.site.daemons[name].address
            self.connections[name] = _Connections(
                KeptConnection(address), PipelinedConnection(address)
            )
        while not self.stopping.is_set():
            self._send_random()
        for connections in self.connections.values():
            connections.close()

    def _send_random(self) -> None:
        kinds = (
            *[self._stream] * 3,
            self._single_stream,
            *[self._plain] * 2,
            self._pipeline,
        )
        self.source.choice(kinds)()

    def _stream(self) -> None:
        """Begin a resumable stream, and resume it at some daemon while it breaks off."""
        stream = Stream("", [])
        self.record.streams.append(StreamRecord(RESUMABLE, stream))
        for _ in range(MAX_ATTEMPTS):
            daemon = self.source.choice(self.daemons)
            request = self._request(RESUMABLE, daemon)
            stream.add_resumption(request)
            stream.add_reply(self._send(RESUMABLE, daemon, request))
            if stream.is_served:
                return
            self._pause()

    def _single_stream(self) -> None:
        route = self.source.choice(STREAMS)
        daemon = self.source.choice(self.daemons)
        reply = self._send(route, daemon, self._request(route, daemon))
        self.record.streams.append(StreamRecord(route, Stream(reply.request_id, [reply])))
        self._pause_after(reply)

    def _plain(self) -> None:
        route = self.source.choice(PLAIN_ROUTES)
        daemon = self.source.choice(self.daemons)
        self._pause_after(self._send(route, daemon, self._request(route, daemon)))

    def _pipeline(self) -> None:
        """Send several plain requests at once on one connection."""
        daemon = self.source.choice(self.daemons)
        routes = [self.source.choice(PLAIN_ROUTES) for _ in range(PIPELINE_DEPTH)]
        requests = [self._request(route, daemon) for route in routes]
        own = self.connections[daemon]
        if not self._may_use(own.pipelined_used_at) or own.pipelined.has_ended:
            own.pipelined.close()
        rested_s = _since(own.pipelined_used_at) if own.pipelined.is_open else 0.0
        sent_at_s = time.time()
        replies = own.pipelined.send(requests)
        own.pipelined_used_at = time.monotonic()
        for route, reply, behind_end in zip(routes, replies, _behind_end(replies), strict=True):
            self._add(route, daemon, reply, sent_at_s, rested_s, behind_end)
        self._pause_after(replies[-1])

    def _request(self, route: SoakRoute, daemon: str) -> Request:
        target = MODEL if route.is_stream else ""
        return self.site.request(
            self.site.daemons[daemon], route.name, target, STREAM_EVENTS, TIMEOUT_SECONDS
        )

    def _send(self, route: SoakRoute, daemon: str, request: Request) -> Reply:
        own = self.connections[daemon]
        if not self._may_use(own.kept_used_at) or own.kept.has_ended:
            own.kept.close()
        rested_s = _since(own.kept_used_at) if own.kept.is_open else 0.0
        sent_at_s = time.time()
        reply = own.kept.send(request)
        own.kept_used_at = time.monotonic()
        self._add(route, daemon, reply, sent_at_s, rested_s)
        return reply

    def _may_use(self, used_at: float | None) -> bool:
        limit_s = float(self.site.limits["idle-timeout-ms"]) / MS_PER_SECOND
        return _since(used_at) < IDLE_SHARE * limit_s

    def _add(
        self,
        route: SoakRoute,
        daemon: str,
        reply: Reply,
        sent_at_s: float,
        rested_s: float,
        behind_end: bool = False,
    ) -> None:
        self.record.attempts.append(
            Attempt(
                route, daemon, reply, TIMEOUT_SECONDS, sent_at_s, time.time(), rested_s, behind_end
            )
        )

    def _pause_after(self, reply: Reply) -> None:
        """Wait before the next request when this one was not served."""
        if reply.status != 200 or not reply.is_complete:
            self._pause()

    def _pause(self) -> None:
        time.sleep(self.source.uniform(0.05, 0.25))


def _since(used_at: float | None) -> float:
    return 0.0 if used_at is None else time.monotonic() - used_at


def _behind_end(replies: list[Reply]) -> Iterable[bool]:
    """Return for each reply whether one before it had ended the connection."""
    ended = False
    for reply in replies:
        yield ended
        ended |= not reply.is_complete or reply.headers.get("connection") == "close"


def daemons_not_serving(site: PoolSite, name: str) -> list[str]:
    """Return the permanent routes on which a daemon doesn't serve a request completely."""
    connection = KeptConnection(site.daemons[name].address)
    failed = []
    for route in PERMANENT_ROUTES:
        request = site.request(site.daemons[name], route.name, MODEL if route.is_stream else "")
        request.headers["x-request-id"] = uuid.uuid4().hex
        reply = connection.send(request)
        if reply.status != 200 or not reply.is_complete:
            failed.append(f"{name} {route.name}: {reply.status} {reply.body[:80]!r}")
    connection.close()
    return failed
