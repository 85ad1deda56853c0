"""Detects parts of prompts that crash servers. Does no I/O; the caller passes the time.

A crash interrupts all requests at the server. A part that causes crashes is interrupted at several
server instances and never answered completely, while any other part soon is. Crashes at nearly the
same time have one cause, such as a power loss of a rack, and count as one. Crashes that a later,
more specific part explains do not count against the parts before it.
"""

import itertools
from collections import OrderedDict
from collections.abc import Iterable

from attrs import define, field, frozen

# Numbers of separate causes of crashes, of a part that was not answered completely since.
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
    """A part of a prompt that other requests may share.

    :ivar position: its index in the prompt; later parts are more specific.
    """

    identity: str
    position: int


@frozen
class Crash:
    """A crash of a server instance when it began to respond.

    :ivar instance: identifies the server process.
    """

    instance: str
    at_ms: float


@define
class Suspicion:
    """The crashes and the ban of a suspected part.

    :ivar crashes: by instance.
    :ivar ban_ms: duration of the next ban.
    """

    part: SharedPart
    crashes: dict[str, Crash] = field(factory=dict)
    banned_until_ms: float = 0.0
    ban_ms: float = INITIAL_BAN_MS


def count_causes(crashes: Iterable[Crash]) -> int:
    """Return the number of separate causes: crashes at nearly the same time count as one."""
    times = sorted(crash.at_ms for crash in crashes)
    merged = sum(later - earlier < SAME_CAUSE_MS for earlier, later in itertools.pairwise(times))
    return len(times) - merged


class PromptSuspicions:
    """Suspected parts, and parts that were recently answered completely."""

    def __init__(self) -> None:
        self._suspected: OrderedDict[str, Suspicion] = OrderedDict()
        self._last_answered_ms: OrderedDict[str, float] = OrderedDict()

    def record_crash(self, part: SharedPart, crash: Crash, now_ms: float) -> bool:
        """Record a crash under a part; returns whether the crash is new.

        A part that was recently answered completely is not suspected.
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
        """Ban the parts with enough unexplained crashes; returns the newly banned ones."""
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
        """Return 1 or more when the causes left by more specific parts suffice for a ban."""
        explained: set[str] = set()
        for other in self._suspected.values():
            more_specific = other.part.position > suspicion.part.position
            if more_specific and count_causes(other.crashes.values()) >= NO_RETRY_CAUSES:
                explained |= other.crashes.keys()
        unexplained = (c for instance, c in suspicion.crashes.items() if instance not in explained)
        return count_causes(unexplained) - BAN_CAUSES + 1

    def record_answered(self, identities: Iterable[str], now_ms: float) -> tuple[str, ...]:
        """Record parts that were answered completely; returns those that were suspected."""
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
        """Whether a part was recently answered completely."""
        return now_ms - self._last_answered_ms.get(identity, float("-inf")) < ANSWERED_VALID_MS

    def suspected(self) -> list[Suspicion]:
        """Return all suspected parts, with their crashes."""
        return list(self._suspected.values())

    def may_retry(self, identities: Iterable[str]) -> bool:
        """Whether a request with these parts that was interrupted may be retried."""
        return all(self._count_causes(identity) < NO_RETRY_CAUSES for identity in identities)

    def _count_causes(self, identity: str) -> int:
        suspicion = self._suspected.get(identity)
        return count_causes(suspicion.crashes.values()) if suspicion else 0

    def banned_for_ms(self, identities: Iterable[str], now_ms: float) -> float:
        """Return how long requests with any of the parts remain banned; 0 when none is."""
        suspicions = (self._suspected.get(identity) for identity in identities)
        until = (each.banned_until_ms for each in suspicions if each is not None)
        return max(0.0, max(until, default=0.0) - now_ms)

    def _evict_expired(self, now_ms: float) -> None:
        """Evict parts whose last crash is long ago and whose ban has expired."""
        for identity, suspicion in list(self._suspected.items()):
            last_ms = max(crash.at_ms for crash in suspicion.crashes.values())
            if max(last_ms + FORGET_AFTER_MS, suspicion.banned_until_ms) < now_ms:
                del self._suspected[identity]
