"""What waits and runs in the cell, summed from the routers' reports."""

from collections import defaultdict

from msgspec import Struct

from loomwind.control.slot_allocation import SlotDemand
from loomwind.control.views import DemandView
from loomwind.messages import DemandEntry, DemandReport, VoterId
from loomwind.schema import Artifact

REPORT_LIFETIME_SECONDS = 3.0


class _ReceivedReport(Struct, frozen=True):
    """A router's newest report and when it came."""

    received_at: float
    entries: tuple[DemandEntry, ...]


class DemandAggregator:
    """The newest report of each router. Times in seconds of one steady clock."""

    def __init__(self) -> None:
        self._reports: dict[VoterId, _ReceivedReport] = {}

    def update(self, report: DemandReport, now: float) -> None:
        """Keep a router's report in place of its earlier one."""
        self._reports[report.router] = _ReceivedReport(now, report.entries)

    def drop_expired(self, now: float) -> None:
        """Drop reports of routers that no longer send any."""
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
        """Return what the routers want of one engine.

        :param ready: how many engines serve each artifact; its demand is divided among them.
        :param held: what this engine serves.
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
