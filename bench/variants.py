"""Writes varied copies of a site file of the users' bench: deployments that nobody has tuned for.

``python -m bench variants --site A.toml --folder DIR`` writes one file for each variant; hunts on
them look for decisions that rest on figures of the sites rather than on settings.
"""

import shutil
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import tomli_w

Site = dict[str, Any]


def one_zone(site: Site) -> None:
    """Put all machines, servers and callers in the first zone."""
    zone = site["zones"][0]["name"]
    site["zones"] = site["zones"][:1]
    machines = site["machines"]
    machines[0] |= {
        "zone": zone,
        "count": sum(machine["count"] for machine in machines),
        "spare": sum(machine.get("spare", 0) for machine in machines),
    }
    site["machines"] = machines[:1]
    for service in site["services"]:
        count = sum(group["count"] for group in service["servers"])
        service["servers"] = [{"zone": zone, "count": count}]
    _for_each_zoned(site, lambda entry: entry.update(zone=zone))
    site["troubles"] = [t for t in site["troubles"] if t["kind"] not in ("lossy", "shift")]
    for day in site["day"]:
        _drop_faults(day, ("lossy", "shift"))


def _for_each_zoned(site: Site, change: Callable[[Site], None]) -> None:
    for entries in (site["traffic"], *(day.get("traffic", []) for day in site["day"])):
        for entry in entries:
            change(entry)


def _drop_faults(day: Site, kinds: tuple[str, ...]) -> None:
    for name in ("plan", "faults"):
        day[name] = [entry for entry in day.get(name, []) if entry["kind"] not in kinds]


def slow_store(site: Site) -> None:
    """Make the store slow, strict and forgetful, and zones far apart."""
    site["platform"] |= {"tx_ms": 30.0, "writes_per_s": 60.0, "reads_per_s": 200.0}
    site["net"] |= {"cross_zone_ms": 12.0, "client_ms": 20.0}


def tight_machines(site: Site) -> None:
    """Give each machine half of the processor, a third of the memory and few descriptors."""
    for machine in site["machines"]:
        machine |= {"cpu_share": machine["cpu_share"] / 2, "memory_mb": 110, "fds": 1200}


def strict_bounds(site: Site) -> None:
    """Shorten what the deployment allows, and beat faster."""
    site["bounds"] |= {"drain_ms": 1200, "config_ms": 1500, "grace_s": 6.0, "budget_slack": 20.0}
    site["discovery"] |= {"beat_ms": 600}


def more_servers(site: Site) -> None:
    """Three times as many servers, each a third as wide."""
    for service in site["services"]:
        for group in service["servers"]:
            group["count"] *= 3
        service["slots"] = max(2, service["slots"] // 3)


VARIANTS: dict[str, Callable[[Site], None]] = {
    "one-zone": one_zone,
    "slow-store": slow_store,
    "tight-machines": tight_machines,
    "strict-bounds": strict_bounds,
    "more-servers": more_servers,
}


def variants(site: str, folder: str) -> None:
    """Write a varied copy of a site file for each variant, with the table of names beside it.

    Args:
        site: the site file.
        folder: where the copies go.
    """
    source = Path(site)
    target = Path(folder)
    target.mkdir(parents=True, exist_ok=True)
    text = source.read_text(encoding="utf-8")
    wire = source.parent / tomllib.loads(text)["wire"]
    shutil.copy(wire, target / wire.name)
    for name, change in VARIANTS.items():
        varied = tomllib.loads(text)
        change(varied)
        path = target / f"{source.stem}-{name}.toml"
        path.write_text(tomli_w.dumps(varied), encoding="utf-8")
        print(path)
