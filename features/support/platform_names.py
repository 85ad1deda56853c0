"""Fails when a name of the users' platform stands in the product outside ``loomwind/platform/``.

Run as ``python -m features.support.platform_names``; prints each place.
"""

import re
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
PRODUCT = ROOT / "loomwind"
ADAPTER = PRODUCT / "platform"
NAMES = (
    "x-response-stamp",
    "x-expect-instance",
    "x-not-executed",
    "server-brittle",
    "x-instance-id",
    "x-model",
    "x-token-usage",
    "x-prompt-prefix",
    "x-request-priority",
    "x-deadline-ms",
    "x-kv-backup",
    "rows-tx",
    "rows-get",
    "rows-feed",
    "rows-parts",
    "blob-put",
    "fencing-token",
    "expect-revision",
    "traffic-split",
    "path-prefix",
    "target-latency-ms",
    "gap-aim-ms",
    "sticky-sessions",
    "max-attempts",
    "max-conns",
    "remaining-ms",
    "cold-remaining-ms",
    "disk-cached",
    "weights-mb",
    "load-time-s",
    "disk-load-s",
    "adapter-slots",
    "adapter-mb",
    "loads-per-s",
    "kv-capacity",
    "kv-used",
    "internal-ports",
    "budget-slack",
)
PATTERN = re.compile("|".join(re.escape(name) for name in NAMES), re.IGNORECASE)


def places() -> list[str]:
    """Return ``path:line: name`` for each name that stands where it should not."""
    found = []
    for path in sorted(PRODUCT.rglob("*.py")):
        if path.is_relative_to(ADAPTER):
            continue
        for number, line in enumerate(path.read_text().splitlines(), start=1):
            for match in PATTERN.finditer(line):
                found.append(f"{path.relative_to(ROOT)}:{number}: {match.group()}")
    return found


if __name__ == "__main__":
    names = places()
    print("\n".join(names) or "no name of the platform outside its adapter")
    sys.exit(1 if names else 0)
