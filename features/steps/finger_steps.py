"""Steps about the fingers by which daemons pass word on."""

from typing import Any, cast

import msgspec
from behave import given, then, when

from loomwind.leadership.election import Election
from loomwind.leadership.lease import LeaseHolder
from loomwind.serving.peers import PEER_KEY_PREFIX, PeerEntry, PeerTable
from loomwind.serving.pool import ServerPool
from loomwind.serving.ports import Snapshot, Store, StoredRow
from loomwind.settings import BoundSettings


class NoElection:
    """An election that only takes what a table of daemons tells it."""

    daemons = 1
    longer_seconds = 0.0


def peer_table(name: str, rows: Snapshot) -> PeerTable:
    """Return what a daemon knows by the rows of all."""
    table = PeerTable(
        cast(Store, None),
        "daemons",
        LeaseHolder(name, f"life-{name}", name),
        "z",
        cast(Election, NoElection()),
        ServerPool(BoundSettings()),
    )
    table.on_rows(rows, whole=True)
    return table


@given("the rows of {count:d} daemons")
def step_rows(context: Any, count: int) -> None:
    names = [f"daemon-{number}" for number in range(count)]
    rows = tuple(
        StoredRow(PEER_KEY_PREFIX + name, 1, msgspec.json.encode(PeerEntry(name, "z", name)))
        for name in names
    )
    context.first = names[0] if names else "unknown"
    context.tables = {name: peer_table(name, Snapshot(rows, 1)) for name in names}
    context.rows = rows


@when("one of them passes a word on, and each that hears it first does the same")
def step_passes_on(context: Any) -> None:
    tables: dict[str, PeerTable] = context.tables
    alone = peer_table(context.first, Snapshot(context.rows, 1))
    context.heard = {context.first: 0} if tables else {}
    telling = [context.first] if tables else []
    assert tables or alone.fingers() == []
    while telling:
        teller = telling.pop(0)
        for peer in tables[teller].fingers():
            if peer.address not in context.heard:
                context.heard[peer.address] = context.heard[teller] + 1
                telling.append(peer.address)


@then("all {count:d} have heard it, in at most {hops:d} hops")
def step_all_heard(context: Any, count: int, hops: int) -> None:
    assert len(context.heard) == count, len(context.heard)
    assert max(context.heard.values(), default=0) <= hops, max(context.heard.values())
