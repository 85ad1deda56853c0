"""The replicated register (Paxos), intents and fencing: a model has at most one replica.

Three voters, two controllers with one ballot each, and two engines. The first controller may be
paused at any point and continue after the second took over. Messages may be lost, delayed, repeated
and reordered: a promise or acknowledgement may be lost after it took effect, and an order may
arrive at any time and any number of times.

A voter accepts only the newest value of a candidate. Accepting an earlier value late is equivalent
to accepting it early and losing the acknowledgement.

Code: ``loomwind/control/voter.py``, ``candidate.py`` and ``engine_tracker.py``, compared with this
model by ``specification/conformance.py``.
"""

import functools
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from specification.model import Model, Mutation, State, Step

VOTERS = range(3)
MAJORITY = 2
CANDIDATES = (0, 1)
ENGINES = (0, 1)
MAX_REPLICAS = 1
MAX_VERSION = 3
MAX_SEQUENCE = 4

IDLE, PREPARING, RECOVERING, LEADING = "idle", "preparing", "recovering", "leading"
UNKNOWN, ABSENT, ORDERED, HELD = "unknown", "absent", "ordered", "held"


class Value(NamedTuple):
    """A value of the register; ``intents`` are the engines that may hold the model."""

    ballot: int
    version: int
    intents: frozenset[int]


class Voter(NamedTuple):
    """A voter; ``promises`` and ``acks`` are what each candidate has received from it."""

    promised: int = 0
    accepted: Value | None = None
    promises: tuple[tuple[Value | None, ...], ...] = ((), ())
    acks: tuple[bool, bool] = (False, False)


class Candidate(NamedTuple):
    """A controller; ``engines`` is the state of each engine as far as it knows."""

    phase: str = IDLE
    pending: Value | None = None
    committed: Value | None = None
    engines: tuple[str, str] = (UNKNOWN, UNKNOWN)
    sequence: int = 0


class Engine(NamedTuple):
    """An engine.

    :param fence: the highest fencing token that it accepted: ballot and sequence.
    :param went_back: it executed an order older than one it accepted.
    """

    fence: tuple[int, int] = (0, 0)
    holds: bool = False
    went_back: bool = False


class Order(NamedTuple):
    """A load order in flight."""

    ballot: int
    sequence: int
    engine: int


MUTATIONS = (
    Mutation("read-majority", "a candidate reads a majority before it leads"),
    Mutation(
        "version-in-ballot", "the newest value is the one with the highest ballot, then version"
    ),
    Mutation("intent-before-order", "an order is sent only after a majority accepted its intent"),
    Mutation("fence", "an engine refuses an order that is not above its fence"),
    Mutation(
        "unknown-is-not-not-run",
        "an intent whose order is unanswered is kept until an inventory is read",
    ),
)

FIELDS = ("voters", "candidates", "engines", "orders")
INITIAL: State = (
    tuple(Voter() for _ in VOTERS),
    tuple(Candidate() for _ in CANDIDATES),
    tuple(Engine() for _ in ENGINES),
    frozenset(),
)


def ballot_of(candidate: int) -> int:
    """Return the ballot of a candidate."""
    return candidate + 1


def put(items: tuple[Any, ...], index: int, item: object) -> tuple[Any, ...]:
    """Return a tuple with one item replaced."""
    return (*items[:index], item, *items[index + 1 :])


def transitions(state: State, disabled: frozenset[str]) -> Iterator[Step]:
    """Return the steps that are possible in a state."""
    for candidate in CANDIDATES:
        yield from _campaign(state, candidate, disabled)
        yield from _write_register(state, candidate)
        yield from _leader_steps(state, candidate, disabled)
    yield from _deliver_order(state, disabled)


def _campaign(state: State, c: int, disabled: frozenset[str]) -> Iterator[Step]:
    voters, candidates, engines, orders = state
    candidate = candidates[c]
    if candidate.phase == IDLE:
        campaigning = candidate._replace(phase=PREPARING)
        if "read-majority" in disabled:
            yield f"campaign({c})", _recover(state, c, Value(0, 0, frozenset()))
        else:
            yield f"campaign({c})", (voters, put(candidates, c, campaigning), engines, orders)
        return
    for v in VOTERS:
        voter = voters[v]
        if voter.promised > ballot_of(c) or voter.promises[c]:
            continue
        raised = voter._replace(promised=ballot_of(c))
        if raised != voter:
            yield f"promise-lost({c},{v})", (put(voters, v, raised), candidates, engines, orders)
        if candidate.phase == PREPARING:
            promised = raised._replace(promises=put(voter.promises, c, (voter.accepted,)))
            counted = (put(voters, v, promised), candidates, engines, orders)
            yield f"promise({c},{v})", _recover_if_majority(counted, c, disabled)


