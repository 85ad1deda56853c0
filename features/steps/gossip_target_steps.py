"""Steps about the peers to which daemons forward gossip messages."""

from typing import Any, cast

import msgspec
from behave import given, then, when

from loomwind.leadership.election import Election
from loomwind.leadership.lease import LeaseHolder
from loomwind.serving.peers import PEER_KEY_PREFIX, PeerEntry, PeerTable
from loomwind.serving.pool import ServerPool
from loomwind.serving.ports import Snapshot, StoredRow
from loomwind.settings import BoundSettings


class ElectionStub:
    """An election stub that stores the attributes set by a peer table."""

    daemon_count = 1
    extra_wait_seconds = 0.0


def peer_table(name: str, rows: Snapshot) -> PeerTable:
    """Return a daemon's peer table built from all rows."""
    table = PeerTable(
        LeaseHolder(name, f"life-{name}", name),
        cast(Election, ElectionStub()),
        ServerPool(BoundSettings()),
    )
    table.on_rows(rows, is_full=True)
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


@when("one of them sends a message, and each daemon forwards it once to its gossip targets")
def step_forwards(context: Any) -> None:
    tables: dict[str, PeerTable] = context.tables
    table = peer_table(context.first, Snapshot(context.rows, 1))
    context.hops_by_address = {context.first: 0} if tables else {}
    pending = [context.first] if tables else []
    assert tables or table.gossip_targets() == []
    while pending:
        sender = pending.pop(0)
        for peer in tables[sender].gossip_targets():
            if peer.address not in context.hops_by_address:
                context.hops_by_address[peer.address] = context.hops_by_address[sender] + 1
                pending.append(peer.address)


@then("all {count:d} have received it, in at most {hops:d} hops")
def step_all_received(context: Any, count: int, hops: int) -> None:
    assert len(context.hops_by_address) == count, len(context.hops_by_address)
    assert max(context.hops_by_address.values(), default=0) <= hops, max(
        context.hops_by_address.values()
    )
