"""The leader lease in a row of the store, and orders that are executed late.

Two daemons compete for one row. A daemon acquires the lease only after it has expired by its
holder's own clock. A holder renews the lease with a write conditional on the row version that it
wrote last, and keeps its fencing token. A renewal may finish after the lease has expired. A former
holder may lead again by a renewal as long as no other daemon has written the row; it keeps its
token, and so all that it knows of the servers.

The leader sends load orders to one model server, whose memory holds one model. Orders may be
delayed indefinitely. The server may restart, which resets its revision and fencing token.

The search shows that the expected revision alone prevents an order of an older leader from being
executed after one of a newer leader. The fencing token is a second safeguard, for servers that get
orders without a revision.

Code: ``loomwind/leadership/lease.py`` and ``loomwind/placement/server_tracker.py``.
"""

from collections.abc import Iterator
from typing import Any, NamedTuple

from specification.model import Model, Mutation, State, Step

DAEMONS = (0, 1)
MODELS = ("x", "y")
MAX_VERSION = 4
MAX_ORDERS = 3
NOBODY = -1


class Daemon(NamedTuple):
    """A daemon.

    :param good: whether its lease is valid by its own clock.
    :param term: the row version at its last acquisition, 0 before the first.
    :param expects: the row version that its pending acquisition expects, -1 without one.
    :param wrote: the row version of its last write, 0 once it knows of a newer one.
    :param other_wrote: history variable: another daemon has written the row since ``term``.
    """

    good: bool = False
    fence: int = 0
    term: int = 0
    expects: int = -1
    wrote: int = 0
    other_wrote: bool = False


class Order(NamedTuple):
    """A load order in flight."""

    model: str
    fence: int
    term: int
    instance: int
    revision: int


class Server(NamedTuple):
    """A model server; ``term`` is the newest term of an order executed by this instance."""

    instance: int = 0
    revision: int = 0
    fence: int = 0
    held: tuple[str, ...] = ()
    term: int = 0


class Ghost(NamedTuple):
    """History variables for the invariants, not part of the protocol.

    :param older_after_newer: an older leader's order was executed after a newer leader's.
    :param other_life: an order was executed by an instance other than the intended one.
    :param renewed_after_other: a daemon led on in a term after another one had written the row.
    """

    older_after_newer: bool = False
    other_life: bool = False
    renewed_after_other: bool = False


MUTATIONS = (
    Mutation(
        "wait-out-lease", "the lease is acquired only after it has expired by its holder's clock"
    ),
    Mutation("expected-row-version", "the row is written only if its version is the expected one"),
    Mutation(
        "renew-own-row", "a renewal succeeds only on the row version that the holder wrote last"
    ),
    Mutation("rising-fence", "each leader has a higher fencing token than the one before"),
    Mutation(
        "expected-revision", "an order is executed only at the server revision it was based on"
    ),
    Mutation("same-instance", "an order is executed only by the server instance it was sent to"),
)

FIELDS = ("row", "daemons", "orders", "given", "server", "ghost")
INITIAL: State = ((1, NOBODY), (Daemon(), Daemon()), (), 0, Server(), Ghost())


def _put(items: tuple[Any, ...], index: int, item: object) -> tuple[Any, ...]:
    return (*items[:index], item, *items[index + 1 :])


def _wrote(daemons: tuple[Any, ...], d: int, writer: Daemon) -> tuple[Any, ...]:
    """Return all daemons after one of them has written the row."""
    others = tuple(daemon._replace(other_wrote=daemon.term > 0) for daemon in daemons)
    return _put(others, d, writer)


def transitions(state: State, disabled: frozenset[str]) -> Iterator[Step]:
    """Return the steps that are possible in a state."""
    for d in DAEMONS:
        yield from _lease_steps(state, d, disabled)
        yield from _send_order(state, d)
    for index in range(len(state[2])):
        yield from _execute_order(state, index, disabled)
    yield from _restart(state)


def _lease_steps(state: State, d: int, disabled: frozenset[str]) -> Iterator[Step]:
    (version, holder), daemons, orders, given, server, ghost = state
    daemon = daemons[d]
    yield from _renew(state, d, disabled)
    if daemon.good:
        ended = _put(daemons, d, daemon._replace(good=False))
        yield f"lease-ends({d})", ((version, holder), ended, orders, given, server, ghost)
        return
    holder_expired = holder == NOBODY or not daemons[holder].good
    if holder == d:
        return
    if (
        daemon.expects < 0
        and version < MAX_VERSION
        and (holder_expired or "wait-out-lease" in disabled)
    ):
        deciding = _put(daemons, d, daemon._replace(expects=version))
        yield f"decide-to-take({d})", ((version, holder), deciding, orders, given, server, ghost)
    if daemon.expects < 0:
        return
    if daemon.expects == version or "expected-row-version" in disabled:
        taken = version + 1
        fence = 1 if "rising-fence" in disabled else taken
        leading = _wrote(daemons, d, Daemon(True, fence, taken, -1, taken))
        if taken <= MAX_VERSION:
            yield f"take({d})", ((taken, d), leading, orders, given, server, ghost)
    else:
        failed = _put(daemons, d, daemon._replace(expects=-1, wrote=0))
        yield f"conflict({d})", ((version, holder), failed, orders, given, server, ghost)


