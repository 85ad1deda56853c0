"""Crashes, pauses and failures of servers that repeat responses, beside restarts and changes."""

import functools
import math
import random
import time
from collections import Counter
from collections.abc import Callable

from attrs import define, field

from features.support.pause_faults import PauseFaults
from features.support.pool_site import MODEL_SERVICE, PoolSite
from features.support.processes import free_port
from features.support.soak_record import Interval, SoakRecord

WORK_SECONDS = 0.05
PLAIN_PLACES = 2
MODEL_PLACES = 5
REPEAT_SHARES = (0.03, 0.1, 0.3, 0.6)
PAUSES_BETWEEN_ACTIONS_SECONDS = (0.1, 0.7)
MAX_FAULTS_AT_ONCE = 3
FAILURE_SECONDS = (0.3, 1.2)
ROW_OUTLIVES_SECONDS = (0.0, 2.0)
ERRORS = "errors"
REJECTIONS = "shed"


class SurplusSite(PoolSite):
    """A site whose servers keep their ports for as long as they have their names.

    :ivar ports: by the name of the server.
    """

    def __init__(self) -> None:
        super().__init__()
        self.ports: dict[str, int] = {}

    def _add_server(self, name: str, service: str, arguments: list[str]) -> None:
        port = self.ports.setdefault(name, free_port())
        super()._add_server(name, service, [*arguments, "--port", str(port)])


@define
class Repeats:
    """Tells servers to repeat responses, each with a seed of its own.

    :ivar share: the share of the responses that are repeated.
    :ivar instances: the instance ids of the servers, by name.
    :ivar sent: the numbers of copies that processes sent, by the name of the moment.
    """

    site: PoolSite
    seed: int
    event_seconds: float
    share: float
    configured: int = 0
    instances: dict[str, str] = field(factory=dict)
    sent: Counter[str] = field(factory=Counter)

    def set_faults(self, name: str, **faults: object) -> None:
        """Set further faults of a server, which has few places and repeats responses anyway."""
        server = self.site.servers[name]
        self.configured += 1
        server.fault(
            repeat_share=self.share,
            repeat_seed=self.seed * 1000 + self.configured,
            event_seconds=self.event_seconds,
            work_seconds=WORK_SECONDS,
            places=MODEL_PLACES if server.service == MODEL_SERVICE else PLAIN_PLACES,
            **faults,
        )

    def begin(self, name: str) -> None:
        """Set the faults of a server that has just started."""
        self.instances[name] = self.site.servers[name].state()["instance"]
        self.set_faults(name)

    def count(self, name: str) -> None:
        """Count the copies of a server that is about to end."""
        self.sent.update(self.site.servers[name].state()["repeats"])


class SurplusFaults(PauseFaults):
    """Strikes servers and daemons; several faults may come at once."""

    def __init__(
        self, site: PoolSite, source: random.Random, repeats: Repeats, record: SoakRecord
    ) -> None:
        """Create the faults; the daemons of the site run already."""
        failure_source = random.Random(f"{repeats.seed} failures")
        super().__init__(site, source, failure_source, repeats.event_seconds, record)
        self._repeats = repeats
        self._modes: dict[str, str] = {}

    def strike(self) -> float:
        """Inject some faults, run what is due, and return the pause in seconds."""
        self._run_due()
        for _ in range(self._source.randint(1, MAX_FAULTS_AT_ONCE)):
            self._source.choice(self._faults())()
        self._restart_due()
        return self._source.uniform(*PAUSES_BETWEEN_ACTIONS_SECONDS)

    def _faults(self) -> tuple[Callable[[], None], ...]:
        return (
            self._suspend_servers,
            *[self._crash_server] * 2,
            *[self._fail_requests] * 2,
            *[self._change_configuration] * 2,
            self._stop_daemon,
            *[self._reload_daemon] * 2,
        )

    def end(self) -> None:
        """End all faults."""
        for timer in list(self._suspended.values()):
            timer.join()
        while self._due:
            self._run_due()
            time.sleep(PAUSES_BETWEEN_ACTIONS_SECONDS[0])
        super().end()

    def _free_servers(self) -> list[str]:
        """Return the servers that are neither suspended nor failing."""
        busy = {*self._suspended, *self._modes}
        return sorted(name for name in self._site.servers if name not in busy)

    def _crash_server(self) -> None:
        """Kill a server and start it again at the same address as a new instance.

        Its old entry is listed for a while beside the new one.
        """
        names = self._free_servers()
        if not names:
            return
        name = self._source.choice(names)
        server, instance = self._site.servers[name], self._repeats.instances[name]
        self._repeats.count(name)
        began_s = time.time()
        server.process.kill()
        if server.service == MODEL_SERVICE:
            self._site.add_model_server(name, "")
        else:
            self._site.add_plain_server(name, server.service)
        self._repeats.begin(name)
        self._record.failing_servers[name].append(Interval(began_s, time.time()))
        self._note(f"{name} crashes: {instance} is {self._repeats.instances[name]} now")
        due = time.monotonic() + self._source.uniform(*ROW_OUTLIVES_SECONDS)
        self._due.append((due, functools.partial(self._remove_row, instance)))

    def _remove_row(self, instance: str) -> None:
        self._site.apply(remove=[{"table": "servers", "key": instance}])

    def _fail_requests(self) -> None:
        """Let a server answer all requests with 500, or reject them all, for a while."""
        names = self._free_servers()
        if not names:
            return
        name, mode = self._source.choice(names), self._source.choice((ERRORS, REJECTIONS))
        self._modes[name] = mode
        if mode == ERRORS:
            self._record.failing_servers[name].append(Interval(time.time(), math.inf))
        self._repeats.set_faults(name, mode=mode)
        self._note(f"{name} fails new requests: {mode}")
        due = time.monotonic() + self._source.uniform(*FAILURE_SECONDS)
        self._due.append((due, functools.partial(self._end_mode, name)))

    def _end_mode(self, name: str) -> None:
        """End the failures of a server once it runs."""
        if name in self._suspended:
            self._due.append((time.monotonic(), functools.partial(self._end_mode, name)))
            return
        self._repeats.set_faults(name)
        if self._modes.pop(name) == ERRORS:
            intervals = self._record.failing_servers[name]
            intervals[-1] = Interval(intervals[-1].start_s, time.time())
        self._note(f"{name} serves new requests again")
