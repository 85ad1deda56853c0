"""Replays random walks of the register model against the state machines of the code.

After each step, the voters, candidates and engine trackers must be in the same state as the model.
The walks use the states as they are, without mapping them to canonical ones.
"""

import random
import re

from loomwind.control.candidate import Candidate, Phase
from loomwind.control.engine_tracker import EngineStatus, EngineTracker
from loomwind.control.voter import Voter
from loomwind.engines.protocol import (
    Action,
    Fence,
    Inventory,
    InventoryItem,
    Order,
    OrderAnswer,
    OrderResult,
    ReplicaState,
)
from loomwind.messages import (
    Accept,
    Accepted,
    Ballot,
    Intent,
    Prepare,
    Promise,
    RegisterValue,
    VoterId,
)
from loomwind.schema import Artifact
from specification import register
from specification.model import State
from specification.walks import random_walk

DEFAULT_SEED = 7
DEFAULT_WALKS = 300
WALK_STEPS = 60
CELL = "cell"
INSTANCE = "life-1"
MEMORY_MIB = 1
ARTIFACT = Artifact("model", "v1")
VOTER_IDS = tuple(VoterId(f"voter-{v}", "1") for v in register.VOTERS)
CANDIDATE_IDS = tuple(VoterId(f"candidate-{c}", "1") for c in register.CANDIDATES)
LABEL = re.compile(r"([a-z-]+)\((\d)(?:,(\d))?\)")


class ConformanceError(AssertionError):
    """Code and model are in different states after the same steps."""


def engine_name(engine: int) -> str:
    """Return the engine name in the code for an engine of the model."""
    return f"engine-{engine}"


def ballot(candidate: int) -> Ballot:
    """Return the ballot in the code for a candidate of the model."""
    return Ballot(register.ballot_of(candidate), CANDIDATE_IDS[candidate])


def intents_of(engines: frozenset[int]) -> tuple[Intent, ...]:
    """Return the intents in the code for a set of engines of the model."""
    return tuple(Intent(engine_name(e), INSTANCE, ARTIFACT, MEMORY_MIB) for e in sorted(engines))


