"""Fills the deploy template with fields of a machine, as the platform's pages say."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
TEMPLATE = ROOT / "deploy" / "settings.toml"
GAP = re.compile(r"\{\{([^{}]+)\}\}")

FIELDS = {
    "node-name": "front-a-1",
    "region": "region-a",
    "zone": "zone-a",
    "ip": "127.0.0.1",
    "listen.front": "127.0.0.1:8149",
    "listen.ready": "127.0.0.1:8141",
    "internal-ports.0": "7380",
    "internal-ports.1": "7395",
    "platform.address": "127.0.0.1:8142",
    "bounds.lease-ms": "3000",
    "bounds.drain-ms": "2000",
    "bounds.config-apply-ms": "2000",
    "bounds.grace-s": "8",
    "bounds.retry-budget-ratio": "0.2",
    "bounds.budget-slack": "52",
    "bounds.budget-window-s": "10",
    "bounds.ceiling-window-s": "5",
    "bounds.ceiling-overshoot": "1.1",
}


def render(fields: dict[str, str]) -> str:
    """Return the template with its gaps filled; one without a value becomes empty."""
    return GAP.sub(lambda gap: fields.get(gap[1].strip(), ""), TEMPLATE.read_text())
