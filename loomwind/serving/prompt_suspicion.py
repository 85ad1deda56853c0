"""Which parts of prompts are suspected to crash servers. Pure; time is passed in, in milliseconds.

A server that ends takes all its requests along. A part that crashes servers ends each one that
begins to answer on it, so it is cut off at several lives of servers and is never answered whole;
any other part soon is. Crashes at nearly the same moment have one cause, such as a lost rack, and
count as one. What a more special part explains does not speak against the parts before it.
"""

import itertools
from collections import OrderedDict
from collections.abc import Iterable

from attrs import define, field, frozen

# Crashes with different causes under a part that was not answered whole.
NO_RETRY_CAUSES = 2
BAN_CAUSES = 3
SAME_CAUSE_MS = 100.0
INITIAL_BAN_MS = 120_000.0
MAX_BAN_MS = 3_600_000.0
FORGET_AFTER_MS = 600_000.0
ANSWERED_VALID_MS = 60_000.0
MAX_SUSPECTED = 256
MAX_ANSWERED = 8192


@frozen
class SharedPart:
    """A part that other requests may share.

    :ivar position: its place in the prompt, from 0; later parts are more special.
    """

    identity: str
    position: int


@frozen
class Crash:
    """A life of a server that ended while it began to answer.

    :ivar instance: names the life.
    """

    instance: str
    at_ms: float


@define
class Suspicion:
    """What speaks against one part.

    :ivar crashes: by instance.
    """

    part: SharedPart
    crashes: dict[str, Crash] = field(factory=dict)
    banned_until_ms: float = 0.0
    ban_ms: float = INITIAL_BAN_MS


def count_causes(crashes: Iterable[Crash]) -> int:
    """Return how many crashes there were, those at nearly the same moment as one."""
    times = sorted(crash.at_ms for crash in crashes)
    merged = sum(later - earlier < SAME_CAUSE_MS for earlier, later in itertools.pairwise(times))
    return len(times) - merged


class PromptSuspicions:
    """The parts that are suspected, and those that were answered whole lately."""

    def __init__(self) -> None:
        self._suspected: OrderedDict[str, Suspicion] = OrderedDict()
        self._last_answered_ms: OrderedDict[str, float] = OrderedDict()

    def note_crash(self, part: SharedPart, crash: Crash, now_ms: float) -> bool:
        """Take in that a server ended as it began to answer on a part; returns whether it is news.

        One that was answered whole a short while ago is not suspected.
        """
        self._evict_expired(now_ms)
        if self.was_answered_recently(part.identity, now_ms):
            return False
        suspicion = self._suspected.setdefault(part.identity, Suspicion(part))
        if crash.instance in suspicion.crashes:
            return False
        suspicion.crashes[crash.instance] = crash
        self._suspected.move_to_end(part.identity)
        while len(self._suspected) > MAX_SUSPECTED:
            self._suspected.popitem(last=False)
        return True

    def ban_suspects(self, now_ms: float) -> tuple[SharedPart, ...]:
        """Ban the parts against which enough speaks; returns those that were not banned before."""
        banned = []
        for suspicion in self._suspected.values():
            if now_ms < suspicion.banned_until_ms or self._ban_surplus(suspicion) < 1:
                continue
            last_ms = max(crash.at_ms for crash in suspicion.crashes.values())
            if last_ms < suspicion.banned_until_ms:
                continue
            suspicion.banned_until_ms = now_ms + suspicion.ban_ms
            suspicion.ban_ms = min(2 * suspicion.ban_ms, MAX_BAN_MS)
            banned.append(suspicion.part)
        return tuple(banned)

    def _ban_surplus(self, suspicion: Suspicion) -> int:
        """Return how many crashes above those of a ban, less one, more special parts leave over."""
        explained: set[str] = set()
        for other in self._suspected.values():
            more_specific = other.part.position > suspicion.part.position
            if more_specific and count_causes(other.crashes.values()) >= NO_RETRY_CAUSES:
                explained |= other.crashes.keys()
        unexplained = (c for instance, c in suspicion.crashes.items() if instance not in explained)
        return count_causes(unexplained) - BAN_CAUSES + 1

    def note_answered(self, identities: Iterable[str], now_ms: float) -> tuple[str, ...]:
        """A request was answered whole; returns its parts that were suspected until now."""
        cleared = []
        for identity in identities:
            self._last_answered_ms[identity] = now_ms
            self._last_answered_ms.move_to_end(identity)
            if self._suspected.pop(identity, None) is not None:
                cleared.append(identity)
        while len(self._last_answered_ms) > MAX_ANSWERED:
            self._last_answered_ms.popitem(last=False)
        return tuple(cleared)

    def was_answered_recently(self, identity: str, now_ms: float) -> bool:
        """Whether a part was answered whole a short while ago."""
        return now_ms - self._last_answered_ms.get(identity, float("-inf")) < ANSWERED_VALID_MS

    def suspected(self) -> list[Suspicion]:
        """Return what speaks against all parts that are suspected."""
        return list(self._suspected.values())

    def may_retry(self, identities: Iterable[str]) -> bool:
        """Whether a request that was cut off may be sent to another server."""
        return all(self._count_causes(identity) < NO_RETRY_CAUSES for identity in identities)

    def _count_causes(self, identity: str) -> int:
        suspicion = self._suspected.get(identity)
        return count_causes(suspicion.crashes.values()) if suspicion else 0

    def banned_for_ms(self, identities: Iterable[str], now_ms: float) -> float:
        """Return for how long requests with any of the parts are sent to no server; 0 if not."""
        suspicions = (self._suspected.get(identity) for identity in identities)
        until = (each.banned_until_ms for each in suspicions if each is not None)
        return max(0.0, max(until, default=0.0) - now_ms)

    def _evict_expired(self, now_ms: float) -> None:
        """Forget parts whose last crash is long ago, and whose ban is over."""
        for identity, suspicion in list(self._suspected.items()):
            last_ms = max(crash.at_ms for crash in suspicion.crashes.values())
            if max(last_ms + FORGET_AFTER_MS, suspicion.banned_until_ms) < now_ms:
                del self._suspected[identity]
