"""Periodic log lines and metrics about demand that the leader cannot meet or may soon not meet."""

from collections.abc import Iterable, Sequence

from loomwind.clock import MS_PER_SECOND
from loomwind.logs import log_state
from loomwind.metrics import Metrics
from loomwind.placement.demand_view import UnservedModel
from loomwind.placement.server_tracker import ServerTracker
from loomwind.placement.version_demand import VersionDemand

MAX_MODELS_LOGGED = 8
# Limits the rate of lines, since the store's use changes with every load.
STORE_LOG_INTERVAL_MS = 1000.0
VERSION_LOG_INTERVAL_MS = 1000.0


class ShortageLog:
    """Writes log lines of limited rate and length and sets the related metrics."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._store_logged_at_ms = float("-inf")
        self._versions_logged_at_ms: dict[str, float] = {}

    def record_unserved(self, unserved: Sequence[UnservedModel]) -> None:
        """Record the models that are requested while no server holds them.

        :param unserved: the most requested model first; empty if this daemon does not lead.
        """
        self._metrics.models_unserved.set(len(unserved))
        if unserved:
            names = [f"{each.key.target} {each.requests:.0f}" for each in unserved]
            log_state("demand", "unserved", models=len(unserved), most=names[:MAX_MODELS_LOGGED])

    def record_store_use(
        self,
        service: str,
        servers: Iterable[ServerTracker],
        limit: int,
        queued: Sequence[str],
        promised: int,
        now_ms: float,
    ) -> None:
        """Log the use of the weight store while models wait for it.

        :param servers: the service's servers.
        :param limit: the limit on concurrent loads.
        :param queued: the models that lack a copy, in the order in which they are loaded.
        :param promised: the number of loads that callers were promised.
        """
        if not queued or now_ms - self._store_logged_at_ms < STORE_LOG_INTERVAL_MS:
            return
        self._store_logged_at_ms = now_ms
        now = now_ms / MS_PER_SECOND
        using = [server for server in servers if server.uses_store(now)]
        loads = [_describe_use(server, now) for server in using if server.loads_from_store_now]
        freeing = [
            _describe_use(server, now) for server in using if not server.loads_from_store_now
        ]
        log_state(
            "weight-store",
            "used",
            service=service,
            loads_at_once=limit,
            queued=len(queued),
            next=list(queued[:MAX_MODELS_LOGGED]),
            loading=loads,
            freeing=freeing,
            promised=promised,
        )

    def record_broken_promises(self, service: str, names: Sequence[str]) -> None:
        """Record loads that callers were told to return for and that did not start in time."""
        if names:
            self._metrics.load_promises_broken.inc(len(names))
            log_state("weight-store", "promise-broken", service=service, models=list(names))

    def record_versions(self, service: str, demand: Sequence[VersionDemand], now_ms: float) -> None:
        """Log the running streams and copies by model while several software versions serve.

        :param demand: most streams first; empty while one version serves.
        """
        logged_at_ms = self._versions_logged_at_ms.get(service, float("-inf"))
        if not demand or now_ms - logged_at_ms < VERSION_LOG_INTERVAL_MS:
            return
        self._versions_logged_at_ms[service] = now_ms
        models = [
            f"{each.key.model} {each.key.software_version}:"
            f" {each.streams} streams, {len(each.copies)} copies"
            for each in demand[: 2 * MAX_MODELS_LOGGED]
        ]
        log_state("placement", "versions", service=service, total=len(demand), models=models)


def _describe_use(server: ServerTracker, now: float) -> str:
    """Return a server and what it loads or frees memory for; ``unknown`` if nothing is known."""
    order = server.in_flight
    ordered = "" if order is None else order.target.model
    name = server.loading or ordered or server.memory_reserved_for(now) or "unknown"
    return f"{server.entry.instance} {name}"
