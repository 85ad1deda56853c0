"""What the soaks have in common: their options, their daemons and the pace of their faults."""

import time
from collections.abc import Mapping
from pathlib import Path

from attrs import define

from features.support.pool_site import PoolSite
from features.support.soak_faults import SoakFaults


@define(frozen=True)
class SoakOptions:
    """Length and size of a soak; ``behave -D name=value`` overrides those of the scenario.

    :ivar keep: folder in which the logs of a failed run are kept; None to keep none.
    """

    seed: int
    seconds: float
    daemons: int
    keep: Path | None

    @classmethod
    def read(
        cls, userdata: Mapping[str, str], seed: int = 0, seconds: float = 0.0, daemons: int = 0
    ) -> "SoakOptions":
        """Return the options of the command line, or those of the scenario."""
        keep = userdata.get("keep")
        return cls(
            int(userdata.get("seed", seed)),
            float(userdata.get("seconds", seconds)),
            int(userdata.get("daemons", daemons)),
            Path(keep) if keep else None,
        )


def start_daemons(site: PoolSite, count: int, event_seconds: float) -> None:
    """Write the configuration, start the daemons and wait until they are ready."""
    site.configure()
    for number in range(count):
        site.add_daemon(f"daemon-{number + 1}")
    for server in site.servers.values():
        server.fault(event_seconds=event_seconds)
    site.wait_ready()


def strike_for(seconds: float, faults: SoakFaults) -> None:
    """Inject one fault after the other for some seconds."""
    ends = time.monotonic() + seconds
    while time.monotonic() < ends:
        time.sleep(faults.strike())
