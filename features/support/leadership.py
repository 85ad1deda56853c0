"""Records which daemons lead at which time, to find two that lead at once."""

import threading
import time

from attrs import define, field

from features.support.pool_site import PoolDaemonProcess


@define
class Term:
    """A span in which a daemon has certainly led under one fencing token.

    :ivar first_s: when the first metrics page that says so had arrived.
    :ivar last_s: when the last one was asked for.
    """

    daemon: str
    fence: float
    first_s: float
    last_s: float

    def overlaps(self, other: "Term") -> bool:
        """Whether both led at one moment."""
        return max(self.first_s, other.first_s) <= min(self.last_s, other.last_s)


@define
class LeadershipRecord:
    """Asks daemons by turns whether they lead, from :meth:`start` to :meth:`finish`.

    A daemon that leads under a fencing token has led under it since it said so before: had another
    one taken the lease in between, it would have a new token. So spans that overlap are no artifact
    of the order in which the daemons are asked.
    """

    _daemons: list[PoolDaemonProcess]
    terms: list[Term] = field(factory=list)
    started_s: float = field(factory=time.monotonic)
    _ended: threading.Event = field(factory=threading.Event)
    _thread: threading.Thread | None = None

    def start(self) -> None:
        """Begin to ask, in a thread."""
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def finish(self) -> None:
        """Stop asking."""
        self._ended.set()
        if self._thread is not None:
            self._thread.join()

    def _run(self) -> None:
        while not self._ended.is_set():
            for daemon in self._daemons:
                self._ask(daemon)

    def _ask(self, daemon: PoolDaemonProcess) -> None:
        asked_s = time.monotonic()
        samples = dict(line.rsplit(" ", 1) for line in daemon.metrics().splitlines() if line)
        if samples.get("loomwind_controller") != "1.0":
            return
        fence = float(samples["loomwind_lease_fence"])
        known = (t for t in self.terms if (t.daemon, t.fence) == (daemon.name, fence))
        term = next(known, None)
        if term is None:
            self.terms.append(Term(daemon.name, fence, time.monotonic(), asked_s))
        else:
            term.last_s = asked_s

    def simultaneous(self) -> list[tuple[Term, Term]]:
        """Return the pairs of terms of different daemons that overlap."""
        pairs = [(a, b) for i, a in enumerate(self.terms) for b in self.terms[i + 1 :]]
        return [(a, b) for a, b in pairs if a.daemon != b.daemon and a.overlaps(b)]
