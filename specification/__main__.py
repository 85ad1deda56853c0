"""Checks the specification: ``python -m specification [--mutation NAME] [--list-mutations]``.

Exit status 0 when every model holds, 1 when a counterexample was found, 3 when a search did not
finish, which proves nothing.
"""

import sys
import time
from concurrent.futures import ProcessPoolExecutor

import fire

from specification import catalog, claims, lease, orders, register, voters
from specification.conformance import DEFAULT_SEED, DEFAULT_WALKS, replay_walks
from specification.lease_conformance import replay_lease_walks
from specification.model import CheckResult, Model, Verdict, check

MODELS = {m.MODEL.name: m.MODEL for m in (register, voters, orders, claims, catalog, lease)}
EXIT_VIOLATED = 1
EXIT_USAGE = 2
EXIT_NOT_DETERMINED = 3


def model_with_mutation(mutation: str) -> Model | None:
    """Return the model that has a mutation."""
    owners = [m for m in MODELS.values() if mutation in {known.name for known in m.mutations}]
    return owners[0] if owners else None


def check_model(model: str, mutation: str = "") -> CheckResult:
    """Check one model; in a process of its own when several are checked."""
    return check(MODELS[model], frozenset({mutation} if mutation else ()))


def describe(check_result: CheckResult) -> str:
    """Return one line on a finding."""
    line = f"{check_result.model}: {check_result.states} states, depth {check_result.depth}"
    violated = f" ({check_result.invariant})" if check_result.invariant else ""
    return f"{line}: {check_result.verdict.value}{violated}"


def print_counterexample(check_result: CheckResult) -> None:
    """Print each step of a counterexample, and the state that it ends in."""
    for number, step in enumerate(check_result.counterexample):
        print(f"  {number:3} {step.label or 'initial state'}")
    for name, value in check_result.counterexample[-1].state.items():
        print(f"      {name} = {value}")


def check_all() -> int:
    """Check all models side by side, then that code and specification agree."""
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
    """Check that leaving one rule out gives a counterexample."""
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
    """Check that every mutation is caught; the exit status is 0 when all are."""
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
    """Check the specification of the core protocol.

    Args:
        mutation: leave out the rule of this name and expect a counterexample.
        list_mutations: list the rules that can be left out.
        all_mutations: check that each of them gives a counterexample.
        seed: only compare code and specification, on walks of this seed.
        walks: how many walks to compare.
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
