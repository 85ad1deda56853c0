"""Behave hooks: each scenario has a site of its own; a failed one prints its logs."""

import os
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent))

from features.support.site import Site

LOG_TAIL_CHARACTERS = 3000


def before_scenario(context: Any, scenario: Any) -> None:
    """Begin with an empty site."""
    context.site = Site()
    context.pool = None
    context.replies = []


def after_scenario(context: Any, scenario: Any) -> None:
    """End all processes of the scenario."""
    if scenario.status.name in ("failed", "error") and os.environ.get("LOOMWIND_LOGS"):
        for log in sorted(context.site.folder.glob("*.log")):
            print(f"--- {log.name}", log.read_text()[-LOG_TAIL_CHARACTERS:], file=sys.stderr)
        for daemon in context.site.daemons.values():
            samples = [s for s in daemon.admin("/metrics").splitlines() if s[:1] != "#"]
            shown = [s for s in samples if "created" not in s and not s.endswith(" 0.0")]
            print(f"--- {daemon.name}", *shown, sep="\n", file=sys.stderr)
    context.site.close()
    if context.pool is not None:
        if scenario.status.name in ("failed", "error") and os.environ.get("LOOMWIND_LOGS"):
            for log in sorted(context.pool.folder.glob("*.log")):
                print(f"--- {log.name}", log.read_text()[-LOG_TAIL_CHARACTERS:], file=sys.stderr)
        context.pool.close()
