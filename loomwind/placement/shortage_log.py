"""Periodic log lines and metrics about demand that the leader cannot meet or may soon not meet."""

from collections.abc import Iterable, Sequence

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
        loading: Iterable[ServerTracker],
        limit: int,
        queued: Sequence[str],
        now_ms: float,
    ) -> None:
        """Log the use of the weight store while models wait for it.

        :param loading: the servers that load from it.
        :param limit: the limit on concurrent loads.
        :param queued: the models that lack a copy, in the order in which they are loaded.
        """
        if not queued or now_ms - self._store_logged_at_ms < STORE_LOG_INTERVAL_MS:
            return
        self._store_logged_at_ms = now_ms
        loads = [f"{server.entry.instance} {server.loading or 'unknown'}" for server in loading]
        log_state(
            "weight-store",
            "used",
            service=service,
            loads_at_once=limit,
            queued=len(queued),
            next=list(queued[:MAX_MODELS_LOGGED]),
            loading=loads,
        )

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
