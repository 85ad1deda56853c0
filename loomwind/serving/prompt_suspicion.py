"""Detects requests, and parts of prompts, that crash servers. No I/O; the caller passes the time.

A crash interrupts all requests at the server. A part that causes crashes is interrupted at several
server instances and never answered completely, while any other part soon is. Crashes at nearly the
same time have one cause, such as a power loss of a rack, and count as one. Crashes that a later,
more specific part explains do not count against the parts before it, nor do those of one request
that crashes servers by itself count against the parts that it shares.
"""

import itertools
from collections import OrderedDict, defaultdict
from collections.abc import Callable, Iterable

from attrs import define, field, frozen

# Numbers of separate causes of crashes, of a part that was not answered completely since.
NO_RETRY_CAUSES = 2
BAN_CAUSES = 3
SAME_CAUSE_MS = 100.0
INITIAL_BAN_MS = 120_000.0
MAX_BAN_MS = 3_600_000.0
FORGET_AFTER_MS = 600_000.0
ANSWERED_VALID_MS = 60_000.0
# Single requests are not repeated for longer than this.
FORGET_REQUEST_AFTER_MS = 60_000.0
# A server that sends data so long after a connection to it broke has not ended.
SURVIVED_AFTER_MS = 300.0
EVICTION_INTERVAL_MS = 1000.0
MAX_SUSPECTED = 1024
MAX_ANSWERED = 8192


# More specific than any part of a prompt.
WHOLE_REQUEST_POSITION = 1 << 16


@frozen
class Suspect:
    """A part of a prompt that other requests may share, or a whole request.

    :ivar position: the part's index in the prompt; later ones are more specific.
    """

    identity: str
    position: int

    @property
    def is_whole_request(self) -> bool:
        """Whether it is a request, which only its repetitions share."""
        return self.position == WHOLE_REQUEST_POSITION


@frozen
class Crash:
    """A crash of a server instance while it responded.

    :ivar instance: identifies the server process.
    :ivar up_at_ms: when it still accepted a connection; None if that is not known.
    """

    instance: str
    at_ms: float
    up_at_ms: float | None = None


@define
class Suspicion:
    """The crashes and the ban of a suspect.

    :ivar crashes: by instance.
    :ivar ban_ms: duration of the next ban.
    :ivar last_ban_ms: duration of the last one.
    """

    suspect: Suspect
    crashes: dict[str, Crash] = field(factory=dict)
    banned_until_ms: float = 0.0
    ban_ms: float = INITIAL_BAN_MS
    last_ban_ms: float = INITIAL_BAN_MS

    @property
    def last_crash_ms(self) -> float:
        """Return when the last crash was; minus infinity for a ban that was adopted."""
        return max((crash.at_ms for crash in self.crashes.values()), default=float("-inf"))


@frozen
class Ban:
    """A ban of a suspect.

    :ivar left_ms: how long it lasts from now.
    :ivar duration_ms: how long it lasts in all.
    """

    suspect: Suspect
    left_ms: float
    duration_ms: float


def count_causes(crashes: Iterable[Crash]) -> int:
    """Return the number of separate causes.

    Crashes at nearly the same time count as one, unless the later server was up after the earlier
    crash.
    """
    ordered = sorted(crashes, key=lambda crash: crash.at_ms)
    merged = sum(_have_one_cause(*pair) for pair in itertools.pairwise(ordered))
    return len(ordered) - merged


def _have_one_cause(earlier: Crash, later: Crash) -> bool:
    if later.up_at_ms is not None and later.up_at_ms > earlier.at_ms:
        return False
    return later.at_ms - earlier.at_ms < SAME_CAUSE_MS


