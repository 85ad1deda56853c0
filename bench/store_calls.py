"""What the calls of the store were for: a table by call, table of rows, and result.

``python -m bench store_calls LOG`` reads the output of a run of the users' bench with
``--log all``, or the daemons' own logs.
"""

from collections import Counter
from collections.abc import Iterable

from loomwind.explain import LogLine, read_lines

STORE_TYPE = "loomwind:store"
CALLS_STATE = "calls"


def calls_by_daemon(lines: Iterable[LogLine]) -> dict[str, Counter[str]]:
    """Return how often each daemon made each call, over all its lives.

    A line has the calls of one life so far, so the newest of each life counts.
    """
    newest: dict[tuple[str, str], Counter[str]] = {}
    for line in lines:
        if line.kind == STORE_TYPE and line.get("state") == CALLS_STATE:
            newest[(line.daemon, str(line.get("life")))] = Counter(line.get("calls"))
    total: dict[str, Counter[str]] = {}
    for (daemon, _), calls in newest.items():
        total.setdefault(daemon, Counter()).update(calls)
    return total


def store_calls(log: str) -> None:
    """Print how often each call was made, by all daemons together and by the busiest one.

    Args:
        log: file with the output of a run with --log all.
    """
    by_daemon = calls_by_daemon(read_lines([log]))
    total: Counter[str] = Counter()
    for calls in by_daemon.values():
        total.update(calls)
    daemons = max(1, len(by_daemon))
    print(f"{len(by_daemon)} daemons, {total.total()} calls, {total.total() / daemons:.1f} each")
    print(f"{'call':8} {'table':18} {'result':14} {'calls':>7} {'a daemon':>9} {'most':>6}")
    for name, count in total.most_common():
        call, table, result = name.split(" ")
        most = max(calls[name] for calls in by_daemon.values())
        print(f"{call:8} {table:18} {result:14} {count:7} {count / daemons:9.2f} {most:6}")
