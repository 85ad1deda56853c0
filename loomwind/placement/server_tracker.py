"""What the leader knows of one life of a model server. Pure; time is passed in.

A report is some time old when it comes, so one at a lower revision than the last order taken is
ignored. An order without an answer may be carried out much later, but only while the server is
still at the revision that it expects; so any other order that is taken makes it void.
"""

from msgspec import Struct
from msgspec.structs import replace

from loomwind.clock import MS_PER_SECOND
from loomwind.placement.report_changes import with_adapter_order, with_loaded, with_loaded_adapter
from loomwind.placement.server_state import has_copy, load_seconds, used_mb
from loomwind.placement.store_pace import FinishedLoad, LoadInProgress
from loomwind.placement.unanswered_orders import UnansweredOrders
from loomwind.serving.residency import AnnouncedLoad, holds
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
ROOM_RESERVATION_SECONDS = 1.0
UNLOAD_GRACE_SECONDS = 0.1
LOAD_GRACE_SECONDS = 0.06
ADAPTER_LOAD_SECONDS = 0.1
LOAD_GRACE_SECONDS_PER_REQUEST = 0.015
STALE_REPORT_SECONDS = 0.4
# How old a report is on the whole: a load was done this long before a report shows it.
REPORT_AGE_SECONDS = 0.2
OVERDUE_RECHECK_SECONDS = 0.3
# A server whose loads were taken as done too soon is believed a little later from then on.
PREMATURE_COMPLETION_SECONDS = 0.4
EXTRA_GRACE_STEP_SECONDS = 0.03
MAX_EXTRA_GRACE_SECONDS = 0.3
ADAPTER_ASSUMED_SECONDS = 0.5
# A load of an earlier leader that should have ended longer ago than it takes is another one.
MAX_ANNOUNCED_LOAD_FACTOR = 2.0


class Operation(Struct, frozen=True):
    """An order that a server carries out now.

    :param done_at: when it should be done, by the profile of the model.
    :param expected_seconds: how long it should take, by that profile.
    :param from_store: whether it loads from the weight store.
    :param overdue: whether a report has shown that it takes longer than it should.
    """

    kind: OrderKind
    target: ModelKey
    began: float
    done_at: float
    expected_seconds: float = 0.0
    from_store: bool = False
    overdue: bool = False


