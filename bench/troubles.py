"""Plays each kind of trouble alone, then chosen pairs, on the users' bench, and lists broken rules.

``python -m bench troubles --program PATH --sites A.toml,B.toml --folder DIR``

A day has the trouble twice: early, and in the middle while traffic is steady. Days are written as
files in the bench's own form, so that one that broke a rule can be kept and played again.
"""

import itertools
import random
import subprocess
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import attrs

from bench.compare import PlayedDay, parse_result

FIRST_AT_S = 3.0
SECOND_AT_S = 19.0
PAIR_GAP_S = 0.8
PLANNED_KINDS = frozenset(
    {
        "release",
        "scale_out",
        "scale_in",
        "roll_term",
        "add_nodes",
        "config_change",
        "config_storm",
        "big_config",
        "model_shift",
        "hup",
    }
)


@attrs.frozen
class Fault:
    """One kind of trouble in one variant.

    :ivar fields: further fields of the entry, as TOML.
    """

    kind: str
    how: str = ""
    fields: str = ""

    @property
    def name(self) -> str:
        """Return a label that is safe as the name of a file."""
        return "-".join([self.kind, *self.how.split()])

    def entry(self, at_s: float) -> str:
        """Return the entry of a day that begins the trouble at a time."""
        parts = [f"at = {at_s}", f'kind = "{self.kind}"']
        parts += [f'how = "{self.how}"'] if self.how else []
        parts += [self.fields] if self.fields else []
        return "{ " + ", ".join(parts) + " }"


@attrs.frozen
class Closing:
    """What strikes all machines at the end of a day."""

    kind: str
    how: str = ""

    def entry(self) -> str:
        """Return the line of a day."""
        how = f', how = "{self.how}"' if self.how else ""
        return f'closing = {{ kind = "{self.kind}", down_s = 1.5{how} }}'


def _variants(kind: str, hows: str, fields: str = "") -> list[Fault]:
    """Return a trouble in each variant of a list; ``-`` is the plain one."""
    return [Fault(kind, "" if how == "-" else how, fields) for how in hows.split(",")]


SERVER_TROUBLES = (
    *_variants("srv_crash", "-,dark,gone,domain", "share = 0.3, for_s = 4.0"),
    *_variants("srv_slow", "-", "share = 0.3, for_s = 6.0"),
    *_variants("srv_grey", "errors,shed,busy,hang,reset,mute,slow", "share = 0.3, for_s = 5.0"),
    *_variants("release", "-", "share = 0.4, gap_s = 1.0"),
    *_variants("scale_out", "-", "share = 0.3, gap_s = 1.0"),
    *_variants("scale_in", "-,spot,reclaim", "share = 0.3"),
    *_variants("answer_lost", "-,reset", "share = 0.8, x = 0.2, for_s = 5.0"),
    *_variants("garble", "-,extra,extra late,unframed,early", "share = 0.8, x = 0.1, for_s = 5.0"),
    *_variants("applied_late", "orders,all", "x = 0.5, for_s = 8.0"),
    *_variants("srv_cut", "-,fronts,some,one_way,reset", "share = 0.3, for_s = 4.0"),
    *_variants("replace_with_reuse", "-,drain,dark", "share = 0.3"),
)
MACHINE_TROUBLES = (
    *_variants("node_kill", "-,power", "share = 0.4, for_s = 3.0"),
    *_variants("node_kill", "leader race drain,leader hard,meet drain", 'on = "core", count = 1'),
    *_variants("node_freeze", "-,leader,leader race drain hard", "count = 1, for_s = 4.0"),
    *_variants("node_slow", "-", "share = 0.4, for_s = 5.0"),
    *_variants("roll_term", "-,busy", "share = 0.6, gap_s = 1.0"),
    *_variants("roll_term", "remove", "share = 0.3, gap_s = 1.0"),
    *_variants("herd_kill", "-,power", "share = 0.7, for_s = 2.0"),
    *_variants("herd_kill", "off", 'on = "core", for_s = 2.0'),
    *_variants("add_nodes", "-"),
    *_variants("after_ack_kill", "-,kill,timed,taken", "for_s = 3.0"),
    *_variants("clock_step", "ahead,back", "share = 0.5, x = 3000.0, for_s = 5.0"),
    *_variants("hup", "-", "share = 1.0, gap_s = 0.5"),
)
NETWORK_TROUBLES = (
    *_variants("reset_conns", "-", "share = 0.5, x = 0.7"),
    *_variants("core_cut", "leader,split,behind,all,near,one_way", "count = 2, for_s = 5.0"),
    *_variants("core_cut", "refuse,reset,both,seeds,lure,relieve", "count = 2, for_s = 5.0"),
    *_variants("node_cut", "-,all,servers", "share = 0.3, for_s = 5.0"),
    *_variants("lossy", "-", "x = 0.05, for_s = 5.0"),
)
STORE_TROUBLES = (
    *_variants("platform_down", "silent,busy,reset,silent lapse", "for_s = 5.0, share = 0.0"),
    *_variants(
        "platform_down",
        "nodes,nodes busy,nodes many,nodes reset,nodes leader",
        "for_s = 6.0, share = 0.5",
    ),
    *_variants("platform_slow", "-", "x = 60.0, for_s = 5.0"),
    *_variants("platform_lost", "-,late", "x = 0.5, for_s = 5.0"),
    *_variants("platform_compact", "-,stale,drain", "x = 4.0, for_s = 8.0"),
    *_variants("config_change", "route,weights,timeout,idle"),
    *_variants("config_storm", "-", "for_s = 5.0, gap_s = 0.3"),
    *_variants("big_config", "-", "count = 300"),
)
LOAD_TROUBLES = (
    *_variants("burst", "-", "x = 2.0, for_s = 4.0"),
    *_variants("shift", "-", "share = 0.6, for_s = 5.0"),
    *_variants("retry_abuse", "-", "x = 3.0, share = 0.5, for_s = 5.0"),
    *_variants("give_up", "-", "share = 0.5, for_s = 5.0"),
    *_variants("model_shift", "-", "count = 2, for_s = 4.0"),
)
FAULTS = (
    *SERVER_TROUBLES,
    *MACHINE_TROUBLES,
    *NETWORK_TROUBLES,
    *STORE_TROUBLES,
    *LOAD_TROUBLES,
)
CLOSINGS = (
    Closing("power_off_all"),
    Closing("kill_all"),
    Closing("power_off_all", "timed"),
    Closing("kill_all", "timed"),
)


