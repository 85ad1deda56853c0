"""Fair sharing at saturation: Jain's index over service by share, and the wait of a small group.

Three daemons before one engine; four groups of unequal share and unequal demand, whose requests
reach the daemons unevenly.
"""

import asyncio
import contextlib
import random
import time
from collections import Counter
from collections.abc import Iterator

import msgspec
from msgspec import Struct

from bench.small_site import chat_request
from bench.statistics import quantiles
from features.support.acting import start_site
from features.support.site import Site
from loomwind.http.client import Connector, HttpClient
from loomwind.http.errors import HttpError

ENGINE_CONCURRENCY = 16
TOKENS = 10
TOKEN_SECONDS = 0.01
REQUEST_TIMEOUT_SECONDS = 60.0


class GroupLoad(Struct, frozen=True):
    """A group of the bench.

    :param per_second: requests a second that it offers.
    :param routers: how its requests divide among the daemons.
    """

    name: str
    share: float
    per_second: float
    routers: tuple[float, ...]


class FairnessResult(Struct, frozen=True):
    """Service in the middle of the run.

    :param jain: Jain's index of service over share; 1 is exactly fair.
    """

    seconds: float
    served: dict[str, int]
    by_share: dict[str, float]
    jain: float
    refused: int


class FloodResult(Struct, frozen=True):
    """Waits of a small group, alone and while a large one floods, in seconds to the first byte."""

    alone_p50: float
    alone_p99: float
    flooded_p50: float
    flooded_p99: float
    flood_served_per_second: float


SATURATING = (
    GroupLoad("g4", 4.0, 120.0, (0.7, 0.2, 0.1)),
    GroupLoad("g3", 3.0, 60.0, (0.1, 0.8, 0.1)),
    GroupLoad("g2", 2.0, 90.0, (0.3, 0.3, 0.4)),
    GroupLoad("g1", 1.0, 40.0, (0.0, 0.1, 0.9)),
)
SMALL = GroupLoad("small", 1.0, 5.0, (0.4, 0.3, 0.3))
FLOOD = GroupLoad("flood", 1.0, 300.0, (0.4, 0.3, 0.3))


@contextlib.contextmanager
def _site(groups: tuple[GroupLoad, ...]) -> Iterator[Site]:
    site = Site()
    try:
        site.catalog["groups"] = [
            {"name": g.name, "share": g.share, "max_waiting": 100_000} for g in groups
        ]
        version = {"name": "v1", "memory_mib": 1000, "load_seconds": 0.1}
        site.catalog["models"] = [
            {"name": g.name, "group": g.name, "current": "v1", "versions": [version]}
            for g in groups
        ]
        start_site(site, 3, 1, concurrency=ENGINE_CONCURRENCY, token_seconds=TOKEN_SECONDS)
        yield site
    finally:
        site.close()


class _Run:
    """Open-loop load of some groups, with the time of each answer."""

    def __init__(self, site: Site, seed: int) -> None:
        self._addresses = [daemon.address for daemon in site.daemons.values()]
        self._random = random.Random(seed)
        self._client = HttpClient(Connector(), max_idle_per_address=1024)
        self._tasks: set[asyncio.Task[None]] = set()
        self.ended: list[tuple[str, float]] = []
        self.waits: dict[str, list[float]] = {}
        self.refused: Counter[str] = Counter()

    async def _one(self, group: GroupLoad) -> None:
        address = self._random.choices(self._addresses, group.routers)[0]
        timeout = str(REQUEST_TIMEOUT_SECONDS)
        request = chat_request(group.name, TOKENS, request_timeout=timeout)
        started = time.monotonic()
        try:
            connection = await self._client.acquire(address, 10.0)
            connection.send_request(request)
            head = await connection.read_head()
            first = time.monotonic() - started
            while await connection.read_body():
                pass
            self._client.release(connection)
        except HttpError:
            self.refused[group.name] += 1
            return
        if head.status == 200:
            self.ended.append((group.name, time.monotonic()))
            self.waits.setdefault(group.name, []).append(first)
        else:
            self.refused[group.name] += 1

    async def offer(self, group: GroupLoad, seconds: float) -> None:
        """Send one group's requests for a time."""
        loop = asyncio.get_running_loop()
        at = loop.time()
        end = at + seconds
        while at < end:
            await asyncio.sleep(max(0.0, at - loop.time()))
            task = loop.create_task(self._one(group))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            at += self._random.expovariate(group.per_second)

    async def warm_up(self, groups: tuple[GroupLoad, ...]) -> None:
        """Load all models."""
        await asyncio.gather(*(self._one(group) for group in groups))
        self.ended.clear()
        self.waits.clear()

    def stop(self) -> None:
        """Drop what is still waiting."""
        for task in list(self._tasks):
            task.cancel()
        self._client.close()


def jain_index(values: list[float]) -> float:
    """Return Jain's fairness index of some values."""
    return sum(values) ** 2 / (len(values) * sum(value * value for value in values))


async def _saturate(site: Site, seconds: float, seed: int) -> FairnessResult:
    run = _Run(site, seed)
    await run.warm_up(SATURATING)
    begin = time.monotonic()
    await asyncio.gather(*(run.offer(group, seconds) for group in SATURATING))
    run.stop()
    # The first quarter fills the queues; all groups have requests waiting after it.
    counted = Counter(name for name, at in run.ended if at > begin + seconds / 4)
    shares = {group.name: group.share for group in SATURATING}
    by_share = {name: counted[name] / share for name, share in shares.items()}
    return FairnessResult(
        seconds=seconds * 3 / 4,
        served=dict(counted),
        by_share=by_share,
        jain=jain_index(list(by_share.values())),
        refused=sum(run.refused.values()),
    )


async def _flood(site: Site, seconds: float, seed: int) -> FloodResult:
    run = _Run(site, seed)
    await run.warm_up((SMALL, FLOOD))
    await run.offer(SMALL, seconds / 2)
    alone = quantiles(run.waits.pop("small"))
    flooding = asyncio.create_task(run.offer(FLOOD, seconds))
    await asyncio.sleep(seconds / 4)
    await run.offer(SMALL, seconds / 2)
    flooded = quantiles(run.waits.pop("small"))
    await flooding
    served = sum(name == "flood" for name, _ in run.ended)
    run.stop()
    return FloodResult(alone.p50, alone.p99, flooded.p50, flooded.p99, served / seconds)


def run(seconds: float = 24.0, seed: int = 1) -> None:
    """Print a line of JSON on service at saturation, and one on a small group's wait.

    Args:
        seconds: length of each run.
        seed: of arrivals and routers.
    """
    with _site(SATURATING) as site:
        result = asyncio.run(_saturate(site, seconds, seed))
        print(msgspec.json.encode(result).decode(), flush=True)
    with _site((SMALL, FLOOD)) as site:
        flood = asyncio.run(_flood(site, seconds, seed))
        print(msgspec.json.encode(flood).decode(), flush=True)
