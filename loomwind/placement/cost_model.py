"""The cost of loading a model: its load time, and what callers of evicted models wait. Pure."""

from collections.abc import Sequence

import attrs

from loomwind.placement.demand_view import PendingDemand
from loomwind.placement.plan import DraftPlan, PlanInput
from loomwind.placement.server_tracker import ServerTracker
from loomwind.placement.version_demand import VersionCopies
from loomwind.serving.demand import VersionedModel
from loomwind.serving.views import HeldModel, ModelKey, ModelProfile


@attrs.frozen
class LoadOption:
    """A way to load a model on a server.

    :ivar cost_seconds: the load time, plus the time that callers of the evicted models would wait.
    :ivar victims: the models to evict, least waiting time first.
    """

    server: ServerTracker
    cost_seconds: float
    victims: tuple[str, ...]


class CostModel:
    """Costs and values based on the current demand."""

    def __init__(
        self,
        inputs: PlanInput,
        pending_demand: Sequence[PendingDemand],
        draft: DraftPlan,
        version_copies: VersionCopies,
    ) -> None:
        self._inputs = inputs
        self._draft = draft
        self._version_copies = version_copies
        self._pending_models = {pending.key.target.model for pending in pending_demand}

    def load_option(self, server: ServerTracker, name: str) -> LoadOption | None:
        """Return how to load a model on a server, or None if it cannot be loaded there."""
        model = server.profile.model(name)
        if model is None or model.memory_mb > server.profile.memory_mb:
            return None
        from_store = server.loads_from_store(name)
        if from_store and not self._draft.can_load_from_store(name):
            return None
        victims = self.victims(server, model.memory_mb)
        if victims is None:
            return None
        load_seconds = server.load_seconds(name)
        lost_seconds = sum(self.eviction_seconds(server, v, load_seconds) for v in victims)
        return LoadOption(server, load_seconds + lost_seconds, victims)

    def victims(self, server: ServerTracker, required_mb: float) -> tuple[str, ...] | None:
        """Return the models of lowest value to evict, or None if they free too little memory."""
        report = server.report
        assert report is not None
        free_mb = server.free_mb()
        victims: list[str] = []
        for held in sorted(report.held, key=lambda held: self._eviction_key(server, held.name)):
            if free_mb >= required_mb:
                break
            if held.name in self._pending_models or self._is_last_copy(server, held.name):
                continue
            victims.append(held.name)
            free_mb += _size_mb(server.profile.model(held.name), held)
        return tuple(victims) if free_mb >= required_mb else None

    def _eviction_key(self, server: ServerTracker, name: str) -> tuple[float, int, float, str]:
        """Sort key for evictions: by value, then fewest copies, then the fastest reload, then name.

        Models that nobody has requested yet have no value. Those with several copies are taken for
        the busier ones, since that is how servers are filled before traffic.
        """
        copies = len(self._inputs.holders(name))
        return (self.copy_value(server, name), copies, server.load_seconds(name), name)

    def _is_last_copy(self, server: ServerTracker, name: str) -> bool:
        """Return whether streams need a copy that is the only loaded one at its software version.

        Copies that another order evicts do not count, and neither do those that are being loaded.
        """
        version = server.entry.software_version
        if VersionedModel(self._inputs.service, name, version) not in self._version_copies.demanded:
            return False
        return not any(
            other is not server
            and other.has_version(version)
            and not self._draft.unloads(other, ModelKey(name))
            for other in self._inputs.holders(name)
        )

    def evicts_kept_copy(self, option: LoadOption) -> bool:
        """Return whether a way to load a model evicts a copy that streams need."""
        instance = option.server.entry.instance
        return any((instance, name) in self._version_copies.kept for name in option.victims)

    def total_copy_value(self, server: ServerTracker, names: Sequence[str]) -> float:
        """Return the total value of a server's copies of some models."""
        return sum(self.copy_value(server, name) for name in names)

    def eviction_seconds(self, server: ServerTracker, name: str, away_seconds: float) -> float:
        """Return the time that callers would wait in total if a copy were evicted for a load.

        These are the requests that the copy serves now, and those expected until it could be back;
        each waits for the reload. While the other load lasts, the server takes no order.

        :param away_seconds: how long the load takes that needs the memory.
        """
        reload_seconds = server.load_seconds(name)
        share = self._inputs.rate(ModelKey(name)) / max(1, len(self._inputs.holders(name)))
        running = self._inputs.index.running_requests(server.entry.instance, name)
        requests = running + share * (away_seconds + reload_seconds)
        return requests * (away_seconds + reload_seconds)

    def copy_value(self, server: ServerTracker, name: str) -> float:
        """Return the requests that a server's copy of a model serves, per second.

        All requests for a model lose by the eviction of its last copy, a share by any other.
        """
        share = self._inputs.rate(ModelKey(name)) / max(1, len(self._inputs.holders(name)))
        return share + self._inputs.index.running_requests(server.entry.instance, name)


def _size_mb(model: ModelProfile | None, held: HeldModel) -> float:
    """Return the memory of a held model and its adapters, in MB."""
    if model is None:
        return 0.0
    return model.memory_mb + len(held.adapters) * model.adapter_mb