@attrs.frozen
class Day:
    """A day of our own."""

    name: str
    troubles: tuple[Fault, ...]
    seed: int
    closing: Closing | None = None

    def text(self) -> str:
        """Return the day in the bench's form."""
        plan: list[str] = []
        faults: list[str] = []
        for number, trouble in enumerate(self.troubles):
            into = plan if trouble.kind in PLANNED_KINDS else faults
            for at_s in (FIRST_AT_S, SECOND_AT_S):
                into.append(trouble.entry(at_s + number * PAIR_GAP_S))
        lines = [
            "[[day]]",
            f'name = "{self.name}"',
            'slot = "trouble"',
            f"seed = {self.seed}",
            "one = 0.8",
            "zero = 0.3",
            "goal = { floor = 0.0 }",
            "labels = []",
            f"plan = [ {', '.join(plan)} ]",
            f"faults = [ {', '.join(faults)} ]",
        ]
        lines += [self.closing.entry()] if self.closing else []
        return "\n".join(lines) + "\n"


@attrs.frozen
class Verdict:
    """What a day showed."""

    site: str
    day: Day
    result: PlayedDay | None
    output: str


def single_days(chooser: random.Random) -> list[Day]:
    """Return a day for each trouble alone; every fourth ends with a loss of all machines."""
    closings = itertools.cycle((None, None, None, *CLOSINGS))
    return [
        Day(trouble.name, (trouble,), chooser.randrange(1, 1 << 40), closing)
        for trouble, closing in zip(FAULTS, closings, strict=False)
    ]


def pair_days(chooser: random.Random, count: int) -> list[Day]:
    """Return days with two troubles that overlap, drawn at random."""
    days = []
    for _ in range(count):
        pair = tuple(chooser.sample(FAULTS, 2))
        name = "+".join(trouble.name for trouble in pair)
        closing = chooser.choice((None, None, *CLOSINGS))
        days.append(Day(name, pair, chooser.randrange(1, 1 << 40), closing))
    return days


def play(program: str, site: str, day: Day, folder: Path) -> Verdict:
    """Play one day; its file stays in the folder."""
    path = folder / f"{day.name}.{day.seed}.toml"
    path.write_text(day.text())
    command = [program, "run", site, str(path), "--why", f"trouble matrix: {day.name}"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    output = done.stdout + done.stderr
    try:
        result: PlayedDay | None = parse_result(output)
    except ValueError:
        result = None
    return Verdict(Path(site).stem, day, result, output)


def troubles(
    program: str,
    sites: str | tuple[str, ...],
    folder: str,
    pairs: int = 0,
    only: str = "",
    start: int = 1,
    jobs: int = 4,
) -> None:
    """Play the matrix in the working tree and print a line for each day.

    Args:
        program: path of the users' bench.
        sites: site files, joined by commas.
        folder: where the days and the output of broken ones are kept.
        pairs: days of two troubles at random beside the single ones.
        only: play just the days whose names contain this.
        start: decides the seeds; the same start gives the same days.
        jobs: how many days are played at once.
    """
    listed = sites.split(",") if isinstance(sites, str) else list(sites)
    target = Path(folder).resolve()
    target.mkdir(parents=True, exist_ok=True)
    chooser = random.Random(start)
    days = single_days(chooser) + pair_days(chooser, pairs)
    chosen = [day for day in days if only in day.name]
    broken = 0
    with ThreadPoolExecutor(jobs) as pool:
        work = [(program, site, day, target) for site in listed for day in chosen]
        for verdict in pool.map(lambda item: play(*item), work):
            broken += _show(verdict, target)
    print(f"{len(work)} days, {broken} with a rule broken or not played")


def _show(verdict: Verdict, folder: Path) -> bool:
    """Print a day's line; returns whether it is a finding, whose output is kept."""
    result = verdict.result
    finding = result is None or bool(result.broken)
    worth = f"{result.worth:6.3f}" if result else "   ---"
    rules = result.broken if result else "not played"
    label = f"{verdict.site:18} {verdict.day.name:45} --seed {verdict.day.seed:14}"
    print(f"{label} worth {worth} {rules}", flush=True)
    if finding:
        path = folder / f"{verdict.site}.{verdict.day.name}.{verdict.day.seed}.txt"
        path.write_text(verdict.output)
    return finding
