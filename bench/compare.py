"""Compares two versions of the product on the users' bench, day by day over the same seeds.

``python -m bench compare --program PATH --sites A.toml,B.toml --first COMMIT --second COMMIT``

Each version is checked out into a folder of its own. Days are paired by site, name and seed; the
table gives the mean difference of worth with its 95 % confidence interval, by site and by day.
"""

import json
import math
import random
import re
import statistics
import subprocess
from collections import defaultdict
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from msgspec import Struct

NORMAL_95_PERCENT = 1.96
RESULT_LINE = re.compile(
    r"^(\S+)(?: --seed \d+)?\s+\d+/\d+\s+(\S+)\s+(\S+)\s+(\S+)\s+(\S+)\s+(\S+)\s"
)
PRICE_LINE = re.compile(r"^  -(\d+\.\d+)\s+\S+ (.+)$")
BROKEN_MARK = "BROKEN"
DAYS = "quiet-1,trouble-1,scale-1,trouble-2,scale-2,trouble-3"


class PlayedDay(Struct, frozen=True):
    """What the bench says of one day.

    :param worth: credit less prices, as a share of what was owed.
    :param prices: what was deducted, by cause.
    :param broken: the rules that were broken; empty when none was.
    """

    score: float
    worth: float
    served: float
    refused: float
    failed: float
    prices: dict[str, float]
    broken: str = ""


class Played(Struct, frozen=True):
    """One day of one version."""

    site: str
    day: str
    seed: int
    version: str
    result: PlayedDay


class Difference(Struct, frozen=True):
    """Mean of paired differences with half of the confidence interval."""

    mean: float
    half_width: float
    pairs: int

    def __str__(self) -> str:
        return f"{self.mean:+.4f} ± {self.half_width:.4f} over {self.pairs}"


def parse_result(text: str) -> PlayedDay:
    """Return the result of a day from what the bench printed.

    :raises ValueError: the text has no result.
    """
    prices: dict[str, float] = {}
    found: re.Match[str] | None = None
    broken = ""
    for line in text.splitlines():
        if found is None and (match := RESULT_LINE.match(line)):
            found = match
            broken = line.partition(BROKEN_MARK)[2].strip(" :")
        if match := PRICE_LINE.match(line):
            prices[match[2]] = float(match[1])
    if found is None:
        raise ValueError(f"no result in {text[-300:]!r}")
    return PlayedDay(
        score=float(found[2]),
        worth=float(found[3]),
        served=float(found[4]),
        refused=float(found[5]),
        failed=float(found[6]),
        prices=prices,
        broken=broken,
    )


def difference(first: list[float], second: list[float]) -> Difference:
    """Return the mean of ``second - first``, pair by pair."""
    deltas = [after - before for before, after in zip(first, second, strict=True)]
    spread = statistics.stdev(deltas) if len(deltas) > 1 else 0.0
    half = NORMAL_95_PERCENT * spread / math.sqrt(len(deltas))
    return Difference(statistics.fmean(deltas), half, len(deltas))


def check_out(commit: str, folder: Path) -> Path:
    """Return a clone of this repository at a commit."""
    found = subprocess.run(
        ["git", "rev-parse", "--short", commit], check=True, capture_output=True, text=True
    )
    target = folder / found.stdout.strip()
    if not target.exists():
        subprocess.run(["git", "clone", "--quiet", ".", str(target)], check=True)
        subprocess.run(["git", "-C", str(target), "checkout", "--quiet", target.name], check=True)
    return target


def play(program: str, site: str, day: str, seed: int, version: str, folder: Path) -> Played:
    """Play one day of one version."""
    command = [program, "run", site, day, "--seed", str(seed), "--why", "compare versions"]
    done = subprocess.run(command, cwd=folder, capture_output=True, text=True, check=False)
    return Played(Path(site).stem, day, seed, version, parse_result(done.stdout + done.stderr))


