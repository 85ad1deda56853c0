"""Periodic log lines and metrics about demand that the leader cannot meet."""

from collections.abc import Iterable, Sequence

from loomwind.logs import log_state
from loomwind.metrics import Metrics
from loomwind.placement.demand_view import UnservedModel
from loomwind.placement.server_tracker import ServerTracker

MAX_MODELS_LOGGED = 8
# Limits the rate of lines, since the store's use changes with every load.
STORE_LOG_INTERVAL_MS = 1000.0


class ShortageLog:
    """Writes log lines of limited rate and length and sets the related metrics."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._store_logged_at_ms = float("-inf")

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
