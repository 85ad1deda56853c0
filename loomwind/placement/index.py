"""Lookup tables for one plan: servers and running requests by model. Pure."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence

from loomwind.placement.server_tracker import ServerTracker
from loomwind.serving.views import HeldModel, ModelKey, OrderKind


class ServersByModel(dict[str, list[ServerTracker]]):
    """Servers by model name. Looking up an unknown model gives an empty list and adds no entry."""

    def __missing__(self, name: str) -> list[ServerTracker]:
        return []

    def add(self, name: str, server: ServerTracker) -> None:
        """Add a server to the list of a model."""
        self.setdefault(name, []).append(server)


class PlacementIndex:
    """Snapshot of a service's servers, indexed by model.

    :ivar holders: servers that hold a model, by model name.
    :ivar loading: servers that are loading a model, by model name.
    :ivar cached_copies: servers with the weights in host memory or on disk, by model name.
    :ivar available: models and adapters that are loaded or being loaded.
    :ivar reserved: models for which memory is reserved by evicting another one.
    """

    def __init__(
        self,
        servers: Sequence[ServerTracker],
        running: Mapping[tuple[str, ModelKey], int],
        now: float,
    ) -> None:
        self.holders = ServersByModel()
        self.loading = ServersByModel()
        self.cached_copies = ServersByModel()
        self.available: set[ModelKey] = set()
        self.reserved: set[str] = set()
        self._servers = {server.entry.instance: server for server in servers}
        for server in servers:
            self._add(server, now)
        self._running: dict[tuple[str, str], int] = defaultdict(int)
        self._total_running: Counter[str] = Counter()
        for (instance, target), count in running.items():
            self._running[(instance, target.model)] += count
            self._total_running[instance] += count

    def _add(self, server: ServerTracker, now: float) -> None:
        reserved_model = server.memory_reserved_for(now)
        if reserved_model is not None:
            self.reserved.add(reserved_model)
        report = server.report
        if report is None:
            return
        for held in report.held:
            self.holders.add(held.name, server)
            self.available.add(ModelKey(held.name))
            self.available.update(ModelKey(held.name, adapter) for adapter in held.adapters)
        self.available.update(report.pending_adapters)
        for name in report.in_memory | report.on_disk:
            self.cached_copies.add(name, server)
        for target in _load_targets(server):
            self.available.add(target)
            if not target.adapter:
                self.loading.add(target.model, server)

    def server(self, instance: str) -> ServerTracker:
        """Return a server by its instance ID."""
        return self._servers[instance]

    def running_requests(self, instance: str, name: str) -> int:
        """Return the number of requests running at a server for a model and its adapters."""
        return self._running.get((instance, name), 0)

    def total_requests(self, instance: str) -> int:
        """Return the number of requests running or queued at a server."""
        return self._total_running[instance]

    def running_models(self) -> set[str]:
        """Return the models with running requests."""
        return {name for _, name in self._running}

    def loaded_adapters(self, name: str) -> set[str]:
        """Return the adapters of a model that are loaded on any server."""
        held = (model for server in self.holders[name] for model in _held_models(server))
        return {adapter for model in held if model.name == name for adapter in model.adapters}


def _held_models(server: ServerTracker) -> Iterable[HeldModel]:
    return () if server.report is None else server.report.held


def _load_targets(server: ServerTracker) -> Iterable[ModelKey]:
    """Yield what a server is loading or has been ordered to load."""
    order, operation = server.in_flight, server.operation
    if order is not None and order.kind is OrderKind.LOAD:
        yield order.target
    if operation is not None and operation.kind is OrderKind.LOAD:
        yield ModelKey(operation.target.model)
