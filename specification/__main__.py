"""Checks the specification: ``python -m specification [--mutation NAME] [--list-mutations]``.

Exit status: 0 if every model holds, 1 if a counterexample was found, 2 for a usage error, and 3 if
a search did not finish and so proves nothing.
"""

import sys
import time
from concurrent.futures import ProcessPoolExecutor

import fire

from specification import catalog, claims, leadership, lease, orders, register, streams, voters
from specification.conformance import DEFAULT_SEED, DEFAULT_WALKS, replay_walks
from specification.lease_conformance import replay_lease_walks
from specification.model import CheckResult, Model, Verdict, check

MODELS = {
    m.MODEL.name: m.MODEL
    for m in (register, voters, orders, claims, catalog, lease, leadership, streams)
}
EXIT_VIOLATED = 1
EXIT_USAGE = 2
EXIT_NOT_DETERMINED = 3


def model_with_mutation(mutation: str) -> Model | None:
    """Return the model that defines a mutation, or None if there is none."""
    owners = [m for m in MODELS.values() if mutation in {known.name for known in m.mutations}]
    return owners[0] if owners else None


def check_model(model: str, mutation: str = "") -> CheckResult:
    """Check one model, with a mutation if one is given. Runs in a worker process for several."""
    return check(MODELS[model], frozenset({mutation} if mutation else ()))


def describe(check_result: CheckResult) -> str:
    """Return a one-line summary of a result."""
    line = f"{check_result.model}: {check_result.states} states, depth {check_result.depth}"
    violated = f" ({check_result.invariant})" if check_result.invariant else ""
    return f"{line}: {check_result.verdict.value}{violated}"


def print_counterexample(check_result: CheckResult) -> None:
    """Print the steps of a counterexample and its last state."""
    for number, step in enumerate(check_result.counterexample):
        print(f"  {number:3} {step.label or 'initial state'}")
    for name, value in check_result.counterexample[-1].state.items():
        print(f"      {name} = {value}")


def check_all() -> int:
    """Check all models in parallel, then compare the code with them; return the exit status."""
    started = time.monotonic()
    exit_status = 0
    with ProcessPoolExecutor() as pool:
        for check_result in pool.map(check_model, MODELS):
            print(describe(check_result), flush=True)
            if check_result.verdict is Verdict.VIOLATED:
                print_counterexample(check_result)
                exit_status = max(exit_status, EXIT_VIOLATED)
            elif check_result.verdict is Verdict.NOT_DETERMINED:
                exit_status = max(exit_status, EXIT_NOT_DETERMINED)
    steps = replay_walks(DEFAULT_SEED, DEFAULT_WALKS)
    print(f"conformance: {steps} steps of {DEFAULT_WALKS} walks agree, seed {DEFAULT_SEED}")
    steps = replay_lease_walks(DEFAULT_SEED, DEFAULT_WALKS)
    print(f"lease conformance: {steps} steps of {DEFAULT_WALKS} walks agree, seed {DEFAULT_SEED}")
    print(f"took {time.monotonic() - started:.1f} s")
    return exit_status


def check_mutation(name: str) -> int:
    """Check a model with one rule disabled; return the exit status."""
    model = model_with_mutation(name)
    if model is None:
        print(f"no mutation is named {name}; see --list-mutations", file=sys.stderr)
        return EXIT_USAGE
    check_result = check_model(model.name, name)
    print(describe(check_result))
    if check_result.verdict is not Verdict.VIOLATED:
        return 0 if check_result.verdict is Verdict.HOLDS else EXIT_NOT_DETERMINED
    print_counterexample(check_result)
    return EXIT_VIOLATED


def check_mutations() -> int:
    """Check that each mutation gives a counterexample; return 0 if all do, else 1."""
    names = [mutation.name for model in MODELS.values() for mutation in model.mutations]
    models = [owner.name for owner in map(model_with_mutation, names) if owner is not None]
    missed = 0
    with ProcessPoolExecutor() as pool:
        for name, check_result in zip(names, pool.map(check_model, models, names), strict=True):
            caught = check_result.verdict is Verdict.VIOLATED
            missed += not caught
            steps = len(check_result.counterexample) - 1
            result = (
                f"caught in {steps} steps" if caught else f"missed: {check_result.verdict.value}"
            )
            print(f"mutation {name}: {result}", flush=True)
    return EXIT_VIOLATED if missed else 0


def main(
    mutation: str = "",
    list_mutations: bool = False,
    all_mutations: bool = False,
    seed: int = 0,
    walks: int = DEFAULT_WALKS,
) -> None:
    """Check the specification of the core protocols.

    Args:
        mutation: disable the rule with this name, which should give a counterexample.
        list_mutations: list the rules that can be disabled.
        all_mutations: check that each mutation gives a counterexample.
        seed: only compare the code with the models, on random walks from this seed.
        walks: number of random walks per comparison.
    """
    if list_mutations:
        for model in MODELS.values():
            for known in model.mutations:
                print(f"{known.name:28} {model.name:10} {known.rule}")
        return
    if seed:
        print(f"conformance: {replay_walks(seed, walks)} steps of {walks} walks agree, seed {seed}")
        steps = replay_lease_walks(seed, walks)
        print(f"lease conformance: {steps} steps of {walks} walks agree, seed {seed}")
        return
    if all_mutations:
        sys.exit(check_mutations())
    sys.exit(check_mutation(mutation) if mutation else check_all())


if __name__ == "__main__":
    fire.Fire(main)
