"""Where a day's worth was lost: by kind of request from the report, by reason from the logs.

``python -m bench losses REPORT LOG`` reads what the users' bench wrote for one day with
``--report`` and ``--log all``.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from pathlib import Path

import attrs
import msgspec

from bench.promises import promise_account
from loomwind.explain import REQUEST_TYPE, LogLine, read_lines

LEAST_PRICE = 0.001
WAITED_SECONDS = 0.05


class ClassRow(msgspec.Struct):
    """A kind of request in the bench's report; ``worth`` is the share that was earned."""

    name: str
    n: int
    in_aim: int
    late: int
    refused: int
    failed: int
    worth: float


class Report(msgspec.Struct):
    """What is read of a report.

    :param prices: name, amount, and share of what was owed.
    """

    classes: list[ClassRow]
    prices: list[tuple[str, float, float]]


@attrs.frozen
class Reason:
    """Why a request was not served in full.

    :ivar route: the route's name on that day; empty where a line does not say.
    """

    route: str
    text: str


def reason_of(line: LogLine) -> str | None:
    """Return the reason that a line gives, or None."""
    decision = str(line.get("decision"))
    adapter = "adapter" if "/" in str(line.get("target") or "") else "model"
    match decision:
        case "come-back":
            return f"told to come back, {adapter}"
        case "hopeless":
            return f"could not be served, {adapter}"
        case "late":
            waited = float(line.get("waited_for_model") or 0.0) > WAITED_SECONDS
            return f"late, waited for its {adapter}" if waited else "late at its server"
        case "paused":
            return "paused between events"
        case "out-of-time" | "caller-left":
            return f"{decision}, {'waiting' if line.get('waiting') else 'at a server'}"
    return None


def reasons(lines: Iterable[LogLine]) -> Counter[Reason]:
    """Count the reasons by route; a request's route is told by any of its lines."""
    by_request: dict[str, list[LogLine]] = defaultdict(list)
    for line in lines:
        if line.kind == REQUEST_TYPE:
            by_request[str(line.get("request_id"))].append(line)
    counts: Counter[Reason] = Counter()
    for own in by_request.values():
        route = next((str(line.get("route")) for line in own if line.get("route")), "")
        counts.update(Reason(route, text) for line in own if (text := reason_of(line)))
    return counts


def losses(report: str, log: str) -> None:
    """Print what each kind of request earned, the prices, and the reasons by route.

    Args:
        report: file that the bench wrote with --report.
        log: file with the output of a run with --log all.
    """
    told = msgspec.json.decode(Path(report).read_bytes(), type=Report)
    print(f"{'kind':18} {'asked':>6} {'in aim':>7} {'late':>5} {'refused':>8} {'failed':>7} earned")
    for row in told.classes:
        counts = f"{row.n:6} {row.in_aim:7} {row.late:5} {row.refused:8} {row.failed:7}"
        print(f"{row.name:18} {counts} {row.worth:.3f}")
    for name, amount, share in told.prices:
        if share >= LEAST_PRICE:
            print(f"-{share:.4f}  {amount:10.1f} {name}")
    lines = read_lines([log])
    for reason, count in reasons(lines).most_common():
        print(f"{count:5}  {reason.route or '(any)':12} {reason.text}")
    account = promise_account(lines)
    print(f"{account.promised:5}  told to come back, {account.broken} of them refused again")
    print(f"{account.hopeless:5}  told that they can't be served, {account.returned} came back")