class PromptSuspicions:
    """Suspects, and those that were recently answered completely."""

    def __init__(self, is_heard_since: Callable[[str, float], bool] | None = None) -> None:
        """Create an empty set.

        :param is_heard_since: whether a server instance has sent data after a time.
        """
        self._is_heard_since = is_heard_since or (lambda instance, at_ms: False)
        self._suspected: OrderedDict[str, Suspicion] = OrderedDict()
        # Those that gained a crash since they were last judged.
        self._unjudged: set[str] = set()
        self._by_instance: defaultdict[str, set[str]] = defaultdict(set)
        self._evicted_ms = float("-inf")
        # Requests and server instances.
        self._cleared: OrderedDict[tuple[str, str], None] = OrderedDict()
        self._last_answered_ms: OrderedDict[str, float] = OrderedDict()

    def record_crash(self, suspect: Suspect, crash: Crash, now_ms: float) -> bool:
        """Record a crash under a suspect; returns whether the crash is new and not cleared."""
        self._evict_expired(now_ms)
        if self.is_cleared(suspect, crash, now_ms):
            return False
        suspicion = self._suspected.setdefault(suspect.identity, Suspicion(suspect))
        if crash.instance in suspicion.crashes:
            return False
        suspicion.crashes[crash.instance] = crash
        self._by_instance[crash.instance].add(suspect.identity)
        self._unjudged.add(suspect.identity)
        self._suspected.move_to_end(suspect.identity)
        while len(self._suspected) > MAX_SUSPECTED:
            self.forget(next(iter(self._suspected)))
        return True

    def is_cleared(self, suspect: Suspect, crash: Crash, now_ms: float) -> bool:
        """Whether a complete answer shows that a suspect has not caused a crash.

        A part that was recently answered completely is not suspected. A whole request may begin to
        crash servers at any time; it has to be answered after the crash, or was already for it.
        """
        if not suspect.is_whole_request:
            return self.was_answered_recently(suspect.identity, now_ms)
        if (suspect.identity, crash.instance) in self._cleared:
            return True
        return self._last_answered_ms.get(suspect.identity, float("-inf")) >= crash.at_ms

    def ban_suspects(self, now_ms: float) -> tuple[Suspect, ...]:
        """Ban the suspects with enough unexplained crashes; returns the newly banned ones."""
        banned = []
        unjudged = [self._suspected[each] for each in self._unjudged if each in self._suspected]
        self._unjudged.clear()
        for suspicion in unjudged:
            if now_ms < suspicion.banned_until_ms or not self._is_guilty(suspicion):
                continue
            if suspicion.last_crash_ms < suspicion.banned_until_ms:
                continue
            suspicion.banned_until_ms = now_ms + suspicion.ban_ms
            suspicion.last_ban_ms = suspicion.ban_ms
            suspicion.ban_ms = min(2 * suspicion.ban_ms, MAX_BAN_MS)
            banned.append(suspicion.suspect)
        return tuple(banned)

    def _is_guilty(self, suspicion: Suspicion) -> bool:
        """Whether the crashes that more specific suspects leave unexplained suffice for a ban."""
        crashes = self._crashes_of(suspicion)
        if suspicion.suspect.is_whole_request:
            return count_causes(crashes.values()) >= BAN_CAUSES
        if count_causes(crashes.values()) < BAN_CAUSES:
            return False
        explained: set[str] = set()
        by_request: set[str] = set()
        others = set().union(*(self._by_instance[instance] for instance in crashes))
        for other in (self._suspected[identity] for identity in others):
            if other.suspect.position <= suspicion.suspect.position:
                continue
            if self._count_causes(other) < NO_RETRY_CAUSES:
                continue
            if other.suspect.is_whole_request:
                by_request = max(by_request, other.crashes.keys() & crashes.keys(), key=len)
            else:
                explained |= other.crashes.keys()
        unexplained = [c for instance, c in crashes.items() if instance not in explained]
        if count_causes(unexplained) < BAN_CAUSES:
            return False
        # One request may crash servers by itself; several that share the part accuse the part.
        rest = [crash for crash in unexplained if crash.instance not in by_request]
        return not by_request or count_causes(rest) >= NO_RETRY_CAUSES

    def _crashes_of(self, suspicion: Suspicion) -> dict[str, Crash]:
        """Return the crashes by instance, without those of servers that have not ended."""
        return {
            instance: crash
            for instance, crash in suspicion.crashes.items()
            if not self._is_heard_since(instance, crash.at_ms + SURVIVED_AFTER_MS)
        }

    def record_answered(self, identities: Iterable[str], now_ms: float) -> tuple[str, ...]:
        """Record parts that were answered completely; returns those that were suspected."""
        cleared = []
        for identity in identities:
            self._last_answered_ms[identity] = now_ms
            self._last_answered_ms.move_to_end(identity)
            suspicion = self._suspected.get(identity)
            if suspicion is not None:
                self._remember_cleared(suspicion)
                self.forget(identity)
                cleared.append(identity)
        while len(self._last_answered_ms) > MAX_ANSWERED:
            self._last_answered_ms.popitem(last=False)
        return tuple(cleared)

    def _remember_cleared(self, suspicion: Suspicion) -> None:
        """Keep which crashes were cleared: peers may still tell of them, with inexact times."""
        for instance in suspicion.crashes:
            self._cleared[(suspicion.suspect.identity, instance)] = None
        while len(self._cleared) > MAX_ANSWERED:
            self._cleared.popitem(last=False)

    def was_answered_recently(self, identity: str, now_ms: float) -> bool:
        """Whether a part was recently answered completely."""
        return now_ms - self._last_answered_ms.get(identity, float("-inf")) < ANSWERED_VALID_MS

    def ban_of(self, identity: str, now_ms: float) -> Ban | None:
        """Return the ban of a suspect that is in force."""
        suspicion = self._suspected.get(identity)
        if suspicion is None or suspicion.banned_until_ms <= now_ms:
            return None
        left_ms = suspicion.banned_until_ms - now_ms
        return Ban(suspicion.suspect, left_ms, suspicion.last_ban_ms)

    def adopt_ban(self, ban: Ban, now_ms: float) -> bool:
        """Put a ban in force that was decided elsewhere; returns whether it is news."""
        suspicion = self._suspected.setdefault(ban.suspect.identity, Suspicion(ban.suspect))
        is_news = suspicion.banned_until_ms <= now_ms
        suspicion.banned_until_ms = max(suspicion.banned_until_ms, now_ms + ban.left_ms)
        suspicion.ban_ms = max(suspicion.ban_ms, min(2 * ban.duration_ms, MAX_BAN_MS))
        return is_news

    def forget(self, identity: str) -> bool:
        """Drop a suspicion; returns whether there was one."""
        suspicion = self._suspected.pop(identity, None)
        if suspicion is None:
            return False
        for instance in suspicion.crashes:
            self._by_instance[instance].discard(identity)
            if not self._by_instance[instance]:
                del self._by_instance[instance]
        return True

    def find(self, identity: str) -> Suspicion | None:
        """Return the suspicion of a part or request; None if there is none."""
        return self._suspected.get(identity)

    def is_repeated(self, identity: str) -> bool:
        """Whether several servers crashed under a suspect."""
        suspicion = self._suspected.get(identity)
        return suspicion is not None and len(suspicion.crashes) >= NO_RETRY_CAUSES

    def replicated(self) -> list[Suspicion]:
        """Return the suspicions that every daemon should have, with their crashes.

        Most requests that were interrupted once are innocent and not repeated.
        """
        return [
            each
            for each in self._suspected.values()
            if not each.suspect.is_whole_request or len(each.crashes) >= NO_RETRY_CAUSES
        ]

    def may_retry(self, identities: Iterable[str]) -> bool:
        """Whether a request with these shared parts that was interrupted may be retried."""
        suspicions = (self._suspected.get(identity) for identity in identities)
        return all(
            each is None
            or each.suspect.is_whole_request
            or self._count_causes(each) < NO_RETRY_CAUSES
            for each in suspicions
        )

    def _count_causes(self, suspicion: Suspicion) -> int:
        return count_causes(self._crashes_of(suspicion).values())

    def banned_for_ms(self, identities: Iterable[str], now_ms: float) -> float:
        """Return how long requests with any of the parts remain banned; 0 when none is."""
        suspicions = (self._suspected.get(identity) for identity in identities)
        until = (each.banned_until_ms for each in suspicions if each is not None)
        return max(0.0, max(until, default=0.0) - now_ms)

    def _evict_expired(self, now_ms: float) -> None:
        """Evict suspects whose last crash is long ago and whose ban has expired."""
        if now_ms - self._evicted_ms < EVICTION_INTERVAL_MS:
            return
        self._evicted_ms = now_ms
        for identity, suspicion in list(self._suspected.items()):
            is_single = suspicion.suspect.is_whole_request and len(suspicion.crashes) == 1
            valid_ms = FORGET_REQUEST_AFTER_MS if is_single else FORGET_AFTER_MS
            if max(suspicion.last_crash_ms + valid_ms, suspicion.banned_until_ms) < now_ms:
                self.forget(identity)
