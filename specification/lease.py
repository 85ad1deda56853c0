"""The lease in a row of the store, and orders that may be carried out late.

Two daemons take one row in turn, each only after the holder's own clock has ended its lease. A
holder renews its row under the version that it wrote last, and keeps its fence; a renewal may be
done so late that its lease has ended meanwhile. One whose lease has ended may lead again by a
renewal as long as nobody else has written the row. The leader orders loads at one model server
whose memory holds one model; orders stay on their way as long as they like, and the server may
restart, after which it has forgotten revision and fence. The search shows that the expected
revision alone keeps an older leader's order from following a newer one's; the fence is a second
guard, for servers that are asked without a revision.
Code: ``loomwind/leadership/lease.py`` and ``loomwind/placement/ledger.py``.
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
    """A daemon; ``expects`` is the row version that its taking expects, -1 when it takes nothing.

    ``good`` says whether its own clock holds its lease for good; ``wrote`` is the row's version
    at its last write, 0 once it knows of a newer one.
    """

    good: bool = False
    fence: int = 0
    term: int = 0
    expects: int = -1
    wrote: int = 0


class Order(NamedTuple):
    """An order on its way."""

    model: str
    fence: int
    term: int
    instance: int
    revision: int


class Server(NamedTuple):
    """One model server; ``term`` is that of the newest order carried out in this life."""

    instance: int = 0
    revision: int = 0
    fence: int = 0
    held: tuple[str, ...] = ()
    term: int = 0


class Ghost(NamedTuple):
    """What went wrong, for the invariants."""

    older_after_newer: bool = False
    other_life: bool = False


MUTATIONS = (
    Mutation("wait-out-lease", "the lease is taken only when its holder's clock has ended it"),
    Mutation("expected-row-version", "the row is written only if it is as it was seen"),
    Mutation("renew-own-row", "a renewal is done only on the row that its holder wrote last"),
    Mutation("rising-fence", "each leader has a higher fence than the one before"),
    Mutation("expected-revision", "an order is carried out only at the revision it was decided at"),
    Mutation("same-instance", "an order is carried out only by the life it was decided for"),
)

FIELDS = ("row", "daemons", "orders", "given", "server", "ghost")
INITIAL: State = ((1, NOBODY), (Daemon(), Daemon()), (), 0, Server(), Ghost())


def _put(items: tuple[Any, ...], index: int, item: object) -> tuple[Any, ...]:
    return (*items[:index], item, *items[index + 1 :])


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
        leading = _put(daemons, d, Daemon(True, fence, taken, -1, taken))
        if taken <= MAX_VERSION:
            yield f"take({d})", ((taken, d), leading, orders, given, server, ghost)
    else:
        failed = _put(daemons, d, daemon._replace(expects=-1, wrote=0))
        yield f"conflict({d})", ((version, holder), failed, orders, given, server, ghost)


def _renew(state: State, d: int, disabled: frozenset[str]) -> Iterator[Step]:
    """The holder writes its row again, in time or so late that its lease ends at once."""
    (version, holder), daemons, orders, given, server, ghost = state
    daemon = daemons[d]
    if daemon.wrote == 0 or version >= MAX_VERSION:
        return
    if daemon.wrote == version or "renew-own-row" in disabled:
        renewed = daemon._replace(good=True, wrote=version + 1)
        row = (version + 1, d)
        yield f"renew({d})", (row, _put(daemons, d, renewed), orders, given, server, ghost)
        late = renewed._replace(good=False)
        yield f"renew-late({d})", (row, _put(daemons, d, late), orders, given, server, ghost)
    else:
        lost = _put(daemons, d, daemon._replace(good=False, wrote=0))
        yield f"renewal-conflict({d})", ((version, holder), lost, orders, given, server, ghost)


def _send_order(state: State, d: int) -> Iterator[Step]:
    """The leader reads the server and orders a load that fits; the order may arrive at any time."""
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
    seen = Ghost(
        ghost.older_after_newer or order.term < server.term,
        ghost.other_life or not same_instance,
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
    },
    mutations=MUTATIONS,
)
