"""Tells the routers of the cell where requests can go, whenever that changes."""

from msgspec import structs

from loomwind.control.cluster_view import ready_artifacts
from loomwind.control.demand import DemandAggregator
from loomwind.control.engine_tracker import EngineRecord, EngineStatus, EngineTracker
from loomwind.control.slot_allocation import SlotAllocation, allocate_slots
from loomwind.messages import (
    ApplicationRoute,
    Digest,
    EngineRoute,
    GroupPlaces,
    LoadEstimate,
    MemberInfo,
    RegisterValue,
    RoutingUpdate,
    VoterId,
)
from loomwind.schema import Artifact


class RoutingContent:
    """What is published: everything of an update but its number."""

    def __init__(
        self,
        tracker: EngineTracker,
        demand: DemandAggregator,
        shares: dict[str, float],
        routers: list[MemberInfo],
        applications: tuple[ApplicationRoute, ...],
        estimates: tuple[LoadEstimate, ...],
        earlier: "RoutingContent | None" = None,
    ) -> None:
        """Collect what is known.

        :param earlier: content whose loans of slots still stand where the same engine serves the
            same; None to lend anew.
        """
        self._applications = applications
        self._estimates = estimates
        self._records = [
            record
            for _, record in sorted(tracker.records.items())
            if record.status is EngineStatus.FENCED and not record.leaving and not record.failed
        ]
        self._ready = {record.engine: ready_artifacts(record) for record in self._records}
        self._slots = self._allocate_slots(demand, shares, routers, earlier)

    def __eq__(self, other: object) -> bool:
        return isinstance(other, RoutingContent) and self._key() == other._key()

    __hash__ = None  # type: ignore[assignment]

    def _key(self) -> tuple[object, ...]:
        places = [(record.engine, record.address, record.zone) for record in self._records]
        return (places, self._ready, self._slots, self._applications, self._estimates)

    def _allocate_slots(
        self,
        demand: DemandAggregator,
        shares: dict[str, float],
        routers: list[MemberInfo],
        earlier: "RoutingContent | None",
    ) -> dict[str, dict[str, SlotAllocation]]:
        """Lend the slots of each engine; engines that nobody asks for share one even loan."""
        counts: dict[Artifact, int] = {}
        for artifacts in self._ready.values():
            for artifact in artifacts:
                counts[artifact] = counts.get(artifact, 0) + 1
        names = [info.identity.name for info in routers]
        even: dict[int, dict[str, SlotAllocation]] = {}
        slots = {}
        for record in self._records:
            engine, ready = record.engine, self._ready[record.engine]
            if earlier is not None and earlier._ready.get(engine) == ready:
                slots[engine] = earlier._slots[engine]
                continue
            demands = demand.slot_demands(counts, ready) if ready else []
            concurrency = record.inventory.concurrency if record.inventory else 1
            if not demands and concurrency not in even:
                even[concurrency] = allocate_slots(concurrency, [], shares, names)
            slots[engine] = (
                allocate_slots(concurrency, demands, shares, names)
                if demands
                else even[concurrency]
            )
        return slots

    def update_for(
        self,
        router: MemberInfo,
        cell: str,
        value: RegisterValue,
        sequence: int,
        voters: tuple[MemberInfo, ...],
    ) -> RoutingUpdate:
        """Return the update for one router."""
        engines = tuple(self._route(record, router) for record in self._records)
        return RoutingUpdate(
            cell=cell,
            stamp=value.stamp,
            sequence=sequence,
            base=0,
            engines=engines,
            removed=(),
            applications=self._applications,
            estimates=self._estimates,
            voters=voters,
            epoch=value.epoch,
        )

    def _route(self, record: EngineRecord, router: MemberInfo) -> EngineRoute:
        allocation = self._slots[record.engine].get(router.identity.name, SlotAllocation(1))
        artifacts = tuple(sorted(self._ready[record.engine]))
        places = tuple(
            GroupPlaces(group, round(value, 2))
            for group, value in sorted(allocation.places.items())
        )
        return EngineRoute(
            record.engine, record.address, record.zone, allocation.slots, artifacts, places
        )


class RoutingPublisher:
    """Numbers updates, and remembers what each router was sent."""

    def __init__(self) -> None:
        self._sequence = 0
        self._sent: dict[VoterId, RoutingUpdate] = {}

    def updates(
        self,
        content: RoutingContent,
        cell: str,
        value: RegisterValue,
        routers: list[MemberInfo],
        voters: tuple[MemberInfo, ...],
    ) -> list[tuple[MemberInfo, RoutingUpdate]]:
        """Return the updates that must be sent now, each with its router."""
        sending = []
        self._sequence += 1
        for router in routers:
            update = content.update_for(router, cell, value, self._sequence, voters)
            earlier = self._sent.get(router.identity)
            if not _same(earlier, update):
                self._sent[router.identity] = update
                sending.append((router, _difference(earlier, update)))
        alive = {router.identity for router in routers}
        self._sent = {k: v for k, v in self._sent.items() if k in alive}
        return sending

    def missed(self, router: VoterId, digest: Digest) -> RoutingUpdate | None:
        """Return the last update to a router whose digest shows that it never came."""
        sent = self._sent.get(router)
        if sent is None:
            return None
        known = (digest.routing, digest.routing_sequence)
        return sent if known < (sent.stamp, sent.sequence) else None


def _same_term(earlier: RoutingUpdate, update: RoutingUpdate) -> bool:
    before, after = earlier.stamp, update.stamp
    return (before.generation, before.ballot) == (after.generation, after.ballot)


def _difference(earlier: RoutingUpdate | None, update: RoutingUpdate) -> RoutingUpdate:
    """Return an update with only the engines that changed since an earlier one."""
    if earlier is None or not _same_term(earlier, update):
        return update
    known = {route.engine: route for route in earlier.engines}
    changed = tuple(route for route in update.engines if known.get(route.engine) != route)
    present = {route.engine for route in update.engines}
    removed = tuple(engine for engine in known if engine not in present)
    return structs.replace(update, base=earlier.sequence, engines=changed, removed=removed)


def _same(earlier: RoutingUpdate | None, update: RoutingUpdate) -> bool:
    """Return whether two updates say the same; versions of the register alone do not count."""
    if earlier is None:
        return False
    return (
        earlier.engines == update.engines
        and earlier.applications == update.applications
        and earlier.estimates == update.estimates
        and earlier.voters == update.voters
        and earlier.epoch == update.epoch
        and _same_term(earlier, update)
    )
