"""Aggregates the routers' reports of queued and running requests."""

from collections import defaultdict

from msgspec import Struct

from loomwind.control.slot_allocation import SlotDemand
from loomwind.control.views import DemandView
from loomwind.messages import DemandEntry, DemandReport, VoterId
from loomwind.schema import Artifact

REPORT_LIFETIME_SECONDS = 3.0


class _ReceivedReport(Struct, frozen=True):
    """The latest report of a router."""

    received_at: float
    entries: tuple[DemandEntry, ...]


class DemandAggregator:
    """Latest report of each router; times are monotonic, in seconds."""

    def __init__(self) -> None:
        self._reports: dict[VoterId, _ReceivedReport] = {}

    def update(self, report: DemandReport, now: float) -> None:
        """Replace the previous report of a router."""
        self._reports[report.router] = _ReceivedReport(now, report.entries)

    def drop_expired(self, now: float) -> None:
        """Drop the reports of routers that have stopped reporting."""
        self._reports = {
            router: report
            for router, report in self._reports.items()
            if now - report.received_at < REPORT_LIFETIME_SECONDS
        }

    def views(self) -> tuple[DemandView, ...]:
        """Return the demand for each artifact and group over all routers."""
        grouped: dict[tuple[Artifact, str], list[DemandEntry]] = defaultdict(list)
        for report in self._reports.values():
            for entry in report.entries:
                grouped[(entry.artifact, entry.group)].append(entry)
        return tuple(
            DemandView(
                artifact=artifact,
                group=group,
                waiting=sum(entry.waiting for entry in entries),
                running=sum(entry.running for entry in entries),
                nearest_deadline_seconds=min(e.nearest_deadline_seconds for e in entries),
            )
            for (artifact, group), entries in sorted(grouped.items())
        )

    def slot_demands(
        self, ready_counts: dict[Artifact, int], served: frozenset[Artifact]
    ) -> list[SlotDemand]:
        """Return the routers' demand for the slots of one engine.

        :param ready_counts: the number of engines on which each artifact is ready; the demand for
            the artifact is divided evenly among them.
        :param served: the artifacts that are ready on this engine.
        """
        demands = []
        for router, report in self._reports.items():
            active: dict[str, float] = defaultdict(float)
            for entry in report.entries:
                if entry.artifact in served:
                    requests = entry.waiting + entry.running
                    active[entry.group] += requests / max(1, ready_counts[entry.artifact])
            demands += [
                SlotDemand(router.name, group, max(1, round(value)))
                for group, value in sorted(active.items())
                if value > 0
            ]
        return demands
