"""The model type and the exhaustive search that all models of the specification share."""

import enum
from collections.abc import Callable, Iterable
from typing import Any

import minicheck
from msgspec import Struct

State = tuple[Any, ...]
Step = tuple[str, State]
Invariant = Callable[[dict[str, Any]], bool]
Transitions = Callable[[State, frozenset[str]], Iterable[Step]]
Canonical = Callable[[State], State]

MAX_STATES = 3_000_000


class Mutation(Struct, frozen=True):
    """A protocol rule that can be disabled, to show that the invariants depend on it.

    :param name: its name on the command line.
    :param rule: a description of the rule.
    """

    name: str
    rule: str


class Model(Struct, frozen=True):
    """A state machine with its invariants and mutations.

    :param fields: names of the items of a state.
    :param transitions: yields the steps from a state, given the names of the disabled rules.
    :param invariants: predicates that must hold in each reachable state.
    :param canonical: maps equivalent states to one representative, to reduce the search.
    """

    name: str
    fields: tuple[str, ...]
    initial: State
    transitions: Transitions
    invariants: dict[str, Invariant]
    mutations: tuple[Mutation, ...]
    canonical: Canonical = lambda state: state


class Verdict(enum.Enum):
    """The outcome of a search."""

    HOLDS = "holds"
    VIOLATED = "violated"
    NOT_DETERMINED = "not determined"


class TraceStep(Struct, frozen=True):
    """One step of a counterexample."""

    label: str
    state: dict[str, Any]


class CheckResult(Struct, frozen=True):
    """The result of one search.

    :param depth: the largest distance of a reached state from the initial state.
    """

    model: str
    verdict: Verdict
    states: int
    depth: int
    invariant: str = ""
    counterexample: tuple[TraceStep, ...] = ()


class _Search:
    """Wraps a model for minicheck: tracks depths, and stops expanding after a violation."""

    def __init__(self, model: Model, disabled: frozenset[str]) -> None:
        self._model = model
        self._left_out = disabled
        self._depths = {model.canonical(model.initial): 0}
        self._violated = False
        self.max_depth = 0

    def transitions(self, state: State) -> list[Step]:
        """Return the canonical successors of a state, or none after a violation."""
        steps: list[Step] = []
        if self._violated:
            return steps
        depth = self._depths[state] + 1
        for label, successor in self._model.transitions(state, self._left_out):
            known = self._model.canonical(successor)
            if known not in self._depths:
                self._depths[known] = depth
                self.max_depth = max(self.max_depth, depth)
            steps.append((label, known))
        return steps

    def stop_on_violation(self, invariant: Invariant) -> Invariant:
        """Wrap an invariant so that its violation ends the search."""

        def checked(state: dict[str, Any]) -> bool:
            holds = invariant(state)
            self._violated = self._violated or not holds
            return holds

        return checked


def check(model: Model, disabled: frozenset[str] = frozenset()) -> CheckResult:
    """Search a model, with some rules disabled, for a state that violates an invariant."""
    search = _Search(model, disabled)
    protocol = minicheck.Protocol(
        name=model.name,
        candidate=False,
        fields=model.fields,
        initial=model.canonical(model.initial),
        transitions=search.transitions,
        invariants={
            name: search.stop_on_violation(rule) for name, rule in model.invariants.items()
        },
    )
    result = minicheck.check_safety(protocol, max_states=MAX_STATES)
    states = result["reachable_states"]
    for name, found in result["properties"].items():
        if found["holds"] is False:
            trace = tuple(TraceStep(s["label"] or "", s["state"]) for s in found["counterexample"])
            return CheckResult(model.name, Verdict.VIOLATED, states, search.max_depth, name, trace)
    verdict = Verdict.HOLDS if result["exhaustive"] else Verdict.NOT_DETERMINED
    return CheckResult(model.name, verdict, states, search.max_depth)
