"""The catalog: an accepted configuration change is neither lost nor rolled back.

Two operators write one change each, concurrently. Each version is a table row, created by
compare-and-set. The response to a write may be lost, and the table may be unavailable. Two daemons
apply changes that are pushed to them repeatedly and out of order. One daemon may be replaced while
the table is unavailable; it then fetches the catalog from the other daemon before it serves.
"""

from collections.abc import Iterator
from typing import Any, NamedTuple

from specification.model import Model, Mutation, State, Step

CHANGES = ("x", "y")
DAEMONS = (0, 1)
MAX_VERSION = 2

IDLE, WRITING, LOST, ACCEPTED, CONFLICT = "idle", "writing", "lost", "accepted", "conflict"


class Operator(NamedTuple):
    """An operator with one change; ``version`` is the row that it writes the change to."""

    phase: str = IDLE
    version: int = 0


class Daemon(NamedTuple):
    """A daemon; ``seen`` is the highest version that it or its predecessor has applied."""

    log: tuple[str, ...] = ()
    serving: bool = True
    seen: int = 0


MUTATIONS = (
    Mutation("compare-and-set", "a row is created once, by one writer"),
    Mutation(
        "read-back", "a write whose response was lost is resolved by reading the change ID back"
    ),
    Mutation("no-lower-version", "a daemon applies only the next version"),
    Mutation("learn-before-serving", "a new daemon fetches the catalog before it serves"),
)

FIELDS = ("rows", "operators", "daemons", "replaced")
INITIAL: State = ((), (Operator(), Operator()), (Daemon(), Daemon()), False)


def _put(items: tuple[Any, ...], index: int, item: object) -> tuple[Any, ...]:
    return (*items[:index], item, *items[index + 1 :])


def transitions(state: State, disabled: frozenset[str]) -> Iterator[Step]:
    """Return the steps that are possible in a state."""
    for o in (0, 1):
        yield from _operator_steps(state, o, disabled)
    for d in DAEMONS:
        yield from _apply(state, d, disabled)
    yield from _replace_daemon(state, disabled)


def _operator_steps(state: State, o: int, disabled: frozenset[str]) -> Iterator[Step]:
    rows, operators, daemons, replaced = state
    operator = operators[o]
    change = CHANGES[o]
    if operator.phase == IDLE:
        writing = Operator(WRITING, len(rows) + 1)
        yield f"begin({change})", (rows, _put(operators, o, writing), daemons, replaced)
    if operator.phase == WRITING:
        free = operator.version == len(rows) + 1
        if free:
            written = (*rows, change)
            accepted = _put(operators, o, operator._replace(phase=ACCEPTED))
            yield f"write({change})", (written, accepted, daemons, replaced)
            lost = _put(operators, o, operator._replace(phase=LOST))
            yield f"write-lost({change})", (written, lost, daemons, replaced)
        elif "compare-and-set" in disabled:
            written = _put(rows, operator.version - 1, change)
            accepted = _put(operators, o, operator._replace(phase=ACCEPTED))
            yield f"overwrite({change})", (written, accepted, daemons, replaced)
        else:
            conflict = _put(operators, o, Operator(CONFLICT))
            yield f"conflict({change})", (rows, conflict, daemons, replaced)
    if operator.phase == LOST:
        yield from _resolve_lost_write(state, o, disabled)


def _resolve_lost_write(state: State, o: int, disabled: frozenset[str]) -> Iterator[Step]:
    rows, operators, daemons, replaced = state
    change = CHANGES[o]
    if "read-back" in disabled:
        again = _put(operators, o, Operator(WRITING, len(rows) + 1))
        if len(rows) < MAX_VERSION:
            yield f"write-again({change})", (rows, again, daemons, replaced)
        return
    is_ours = rows[operators[o].version - 1] == change
    phase = ACCEPTED if is_ours else CONFLICT
    resolved = _put(operators, o, operators[o]._replace(phase=phase))
    yield f"read-back({change})", (rows, resolved, daemons, replaced)


def _apply(state: State, d: int, disabled: frozenset[str]) -> Iterator[Step]:
    """A push or an anti-entropy response arrives: any prefix of the log, at any time."""
    rows, operators, daemons, replaced = state
    daemon = daemons[d]
    for version in range(1, len(rows) + 1):
        newer = version == len(daemon.log) + 1
        if newer or "no-lower-version" in disabled:
            log = rows[:version]
            applied = Daemon(log, daemon.serving, max(daemon.seen, version))
            after = _put(daemons, d, applied)
            yield f"apply({d},{version})", (rows, operators, after, replaced)


def _replace_daemon(state: State, disabled: frozenset[str]) -> Iterator[Step]:
    """Daemon 0 is replaced while the table is unavailable; its successor fetches the catalog."""
    rows, operators, daemons, replaced = state
    daemon, other = daemons
    if not replaced:
        serving = "learn-before-serving" in disabled
        fresh = Daemon((), serving, daemon.seen)
        yield "replace(0)", (rows, operators, (fresh, other), True)
    if replaced and not daemon.serving:
        # A change is on a majority of the voters before its operator gets the acceptance. Here
        # the other daemon and ``seen`` stand for what such a majority knows.
        known = max(len(other.log), daemon.seen)
        learned = Daemon(rows[:known], True, max(daemon.seen, known))
        yield "learn(0)", (rows, operators, (learned, other), True)


def _never_goes_back(state: dict[str, Any]) -> bool:
    return all(not d.serving or len(d.log) >= d.seen for d in state["daemons"])


def _accepted_is_kept(state: dict[str, Any]) -> bool:
    accepted = [c for c, o in zip(CHANGES, state["operators"], strict=True) if o.phase == ACCEPTED]
    return all(change in state["rows"] for change in accepted)


def _applied_once(state: dict[str, Any]) -> bool:
    return len(set(state["rows"])) == len(state["rows"])


def _same_history(state: dict[str, Any]) -> bool:
    rows = state["rows"]
    return all(rows[: len(daemon.log)] == daemon.log for daemon in state["daemons"])


MODEL = Model(
    name="catalog",
    fields=FIELDS,
    initial=INITIAL,
    transitions=transitions,
    invariants={
        "a configuration in force never goes back": _never_goes_back,
        "an accepted change is kept": _accepted_is_kept,
        "a change is applied once": _applied_once,
        "all daemons have the same history": _same_history,
    },
    mutations=MUTATIONS,
)