def compare(
    program: str,
    sites: str,
    first: str,
    second: str,
    folder: str,
    days: str = DAYS,
    seeds: int = 3,
    start: int = 1,
    jobs: int = 4,
    report: str = "",
    plot: str = "",
) -> None:
    """Play the same days with two versions and print the differences.

    Args:
        program: path of the users' bench.
        sites: site files, joined by commas.
        first: commit of the version before.
        second: commit of the version after.
        folder: where the versions are checked out; not below /tmp.
        days: names of days, joined by commas.
        seeds: how many seeds for each day.
        start: decides the seeds; the same start gives the same seeds.
        jobs: how many days are played at once.
        report: file for all results as JSON; none without it.
        plot: file for a picture of the differences; none without it.
    """
    first, second = str(first), str(second)
    Path(folder).mkdir(parents=True, exist_ok=True)
    program = str(Path(program).resolve())
    checkouts = {version: check_out(version, Path(folder)) for version in (first, second)}
    for checkout in checkouts.values():
        subprocess.run([program, "build"], cwd=checkout, check=True, capture_output=True)
    chooser = random.Random(start)
    numbers = [chooser.randrange(1, 1 << 40) for _ in range(seeds)]
    paths = [str(Path(site).resolve()) for site in _listed(sites)]
    with ThreadPoolExecutor(jobs) as pool:
        futures = [
            pool.submit(play, program, site, day, seed, version, checkout)
            for site in paths
            for day in _listed(days)
            for seed in numbers
            for version, checkout in checkouts.items()
        ]
        played = [future.result() for future in futures]
    differences = print_table(played, first, second)
    if plot:
        from bench.plot import plot_differences

        plot_differences(differences, Path(plot))
    if report:
        Path(report).write_text(json.dumps([_plain(item) for item in played], indent=1))


def _listed(value: str | tuple[str, ...]) -> list[str]:
    """Return the names of a list; the command line turns some lists into tuples."""
    return value.split(",") if isinstance(value, str) else [str(item) for item in value]


def _plain(item: Played) -> dict[str, object]:
    result = item.result
    return {
        "site": item.site,
        "day": item.day,
        "seed": item.seed,
        "version": item.version,
        "score": result.score,
        "worth": result.worth,
        "broken": result.broken,
    }


def print_table(played: list[Played], first: str, second: str) -> dict[str, Difference]:
    """Print the differences by site, by day, and by price; returns those of worth."""
    differences: dict[str, Difference] = {}
    groups: dict[str, list[tuple[PlayedDay, PlayedDay]]] = defaultdict(list)
    by_key = {(p.site, p.day, p.seed, p.version): p.result for p in played}
    for item in played:
        if item.version == first:
            after = by_key[(item.site, item.day, item.seed, second)]
            for group in (item.site, f"{item.site} {item.day}"):
                groups[group].append((item.result, after))
    for name, pairs in sorted(groups.items()):
        worth = difference([a.worth for a, _ in pairs], [b.worth for _, b in pairs])
        served = difference([a.served for a, _ in pairs], [b.served for _, b in pairs])
        differences[name] = worth
        mean = statistics.fmean(b.worth for _, b in pairs)
        print(f"{name:32} worth {mean:.3f} {worth}; served {served.mean:+.4f}")
    for item in played:
        if item.result.broken:
            print(f"broken: {item.version} {item.site} {item.day} --seed {item.seed}", end=" ")
            print(item.result.broken)
    _print_prices(groups)
    return differences


def _print_prices(groups: dict[str, list[tuple[PlayedDay, PlayedDay]]]) -> None:
    for name, pairs in sorted(groups.items()):
        if " " in name:
            continue
        causes = {cause for a, b in pairs for cause in (*a.prices, *b.prices)}
        for cause in sorted(causes):
            before = statistics.fmean(a.prices.get(cause, 0.0) for a, _ in pairs)
            after = statistics.fmean(b.prices.get(cause, 0.0) for _, b in pairs)
            if max(before, after) >= 0.002:
                print(f"{name:18} price {cause:50} {before:.4f} -> {after:.4f}")
