"""The controller's latest routing table, without back ends found to be unusable since then."""

from msgspec import structs

from loomwind.messages import EngineRoute, RoutingUpdate, Stamp
from loomwind.pipeline.types import Application, Backend, Target
from loomwind.schema import Artifact


def _applies_to(update: RoutingUpdate, current: RoutingUpdate) -> bool:
    """Return whether an incremental update is based on the current one."""
    before, after = current.stamp, update.stamp
    same_term = (before.generation, before.ballot) == (after.generation, after.ballot)
    return same_term and update.base == current.sequence


def _apply_changes(current: RoutingUpdate, update: RoutingUpdate) -> RoutingUpdate:
    """Return the full update that results from an incremental one."""
    engines = {route.engine: route for route in current.engines}
    engines |= {route.engine: route for route in update.engines}
    for engine in update.removed:
        engines.pop(engine, None)
    merged = tuple(route for _, route in sorted(engines.items()))
    return structs.replace(update, base=0, removed=(), engines=merged)


class RoutingTable:
    """The newest routing update of a daemon, and the back ends that announced their shutdown."""

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
        """Return the sequence number of the update in its controller's term."""
        return self.update.sequence if self.update else 0

    def apply(self, update: RoutingUpdate) -> bool:
        """Apply an update; return False if it is not newer or not based on the current one."""
        current = self.update
        if current is not None:
            new_position = (update.stamp.generation, update.stamp.ballot, update.sequence)
            current_position = (current.stamp.generation, current.stamp.ballot, current.sequence)
            if new_position <= current_position:
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
        """Stop using a replica that its engine reports missing, until the next update."""
        if not isinstance(target, Application):
            kept = [e for e in self._engines.get(target, []) if e.engine != backend]
            self._engines[target] = kept

    def mark_leaving(self, backend: str, leaving: bool) -> bool:
        """Record whether a back end is leaving, and return whether that changed."""
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
        """Return all back ends of the update, including those that are leaving."""
        if self.update is None:
            return []
        engines = [Backend(e.engine, e.address, e.zone) for e in self.update.engines]
        applications = [Backend(a.identity, a.address, a.zone) for a in self.update.applications]
        return engines + applications

    def slots(self, backend: str) -> int | None:
        """Return how many requests this router may run on an engine at once; None if unlimited."""
        engines = self.update.engines if self.update else ()
        return next((e.slots for e in engines if e.engine == backend), None)

    def group_slots(self, group: str) -> float | None:
        """Return the slots allocated to this router for a group; None if there are none."""
        engines = self.update.engines if self.update else ()
        slots = sum(p.places for engine in engines for p in engine.places if p.group == group)
        return slots or None

    def estimate_seconds(self, target: Target) -> float | None:
        """Return the expected time until a target is ready, in seconds; None if unknown."""
        if isinstance(target, Application):
            return None
        return self._estimates.get(target)
