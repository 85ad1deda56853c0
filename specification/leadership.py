"""Who leads, on what evidence: restarts, partitions, and writes that are late or lost.

Two daemons compete for the lease, a row that is written only under its version. A daemon leads
while its lease is valid, counted from when it sent its last successful write. Another one takes the
lease after it has seen the row unchanged for the lease's duration, after the holder has deleted it,
or once another process answers at the holder's address. Daemons are killed, or one stops, and they
start again. The first leader may be cut off from the store and from the other daemon; connections
are then refused, reset, or hang. A write may be carried out late, and its response late or never.

Each daemon has a row in a list, too. It writes it when it starts, and removes it when it stops.

Time is abstract: a lease ends at any step, and nobody has waited for its duration before it has
ended on its holder's clock. Clocks that step are the mutation ``monotonic-clock``.

Code: ``loomwind/leadership/``, ``loomwind/serving/leader_watch.py`` and ``daemon_row.py``.
"""

from collections.abc import Iterator
from typing import Any, NamedTuple

from specification.model import Model, Mutation, State, Step

DAEMONS = (0, 1)
MAX_VERSION = 3
MAX_LIFE = 2
NOBODY = -1
FIRST_LEADER = 0


class Row(NamedTuple):
    """The row of the lease; ``life`` is the holder's process."""

    version: int
    holder: int
    life: int


class Daemon(NamedTuple):
    """A daemon.

    :param valid: whether its lease is valid by its own clock.
    :param leads_on: whether it leads without a valid lease, which only a mutation allows.
    :param wrote: the row version of its last answered write; 0 while it does not hold the lease.
    :param seen: the row as last seen.
    :param may_take: whether it has evidence that the holder of the row that it saw leads no more.
    :param listed: the number of rows of the list as last seen.
    """

    life: int = 1
    is_up: bool = True
    valid: bool = False
    leads_on: bool = False
    wrote: int = 0
    seen: Row = Row(0, NOBODY, 0)
    may_take: bool = False
    listed: int = 2


class Write(NamedTuple):
    """A write of the lease in flight, or its response.

    :param version: the expected version, or the written one once it is carried out.
    :param fresh: whether a lease that is counted from its sending may still be valid.
    """

    daemon: int
    life: int
    version: int
    fresh: bool = True
    is_done: bool = False


MUTATIONS = (
    Mutation(
        "own-lease-only", "a leader stops when its lease ends, however few daemons are listed"
    ),
    Mutation("refusal-is-no-end", "a refused connection does not show that a process has ended"),
    Mutation("lease-from-sending", "a lease is counted from when its write was sent"),
    Mutation("monotonic-clock", "the lease's duration is measured by clocks that do not step"),
    Mutation("remove-own-row", "a daemon removes a row of the list only if its process wrote it"),
)

FIELDS = ("row", "daemons", "writes", "removals", "listed", "is_cut")
_FIRST = Row(1, 0, 1)
INITIAL: State = (
    _FIRST,
    (Daemon(valid=True, wrote=1, seen=_FIRST), Daemon(seen=_FIRST)),
    (),
    (),
    (1, 1),
    False,
)


class _World(NamedTuple):
    """A state with names."""

    row: Row
    daemons: tuple[Daemon, ...]
    writes: tuple[Write, ...]
    removals: tuple[tuple[int, int], ...]
    listed: tuple[int, ...]
    is_cut: bool

    def is_cut_off(self, d: int) -> bool:
        """Return whether a daemon reaches neither the store nor the other daemon."""
        return self.is_cut and d == FIRST_LEADER

    def with_daemon(self, d: int, daemon: Daemon) -> "_World":
        """Return the state with another state of a daemon."""
        return self._replace(daemons=_put(self.daemons, d, daemon))


def _put(items: tuple[Any, ...], index: int, item: object) -> tuple[Any, ...]:
    return (*items[:index], item, *items[index + 1 :])


def transitions(state: State, disabled: frozenset[str]) -> Iterator[Step]:
    """Return the steps that are possible in a state."""
    world = _World(*state)
    for d in DAEMONS:
        if world.daemons[d].is_up:
            yield from _lease_steps(world, d, disabled)
            yield from _gather_evidence(world, d, disabled)
            yield from _end(world, d)
        else:
            yield from _start(world, d)
    for write in world.writes:
        yield from _write_steps(world, write, disabled)
    for removal in world.removals:
        yield from _remove_row(world, removal, disabled)
    yield from _partition(world)


def _lease_steps(world: _World, d: int, disabled: frozenset[str]) -> Iterator[Step]:
    """A daemon's lease ends, or it reads the rows, or sends a write."""
    daemon = world.daemons[d]
    is_cut = world.is_cut_off(d)
    if daemon.valid:
        yield f"lease-ends({d})", world.with_daemon(d, daemon._replace(valid=False))
    elif daemon.wrote and is_cut and daemon.listed <= 1 and "own-lease-only" in disabled:
        yield f"lead-on({d})", world.with_daemon(d, daemon._replace(leads_on=True))
    if is_cut:
        return
    read = _read(world, d)
    if read != daemon:
        yield f"read({d})", world.with_daemon(d, read)
    in_flight = any((w.daemon, w.life) == (d, daemon.life) for w in world.writes)
    is_own = (daemon.seen.holder, daemon.seen.life) == (d, daemon.life)
    if (daemon.may_take or is_own) and not in_flight and world.row.version < MAX_VERSION:
        write = Write(d, daemon.life, daemon.seen.version)
        yield f"send({d})", world._replace(writes=tuple(sorted((*world.writes, write))))


