"""How the weight store was used and which announced loads began, from daemons' logs.

``python -m bench weight_store LOG...`` prints the account of each log.
"""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable, Sequence

import attrs

from bench.promises import caller_of
from loomwind.explain import REQUEST_TYPE, LogLine, read_lines

ORDER_TYPE = "loomwind:order"
STORE_TYPE = "loomwind:weight-store"
REFUSALS = frozenset({"come-back", "hopeless"})
LONG_WAIT_MS = 8000.0
# A model counts as neglected after this many refusals, over at least this long.
MIN_REFUSALS = 4
MIN_REFUSED_SECONDS = 8.0


@attrs.define
class StoreUse:
    """Samples of the leader while models wait for the weight store.

    :ivar blocked: samples in which no place is free although fewer loads than the limit are known.
    """

    samples: int = 0
    limit: int = 0
    known: int = 0
    unknown: int = 0
    queued: int = 0
    blocked: int = 0

    def add(self, line: LogLine) -> None:
        """Add a sample."""
        limit, loading = int(line.get("loads_at_once")), list(line.get("loading"))
        unknown = sum(str(load).endswith(" unknown") for load in loading)
        known = len(loading) - unknown
        self.samples += 1
        self.limit += limit
        self.known += known
        self.unknown += unknown
        self.queued += int(line.get("queued"))
        self.blocked += known < limit <= len(loading)


@attrs.define
class ReturnAccount:
    """Callers that were told when to come back.

    :ivar in_time: those for whose model a load was accepted before they should be back.
    :ivar never: those for whose model no load was accepted after they were told.
    """

    told: int = 0
    in_time: int = 0
    never: int = 0

    def add(self, told_at: float, after_seconds: float, loads: Sequence[float]) -> None:
        """Add a caller.

        :param loads: when loads of its model were accepted, in order of time.
        """
        begun = bisect_left(loads, told_at)
        self.told += 1
        self.never += begun == len(loads)
        self.in_time += begun < len(loads) and loads[begun] <= told_at + after_seconds


@attrs.define
class WeightStoreAccount:
    """The account of one log.

    :ivar store_loads: loads from the weight store that servers accepted after the first request.
    :ivar neglected: models that were refused many times over a long time.
    :ivar never_ordered: of those, the models of which no load was accepted.
    """

    use: StoreUse = attrs.field(factory=StoreUse)
    store_loads: int = 0
    told_short: ReturnAccount = attrs.field(factory=ReturnAccount)
    told_long: ReturnAccount = attrs.field(factory=ReturnAccount)
    neglected: int = 0
    never_ordered: int = 0


def account(lines: Iterable[LogLine]) -> WeightStoreAccount:
    """Return the account of lines in order of time."""
    result = WeightStoreAccount()
    loads: dict[str, list[float]] = defaultdict(list)
    refusals: dict[str, list[LogLine]] = defaultdict(list)
    seen_request = False
    for line in lines:
        seen_request = seen_request or line.kind == REQUEST_TYPE
        model = str(line.get("target")).partition("/")[0]
        if line.kind == STORE_TYPE and line.get("state") == "used" and seen_request:
            result.use.add(line)
        elif line.kind == REQUEST_TYPE and line.get("decision") in REFUSALS:
            refusals[model].append(line)
        elif _is_accepted_load(line):
            loads[model].append(line.time)
            result.store_loads += seen_request and bool(line.get("from_store"))
    for model, refused in refusals.items():
        _add_refusals(result, refused, loads[model])
    return result


def _is_accepted_load(line: LogLine) -> bool:
    is_load = line.kind == ORDER_TYPE and line.get("kind") == "load"
    return is_load and line.get("state") == "accepted" and "/" not in str(line.get("target"))


def _add_refusals(
    result: WeightStoreAccount, refused: Sequence[LogLine], loads: Sequence[float]
) -> None:
    """Add the refusals of one model; a caller counts by what it was told first."""
    told: set[tuple[str, str]] = set()
    for line in refused:
        caller = caller_of(line)
        if line.get("decision") == "come-back" and caller not in told:
            told.add(caller)
            after_ms = float(line.get("after_ms"))
            returns = result.told_short if after_ms <= LONG_WAIT_MS else result.told_long
            returns.add(line.time, after_ms / 1000, loads)
    if len(refused) >= MIN_REFUSALS and refused[-1].time - refused[0].time >= MIN_REFUSED_SECONDS:
        result.neglected += 1
        result.never_ordered += not loads


def weight_store(*logs: str) -> None:
    """Print the account of each log.

    Args:
        logs: files with the output of a run with --log all.
    """
    for log in logs:
        found = account(read_lines([log]))
        use, samples = found.use, max(1, found.use.samples)
        print(f"{log}: {found.store_loads} loads from the weight store")
        print(
            f"  while models queue: limit {use.limit / samples:.1f},"
            f" known loads {use.known / samples:.1f}, unknown {use.unknown / samples:.1f},"
            f" queued {use.queued / samples:.0f},"
            f" blocked by unknown {use.blocked / samples:.2f} of {use.samples}"
        )
        for name, returns in (("up to", found.told_short), ("over", found.told_long)):
            print(
                f"  told {name} {LONG_WAIT_MS / 1000:.0f} s: {returns.told},"
                f" load begun in time {returns.in_time}, never {returns.never}"
            )
        print(
            f"  models refused {MIN_REFUSALS} times over {MIN_REFUSED_SECONDS:.0f} s:"
            f" {found.neglected}, never ordered {found.never_ordered}"
        )
