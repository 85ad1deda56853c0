"""Steps that run the command line and check its output and exit status."""

import os
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from behave import then, when

from features.support.site import LOCALHOST, OPERATOR_TOKEN


def run(context: Any, *arguments: str) -> None:
    """Run the command line; stores its exit status and output in the context."""
    environment = {**os.environ, "LOOMWIND_OPERATOR_TOKEN": OPERATOR_TOKEN}
    result = subprocess.run(
        [sys.executable, "-m", "loomwind", *arguments],
        capture_output=True,
        text=True,
        env=environment,
        check=False,
    )
    context.status = result.returncode
    context.output = result.stdout + result.stderr


@when("check-config is run on")
def step_check(context: Any) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.toml"
        path.write_text(context.text)
        run(context, "check-config", str(path))


@when("check-config is run on a file that does not exist")
def step_missing(context: Any) -> None:
    run(context, "check-config", "no-such-file.toml")


@when("the command line runs {arguments}")
def step_run(context: Any, arguments: str) -> None:
    run(context, *arguments.split())


@when("the operator's command line runs {arguments}")
def step_operator(context: Any, arguments: str) -> None:
    daemon = context.site.daemons["daemon-1"]
    address = f"--address={LOCALHOST}:{daemon.ports.operator}"
    run(context, *arguments.split(), address)


@then("it exits with status {status:d} and prints")
def step_status(context: Any, status: int) -> None:
    assert context.status == status, (context.status, context.output)
    for row in context.table:
        assert row["fault"] in context.output, (row["fault"], context.output)