def _recover_if_majority(state: State, c: int, disabled: frozenset[str]) -> State:
    voters = state[0]
    promises = [voter.promises[c][0] for voter in voters if voter.promises[c]]
    if len(promises) < MAJORITY:
        return state
    values = [value for value in promises if value is not None]
    if "version-in-ballot" in disabled:
        # Any value with the highest ballot may be chosen; the oldest is the worst case.
        newest = min(values, key=lambda v: (-v.ballot, v.version), default=None)
    else:
        newest = max(values, key=lambda v: (v.ballot, v.version), default=None)
    return _recover(state, c, newest or Value(0, 0, frozenset()))


def _recover(state: State, c: int, newest: Value) -> State:
    """Start to write the newest value back under the candidate's own ballot."""
    voters, candidates, engines, orders = state
    pending = Value(ballot_of(c), newest.version, newest.intents)
    # The promises are no longer needed: the candidate's phase shows that they were counted.
    voters = tuple(v._replace(promises=put(v.promises, c, ())) for v in voters)
    recovering = candidates[c]._replace(phase=RECOVERING, pending=pending)
    return (voters, put(candidates, c, recovering), engines, orders)


def _write_register(state: State, c: int) -> Iterator[Step]:
    voters, candidates, engines, orders = state
    candidate = candidates[c]
    if candidate.pending is None:
        return
    for v in VOTERS:
        voter = voters[v]
        if voter.promised > ballot_of(c) or voter.acks[c]:
            continue
        accepted = voter._replace(promised=ballot_of(c), accepted=candidate.pending)
        if accepted != voter:
            yield f"accept-lost({c},{v})", (put(voters, v, accepted), candidates, engines, orders)
        acknowledged = accepted._replace(acks=put(voter.acks, c, True))
        counted = (put(voters, v, acknowledged), candidates, engines, orders)
        yield f"accept({c},{v})", _commit_if_majority(counted, c)


def _commit_if_majority(state: State, c: int) -> State:
    voters, candidates, engines, orders = state
    if sum(voter.acks[c] for voter in voters) < MAJORITY:
        return state
    voters = tuple(voter._replace(acks=put(voter.acks, c, False)) for voter in voters)
    candidate = candidates[c]
    committed = candidate._replace(phase=LEADING, committed=candidate.pending, pending=None)
    return (voters, put(candidates, c, committed), engines, orders)


def _leader_steps(state: State, c: int, disabled: frozenset[str]) -> Iterator[Step]:
    candidate = state[1][c]
    if candidate.phase != LEADING:
        return
    for e in ENGINES:
        yield from _read_engine(state, c, e, disabled)
        yield from _change_intents(state, c, e, disabled)
        yield from _send_order(state, c, e, disabled)


def _read_engine(state: State, c: int, e: int, disabled: frozenset[str]) -> Iterator[Step]:
    """Raise the engine's fence and read whether it holds the model."""
    voters, candidates, engines, orders = state
    candidate = candidates[c]
    if candidate.engines[e] not in (UNKNOWN, ORDERED) or candidate.sequence >= MAX_SEQUENCE:
        return
    fence = (ballot_of(c), candidate.sequence + 1)
    engine = engines[e]
    if engine.fence >= fence and "fence" not in disabled:
        return
    raised = engine._replace(fence=max(engine.fence, fence))
    known = put(candidate.engines, e, HELD if engine.holds else ABSENT)
    read = candidate._replace(engines=known, sequence=candidate.sequence + 1)
    yield f"fence({c},{e})", (voters, put(candidates, c, read), put(engines, e, raised), orders)


def _change_intents(state: State, c: int, e: int, disabled: frozenset[str]) -> Iterator[Step]:
    voters, candidates, engines, orders = state
    candidate = candidates[c]
    value = candidate.committed
    if candidate.pending is not None or value.version >= MAX_VERSION:
        return
    held = {engine for engine in ENGINES if candidate.engines[engine] == HELD}
    may_hold = value.intents | held
    if e not in may_hold and candidate.engines[e] == ABSENT and len(may_hold) < MAX_REPLICAS:
        proposed = Value(ballot_of(c), value.version + 1, value.intents | {e})
        proposing = candidate._replace(pending=proposed)
        yield f"propose-add({c},{e})", (voters, put(candidates, c, proposing), engines, orders)
    known_absent = candidate.engines[e] == ABSENT
    if "unknown-is-not-not-run" in disabled:
        known_absent = candidate.engines[e] in (ABSENT, UNKNOWN, ORDERED)
    if e in value.intents and known_absent:
        proposed = Value(ballot_of(c), value.version + 1, value.intents - {e})
        proposing = candidate._replace(pending=proposed)
        yield f"propose-remove({c},{e})", (voters, put(candidates, c, proposing), engines, orders)


