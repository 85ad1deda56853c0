"""Cost of sending a request to a server; the server with the lowest cost is chosen. No I/O."""

from collections.abc import Sequence

import xxhash
from msgspec import Struct

from loomwind.serving.views import ServerEntry

ERROR_COST = 20.0
BREAKER_OPEN_COST = 1000.0
TRIED_COST = 300.0
OTHER_ZONE_COST = 0.4
CACHE_COST = 1.5
NEW_CONNECTION_COST = 1.2
HASH_RANGE = float(1 << 64)


class Candidate(Struct, frozen=True):
    """A server that can run a request, with the inputs of its cost.

    :param in_flight: the number of this daemon's requests in progress at the server.
    :param error_rate: moving average of failed sends.
    :param breaker_open: whether requests should prefer other servers.
    :param tried: whether this request was sent to the server before.
    :param connected: whether an idle connection is open.
    :param load: requests of all daemons in progress at the server, when it is known.
    """

    entry: ServerEntry
    in_flight: int
    error_rate: float
    breaker_open: bool
    tried: bool
    connected: bool = True
    load: float = 0.0

    def describe(self) -> str:
        """Return a short summary of the cost inputs, for logs."""
        notes = [f"{self.in_flight} in flight", f"{self.load:.0f} of others"]
        notes += ["breaker open"] if self.breaker_open else []
        notes += ["tried"] if self.tried else []
        notes += [] if self.connected else ["no connection"]
        notes += [f"{self.error_rate:.2f} failed"] if self.error_rate else []
        return ", ".join(notes)


def rendezvous_score(key: str, instance: str) -> float:
    """Return the rendezvous hash of a key and a server, scaled to 0 to 1."""
    return float(xxhash.xxh64_intdigest(f"{key}|{instance}".encode())) / HASH_RANGE


def cost(candidate: Candidate, zone: str, key: str, noise: float) -> float:
    """Return the cost of sending a request to a server, in units of requests in progress there."""
    slots = max(1, candidate.entry.slots)
    total = (candidate.in_flight + candidate.load) * 8.0 / slots
    total += ERROR_COST * candidate.error_rate
    total += BREAKER_OPEN_COST if candidate.breaker_open else 0.0
    total += TRIED_COST if candidate.tried else 0.0
    total += OTHER_ZONE_COST if candidate.entry.zone != zone else 0.0
    total += 0.0 if candidate.connected else NEW_CONNECTION_COST
    if key:
        total += CACHE_COST * rendezvous_score(key, candidate.entry.instance)
    return total + noise * 0.1


def lowest_cost(
    candidates: Sequence[Candidate], zone: str, key: str, noise: Sequence[float]
) -> Candidate | None:
    """Return the candidate with the lowest cost; None when there are no candidates.

    :param zone: the zone of this daemon.
    :param key: identity of the prompt prefix that servers may have cached; empty for none.
    :param noise: a number from 0 to 1 for each candidate, which breaks ties.
    """
    if not candidates:
        return None
    costs = [
        (cost(candidate, zone, key, number), index)
        for index, (candidate, number) in enumerate(zip(candidates, noise, strict=True))
    ]
    return candidates[min(costs)[1]]
