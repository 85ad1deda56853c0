"""What the leader says now and then about demand that it cannot meet."""

from collections.abc import Iterable, Sequence

from loomwind.logs import log_state
from loomwind.metrics import Metrics
from loomwind.placement.demand_view import UnservedModel
from loomwind.placement.server_tracker import ServerTracker

MAX_MODELS_LOGGED = 8
# The store's use changes with each load, and a line names all of them.
STORE_LINE_INTERVAL_MS = 1000.0


class ShortageLog:
    """Writes lines of bounded number and length, and sets the metrics that go with them."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._store_logged_at_ms = float("-inf")

    def record_unserved(self, unserved: Sequence[UnservedModel]) -> None:
        """Take in which models are asked for while no server holds them, the most asked for first.

        :param unserved: empty also where this daemon does not lead.
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
        """Take in how far the weight store is used while models wait for it.

        :param loading: the servers that load from it.
        :param limit: how many loads it serves at once.
        :param queued: the models that lack a copy, in the order in which they get a place.
        """
        if not queued or now_ms - self._store_logged_at_ms < STORE_LINE_INTERVAL_MS:
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
