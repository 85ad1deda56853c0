"""Steps about the processes that tests start."""

import subprocess
import sys
from pathlib import Path
from typing import Any

from behave import given, then, when

from features.support.processes import wait_until


def _has_ended(pid: int) -> bool:
    """Whether a process is gone, or only waits for its parent to read its exit status."""
    try:
        status = Path(f"/proc/{pid}/stat").read_text()
    except FileNotFoundError:
        return True
    return status.rpartition(")")[2].split()[0] == "Z"


@given("a test run that has started a process")
def step_test_run(context: Any) -> None:
    context.test_run = subprocess.Popen(
        [sys.executable, "-m", "features.support.process_owner"], stdout=subprocess.PIPE, text=True
    )
    assert context.test_run.stdout is not None
    context.started_pid = int(context.test_run.stdout.readline())


@when("the test run is killed")
def step_kill(context: Any) -> None:
    context.test_run.kill()
    context.test_run.communicate()


@then("the process that it had started has ended")
def step_ended(context: Any) -> None:
    wait_until(lambda: _has_ended(context.started_pid), "the process ends", timeout=10.0)
