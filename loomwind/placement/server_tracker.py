"""The leader's state for one instance of a model server. No I/O; time is passed in.

Reports arrive with a delay, or a second time, so a report with a lower revision than an earlier one
or the last accepted order is ignored. An unanswered order may be executed much later, but only
while the server is still at the revision that the order expects; accepting any other order
invalidates it.
"""

import math

from msgspec.structs import replace

from loomwind.placement.known_revision import KnownRevision
from loomwind.placement.report_changes import with_adapter_order, with_loaded, with_loaded_adapter
from loomwind.placement.server_operation import Operation
from loomwind.placement.server_state import has_copy, load_seconds, used_mb
from loomwind.placement.store_concurrency import FinishedLoad, LoadInProgress
from loomwind.placement.unanswered_orders import UnansweredOrders
from loomwind.serving.residency import AnnouncedLoad, AnnouncedUnload, holds
from loomwind.serving.views import (
    EngineProfile,
    ModelKey,
    Order,
    OrderAnswer,
    OrderKind,
    ServerEntry,
    ServerReport,
)

UNANSWERED_PAUSE_SECONDS = 0.15
MEMORY_RESERVATION_SECONDS = 1.0
UNLOAD_GRACE_SECONDS = 0.1
UNLOAD_SECONDS = 0.25
LOAD_GRACE_SECONDS = 0.06
ADAPTER_LOAD_SECONDS = 0.1
LOAD_GRACE_SECONDS_PER_REQUEST = 0.015
STALE_REPORT_SECONDS = 0.4
OVERDUE_RECHECK_SECONDS = 0.3
# If a daemon still cannot use a model this soon after its load was assumed to be complete, later
# loads on the server get a longer grace period.
PREMATURE_COMPLETION_SECONDS = 0.4
EXTRA_GRACE_STEP_SECONDS = 0.03
MAX_EXTRA_GRACE_SECONDS = 0.3
ADAPTER_ASSUMED_SECONDS = 0.5
# After this multiple of its expected duration, a load that the previous leader announced is over;
# a load in progress is then a different one.
MAX_ANNOUNCED_LOAD_FACTOR = 2.0


