"""What callers got, over played days: ``python -m bench callers FOLDER...``.

Each folder has the files of one version: NAME.json, written by the users' bench with --report, and
NAME.log, its output with --log all. Names begin with the site and a dash. The tries of a caller are
linked by the part of the prompt that is its own.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from pathlib import Path

import attrs
import msgspec

from bench.promises import caller_of
from loomwind.explain import REQUEST_TYPE, LogLine, read_lines

# Decisions that refuse a request for want of its model, or of a place at a server that has it.
REFUSALS = frozenset({"come-back", "hopeless", "no-place"})
# A refusal within this time of the request's arrival counts as one that comes at once.
AT_ONCE_SECONDS = 0.5


class KindRow(msgspec.Struct):
    """Requests of one kind in the bench's report; times are from a caller's first try."""

    name: str
    n: int
    in_aim: int
    late: int
    refused: int
    failed: int
    p50_ms: float
    p99_ms: float


class DayReport(msgspec.Struct):
    """What is read of a report.

    :param tries: the attempts of all callers.
    :param G: credit less prices, as a share of what was owed.
    """

    classes: list[KindRow]
    tries: int
    G: float | None
    breaks: dict[str, object]


@attrs.define
class KindAccount:
    """Callers of one kind over several days.

    :ivar p50_ms: of each day; the time from a caller's first try to its answer's first event.
    """

    asked: int = 0
    served: int = 0
    p50_ms: list[float] = attrs.field(factory=list)
    p99_ms: list[float] = attrs.field(factory=list)

    def add(self, row: KindRow) -> None:
        """Add the callers of one day."""
        self.asked += row.n
        self.served += row.in_aim + row.late
        self.p50_ms.append(row.p50_ms)
        self.p99_ms.append(row.p99_ms)


@attrs.define
class RefusalAccount:
    """Refusals for want of a model or place over several days.

    :ivar held_seconds: how long each refused request was held.
    :ivar first: refusals of callers that had not been refused before.
    :ivar again: refusals of callers that had been.
    """

    held_seconds: list[float] = attrs.field(factory=list)
    first: int = 0
    again: int = 0

    def add(self, lines: Iterable[LogLine]) -> None:
        """Add the refusals of one day."""
        refused: set[tuple[str, str]] = set()
        held = {
            str(line.get("request_id")): float(line.get("seconds") or 0.0)
            for line in lines
            if line.kind == REQUEST_TYPE and line.get("decision") == "given-up"
        }
        for line in lines:
            if line.kind != REQUEST_TYPE or line.get("decision") not in REFUSALS:
                continue
            self.held_seconds.append(held.get(str(line.get("request_id")), 0.0))
            caller = caller_of(line)
            if caller in refused:
                self.again += 1
            else:
                self.first += 1
            refused.add(caller)

    @property
    def at_once(self) -> int:
        """Return how many refusals came at once."""
        return sum(seconds <= AT_ONCE_SECONDS for seconds in self.held_seconds)


@attrs.define
class SiteAccount:
    """The account of one version on one site."""

    kinds: dict[str, KindAccount] = attrs.field(factory=lambda: defaultdict(KindAccount))
    refusals: RefusalAccount = attrs.field(factory=RefusalAccount)
    tries: int = 0
    worth: list[float] = attrs.field(factory=list)
    broken: Counter[str] = attrs.field(factory=Counter)

    def add(self, report: DayReport, lines: Sequence[LogLine]) -> None:
        """Add one day."""
        for row in report.classes:
            self.kinds[row.name].add(row)
        self.refusals.add(lines)
        self.tries += report.tries
        self.worth.append(report.G or 0.0)
        self.broken.update(report.breaks)

    def print(self, title: str) -> None:
        """Print the account."""
        asked = sum(kind.asked for kind in self.kinds.values())
        served = sum(kind.served for kind in self.kinds.values())
        held = sorted(self.refusals.held_seconds)
        print(f"{title}: {len(self.worth)} days, worth {mean(self.worth):.3f}")
        print(
            f"  served {served} of {asked} ({served / asked:.4f}), {self.tries / asked:.3f} tries"
        )
        print(
            f"  refused {self.refusals.first} first and {self.refusals.again} again,"
            f" {self.refusals.at_once} of {len(held)} within {AT_ONCE_SECONDS} s;"
            f" held {percentile(held, 0.5):.2f} s (p50), {percentile(held, 0.99):.2f} s (p99)"
        )
        for name, kind in self.kinds.items():
            print(
                f"  {name:16} {kind.served:6} of {kind.asked:6} ({kind.served / kind.asked:.4f})"
                f"  p50 {mean(kind.p50_ms):7.0f} ms  p99 {mean(kind.p99_ms):7.0f} ms"
            )
        if self.broken:
            print(f"  rules broken: {dict(self.broken)}")


def mean(values: Sequence[float]) -> float:
    """Return the mean, or 0 without values."""
    return sum(values) / len(values) if values else 0.0


def percentile(ordered: Sequence[float], part: float) -> float:
    """Return the value below which a part of the ordered values lies, or 0 without values."""
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0


def callers(*folders: str) -> None:
    """Print what callers got, by site, for the days that all folders have.

    Args:
        folders: one for each version, with NAME.json and NAME.log of each day.
    """
    names = [{path.stem for path in Path(folder).glob("*.json")} for folder in folders]
    common = sorted(set.intersection(*names)) if names else []
    accounts: dict[tuple[str, str], SiteAccount] = defaultdict(SiteAccount)
    for name in common:
        for folder in folders:
            report = Path(folder, f"{name}.json").read_bytes()
            lines = read_lines([str(Path(folder, f"{name}.log"))])
            account = accounts[name.partition("-")[0], folder]
            account.add(msgspec.json.decode(report, type=DayReport), lines)
    for (site, folder), account in accounts.items():
        account.print(f"{site}, {Path(folder).name}")
