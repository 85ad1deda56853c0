"""Detection time and false alarms of the failure detector, with and without each kind of evidence.

A simulation on a virtual clock that steps the product's own detector: ten daemons, heartbeats every
half second with random delay. Events: a process is killed (its host refuses connections), a host
falls silent, and the link between two daemons is cut for a while though both live.
"""

import random

import msgspec
from msgspec import Struct

from bench.statistics import quantiles
from loomwind import constants
from loomwind.membership.detector import Detector, DetectorSettings, MemberState
from loomwind.messages import MemberInfo, VoterId

DAEMONS = 10
STEP_SECONDS = 0.05
EVENT_AT_SECONDS = 5.0
RUN_SECONDS = 20.0
LOSS = 0.02
CUT_SECONDS = (1.0, 8.0)


class Variant(Struct, frozen=True):
    """Which evidence counts."""

    name: str
    trust_refusals: bool
    indirect_probes: bool


class DetectionResult(Struct, frozen=True):
    """Figures of one variant over all runs.

    :param false_gone: observers that held a live daemon for gone, of all observer and run pairs.
    """

    variant: str
    runs: int
    killed_p50: float
    killed_p99: float
    silent_p50: float
    silent_p99: float
    cuts: int
    false_gone: int
    probes_sent: int


VARIANTS = (
    Variant("plain time-outs", False, False),
    Variant("refusals", True, False),
    Variant("probes by neighbours", False, True),
    Variant("refusals and probes", True, True),
)


def _member(number: int) -> MemberInfo:
    return MemberInfo(VoterId(f"daemon-{number}", "1"), "cell", f"zone-{number % 3}", "address")


class _World:
    """One observer's view of one subject, with what the network does to them."""

    def __init__(self, variant: Variant, source: random.Random) -> None:
        self._random = source
        self._variant = variant
        self._subject = _member(1)
        self._next_beat = source.uniform(0, constants.HEARTBEAT_INTERVAL_SECONDS)
        self.probes = 0
        self.detector = Detector(
            DetectorSettings(
                constants.SUSPECT_AFTER_SECONDS,
                constants.GONE_AFTER_SECONDS,
                variant.trust_refusals,
                variant.indirect_probes,
            )
        )
        self.detector.record_heartbeat(self._subject, 0.0)

    def run(self, event: str, cut_seconds: float) -> float | None:
        """Return when the observer held the subject for gone; None if never."""
        now = 0.0
        while now < RUN_SECONDS:
            now += STEP_SECONDS
            after = now - EVENT_AT_SECONDS
            dead = event in ("killed", "silent") and after >= 0
            cut = event == "cut" and 0 <= after < cut_seconds
            if now >= self._next_beat:
                self._next_beat = now + constants.HEARTBEAT_INTERVAL_SECONDS
                self._beat(now, dead, cut, event)
            for member in self.detector.tick(now):
                if member.state is MemberState.SUSPECT:
                    self._probe(now, dead)
                if member.state is MemberState.GONE:
                    return after
        return None

    def _beat(self, now: float, dead: bool, cut: bool, event: str) -> None:
        if dead and event == "killed":
            self.detector.record_connection_refused(self._subject.identity)
        elif not dead and not cut and self._random.random() > LOSS:
            self.detector.record_heartbeat(self._subject, now)
        elif self.detector.state_of(self._subject.identity) is MemberState.SUSPECT:
            self._probe(now, dead)

    def _probe(self, now: float, dead: bool) -> None:
        """Ask a neighbour, which is not behind the cut."""
        if self._variant.indirect_probes:
            self.probes += 1
            if not dead and self._random.random() > LOSS:
                self.detector.record_reached_by_peer(self._subject.identity, now)


def _measure(variant: Variant, runs: int, seed: int) -> DetectionResult:
    source = random.Random(seed)
    times: dict[str, list[float]] = {"killed": [], "silent": []}
    false_gone = probes = 0
    for _ in range(runs):
        for event in ("killed", "silent", "cut"):
            world = _World(variant, source)
            found = world.run(event, source.uniform(*CUT_SECONDS))
            probes += world.probes
            if event == "cut":
                false_gone += found is not None
            elif found is not None:
                times[event].append(found)
    killed, silent = quantiles(times["killed"]), quantiles(times["silent"])
    return DetectionResult(
        variant=variant.name,
        runs=runs,
        killed_p50=killed.p50,
        killed_p99=killed.p99,
        silent_p50=silent.p50,
        silent_p99=silent.p99,
        cuts=runs,
        false_gone=false_gone,
        probes_sent=probes,
    )


def run(runs: int = 1000, seed: int = 1) -> None:
    """Print a line of JSON for each variant.

    Args:
        runs: how often each event happens.
        seed: of delays, losses and lengths of cuts.
    """
    for variant in VARIANTS:
        print(msgspec.json.encode(_measure(variant, runs, seed)).decode(), flush=True)