def _send_order(state: State, c: int, e: int, disabled: frozenset[str]) -> Iterator[Step]:
    voters, candidates, engines, orders = state
    candidate = candidates[c]
    committed = candidate.committed.intents if candidate.pending is None else frozenset()
    if "intent-before-order" in disabled and candidate.pending is not None:
        committed = candidate.pending.intents
    if e not in committed or candidate.engines[e] != ABSENT or candidate.sequence >= MAX_SEQUENCE:
        return
    order = Order(ballot_of(c), candidate.sequence + 1, e)
    ordered = candidate._replace(
        engines=put(candidate.engines, e, ORDERED), sequence=candidate.sequence + 1
    )
    yield f"order({c},{e})", (voters, put(candidates, c, ordered), engines, orders | {order})


def _deliver_order(state: State, disabled: frozenset[str]) -> Iterator[Step]:
    """An order arrives; its response is received or lost."""
    voters, candidates, engines, orders = state
    for order in sorted(orders):
        engine = engines[order.engine]
        fence = (order.ballot, order.sequence)
        if fence <= engine.fence and "fence" not in disabled:
            continue
        went_back = engine.went_back or fence < engine.fence
        loaded = Engine(max(engine.fence, fence), True, went_back)
        after = put(engines, order.engine, loaded)
        if loaded != engine:
            yield f"deliver({order.ballot},{order.engine})", (voters, candidates, after, orders)
        c = order.ballot - 1
        if candidates[c].engines[order.engine] == ORDERED:
            known = put(candidates[c].engines, order.engine, HELD)
            new_candidates = put(candidates, c, candidates[c]._replace(engines=known))
            yield f"answer({order.ballot},{order.engine})", (voters, new_candidates, after, orders)


def _swap_engine(engine: int) -> int:
    return 1 - engine


def _swap_intents(value: Value | None) -> Value | None:
    if value is None:
        return None
    return value._replace(intents=frozenset(map(_swap_engine, value.intents)))


def _swap_engines(state: State) -> State:
    """Return the state with the two engines swapped."""
    voters, candidates, engines, orders = state
    return (
        tuple(
            voter._replace(
                accepted=_swap_intents(voter.accepted),
                promises=tuple(tuple(_swap_intents(v) for v in held) for held in voter.promises),
            )
            for voter in voters
        ),
        tuple(
            candidate._replace(
                pending=_swap_intents(candidate.pending),
                committed=_swap_intents(candidate.committed),
                engines=candidate.engines[::-1],
            )
            for candidate in candidates
        ),
        engines[::-1],
        frozenset(order._replace(engine=_swap_engine(order.engine)) for order in orders),
    )


@functools.cache
def _sort_key(value: Any) -> str:
    """Return a sort key for any part of a state; equal parts have equal keys."""
    if isinstance(value, tuple):
        return "(" + ",".join(map(_sort_key, value)) + ")"
    if isinstance(value, frozenset):
        return "{" + ",".join(sorted(map(_sort_key, value))) + "}"
    return str(value)


def canonical(state: State) -> State:
    """Return one representative of the states that differ only in voter and engine names."""
    forms = []
    for form in (state, _swap_engines(state)):
        voters = tuple(sorted(form[0], key=_sort_key))
        forms.append((voters, *form[1:]))
    return forms[0] if forms[0] == forms[1] else min(forms, key=_sort_key)


def _replicas_within_limit(state: dict[str, Any]) -> bool:
    held = [engine for engine in state["engines"] if engine.holds]
    return len(held) <= MAX_REPLICAS


def _no_older_order(state: dict[str, Any]) -> bool:
    return not any(engine.went_back for engine in state["engines"])


def steps_of(state: State) -> Iterable[Step]:
    """Return the steps of the protocol with all rules enabled."""
    return transitions(state, frozenset())


MODEL = Model(
    name="register",
    fields=FIELDS,
    initial=INITIAL,
    transitions=transitions,
    invariants={
        "replicas within the limit": _replicas_within_limit,
        "no order older than one accepted": _no_older_order,
    },
    mutations=MUTATIONS,
    canonical=canonical,
)
