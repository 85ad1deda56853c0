"""Voter restarts without stable storage, and voter set changes: a committed intent is not lost.

Voters are A, B and C. A may restart once, and is then A', a new identity without state. A' may
replace A by a change of the voter set, which needs a majority of the old set and of the new one
(joint consensus). There are two candidates with one ballot each. Responses may be lost. The first
candidate leads from the start, with the empty value committed, and may write one intent.
"""

from collections.abc import Iterator
from typing import Any, NamedTuple

from specification.model import Model, Mutation, State, Step

OLD = frozenset({"A", "B", "C"})
NEW = frozenset({"A'", "B", "C"})
NOBODY: frozenset[str] = frozenset()


class Value(NamedTuple):
    """A value of the register; majorities of ``voters`` and ``joint`` must accept it.

    :param joint: the old voter set during a change, otherwise empty.
    """

    ballot: int
    version: int
    intent: bool
    voters: frozenset[str]
    joint: frozenset[str]


class Voter(NamedTuple):
    """The state of a voter, which is lost on a restart."""

    promised: int = 1
    accepted: Value | None = Value(1, 0, False, OLD, NOBODY)


class Leader(NamedTuple):
    """The first candidate, which leads from the start."""

    committed: Value = Value(1, 0, False, OLD, NOBODY)
    pending: Value | None = None
    acks: frozenset[str] = NOBODY


class Challenger(NamedTuple):
    """The second candidate; ``promises`` pairs voters with the value they had accepted."""

    promises: frozenset[tuple[str, Value | None]] = frozenset()
    recovered: Value | None = None


MUTATIONS = (
    Mutation("forgetful-restart", "a restarted voter has a new identity and no vote"),
    Mutation("incarnation-in-quorums", "responses of an earlier incarnation are not counted"),
    Mutation("joint-quorum", "a change of voters also needs a majority of the old set"),
)

FIELDS = ("memory", "restarted", "leader", "challenger", "settled")
INITIAL: State = (
    (("A", Voter()), ("B", Voter()), ("C", Voter())),
    False,
    Leader(),
    Challenger(),
    False,
)


def _is_majority(acknowledged: frozenset[str], voters: frozenset[str]) -> bool:
    return 2 * len(acknowledged & voters) > len(voters)


def _is_quorum(acknowledged: frozenset[str], value: Value, disabled: frozenset[str]) -> bool:
    if "incarnation-in-quorums" in disabled:
        # Counted by name alone, responses of A and of its successor A' are the same vote.
        acknowledged = frozenset(a for n in acknowledged for a in (n, n.strip("'"), f"{n}'"))
    joint = value.joint if "joint-quorum" not in disabled else NOBODY
    new = _is_majority(acknowledged, value.voters)
    return new and (not joint or _is_majority(acknowledged, joint))


def transitions(state: State, disabled: frozenset[str]) -> Iterator[Step]:
    """Return the steps that are possible in a state."""
    yield from _restart(state, disabled)
    yield from _leader_proposes(state)
    yield from _leader_writes(state, disabled)
    yield from _challenger_reads(state, disabled)


def _restart(state: State, disabled: frozenset[str]) -> Iterator[Step]:
    memory, restarted, leader, challenger, settled = state
    if restarted:
        return
    name = "A" if "forgetful-restart" in disabled else "A'"
    held = dict(memory)
    del held["A"]
    held[name] = Voter(promised=0, accepted=None)
    yield "restart(A)", (tuple(sorted(held.items())), True, leader, challenger, settled)


def _leader_proposes(state: State) -> Iterator[Step]:
    memory, restarted, leader, challenger, settled = state
    if leader.pending is not None or leader.committed.version >= 3:
        return
    value = leader.committed
    next_value = value._replace(version=value.version + 1, joint=NOBODY)
    if not value.intent:
        proposing = leader._replace(pending=next_value._replace(intent=True), acks=NOBODY)
        yield "propose-intent", (memory, restarted, proposing, challenger, settled)
    if restarted and value.voters == OLD:
        changed = next_value._replace(voters=NEW, joint=OLD)
        proposing = leader._replace(pending=changed, acks=NOBODY)
        yield "propose-voters", (memory, restarted, proposing, challenger, settled)
    if value.joint:
        proposing = leader._replace(pending=next_value, acks=NOBODY)
        yield "propose-settled", (memory, restarted, proposing, challenger, settled)


def _leader_writes(state: State, disabled: frozenset[str]) -> Iterator[Step]:
    memory, restarted, leader, challenger, settled = state
    value = leader.pending
    if value is None:
        return
    for name, voter in memory:
        asked = name in value.voters | value.joint
        if not asked or voter.promised > 1 or name in leader.acks:
            continue
        held = dict(memory)
        held[name] = Voter(max(voter.promised, 1), value)
        after = tuple(sorted(held.items()))
        if after != memory:
            yield f"accept-lost({name})", (after, restarted, leader, challenger, settled)
        acks = leader.acks | {name}
        if _is_quorum(acks, value, disabled):
            leading = Leader(committed=value)
            known = settled or value.intent
            yield f"settle({name})", (after, restarted, leading, challenger, known)
        else:
            counted = leader._replace(acks=acks)
            yield f"accept({name})", (after, restarted, counted, challenger, settled)


def _newest(promises: frozenset[tuple[str, Value | None]]) -> Value | None:
    values = [value for _, value in promises if value is not None]
    return max(values, key=lambda value: (value.ballot, value.version), default=None)


def _challenger_reads(state: State, disabled: frozenset[str]) -> Iterator[Step]:
    memory, restarted, leader, challenger, settled = state
    if challenger.recovered is not None:
        return
    newest = _newest(challenger.promises)
    electorate = newest.voters | newest.joint if newest else OLD
    asked = {name for name, _ in challenger.promises}
    for name, voter in memory:
        reached = name in electorate or ("incarnation-in-quorums" in disabled and name == "A'")
        if not reached or name in asked:
            continue
        held = dict(memory)
        held[name] = voter._replace(promised=2)
        after = tuple(sorted(held.items()))
        if after != memory:
            yield f"promise-lost({name})", (after, restarted, leader, challenger, settled)
        promises = challenger.promises | {(name, voter.accepted)}
        counted = _recover_if_quorum(promises, disabled)
        yield f"promise({name})", (after, restarted, leader, counted, settled)


def _recover_if_quorum(
    promises: frozenset[tuple[str, Value | None]], disabled: frozenset[str]
) -> Challenger:
    newest = _newest(promises)
    names = frozenset(name for name, _ in promises)
    proposed = newest or Value(0, 0, False, OLD, NOBODY)
    if _is_quorum(names, proposed, disabled):
        return Challenger(recovered=proposed)
    return Challenger(promises)


def _committed_intent_is_known(state: dict[str, Any]) -> bool:
    """If the leader committed the intent, a challenger that leads knows it."""
    recovered = state["challenger"].recovered
    return recovered is None or not state["settled"] or recovered.intent


MODEL = Model(
    name="voters",
    fields=FIELDS,
    initial=INITIAL,
    transitions=transitions,
    invariants={"a settled intent is never forgotten": _committed_intent_is_known},
    mutations=MUTATIONS,
)