class ServerTracker:
    """Tracks the state of one model server.

    :ivar report: the latest report, updated with the effects of orders accepted since.
    :ivar operation: the load or unload of model weights that the server is executing.
    :ivar in_flight: the order that was sent and is not answered yet.
    :ivar recheck_due: whether to read the server soon because a daemon may not reach it.
    :ivar staged: loads ordered before any demand was seen.
    :ivar tracked_since: loop time at which this leader first found it listed.
    :ivar no_orders_until: loop time before which the planner sends no order.
    """

    def __init__(
        self,
        entry: ServerEntry,
        profile: EngineProfile,
        announced_load: AnnouncedLoad | None = None,
        tracked_since: float = -math.inf,
        announced_unload: AnnouncedUnload | None = None,
    ) -> None:
        """Start tracking a server.

        :param announced_load: a load that an earlier leader ordered and announced.
        :param tracked_since: the current loop time.
        :param announced_unload: the last unload that an earlier leader ordered and announced.
        """
        self.tracked_since = tracked_since
        self.entry = entry
        self.profile = profile
        self.report: ServerReport | None = None
        self._known_revision = KnownRevision()
        self.read_at = -1e9
        self.operation: Operation | None = None
        self.in_flight: Order | None = None
        self.reading = False
        self.recheck_due = False
        self.staged = 0
        self._announced_load = announced_load
        self._announced_unload = announced_unload
        self._assumed_complete: Operation | None = None
        self._accepted: Operation | None = None
        self._extra_grace = 0.0
        self._finished: FinishedLoad | None = None
        self._reserved_for = ""
        self._reserved_at = -1e9
        self._completed_at = -1e9
        self._adapters_ordered: dict[ModelKey, float] = {}
        self.unanswered_orders = UnansweredOrders()
        self.no_orders_until = 0.0
        self.failed_reads = 0

    def has_version(self, software_version: str | None) -> bool:
        """Whether the server has the required software version; None requires none."""
        return software_version is None or self.entry.software_version == software_version

    def record_report(self, report: ServerReport, now: float) -> bool:
        """Process a report; returns whether the set of held models has changed."""
        self.read_at = now
        self.failed_reads = 0
        self.unanswered_orders.expire(now)
        known = self.report
        if known is not None and report.revision < known.revision:
            return False
        if self._known_revision.is_outdated(report):
            return False
        self._known_revision.record_report(report)
        if report.busy and now - self._completed_at < STALE_REPORT_SECONDS:
            return False
        if report.busy and self.operation is None and self._assumed_complete is None:
            self.operation = self._running_operation(report, now)
        self._update_load(report, now)
        self.report = self._with_due_adapters(self._without_unloading(report), now)
        return known is None or known.held != self.report.held

    def _running_operation(self, report: ServerReport, now: float) -> Operation | None:
        """Return the order that a busy server executes, or None if it is not known.

        Its revision tells which one: the last that it accepted, one that it did not answer, or one
        of an earlier leader.
        """
        accepted = self._accepted
        if accepted is not None and accepted.revision == report.revision:
            return accepted
        order = self.unanswered_orders.executed_at(report.revision)
        if order is not None:
            return self._operation(order, report, now)
        unload = self._announced_unload
        if unload is not None and unload.revision == report.revision:
            target = ModelKey(unload.model)
            return Operation(OrderKind.UNLOAD, target, now, now, revision=unload.revision)
        return self._resumed_operation(report, now)

    def _operation(self, order: Order, report: ServerReport, now: float) -> Operation:
        """Return the execution of an order that begins now."""
        loads, name = order.kind is OrderKind.LOAD, order.target.model
        seconds = load_seconds(self.profile, report, name) if loads else 0.0
        return Operation(
            order.kind,
            order.target,
            now,
            now + seconds,
            seconds,
            from_store=loads and not has_copy(report, name),
            revision=order.expected_revision + 1,
        )

    def _resumed_operation(self, report: ServerReport, now: float) -> Operation | None:
        """Return the load that an earlier leader ordered if it may still be running."""
        announced = self._announced_load
        target = ModelKey(announced.model) if announced is not None else None
        if announced is None or target is None or holds(report.held, target):
            return None
        seconds = load_seconds(self.profile, report, announced.model)
        if now - announced.since > MAX_ANNOUNCED_LOAD_FACTOR * seconds:
            return None
        from_store = not has_copy(report, announced.model)
        done_at = announced.since + seconds
        return Operation(OrderKind.LOAD, target, announced.since, done_at, seconds, from_store)

    def _update_load(self, report: ServerReport, now: float) -> None:
        """Update the current load from a report.

        A load that was assumed to be complete but is still running becomes the current one again.
        """
        assumed, self._assumed_complete = self._assumed_complete, None
        if report.busy:
            load = assumed if self.operation is None else self.operation
            if load is not None and now >= load.done_at:
                recheck_at = now + OVERDUE_RECHECK_SECONDS
                self.operation = replace(load, done_at=recheck_at, overdue=True)
            return
        self._accepted = None
        done = self.operation or assumed
        if done is not None and done.from_store:
            self._finished = done.finished(now, on_time=assumed is not None)
        self.operation = None

    def record_unreachable(self, target: ModelKey, now: float) -> None:
        """Record that a daemon waits for a target that this server should hold.

        The server is read again soon. If the target's load was just assumed to be complete, later
        loads get a longer grace period.
        """
        self.recheck_due = True
        assumed = self._assumed_complete
        if assumed is None or assumed.target.model != target.model:
            return
        if now - self._completed_at < PREMATURE_COMPLETION_SECONDS:
            self._extra_grace = min(
                MAX_EXTRA_GRACE_SECONDS, self._extra_grace + EXTRA_GRACE_STEP_SECONDS
            )

    def pop_finished_load(self) -> FinishedLoad | None:
        """Return and clear the last weight store load that a report showed to be finished."""
        finished, self._finished = self._finished, None
        return finished

    @property
    def store_load(self) -> LoadInProgress | None:
        """Return the weight store load in progress, or None."""
        operation = self.operation
        return operation.in_progress() if operation is not None and operation.from_store else None

    @property
    def loads_from_store_now(self) -> bool:
        """Whether a load from the weight store is in progress, as far as is known."""
        order, operation = self.in_flight, self.operation
        if order is not None and order.kind is OrderKind.LOAD and not order.target.adapter:
            return self.loads_from_store(order.target.model)
        if operation is not None:
            return operation.from_store
        return self.report is not None and self.report.busy

    def uses_store(self, now: float) -> bool:
        """Whether a weight store load is in progress, or memory is being freed for one.

        Until this leader has read the server, the previous leader's announcement is used.
        """
        if self._is_unknown:
            return self._announced_load_may_run(now)
        reserved = self.memory_reserved_for(now)
        return self.loads_from_store_now or (
            reserved is not None and self.loads_from_store(reserved)
        )

    def may_load_from_store(self, now: float) -> bool:
        """Whether a weight store load is in progress, or was announced by the previous leader."""
        return self._announced_load_may_run(now) if self._is_unknown else self.loads_from_store_now

    @property
    def _is_unknown(self) -> bool:
        """Whether this leader has neither read the server nor sent it an order."""
        return self.report is None and self.operation is None and self.in_flight is None

    def complete_due_load(self, now: float, running: int) -> bool:
        """Assume that a load is complete once its expected time is over; returns whether it was.

        Reports arrive with a delay, so those that still show the load are ignored for a short
        time. A later report that still shows the load reverts the assumption.

        :param running: requests running on the server, which slow the load down.
        """
        operation, report = self.operation, self.report
        if report is None or operation is None or operation.kind is not OrderKind.LOAD:
            return False
        if operation.overdue or self.in_flight is not None or now < self.assumed_done_at(running):
            return False
        self.operation = None
        self._assumed_complete = operation
        self._completed_at = now
        self.report = with_loaded(report, operation.target)
        return True

    def complete_due_adapters(self, now: float) -> bool:
        """Assume that ordered adapters are loaded once due; returns whether there was one."""
        if self.report is None or not self._adapters_ordered:
            return False
        before = self.report.held
        self.report = self._with_due_adapters(self.report, now)
        return self.report.held != before

    def _with_due_adapters(self, report: ServerReport, now: float) -> ServerReport:
        """Return the report with adapters added that should have been loaded since."""
        known = self._adapters_ordered
        self._adapters_ordered = {
            target: at for target, at in known.items() if now - at < ADAPTER_ASSUMED_SECONDS
        }
        for target, ordered_at in self._adapters_ordered.items():
            due = now - ordered_at >= ADAPTER_LOAD_SECONDS
            if due and target in report.pending_adapters:
                report = with_loaded_adapter(report, target)
        return report

    def assumed_done_at(self, running: int) -> float:
        """Return the time at which the current load is assumed to be complete."""
        if self.operation is None or self.operation.overdue:
            return float("inf")
        grace = LOAD_GRACE_SECONDS + LOAD_GRACE_SECONDS_PER_REQUEST * running + self._extra_grace
        return self.operation.done_at + grace

    def _without_unloading(self, report: ServerReport) -> ServerReport:
        """Return the report without the model being unloaded: it accepts no new requests."""
        operation = self.operation
        if operation is None or operation.kind is not OrderKind.UNLOAD:
            return report
        held = tuple(model for model in report.held if model.name != operation.target.model)
        return replace(report, held=held)

    def reserve_memory(self, name: str, now: float) -> None:
        """Reserve the memory freed by an unload for a model."""
        self._reserved_for, self._reserved_at = name, now

    def memory_reserved_for(self, now: float) -> str | None:
        """Return the model for which memory is reserved, or None.

        An unload may wait for requests that run, for an unknown time. The model is then planned
        anew, here or at another server.
        """
        if not self._reserved_for or self.holds(ModelKey(self._reserved_for)):
            return None
        return self._reserved_for if now - self._reserved_at <= MEMORY_RESERVATION_SECONDS else None

    def unload_remaining_seconds(self, now: float) -> float:
        """Return how long the unload in progress should still take; 0 if there is none.

        As long as it has lasted already, since it waits for requests that run.
        """
        operation = self.operation
        if operation is None or operation.kind is not OrderKind.UNLOAD:
            return 0.0
        return max(UNLOAD_SECONDS, now - operation.began)

    def _announced_load_may_run(self, now: float) -> bool:
        """Whether a load announced by an earlier leader may still be in progress."""
        announced = self._announced_load
        model = None if announced is None else self.profile.model(announced.model)
        if announced is None or model is None:
            return False
        return now - announced.since <= MAX_ANNOUNCED_LOAD_FACTOR * model.load_seconds

    def record_failed_read(self) -> None:
        """Record that the server did not answer a request for a report."""
        self.failed_reads += 1

    def record_answer(
        self, order: Order, answer: OrderAnswer, now: float, in_use: bool = True
    ) -> None:
        """Process the answer to an order.

        :param in_use: whether requests for its target may be running on the server.
        """
        self.in_flight = None
        self._known_revision.record_answer(order, answer)
        report = self.report
        if report is None:
            return
        if answer in (OrderAnswer.ACCEPTED, OrderAnswer.ALREADY):
            if report.revision == order.expected_revision:
                self._apply_order(order, answer, now, in_use)
            elif answer is OrderAnswer.ACCEPTED and not order.target.adapter:
                self._accepted = self._operation(order, report, now)
                if report.busy and self.operation is None:
                    self.operation = self._running_operation(report, now)
        elif answer is not OrderAnswer.UNKNOWN:
            self.report = None
            self.read_at = -1e9
        else:
            self.no_orders_until = now + UNANSWERED_PAUSE_SECONDS
            self.unanswered_orders.add(order, now)

    def _apply_order(self, order: Order, answer: OrderAnswer, now: float, in_use: bool) -> None:
        report = self.report
        assert report is not None
        if answer is OrderAnswer.ACCEPTED:
            report = self._with_finished_load(report)
        if answer is OrderAnswer.ALREADY and order.kind is OrderKind.LOAD:
            self.read_at = -1e9
            return
        revision = report.revision + 1
        if order.target.adapter:
            self.report = with_adapter_order(replace(report, revision=revision), order)
            if order.kind is OrderKind.LOAD:
                self._adapters_ordered[order.target] = now
            return
        self._assumed_complete = None
        self.operation = self._accepted = self._operation(order, report, now)
        held = report.held
        if order.kind is OrderKind.UNLOAD:
            held = tuple(model for model in held if model.name != order.target.model)
        busy = order.kind is OrderKind.LOAD or (answer is OrderAnswer.ACCEPTED and in_use)
        if not busy:
            self.operation = None
            self.no_orders_until = now + UNLOAD_GRACE_SECONDS
        self.report = replace(report, revision=revision, busy=busy, held=held)

    def _with_finished_load(self, report: ServerReport) -> ServerReport:
        """Return the report with the current load completed, since a later order was accepted.

        A server executes one order at a time, so the load is done even if an older report shows it.
        """
        operation = self.operation
        if operation is None or operation.kind is not OrderKind.LOAD:
            return report
        return with_loaded(report, operation.target)

    @property
    def idle(self) -> bool:
        """Whether the server can accept an order to load or unload model weights."""
        return self.report is not None and not self.report.busy and self.in_flight is None

    def holds(self, target: ModelKey) -> bool:
        """Whether requests for the target can run on this server now."""
        return self.report is not None and holds(self.report.held, target)

    def is_loading(self, target: ModelKey) -> bool:
        """Whether the target is being loaded on this server."""
        if self.report is None:
            return False
        order = self.in_flight
        if order is not None and order.kind is OrderKind.LOAD and order.target == target:
            return True
        if target.adapter:
            return target in self.report.pending_adapters
        operation = self.operation
        if operation is None or operation.kind is not OrderKind.LOAD:
            return False
        return operation.target.model == target.model

    def is_unloading(self, target: ModelKey) -> bool:
        """Whether an order to unload the target was sent and is not answered yet."""
        order = self.in_flight
        return order is not None and order.kind is OrderKind.UNLOAD and order.target == target

    @property
    def loading(self) -> str:
        """Return the name of the model being loaded, or an empty string."""
        operation = self.operation
        if operation is None or operation.kind is not OrderKind.LOAD:
            return ""
        return operation.target.model

    @property
    def unloading(self) -> str:
        """Return the model of an accepted unload that no later order follows, or an empty string.

        Whether the server still executes it is not known before it reports that it is not busy.
        """
        accepted, report = self._accepted, self.report
        if accepted is None or report is None or accepted.kind is not OrderKind.UNLOAD:
            return ""
        return accepted.target.model if accepted.revision == report.revision else ""

    def free_mb(self) -> float:
        """Return the unallocated accelerator memory in MB."""
        if self.report is None:
            return 0.0
        late_mb = self.unanswered_orders.memory_mb(self.profile, self.report.revision)
        taken_mb = used_mb(self.profile, self.report) + self._loading_mb() + late_mb
        return self.profile.memory_mb - taken_mb

    def _loading_mb(self) -> float:
        operation = self.operation
        if operation is None or operation.kind is not OrderKind.LOAD:
            return 0.0
        model = self.profile.model(operation.target.model)
        return 0.0 if model is None or self.holds(operation.target) else model.memory_mb

    def free_adapter_slots(self) -> int:
        """Return the number of free adapter slots."""
        if self.report is None:
            return 0
        loaded = sum(len(model.adapters) for model in self.report.held)
        taken = loaded + len(self.report.pending_adapters)
        return (
            self.profile.adapter_slots
            - taken
            - self.unanswered_orders.adapter_slots(self.report.revision)
        )

    def pending_adapters(self) -> int:
        """Return the number of adapters being loaded."""
        return 0 if self.report is None else len(self.report.pending_adapters)

    def has_copy(self, name: str) -> bool:
        """Whether the server has a copy of a model's weights in host memory or on disk."""
        return self.report is not None and has_copy(self.report, name)

    def load_seconds(self, name: str) -> float:
        """Return how long the server takes to load a model from its nearest copy."""
        return 0.0 if self.report is None else load_seconds(self.profile, self.report, name)

    def loads_from_store(self, name: str) -> bool:
        """Whether loading a model would read it from the weight store."""
        return not self.has_copy(name)