class Replay:
    """The state machines of the code, driven by steps of the model."""

    def __init__(self) -> None:
        self.voters = [Voter(CELL, identity) for identity in VOTER_IDS]
        self.candidates = [Candidate(CELL, identity) for identity in CANDIDATE_IDS]
        self.trackers = [EngineTracker() for _ in register.CANDIDATES]
        for c, candidate in enumerate(self.candidates):
            candidate.highest_round = c
            for e in register.ENGINES:
                self.trackers[c].add_or_update(engine_name(e), "address", "zone", False)

    def step(self, label: str, before: State, after: State) -> None:
        """Apply a step of the model to the code."""
        match = LABEL.fullmatch(label)
        assert match is not None, label
        action, first, second = match.group(1), int(match.group(2)), int(match.group(3) or 0)
        if action == "campaign":
            self.candidates[first].campaign(1, VOTER_IDS)
        elif action.startswith("promise"):
            self._promise(first, second, lost=action.endswith("lost"))
        elif action.startswith("accept"):
            self._accept(first, second, lost=action.endswith("lost"))
        elif action.startswith("propose"):
            proposed = after[1][first].pending.intents
            self.candidates[first].propose_placements(intents_of(proposed), ())
        else:
            self._engine_step(action, first, second, before, after)

    def _promise(self, c: int, v: int, lost: bool) -> None:
        answer = self.voters[v].on_prepare(Prepare(CELL, 1, ballot(c)))
        if not isinstance(answer, Promise):
            raise ConformanceError(f"voter {v} refused candidate {c}")
        if not lost:
            self.candidates[c].on_promise(answer)

    def _accept(self, c: int, v: int, lost: bool) -> None:
        pending = self.candidates[c].pending
        if pending is None:
            raise ConformanceError(f"candidate {c} has no pending value to write")
        answer = self.voters[v].on_accept(Accept(CELL, pending))
        if not isinstance(answer, Accepted):
            raise ConformanceError(f"voter {v} refused the value of candidate {c}")
        if not lost:
            self.candidates[c].on_accepted(answer)

    def _engine_step(self, action: str, first: int, e: int, before: State, after: State) -> None:
        name = engine_name(e)
        if action == "fence":
            tracker = self.trackers[first]
            for pending_order in tracker.records[name].orders:
                tracker.on_order_lost(name, pending_order.order)
            tracker.on_inventory(name, _inventory(first, e, after))
        elif action == "order":
            sequence = after[1][first].sequence
            self.trackers[first].on_order_sent(name, _order(first, sequence))
        elif action == "answer":
            c = first - 1
            pending_order = self.trackers[c].records[name].orders[0]
            answer = OrderAnswer(OrderResult.DONE, _inventory(c, e, after))
            self.trackers[c].on_order_answered(name, pending_order.order, answer)

    def check(self, state: State) -> None:
        """Compare the code with a state of the model.

        :raises ConformanceError: if they differ.
        """
        voters, candidates, _, _ = state
        for v, expected in enumerate(voters):
            voter = self.voters[v]
            _check_equal(f"promise of voter {v}", voter.promised.round, expected.promised)
            _check_equal(f"value of voter {v}", _to_model_value(voter.accepted), expected.accepted)
        for c, expected in enumerate(candidates):
            candidate = self.candidates[c]
            _check_equal(f"phase of candidate {c}", candidate.phase, Phase(expected.phase))
            _check_equal(f"pending of {c}", _to_model_value(candidate.pending), expected.pending)
            _check_equal(
                f"committed of {c}", _to_model_value(candidate.committed), expected.committed
            )
            for e in register.ENGINES:
                _check_equal(f"engine {e} for {c}", self._engine_status(c, e), expected.engines[e])
                self._check_removable(c, e, expected)

    def _engine_status(self, c: int, e: int) -> str:
        record = self.trackers[c].records[engine_name(e)]
        if record.orders:
            return register.ORDERED
        if record.status is not EngineStatus.FENCED:
            return register.UNKNOWN
        return register.ABSENT if record.state_of(ARTIFACT) is None else register.HELD

    def _check_removable(self, c: int, e: int, expected: register.Candidate) -> None:
        intents = intents_of(frozenset({e}))
        removable = bool(self.trackers[c].removable_intents(intents))
        known_absent = expected.engines[e] == register.ABSENT
        _check_equal(f"intent for engine {e} of {c} may be removed", removable, known_absent)


def _check_equal(what: str, code: object, model: object) -> None:
    if code != model:
        raise ConformanceError(f"{what}: the code has {code}, the model has {model}")


def _to_model_value(value: RegisterValue | None) -> register.Value | None:
    """Convert a register value of the code to one of the model."""
    if value is None:
        return None
    engines = frozenset(int(intent.engine.rpartition("-")[2]) for intent in value.intents)
    return register.Value(value.stamp.ballot.round, value.stamp.version, engines)


def _order(c: int, sequence: int) -> Order:
    fence = Fence(1, ballot(c), sequence)
    return Order(fence, INSTANCE, Action.LOAD, ARTIFACT, MEMORY_MIB)


def _inventory(c: int, e: int, after: State) -> Inventory:
    """Return the inventory that an engine of the model reports to a controller."""
    item = InventoryItem(ARTIFACT, ReplicaState.READY, MEMORY_MIB)
    items = (item,) if after[2][e].holds else ()
    fence = Fence(1, ballot(c), after[1][c].sequence)
    return Inventory(INSTANCE, fence, MEMORY_MIB, 1, False, items)


def replay_walks(seed: int, walks: int) -> int:
    """Replay random walks of the register model and compare after each step.

    :returns: the number of steps compared.
    :raises ConformanceError: if code and model differ.
    """
    source = random.Random(seed)
    compared = 0
    for _ in range(walks):
        replay = Replay()
        for step in random_walk(source, register.INITIAL, register.steps_of, WALK_STEPS):
            replay.step(step.label, step.before, step.after)
            replay.check(step.after)
            compared += 1
    return compared
