"""Learns how many requests a server takes at once, from those that it rejects. No I/O.

The slots that a server states are an upper bound only. The limit begins low, rises while the server
is full and rejects nothing, and falls with each rejection for want of a place. Each step is small
enough that a wrong one costs no more rejections than the server tolerates.
"""

from collections import deque

from attrs import define, field, frozen

from loomwind.clock import MS_PER_SECOND

# A server rejects at once what it has no place for; this leaves time for a busy daemon to say so.
ACCEPTED_AFTER_MS = 100.0
RAISE_INTERVAL_MS = 2000.0
# The end of a request may not be known yet when another one is counted. As proof that the server
# takes so many, it is full so often, or for as long as a request takes to be rejected.
MIN_FILLS = 3
# Each raise that is refuted doubles the interval, up to this.
MAX_RAISE_INTERVAL_MS = 32_000.0
# What a server took so long ago doesn't count against a rejection.
SHOWN_VALID_MS = 10_000.0


@frozen
class _Shown:
    """A number of requests that the server had at once and rejected none of."""

    count: int
    at_ms: float


@frozen
class _Granted:
    """Permits whose requests may still be rejected."""

    count: int
    at_ms: float


@define
class LearnedLimit:
    """The number of requests that a server is given at once.

    :ivar max_rejections: the rejections in a second that the server stands.
    :ivar changed_ms: when the limit was last changed.
    :ivar fills: how often the server got as many requests as the limit allows since then.
    :ivar first_full_ms: when it first did.
    :ivar full_since_ms: since when it has had so many; None if it has fewer.
    :ivar refuted: the lowest limit that was too high; None if there is none.
    :ivar is_substitute: whether another ledger may grant permits for the server too.
    """

    slots: int
    max_rejections: int
    limit: int
    changed_ms: float
    fills: int = 0
    first_full_ms: float = 0.0
    full_since_ms: float | None = None
    refuted: int | None = None
    is_substitute: bool = False
    _shown: deque[_Shown] = field(factory=deque)
    _rejected_ms: deque[float] = field(factory=deque)
    _granted: deque[_Granted] = field(factory=deque)
    _raise_interval_ms: float = RAISE_INTERVAL_MS
    _unexplained_ms: float = float("-inf")

    @classmethod
    def begin(cls, slots: int, max_rejections: int, now_ms: float) -> "LearnedLimit":
        """Return the limit of a server that nothing is known of."""
        learned = cls(slots, max_rejections, 1, now_ms)
        learned.limit = min(slots, learned.step)
        return learned

    @property
    def step(self) -> int:
        """Return by how much the limit rises, so that rejections of all of it are tolerated."""
        return max(1, self.max_rejections // 2)

    @property
    def shown(self) -> int:
        """Return how many requests the server has had at once without rejecting any; 0 for none."""
        return self._shown[0].count if self._shown else 0

    def set_slots(self, slots: int) -> None:
        """Change the upper bound."""
        self.slots = slots
        self.limit = min(self.limit, slots)

    def adopt(self, shown: int, now_ms: float) -> None:
        """Use what another ledger has learned of the server."""
        shown = min(shown, self.slots)
        if shown > self.shown:
            self._add_shown(shown, now_ms)
            self.limit = max(self.limit, shown)

    def observe(self, held: int, now_ms: float) -> None:
        """Record the requests in progress; raises the limit when the server takes them all."""
        if held > self.limit and self.refuted is None:
            self.limit = min(self.slots, held)
        self._count_fills(held, now_ms)
        if not self._is_proven(now_ms):
            return
        self._add_shown(self.limit, now_ms)
        if self.limit < self.slots and now_ms - self.changed_ms >= self._interval_ms():
            self._change(self._raised(), now_ms)

    def _count_fills(self, held: int, now_ms: float) -> None:
        if held < self.limit:
            self.full_since_ms = None
        elif self.full_since_ms is None:
            self.full_since_ms = now_ms
            self.fills += 1
            if self.fills == 1:
                self.first_full_ms = now_ms

    def _is_proven(self, now_ms: float) -> bool:
        """Whether the server has had as many requests as the limit allows, and rejected none."""
        if self.full_since_ms is not None and now_ms - self.full_since_ms >= ACCEPTED_AFTER_MS:
            return True
        return self.fills >= MIN_FILLS and now_ms - self.first_full_ms >= ACCEPTED_AFTER_MS

    def _add_shown(self, count: int, now_ms: float) -> None:
        while self._shown and self._shown[-1].count <= count:
            self._shown.pop()
        self._shown.append(_Shown(count, now_ms))
        if self.refuted is not None and count >= self.refuted:
            self.refuted = None
            self._raise_interval_ms = RAISE_INTERVAL_MS

    def _interval_ms(self) -> float:
        is_refuted_next = self.refuted is not None and self.limit + 1 >= self.refuted
        if is_refuted_next and self.limit >= self.shown:
            return self._raise_interval_ms
        return ACCEPTED_AFTER_MS

    def _raised(self) -> int:
        raised = min(self.slots, self.limit + self.step)
        if self.refuted is None:
            return raised
        return max(self.limit + 1, min(raised, self.refuted - 1, self.shown))

    def _change(self, limit: int, now_ms: float) -> None:
        self.limit = limit
        self.changed_ms = now_ms
        self.fills = 0
        self.full_since_ms = None

    def record_rejections(self, count: int, in_progress: int, now_ms: float) -> None:
        """Lower the limit after rejections for want of a place.

        :param in_progress: requests that the server may have all the same.
        """
        self._rejected_ms.extend([now_ms] * count)
        while self._shown and self._shown[0].at_ms <= now_ms - SHOWN_VALID_MS:
            self._shown.popleft()
        if self.limit > self.shown:
            self._raise_interval_ms = min(2 * self._raise_interval_ms, MAX_RAISE_INTERVAL_MS)
        if self.limit <= self.shown or self.is_substitute:
            self._unexplained_ms = now_ms
        self.refuted = self.limit
        self._change(max(1, min(self.limit - 1, in_progress)), now_ms)

    def record_refusals(self, count: int, now_ms: float) -> None:
        """Record rejections for another cause, which neither lower the limit nor prove it."""
        self._rejected_ms.extend([now_ms] * count)
        self._unexplained_ms = now_ms
        self._change(self.limit, now_ms)

    def record_granted(self, count: int, now_ms: float) -> None:
        """Record permits for requests that the server has not taken yet."""
        self._granted.append(_Granted(count, now_ms))

    def room(self, permits: int, now_ms: float) -> int:
        """Return how many more permits may be granted now.

        After a rejection, or beside another ledger, so few that the server stands it if all their
        requests are rejected too; half as many if the limit does not explain the rejection.

        :param permits: those that are granted already.
        """
        self._expire(now_ms)
        room = self.limit - permits
        if self._rejected_ms or self.is_substitute:
            is_recent = now_ms - self._unexplained_ms < MS_PER_SECOND
            is_explained = not (is_recent or self.is_substitute)
            tolerated = self.max_rejections if is_explained else (self.max_rejections + 1) // 2
            at_risk = sum(each.count for each in self._granted)
            room = min(room, tolerated - len(self._rejected_ms) - at_risk)
        return max(0, room)

    def _expire(self, now_ms: float) -> None:
        while self._rejected_ms and self._rejected_ms[0] <= now_ms - MS_PER_SECOND:
            self._rejected_ms.popleft()
        while self._granted and self._granted[0].at_ms <= now_ms - ACCEPTED_AFTER_MS:
            self._granted.popleft()