class ServerTracker:
    """One model server.

    :ivar report: the newest state, with the effect of orders that were taken since.
    :ivar operation: the order for a model's weights that the server carries out.
    :ivar doubted: whether it should be read soon, since a daemon does not get through to it.
    :ivar in_flight: the order that is on its way and not answered.
    """

    def __init__(
        self,
        entry: ServerEntry,
        profile: EngineProfile,
        announced_load: AnnouncedLoad | None = None,
    ) -> None:
        """Begin to follow a server.

        :param heard_load: a load that an earlier leader has ordered and told of.
        """
        self.entry = entry
        self.profile = profile
        self.report: ServerReport | None = None
        self.read_at = -1e9
        self.operation: Operation | None = None
        self.in_flight: Order | None = None
        self.reading = False
        self.recheck_due = False
        self.staged = 0
        self._announced_load = announced_load
        self._assumed_complete: Operation | None = None
        self._extra_grace = 0.0
        self._finished: FinishedLoad | None = None
        self._reserved_for = ""
        self._reserved_at = -1e9
        self._completed_at = -1e9
        self._adapters_ordered: dict[ModelKey, float] = {}
        self.unanswered_orders = UnansweredOrders()
        self.no_orders_until = 0.0
        self.failed_reads = 0

    def record_report(self, report: ServerReport, now: float) -> bool:
        """Take in a report; returns whether what the server holds has changed."""
        self.read_at = now
        self.failed_reads = 0
        self.unanswered_orders.expire(now)
        known = self.report
        if known is not None and report.revision < known.revision:
            return False
        if report.busy and now - self._completed_at < STALE_REPORT_SECONDS:
            return False
        if known is None and report.busy and self.operation is None:
            self.operation = self._resumed_operation(report, now)
        self._update_load(report, now)
        self.report = self._with_due_adapters(self._without_unloading(report), now)
        return known is None or known.held != self.report.held

    def _resumed_operation(self, report: ServerReport, now: float) -> Operation | None:
        """Return the load that an earlier leader has ordered, if it can still go on."""
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
        """Take in whether a load goes on or is done; one taken as done too soon goes on."""
        settled, self._assumed_complete = self._assumed_complete, None
        if report.busy:
            overdue = settled if self.operation is None else self.operation
            if overdue is not None and now >= overdue.done_at:
                look_at = now + OVERDUE_RECHECK_SECONDS
                self.operation = replace(overdue, done_at=look_at, overdue=True)
            return
        done = self.operation or settled
        if done is not None and done.from_store:
            self._finished = _finished(done, now, on_time=settled is not None)
        self.operation = None

    def record_unreachable(self, target: ModelKey, now: float) -> None:
        """A daemon waits for what should be here: read soon, and believe later loads later."""
        self.recheck_due = True
        settled = self._assumed_complete
        if settled is None or settled.target.model != target.model:
            return
        if now - self._completed_at < PREMATURE_COMPLETION_SECONDS:
            self._extra_grace = min(
                MAX_EXTRA_GRACE_SECONDS, self._extra_grace + EXTRA_GRACE_STEP_SECONDS
            )

    def pop_finished_load(self) -> FinishedLoad | None:
        """Return the load from the weight store that was seen to be done since the last call."""
        finished, self._finished = self._finished, None
        return finished

    @property
    def loads_from_store_now(self) -> bool:
        """Whether a load from the weight store is under way, as far as is known."""
        order, operation = self.in_flight, self.operation
        if order is not None and order.kind is OrderKind.LOAD and not order.target.adapter:
            return self.loads_from_store(order.target.model)
        if operation is not None:
            return operation.from_store
        return self.report is not None and self.report.busy

    def uses_store(self, now: float) -> bool:
        """Whether a load from the weight store is under way, or another model makes way for one.

        Until this leader has read the server, what an earlier one has told counts.
        """
        if self.report is None and self.operation is None and self.in_flight is None:
            return self._announced_load_may_run(now)
        loading = self.room_reserved_for(now)
        return self.loads_from_store_now or (loading is not None and self.loads_from_store(loading))

    def complete_due_load(self, now: float, running: int) -> bool:
        """Take a load as done when its time is over; returns whether it was.

        A report is some time old when it comes, so one that still shows the load is not believed
        for a while. One that shows it later takes this back.

        :param running: requests that run at the server, which slow a load down.
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
        """Take adapters as loaded a moment after their order; returns whether there was one."""
        if self.report is None or not self._adapters_ordered:
            return False
        before = self.report.held
        self.report = self._with_due_adapters(self.report, now)
        return self.report.held != before

    def _with_due_adapters(self, report: ServerReport, now: float) -> ServerReport:
        """Return a report with the adapters that should be loaded by now, though it is older."""
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
        """Return when the load that a server carries out should be done."""
        if self.operation is None or self.operation.overdue:
            return float("inf")
        slower = LOAD_GRACE_SECONDS + LOAD_GRACE_SECONDS_PER_REQUEST * running + self._extra_grace
        return self.operation.done_at + slower

    def _without_unloading(self, report: ServerReport) -> ServerReport:
        """Return a report without the model that is being unloaded: it takes no new requests."""
        operation = self.operation
        if operation is None or operation.kind is not OrderKind.UNLOAD:
            return report
        held = tuple(model for model in report.held if model.name != operation.target.model)
        return replace(report, held=held)

    def reserve_room(self, name: str, now: float) -> None:
        """Another model makes way here for one."""
        self._reserved_for, self._reserved_at = name, now

    def room_reserved_for(self, now: float) -> str | None:
        """Return the model that another one makes way for; None when there is none."""
        if not self._reserved_for or self.holds(ModelKey(self._reserved_for)):
            return None
        operation = self.operation
        if operation is not None and operation.kind is OrderKind.UNLOAD:
            return self._reserved_for
        return self._reserved_for if now - self._reserved_at <= ROOM_RESERVATION_SECONDS else None

    def _announced_load_may_run(self, now: float) -> bool:
        """Whether a load that an earlier leader has told of can still be under way."""
        announced = self._announced_load
        model = None if announced is None else self.profile.model(announced.model)
        if announced is None or model is None:
            return False
        return now - announced.since <= MAX_ANNOUNCED_LOAD_FACTOR * model.load_seconds

    def record_failed_read(self) -> None:
        """A report was asked for and did not come."""
        self.failed_reads += 1

    def record_answer(
        self, order: Order, answer: OrderAnswer, now: float, in_use: bool = True
    ) -> None:
        """Take in the answer to an order.

        :param in_use: whether requests may run there for its target.
        """
        self.in_flight = None
        report = self.report
        if report is None:
            return
        if answer in (OrderAnswer.ACCEPTED, OrderAnswer.ALREADY):
            if report.revision == order.expected_revision:
                self._apply(order, answer, now, in_use)
        elif answer is not OrderAnswer.UNKNOWN:
            self.report = None
            self.read_at = -1e9
        else:
            self.no_orders_until = now + UNANSWERED_PAUSE_SECONDS
            self.unanswered_orders.add(order, now)

    def _apply(self, order: Order, answer: OrderAnswer, now: float, in_use: bool) -> None:
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
        loads = order.kind is OrderKind.LOAD
        name = order.target.model
        seconds = self.load_seconds(name) if loads else 0.0
        from_store = loads and self.loads_from_store(name)
        self._assumed_complete = None
        self.operation = Operation(
            order.kind, order.target, now, now + seconds, seconds, from_store
        )
        held = report.held
        if order.kind is OrderKind.UNLOAD:
            held = tuple(model for model in held if model.name != order.target.model)
        busy = order.kind is OrderKind.LOAD or (answer is OrderAnswer.ACCEPTED and in_use)
        if not busy:
            self.operation = None
            self.no_orders_until = now + UNLOAD_GRACE_SECONDS
        self.report = replace(report, revision=revision, busy=busy, held=held)

    def _with_finished_load(self, report: ServerReport) -> ServerReport:
        """Return a report after the load before an order that was taken.

        A server carries out one order at a time, so it is done, though an older report shows it.
        """
        operation = self.operation
        if operation is None or operation.kind is not OrderKind.LOAD:
            return report
        return with_loaded(report, operation.target)

    @property
    def idle(self) -> bool:
        """Whether the server can take an order for a model's weights now."""
        return self.report is not None and not self.report.busy and self.in_flight is None

    def holds(self, target: ModelKey) -> bool:
        """Whether the target can run here now."""
        return self.report is not None and holds(self.report.held, target)

    def is_loading(self, target: ModelKey) -> bool:
        """Whether the target is being loaded here."""
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

    @property
    def loading(self) -> str:
        """Return the name of the model that is being loaded here; empty for none."""
        operation = self.operation
        if operation is None or operation.kind is not OrderKind.LOAD:
            return ""
        return operation.target.model

    def free_mb(self) -> float:
        """Return the accelerator memory that nothing holds, in MB."""
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
        """Return how many more adapters fit by number."""
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
        """Return how many adapters are on their way."""
        return 0 if self.report is None else len(self.report.pending_adapters)

    def has_copy(self, name: str) -> bool:
        """Whether a copy of a model's weights lies in host memory or on disk here."""
        return self.report is not None and has_copy(self.report, name)

    def load_seconds(self, name: str) -> float:
        """Return how long a load of a model takes here, from its nearest copy."""
        return 0.0 if self.report is None else load_seconds(self.profile, self.report, name)

    def loads_from_store(self, name: str) -> bool:
        """Whether a load of a model would come from the weight store."""
        return not self.has_copy(name)


def store_load_in_progress(tracker: ServerTracker) -> LoadInProgress | None:
    """Return the load from the weight store that a server carries out; None when there is none."""
    operation = tracker.operation
    if operation is None or not operation.from_store:
        return None
    return LoadInProgress(
        operation.began * MS_PER_SECOND, operation.expected_seconds * MS_PER_SECOND
    )


def _finished(load: Operation, now: float, on_time: bool) -> FinishedLoad:
    """Return what is learned from a load of the weight store that a report shows to be done."""
    expected_done = load.began + load.expected_seconds
    done = expected_done if on_time else max(expected_done, now - REPORT_AGE_SECONDS)
    return FinishedLoad(
        load.began * MS_PER_SECOND, done * MS_PER_SECOND, load.expected_seconds * MS_PER_SECOND
    )
