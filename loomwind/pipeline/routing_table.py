"""Where requests can go, as the controller last said, less what was seen since."""

from msgspec import structs

from loomwind.messages import EngineRoute, RoutingUpdate, Stamp
from loomwind.pipeline.types import Application, Backend, Target
from loomwind.schema import Artifact


def _applies_to(update: RoutingUpdate, current: RoutingUpdate) -> bool:
    """Return whether an update changes just the one that is held."""
    before, after = current.stamp, update.stamp
    same_term = (before.generation, before.ballot) == (after.generation, after.ballot)
    return same_term and update.base == current.sequence


def _apply_changes(current: RoutingUpdate, update: RoutingUpdate) -> RoutingUpdate:
    """Return the whole update that a change of engines leads to."""
    engines = {route.engine: route for route in current.engines}
    engines |= {route.engine: route for route in update.engines}
    for engine in update.removed:
        engines.pop(engine, None)
    merged = tuple(route for _, route in sorted(engines.items()))
    return structs.replace(update, base=0, removed=(), engines=merged)


class RoutingTable:
    """The newest routing update of a daemon and the back ends that said they are leaving."""

    def __init__(self) -> None:
        self.update: RoutingUpdate | None = None
        self._leaving: set[str] = set()
        self._engines: dict[Artifact, list[EngineRoute]] = {}
        self._estimates: dict[Artifact, float] = {}

    @property
    def stamp(self) -> Stamp:
        """Return the register stamp of the update."""
        return self.update.stamp if self.update else Stamp()

    @property
    def sequence(self) -> int:
        """Return the number of the update within its controller's term."""
        return self.update.sequence if self.update else 0

    def apply(self, update: RoutingUpdate) -> bool:
        """Take in an update unless it is older than the one held."""
        current = self.update
        if current is not None:
            term = (update.stamp.generation, update.stamp.ballot, update.sequence)
            known = (current.stamp.generation, current.stamp.ballot, current.sequence)
            if term <= known:
                return False
        if update.base:
            if current is None or not _applies_to(update, current):
                return False
            update = _apply_changes(current, update)
        self.update = update
        self._estimates = {e.artifact: e.seconds for e in update.estimates}
        self._engines = {}
        for engine in update.engines:
            for artifact in engine.replicas:
                self._engines.setdefault(artifact, []).append(engine)
        return True

    def drop_replica(self, target: Target, backend: str) -> None:
        """Use a replica no more that its engine says it does not have, until the next update."""
        if not isinstance(target, Application):
            kept = [e for e in self._engines.get(target, []) if e.engine != backend]
            self._engines[target] = kept

    def mark_leaving(self, backend: str, leaving: bool) -> bool:
        """Note that a back end is leaving, or no longer is; returns whether that is news."""
        if leaving == (backend in self._leaving):
            return False
        if leaving:
            self._leaving.add(backend)
        else:
            self._leaving.discard(backend)
        return True

    def backends(self, target: Target) -> list[Backend]:
        """Return the back ends that serve a target and are not leaving."""
        if isinstance(target, Application):
            routes = self.update.applications if self.update else ()
            found = [
                Backend(route.identity, route.address, route.zone)
                for route in routes
                if route.application == target.name
            ]
        else:
            engines = self._engines.get(target, [])
            found = [Backend(e.engine, e.address, e.zone) for e in engines]
        return [backend for backend in found if backend.name not in self._leaving]

    def all_backends(self) -> list[Backend]:
        """Return every back end of the update, also those that are leaving."""
        if self.update is None:
            return []
        engines = [Backend(e.engine, e.address, e.zone) for e in self.update.engines]
        applications = [Backend(a.identity, a.address, a.zone) for a in self.update.applications]
        return engines + applications

    def slots(self, backend: str) -> int | None:
        """Return how many requests may run at an engine at once; None when not limited."""
        engines = self.update.engines if self.update else ()
        return next((e.slots for e in engines if e.engine == backend), None)

    def weight(self, group: str) -> float | None:
        """Return the places that this router was lent for a group; None when it was lent none."""
        engines = self.update.engines if self.update else ()
        places = sum(p.places for engine in engines for p in engine.places if p.group == group)
        return places or None

    def estimate_seconds(self, target: Target) -> float | None:
        """Return when a target that is not ready is expected to be; None when unknown."""
        if isinstance(target, Application):
            return None
        return self._estimates.get(target)
