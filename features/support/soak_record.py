"""What a soak has done and seen: attempts of callers, runs at servers, and lives of daemons."""

import json
from collections import defaultdict
from pathlib import Path
from typing import Any

from attrs import define, field

from features.support.caller import Reply
from features.support.streams import Stream

SUMMARY_FIELDS = (
    "decision",
    "closed_by",
    "phase",
    "server",
    "software",
    "version",
    "source",
    "reason",
    "error",
    "status",
    "seconds",
    "sends",
    "events",
)


@define(frozen=True)
class SoakRoute:
    """A route that the callers use.

    :ivar is_repeatable: whether a request may run more than once.
    :ivar is_permanent: whether every configuration has it.
    """

    name: str
    is_stream: bool = False
    is_repeatable: bool = False
    is_permanent: bool = True


@define(frozen=True)
class Attempt:
    """One request to a daemon, with times in seconds since the epoch.

    :ivar rested_s: how long its connection had been idle; 0 for a new one.
    :ivar is_behind_end: whether an earlier reply had ended its connection.
    """

    route: SoakRoute
    daemon: str
    reply: Reply
    timeout_s: float
    sent_at_s: float
    ended_at_s: float
    rested_s: float = 0.0
    is_behind_end: bool = False

    @property
    def request_id(self) -> str:
        """Return the id of the request."""
        return self.reply.request_id

    @property
    def is_answered(self) -> bool:
        """Whether it has a complete reply."""
        return bool(self.reply.status) and self.reply.is_complete


@define
class StreamRecord:
    """A stream and the route that it was on."""

    route: SoakRoute
    stream: Stream


@define
class Run:
    """A run of a request at a server, with times in seconds since the epoch.

    :ivar ended_at_s: None when its server ended before it.
    """

    server: str
    begun_at_s: float
    ended_at_s: float | None = None


@define(frozen=True)
class Interval:
    """A time during which a process stood still, in seconds since the epoch."""

    start_s: float
    end_s: float

    def overlaps(self, start_s: float, end_s: float) -> bool:
        """Whether it has a part of a span of time."""
        return self.start_s < end_s and start_s < self.end_s


def covered_s(intervals: list[Interval], start_s: float, end_s: float) -> float:
    """Return how much of a span of time the intervals cover together."""
    total_s, reached_s = 0.0, start_s
    for each in sorted(intervals, key=lambda interval: interval.start_s):
        from_s, until_s = max(each.start_s, reached_s), min(each.end_s, end_s)
        if until_s > from_s:
            total_s += until_s - from_s
            reached_s = until_s
    return total_s


@define
class DaemonLife:
    """One process of a daemon, and the signals that it got."""

    started_at_s: float
    terminated_at_s: float | None = None
    killed_at_s: float | None = None
    suspended: list[Interval] = field(factory=list)

    @property
    def stopping_from_s(self) -> float | None:
        """When it could notice that it was terminated; None if it was not."""
        if self.terminated_at_s is None:
            return None
        at_s = self.terminated_at_s
        return next((i.end_s for i in self.suspended if i.start_s <= at_s < i.end_s), at_s)


@define
class SoakRecord:
    """Everything that the checks of a soak need.

    :ivar events: time and description of each fault.
    :ivar idle_limits_s: the idle limits of all configurations.
    :ivar route_timeouts_s: the timeouts of all routes in all configurations.
    :ivar stalled_servers: when each server stood still, suspended or held up by the machine.
    :ivar failing_servers: when new streams failed at each server.
    :ivar own_ends: daemons that ended without a signal, or not as they should.
    :ivar not_recovered: what did not come back after the faults.
    :ivar shut_down_inside: connections that a daemon closed inside a request as it stopped.
    """

    folder: Path
    grace_s: float
    attempts: list[Attempt] = field(factory=list)
    streams: list[StreamRecord] = field(factory=list)
    events: list[tuple[float, str]] = field(factory=list)
    lives: defaultdict[str, list[DaemonLife]] = field(factory=lambda: defaultdict(list))
    idle_limits_s: list[float] = field(factory=list)
    route_timeouts_s: list[float] = field(factory=list)
    stalled_servers: defaultdict[str, list[Interval]] = field(factory=lambda: defaultdict(list))
    failing_servers: defaultdict[str, list[Interval]] = field(factory=lambda: defaultdict(list))
    own_ends: list[str] = field(factory=list)
    not_recovered: list[str] = field(factory=list)
    shut_down_inside: list[str] = field(factory=list)
    runs: defaultdict[str, list[Run]] = field(factory=lambda: defaultdict(list))
    lines: defaultdict[str, list[str]] = field(factory=lambda: defaultdict(list))

    def life_at(self, daemon: str, at_s: float) -> DaemonLife:
        """Return the latest life of a daemon that had begun at a time."""
        lives = self.lives[daemon]
        return next((life for life in reversed(lives) if life.started_at_s <= at_s), lives[0])

    def read_runs(self) -> None:
        """Read the runs and stalls of all servers, also of those that have ended."""
        for path in sorted(self.folder.glob("*.runs")):
            open_runs: dict[str, Run] = {}
            for line in path.read_text().splitlines():
                entry = json.loads(line)
                request_id, at_s = entry["request_id"], entry["at_s"]
                if entry["event"] == "stalled":
                    self.stalled_servers[path.stem].append(Interval(at_s - entry["seconds"], at_s))
                elif entry["event"] == "begun":
                    open_runs[request_id] = Run(path.stem, at_s)
                    self.runs[request_id].append(open_runs[request_id])
                else:
                    open_runs[request_id].ended_at_s = at_s

    def read_logs(self) -> None:
        """Read the daemons' log lines about the requests of callers, by request id."""
        ids = {attempt.request_id for attempt in self.attempts}
        for path in sorted(self.folder.glob("daemon-*.log")):
            for line in path.read_text().splitlines():
                entry = _decode(line)
                if entry.get("request_id") in ids:
                    self.lines[entry["request_id"]].append(_summary(path.stem, entry))
                if entry.get("reason") == "shutdown" and entry.get("is_request_open"):
                    self.shut_down_inside.append(f"{path.stem}: {line}")


def _decode(line: str) -> dict[str, Any]:
    """Return a log entry; empty for other lines and for one that a killed process began."""
    is_entry = line.startswith("{") and line.endswith("}")
    return json.loads(line) if is_entry else {}


def _summary(process: str, entry: dict[str, Any]) -> str:
    """Return the fields of a log entry that tell what happened."""
    shown = [str(entry[name]) for name in SUMMARY_FIELDS if entry.get(name) not in (None, "")]
    timestamp = entry.get("timestamp", 0.0)
    return f"{process} {timestamp:.3f} {' | '.join(shown)}"
