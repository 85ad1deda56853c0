"""Runs every check of the project and counts them: ``python -m features``, or ``make test``.

Each check and each scenario counts as one. The last line is ``N passed, N failed``. Tests named in
KNOWN-RED.txt are run and printed, and do not make the run fail.
"""

import json
import os
import queue
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from msgspec import Struct

from features.support.processes import (
    FIRST_PORT,
    PARALLEL_RUNS,
    PORT_BASE_VARIABLE,
    PORTS_PER_RUN,
    end_with_parent,
)

ROOT = Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
PORT_BASES: queue.SimpleQueue[int] = queue.SimpleQueue()
for _number in range(PARALLEL_RUNS):
    PORT_BASES.put(FIRST_PORT + _number * PORTS_PER_RUN)


class Result(Struct, frozen=True):
    """The result of one check or scenario."""

    name: str
    passed: bool
    output: str = ""


STATIC_CHECKS = {
    "ruff format": ["-m", "ruff", "format", "--check", "."],
    "ruff check": ["-m", "ruff", "check", "."],
    "mypy --strict": ["-m", "mypy"],
    "platform names": ["-m", "features.support.platform_names"],
    "specification": ["-m", "specification"],
    "specification mutations": ["-m", "specification", "--all_mutations"],
}


def run_check(name: str, arguments: list[str], port_base: int = FIRST_PORT) -> Result:
    """Run one check as a process that takes its ports from ``port_base`` on."""
    done = subprocess.run(
        [sys.executable, *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        env={**os.environ, PORT_BASE_VARIABLE: str(port_base)},
        preexec_fn=end_with_parent,
    )
    return Result(name, done.returncode == 0, done.stdout + done.stderr)


def run_feature(feature: Path) -> list[Result]:
    """Run one feature file and return the result of each scenario."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = ["-m", "behave", "--format", "json", "--outfile", report.name]
        command += ["--format", "plain", "--no-capture", str(feature)]
        base = PORT_BASES.get()
        done = run_check(feature.stem, command, base)
        PORT_BASES.put(base)
        text = Path(report.name).read_text()
    if not text.strip():
        return [Result(feature.stem, False, done.output)]
    results = list(_scenarios(feature, json.loads(text), done.output))
    return results or [Result(feature.stem, False, done.output)]


def _scenarios(feature: Path, report: list[dict[str, object]], output: str) -> Iterator[Result]:
    for item in report:
        elements = item.get("elements", [])
        assert isinstance(elements, list)
        for element in elements:
            if element["type"] == "scenario":
                # The name of an outline's scenario ends in a blank where its examples have no name.
                name = f"{feature.stem}: {element['name']}".strip()
                passed = element["status"] == "passed"
                yield Result(name, passed, "" if passed else output)


def known_red() -> set[str]:
    """Return the tests that may fail: the first field of each line of KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.split("|")[0].strip() for line in lines if line.strip()}


def show(result: Result, tolerated: bool) -> None:
    """Print a result, with the output of a failed one."""
    verdict = "passed" if result.passed else "KNOWN RED" if tolerated else "FAILED"
    print(f"{verdict}: {result.name}", flush=True)
    if not result.passed:
        print(result.output, flush=True)


def main() -> int:
    """Run everything.

    :returns: 0 when nothing failed that is not known to.
    """
    red = known_red()
    passed = failed = 0
    for result in _results():
        tolerated = not result.passed and result.name in red
        show(result, tolerated)
        passed += result.passed
        failed += not result.passed and not tolerated
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


def _results() -> Iterator[Result]:
    for name, arguments in STATIC_CHECKS.items():
        yield run_check(name, arguments)
    features = sorted((ROOT / "features").glob("*.feature"))
    with ThreadPoolExecutor(PARALLEL_RUNS) as pool:
        for results in pool.map(run_feature, features):
            yield from results


if __name__ == "__main__":
    sys.exit(main())
