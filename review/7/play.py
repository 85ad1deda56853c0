"""Prompts with a part that crashes servers, two in a row about each document."""

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

from deployment import Reply, Site, run  # noqa: E402
from service import (  # noqa: E402
    BACK_AFTER_S,
    FIRST_PART,
    ZONES,
    ask,
    count_late_arrivals,
    note_bans,
    prompt,
    set_faults,
    start_servers,
)

BAD_PART = "bad00001"
DOCUMENTS = 8
PAUSE_S = 61.0
BAD_PERIOD_S = 1.5
SOUND_PERIOD_S = 0.25
SETTLE_S = 4.0


async def play(site: Site) -> None:
    """Send sound requests about all documents; a minute later, two with the part about each."""
    for number in range(DOCUMENTS):
        daemon = site.daemons[number % len(site.daemons)]
        await ask(site, daemon, "sound", prompt(FIRST_PART, f"doc{number:05d}"), 4)
    tasks: list[asyncio.Task[Reply]] = []
    site.note(f"nobody asks about these documents for {PAUSE_S} s; other requests go on")
    await _send_others(site, tasks, PAUSE_S)
    for number in range(2 * DOCUMENTS):
        daemon = site.daemons[number % len(site.daemons)]
        parts = prompt(BAD_PART, f"doc{number // 2:05d}")
        tasks.append(asyncio.create_task(ask(site, daemon, "bad", parts, 4)))
        await _send_others(site, tasks, BAD_PERIOD_S)
    await asyncio.gather(*tasks)


async def _send_others(site: Site, tasks: list[asyncio.Task[Reply]], seconds: float) -> None:
    """Send sound requests about other documents for some time."""
    for turn in range(int(seconds / SOUND_PERIOD_S)):
        daemon = site.daemons[turn % len(site.daemons)]
        parts = prompt(FIRST_PART, f"other{turn % 20:03d}")
        tasks.append(asyncio.create_task(ask(site, daemon, "sound", parts, 4)))
        await asyncio.sleep(SOUND_PERIOD_S)


def main(site: Site) -> int:
    """Run the play; returns the exit status."""
    ports = start_servers(site, slots=64)
    site.add_daemons(ZONES)
    time.sleep(SETTLE_S)
    faults = {"back_after_seconds": BACK_AFTER_S, "event_seconds": 0.05}
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    set_faults(ports, **faults, crash_part=BAD_PART if has_trouble else "")
    asyncio.run(play(site))
    note_bans(site)
    return int(count_late_arrivals(site, ports, BAD_PART) > 3)


if __name__ == "__main__":
    sys.exit(run(HERE / "record.txt", main))
