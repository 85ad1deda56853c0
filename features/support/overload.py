"""A site whose servers have few places, and load that is a multiple of what they hold."""

import json
import time
from collections import Counter

from attrs import define, field, frozen

from features.support.caller import Request
from features.support.open_loop import Outcome, send_at_rate
from features.support.pool_site import PoolSite
from features.support.processes import wait_until

PLACES = 4
STREAM_SECONDS = 0.4
EVENTS = 8
MODEL = "m1"
BACK_AFTER_SECONDS = 2.0
DEADLINE_SECONDS = 6.0
# How long daemons have to learn that servers fall over: contact-ms of the deployments.
NOTICE_SECONDS = 3.0
NOTICE_LOAD = 0.2
WINDOW_SECONDS = 1.0


@frozen
class Load:
    """A load and what came of it.

    :ivar seconds: its length.
    :ivar run_seconds: how long servers ran a request, on average; longer on a busy machine.
    :ivar possible: requests that the servers could have served in that time.
    :ivar falls: servers that fell over, each time counted.
    :ivar rejections: the most rejections in a second, by server.
    """

    outcomes: list[Outcome]
    seconds: float
    run_seconds: float
    possible: float
    falls: int
    rejections: Counter[str]

    @property
    def served(self) -> int:
        """Return how many requests got a complete response before the load ended.

        Streams that began just before its end are allowed their time.
        """
        ends_s = self.seconds + self.run_seconds
        done = (each for each in self.outcomes if each.begun_s + each.seconds <= ends_s)
        return sum(each.status == 200 for each in done)

    @property
    def unserved(self) -> list[Outcome]:
        """Return the requests that got no complete response, however late."""
        return [each for each in self.outcomes if each.status != 200]

    def summary(self) -> str:
        """Return the figures in a line."""
        statuses = dict(Counter(each.status for each in self.outcomes))
        bodies = Counter(each.body for each in self.outcomes if each.status != 200)
        slowest = max((each.seconds for each in self.outcomes), default=0.0)
        return (
            f"falls {self.falls}, served {self.served} of {self.possible:.0f} possible "
            f"and {len(self.outcomes)} offered, statuses {statuses}, at most "
            f"{max(self.rejections.values(), default=0)} rejections in a second at a server, "
            f"slowest {slowest:.2f} s, {bodies.most_common(4)}"
        )


@define
class OverloadRig:
    """Servers with few places.

    :ivar seed: of the arrivals.
    """

    site: PoolSite
    seed: int = 1
    names: list[str] = field(factory=list)

    def add_servers(self, count: int, slots: int = PLACES) -> None:
        """Start model servers.

        :param slots: the number of places that their rows say they have.
        """
        for number in range(count):
            name = f"server-{number + 1}"
            self.names.append(name)
            self.site.add_model_server(name, MODEL, slots=slots)

    def set_faults(self, max_rejections: int = 0, **faults: object) -> None:
        """Limit the servers' places; with ``max_rejections`` they also fall over."""
        for name in self.names:
            self.set_faults_of(name, max_rejections, **faults)

    def set_faults_of(self, name: str, max_rejections: int, **faults: object) -> None:
        """Limit the places of one server."""
        self.site.servers[name].fault(
            places=PLACES,
            max_rejections=max_rejections,
            event_seconds=STREAM_SECONDS / EVENTS,
            back_after_seconds=BACK_AFTER_SECONDS,
            **faults,
        )

    def play(self, load: float, seconds: float) -> Load:
        """Offer a multiple of what the servers hold to all daemons in turn."""
        rate_per_s = len(self.names) * PLACES / STREAM_SECONDS
        states = self._states()
        begun_at_s = time.time()
        outcomes = send_at_rate(self.requests(), load * rate_per_s, seconds, self.seed)
        later = self._states()
        falls = sum(
            len(later[name]["fall_times_s"]) - len(states[name]["fall_times_s"]) for name in later
        )
        rejections = Counter(
            {
                name: most_in_window(
                    later[name]["rejection_times_s"][len(states[name]["rejection_times_s"]) :]
                )
                for name in later
            }
        )
        run_seconds = self._run_seconds(begun_at_s)
        possible = min(len(outcomes), len(self.names) * PLACES / run_seconds * seconds)
        return Load(outcomes, seconds, run_seconds, possible, falls, rejections)

    def _run_seconds(self, since_s: float) -> float:
        """Return the mean duration of the servers' complete runs since a Unix time."""
        seconds = []
        for name in self.names:
            begun: dict[str, float] = {}
            for line in (self.site.folder / f"{name}.runs").read_text().splitlines():
                fields = json.loads(line)
                if fields["event"] == "begun":
                    begun[fields["request_id"]] = fields["at_s"]
                elif fields["event"] == "done" and begun.get(fields["request_id"], 0.0) >= since_s:
                    seconds.append(fields["at_s"] - begun[fields["request_id"]])
        return sum(seconds) / len(seconds) if seconds else STREAM_SECONDS

    def requests(self) -> list[Request]:
        """Return a request to each daemon."""
        return [
            self.site.request(daemon, "draft", MODEL, EVENTS, DEADLINE_SECONDS)
            for daemon in self.site.daemons.values()
        ]

    def _states(self) -> dict[str, dict[str, list[float]]]:
        """Return the servers' states, once those that fell over are back."""
        servers = [self.site.servers[name] for name in self.names]
        wait_until(lambda: all(each.is_up() for each in servers), "the servers are back")
        return {name: self.site.servers[name].state() for name in self.names}


def most_in_window(times_s: list[float]) -> int:
    """Return the largest number of times that lie within a second."""
    most = 0
    for index, at_s in enumerate(times_s):
        within = [each for each in times_s[index:] if each < at_s + WINDOW_SECONDS]
        most = max(most, len(within))
    return most
