"""Publishes routing updates to the routers of the cell when routes change."""

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
    """Content of a routing update, without its sequence number."""

    def __init__(
        self,
        tracker: EngineTracker,
        demand: DemandAggregator,
        shares: dict[str, float],
        routers: list[MemberInfo],
        applications: tuple[ApplicationRoute, ...],
        estimates: tuple[LoadEstimate, ...],
        previous: "RoutingContent | None" = None,
    ) -> None:
        """Collect the content and allocate the slots.

        :param previous: earlier content whose slot allocations are kept for engines with the same
            ready artifacts; None to allocate all slots anew.
        """
        self._applications = applications
        self._estimates = estimates
        self._records = [
            record
            for _, record in sorted(tracker.records.items())
            if record.status is EngineStatus.FENCED and not record.leaving and not record.failed
        ]
        self._ready = {record.engine: ready_artifacts(record) for record in self._records}
        self._slots = self._allocate_slots(demand, shares, routers, previous)

    def __eq__(self, other: object) -> bool:
        return isinstance(other, RoutingContent) and self._key() == other._key()

    __hash__ = None  # type: ignore[assignment]

    def _key(self) -> tuple[object, ...]:
        endpoints = [(record.engine, record.address, record.zone) for record in self._records]
        return (endpoints, self._ready, self._slots, self._applications, self._estimates)

    def _allocate_slots(
        self,
        demand: DemandAggregator,
        shares: dict[str, float],
        routers: list[MemberInfo],
        previous: "RoutingContent | None",
    ) -> dict[str, dict[str, SlotAllocation]]:
        """Allocate the slots of each engine; engines without demand share one even allocation."""
        ready_counts: dict[Artifact, int] = {}
        for artifacts in self._ready.values():
            for artifact in artifacts:
                ready_counts[artifact] = ready_counts.get(artifact, 0) + 1
        router_names = [info.identity.name for info in routers]
        even_allocations: dict[int, dict[str, SlotAllocation]] = {}
        slots = {}
        for record in self._records:
            engine, ready = record.engine, self._ready[record.engine]
            if previous is not None and previous._ready.get(engine) == ready:
                slots[engine] = previous._slots[engine]
                continue
            demands = demand.slot_demands(ready_counts, ready) if ready else []
            concurrency = record.inventory.concurrency if record.inventory else 1
            if not demands and concurrency not in even_allocations:
                even_allocations[concurrency] = allocate_slots(
                    concurrency, [], shares, router_names
                )
            slots[engine] = (
                allocate_slots(concurrency, demands, shares, router_names)
                if demands
                else even_allocations[concurrency]
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
        group_places = tuple(
            GroupPlaces(group, round(value, 2))
            for group, value in sorted(allocation.group_slots.items())
        )
        return EngineRoute(
            record.engine, record.address, record.zone, allocation.slots, artifacts, group_places
        )


class RoutingPublisher:
    """Numbers updates and keeps the last update that was sent to each router."""

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
        """Return the updates to send now, each with its router."""
        sending = []
        self._sequence += 1
        for router in routers:
            update = content.update_for(router, cell, value, self._sequence, voters)
            previous = self._sent.get(router.identity)
            if not _is_equivalent(previous, update):
                self._sent[router.identity] = update
                sending.append((router, _delta(previous, update)))
        alive = {router.identity for router in routers}
        self._sent = {k: v for k, v in self._sent.items() if k in alive}
        return sending

    def missed_update(self, router: VoterId, digest: Digest) -> RoutingUpdate | None:
        """Return a router's last update if its digest shows that it did not arrive, else None."""
        sent = self._sent.get(router)
        if sent is None:
            return None
        known = (digest.routing, digest.routing_sequence)
        return sent if known < (sent.stamp, sent.sequence) else None


def _same_term(previous: RoutingUpdate, update: RoutingUpdate) -> bool:
    before, after = previous.stamp, update.stamp
    return (before.generation, before.ballot) == (after.generation, after.ballot)


def _delta(previous: RoutingUpdate | None, update: RoutingUpdate) -> RoutingUpdate:
    """Return an update with only the engines that changed since the previous update."""
    if previous is None or not _same_term(previous, update):
        return update
    known = {route.engine: route for route in previous.engines}
    changed = tuple(route for route in update.engines if known.get(route.engine) != route)
    present = {route.engine for route in update.engines}
    removed = tuple(engine for engine in known if engine not in present)
    return structs.replace(update, base=previous.sequence, engines=changed, removed=removed)


def _is_equivalent(previous: RoutingUpdate | None, update: RoutingUpdate) -> bool:
    """Return whether two updates differ at most in the version of the register."""
    if previous is None:
        return False
    return (
        previous.engines == update.engines
        and previous.applications == update.applications
        and previous.estimates == update.estimates
        and previous.voters == update.voters
        and previous.epoch == update.epoch
        and _same_term(previous, update)
    )