def _read(world: _World, d: int) -> Daemon:
    daemon = world.daemons[d]
    row = world.row
    listed = sum(life > 0 for life in world.listed)
    if (row.holder, row.life) != (d, daemon.life):
        daemon = daemon._replace(valid=False, leads_on=False, wrote=0)
    may_take = (daemon.may_take and daemon.seen == row) or row.holder == NOBODY
    return daemon._replace(seen=row, may_take=may_take, listed=listed)


def _gather_evidence(world: _World, d: int, disabled: frozenset[str]) -> Iterator[Step]:
    """A daemon learns that the holder of the row that it has seen leads no more."""
    daemon = world.daemons[d]
    seen = daemon.seen
    if seen.holder == NOBODY or daemon.may_take or seen.version == 0:
        return
    sure = world.with_daemon(d, daemon._replace(may_take=True))
    if seen.holder == d:
        if seen.life != daemon.life:
            yield f"own-earlier-process({d})", sure
        return
    holder = world.daemons[seen.holder]
    still_valid = holder.valid and holder.life == seen.life and holder.wrote <= seen.version
    if not still_valid or "monotonic-clock" in disabled:
        writes = tuple(sorted({_aged_by_wait(write, seen) for write in world.writes}))
        yield f"wait-out({d})", sure._replace(writes=writes)
    if not world.is_cut and holder.is_up and holder.life != seen.life:
        yield f"another-process-answers({d})", sure
    if world.is_cut and "refusal-is-no-end" in disabled:
        yield f"refused({d})", sure


def _aged_by_wait(write: Write, seen: Row) -> Write:
    """Return a response to a write that was seen before the wait began: it is as old by now."""
    is_seen = write.is_done and write.daemon == seen.holder and write.version <= seen.version
    return write._replace(fresh=False) if is_seen else write


def _write_steps(world: _World, write: Write, disabled: frozenset[str]) -> Iterator[Step]:
    """A write is carried out, or its response arrives or is lost."""
    d = write.daemon
    rest = tuple(w for w in world.writes if w != write)
    daemon = world.daemons[d]
    is_alive = daemon.is_up and daemon.life == write.life
    after = world._replace(writes=rest)
    if not write.is_done:
        if write.version == world.row.version:
            row = Row(write.version + 1, d, write.life)
            done = write._replace(version=row.version, is_done=True)
            writes = tuple(sorted((*rest, done)))
            yield f"carry-out({d})", world._replace(row=row, writes=writes)
        else:
            yield f"conflict({d})", after.with_daemon(d, daemon._replace(may_take=False))
        return
    yield f"lost({d})", after
    if is_alive and not world.is_cut_off(d) and write.version > daemon.seen.version:
        valid = write.fresh or "lease-from-sending" in disabled
        holding = daemon._replace(
            valid=valid, leads_on=False, wrote=write.version, may_take=False
        )._replace(seen=Row(write.version, d, write.life))
        yield f"answer({d})", after.with_daemon(d, holding)


def _end(world: _World, d: int) -> Iterator[Step]:
    """A daemon is killed, or stops: it then deletes its lease and its row of the list."""
    daemon = world.daemons[d]
    if daemon.life == MAX_LIFE:
        return
    ended = Daemon(daemon.life, False, seen=Row(0, NOBODY, 0), listed=0)
    writes = tuple(w for w in world.writes if w.daemon != d or not w.is_done)
    yield f"kill({d})", world.with_daemon(d, ended)._replace(writes=writes)
    if d == FIRST_LEADER:
        return
    after = world.with_daemon(d, ended)._replace(writes=writes)
    removals = tuple(sorted((*world.removals, (d, daemon.life))))
    row = world.row
    if daemon.wrote == row.version and row.version < MAX_VERSION:
        row = Row(row.version + 1, NOBODY, 0)
    yield f"stop({d})", after._replace(row=row, removals=removals)


def _start(world: _World, d: int) -> Iterator[Step]:
    life = world.daemons[d].life + 1
    if life > MAX_LIFE or world.is_cut_off(d):
        return
    after = world.with_daemon(d, Daemon(life))
    yield f"start({d})", after._replace(listed=_put(world.listed, d, life))


def _remove_row(
    world: _World, removal: tuple[int, int], disabled: frozenset[str]
) -> Iterator[Step]:
    """A removal from the list is carried out, perhaps late."""
    d, life = removal
    removals = tuple(each for each in world.removals if each != removal)
    is_own = world.listed[d] == life or "remove-own-row" in disabled
    listed = _put(world.listed, d, 0) if is_own else world.listed
    yield f"remove-row({d})", world._replace(removals=removals, listed=listed)


def _partition(world: _World) -> Iterator[Step]:
    yield "heal" if world.is_cut else "cut", world._replace(is_cut=not world.is_cut)


def _one_leader(state: dict[str, Any]) -> bool:
    daemons: tuple[Daemon, ...] = state["daemons"]
    return sum(daemon.valid or daemon.leads_on for daemon in daemons) <= 1


def _running_daemons_are_listed(state: dict[str, Any]) -> bool:
    pairs = zip(state["daemons"], state["listed"], strict=True)
    return all(life == daemon.life for daemon, life in pairs if daemon.is_up)


MODEL = Model(
    name="leadership",
    fields=FIELDS,
    initial=INITIAL,
    transitions=lambda state, disabled: (
        (label, tuple(after)) for label, after in transitions(state, disabled)
    ),
    invariants={
        "at most one daemon leads": _one_leader,
        "a running daemon is listed": _running_daemons_are_listed,
    },
    mutations=MUTATIONS,
)