def _renew(state: State, d: int, disabled: frozenset[str]) -> Iterator[Step]:
    """A daemon renews its lease, in time or so late that the lease has already expired."""
    (version, holder), daemons, orders, given, server, ghost = state
    daemon = daemons[d]
    if daemon.wrote == 0 or version >= MAX_VERSION:
        return
    if daemon.wrote == version or "renew-own-row" in disabled:
        renewed = daemon._replace(good=True, wrote=version + 1)
        row = (version + 1, d)
        seen = ghost._replace(renewed_after_other=ghost.renewed_after_other or daemon.other_wrote)
        yield f"renew({d})", (row, _wrote(daemons, d, renewed), orders, given, server, seen)
        late = renewed._replace(good=False)
        yield f"renew-late({d})", (row, _wrote(daemons, d, late), orders, given, server, seen)
    else:
        lost = _put(daemons, d, daemon._replace(good=False, wrote=0))
        yield f"renewal-conflict({d})", ((version, holder), lost, orders, given, server, ghost)


def _send_order(state: State, d: int) -> Iterator[Step]:
    """The leader reads the server and orders a load if its memory is free."""
    row, daemons, orders, given, server, ghost = state
    daemon = daemons[d]
    if not daemon.good or given >= MAX_ORDERS or server.held:
        return
    for model in MODELS:
        order = Order(model, daemon.fence, daemon.term, server.instance, server.revision)
        sent = tuple(sorted((*orders, order)))
        yield f"order({d},{model})", (row, daemons, sent, given + 1, server, ghost)


def _execute_order(state: State, index: int, disabled: frozenset[str]) -> Iterator[Step]:
    row, daemons, orders, given, server, ghost = state
    order = orders[index]
    rest = orders[:index] + orders[index + 1 :]
    yield f"lost({order.model})", (row, daemons, rest, given, server, ghost)
    same_instance = order.instance == server.instance
    if not same_instance and "same-instance" not in disabled:
        return
    if order.revision != server.revision and "expected-revision" not in disabled:
        return
    if order.fence < server.fence:
        return
    held = tuple(sorted({*server.held, order.model}))
    term = max(server.term, order.term)
    done = Server(server.instance, server.revision + 1, order.fence, held, term)
    seen = ghost._replace(
        older_after_newer=ghost.older_after_newer or order.term < server.term,
        other_life=ghost.other_life or not same_instance,
    )
    yield f"carry-out({order.model})", (row, daemons, rest, given, done, seen)


def _restart(state: State) -> Iterator[Step]:
    row, daemons, orders, given, server, ghost = state
    if server.instance == 0:
        yield "restart", (row, daemons, orders, given, Server(instance=1), ghost)


def _one_valid_lease(state: dict[str, Any]) -> bool:
    daemons: tuple[Daemon, ...] = state["daemons"]
    return sum(daemon.good for daemon in daemons) <= 1


def _fences_are_unique(state: dict[str, Any]) -> bool:
    led = [daemon for daemon in state["daemons"] if daemon.term]
    return len({daemon.fence for daemon in led}) == len(led)


def _memory_fits(state: dict[str, Any]) -> bool:
    server: Server = state["server"]
    return len(server.held) <= 1


def _no_older_leader_after_newer(state: dict[str, Any]) -> bool:
    ghost: Ghost = state["ghost"]
    return not ghost.older_after_newer


def _orders_reach_own_instance(state: dict[str, Any]) -> bool:
    ghost: Ghost = state["ghost"]
    return not ghost.other_life


def _no_other_write_in_term(state: dict[str, Any]) -> bool:
    """A leader that regains its lease in the same term has missed no other leader's orders."""
    ghost: Ghost = state["ghost"]
    return not ghost.renewed_after_other


MODEL = Model(
    name="lease",
    fields=FIELDS,
    initial=INITIAL,
    transitions=transitions,
    invariants={
        "one lease is good at a time": _one_valid_lease,
        "no two leaders share a fence": _fences_are_unique,
        "memory is never overcommitted": _memory_fits,
        "no order of an earlier leader follows one of a later": _no_older_leader_after_newer,
        "an order reaches only the life that it was decided for": _orders_reach_own_instance,
        "no other daemon writes the row within a term": _no_other_write_in_term,
    },
    mutations=MUTATIONS,
)
