"""Steps about what exchanges on pooled connections are given, whatever order a server writes in."""

import asyncio
import contextlib
import gc
import weakref
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from functools import singledispatch
from typing import Any, TypeVar

from attrs import define, field, frozen
from behave import then, when
from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st

from features.support.late_copies import (
    ANSWER_KINDS,
    ID_HEADER,
    SEND_HEADER,
    AnswerKind,
    Copy,
    Send,
    Wire,
)
from features.support.virtual_time import VirtualTimeLoop
from loomwind.http.client import Connector, HttpClient
from loomwind.http.client_connection import ClientConnection, ClientState, SurplusResponse
from loomwind.http.errors import HttpError, RequestRepeated
from loomwind.http.messages import Headers, HttpRequest, HttpResponse

ADDRESS = "a:1"
CONNECT_TIMEOUT_SECONDS = 1.0
MAX_IDLE_CONNECTIONS = 3
REQUEST_IDS = ("r1", "r2", "r3", "r4", "r5", "r6")
# Few at a time, so that connections are kept and used again.
MAX_OPEN_EXCHANGES = 2
MIN_EVENTS = 10
MAX_EVENTS = 50
MAX_PIECE_BYTES = 120
COPY_COUNTS = (1, 1, 1, 2, 15)
MANY_COPIES = 1000
MAX_PAUSE_SECONDS = 3
# More than a reader needs for what has arrived.
ITERATIONS_TO_READ = 6
# Fixes the examples. Without it, derandomize derives the seed from the source text of the test.
EXAMPLES_SEED = 62_20_261_205


# What may happen, in any order. An index chooses among what there is at that moment.


@frozen
class SendRequest:
    """A caller sends a request, also one that was sent before.

    :ivar reads_at_once: whether the caller reads the body as it comes.
    """

    request_id: str
    method: str
    reads_at_once: bool


@frozen
class SendAgain:
    """A caller sends a request again that was refused."""

    index: int


@frozen
class WriteAnswer:
    """The server answers a request."""

    index: int
    kind: AnswerKind


@frozen
class WriteCopy:
    """The server writes an answer a second time.

    :ivar from_elsewhere: whether it may belong to another connection.
    :ivar count: how often it is written.
    """

    index: int
    answer_index: int
    from_elsewhere: bool
    count: int


@frozen
class WriteHint:
    """The server writes an informational response."""

    index: int


@frozen
class Deliver:
    """Bytes arrive.

    :ivar piece_bytes: the length of the pieces; 0 for all in one.
    :ivar piece_count: how many of them arrive; 0 for all.
    :ivar reads_between: whether the connection's reader runs after each.
    """

    index: int
    piece_bytes: int
    piece_count: int
    reads_between: bool


@frozen
class ReadBodies:
    """All callers read the bodies that they have left unread."""


@frozen
class Pause:
    """Time passes."""

    seconds: int


@frozen
class End:
    """The server ends or resets a connection."""

    index: int
    is_reset: bool
    keeps_unread: bool


@frozen
class GiveUp:
    """A caller gives up."""

    index: int


Event = (
    SendRequest
    | SendAgain
    | WriteAnswer
    | WriteCopy
    | WriteHint
    | Deliver
    | ReadBodies
    | Pause
    | End
    | GiveUp
)
# Returns an example of a strategy.
Draw = Callable[[st.SearchStrategy[Any]], Any]
INDEXES = st.integers(0, 7)
REPEATED_SENDS = st.builds(SendAgain, INDEXES)
KINDS_THAT_END = tuple(kind for kind in ANSWER_KINDS if kind.ends)
ANSWERS = st.builds(WriteAnswer, INDEXES, st.sampled_from(ANSWER_KINDS + 2 * KINDS_THAT_END))
COPIES = st.builds(
    WriteCopy, INDEXES, INDEXES, st.sampled_from((False, False, True)), st.sampled_from(COPY_COUNTS)
)
HINTS = st.builds(WriteHint, INDEXES)
SOME_PIECES = st.builds(
    Deliver, INDEXES, st.integers(1, MAX_PIECE_BYTES), st.integers(1, 3), st.booleans()
)
ALL_PIECES = st.builds(Deliver, INDEXES, st.sampled_from((0, 1)), st.just(0), st.booleans())
PAUSES = st.builds(Pause, st.integers(1, MAX_PAUSE_SECONDS))
ENDS = st.builds(End, INDEXES, st.booleans(), st.booleans())
GIVE_UPS = st.builds(GiveUp, INDEXES)


def _sends(methods: Sequence[str]) -> st.SearchStrategy[SendRequest]:
    return st.builds(
        SendRequest,
        st.sampled_from((*REQUEST_IDS, "", "")),
        st.sampled_from(methods),
        st.sampled_from((True, True, False)),
    )


class WiredConnector(Connector):
    """Opens connections to the server of a run."""

    def __init__(self, run: "Run") -> None:
        super().__init__()
        self._run = run

    async def open(self, address: str, timeout: float, id_header: str = "") -> ClientConnection:
        """Return a new connection."""
        connection = ClientConnection(address, id_header=id_header)
        self._run.wires.append(Wire(connection, self._run.sends, self._run.faults))
        self._run.connections.append(weakref.ref(connection))
        return connection


@define(eq=False)
class Exchange:
    """An exchange of a caller.

    :ivar may_read: set when the caller reads the body.
    :ivar result: the response; None before.
    :ivar error: why it has failed; empty if it has not.
    :ivar is_repeated: whether its connection had carried the request before.
    :ivar reports: the surplus responses that were reported during it.
    """

    send: Send
    may_read: asyncio.Event = field(factory=asyncio.Event)
    result: HttpResponse | None = None
    error: str = ""
    is_repeated: bool = False
    reports: list[SurplusResponse] = field(factory=list)

    async def perform(self, client: HttpClient) -> None:
        """Send the request and read the response."""
        request = self._request(self.send.request_id)
        connection = await client.acquire(ADDRESS, CONNECT_TIMEOUT_SECONDS, self.send.request_id)
        try:
            connection.send_request(request)
            head = await connection.read_head()
            await self.may_read.wait()
            body = b""
            while chunk := await connection.read_body():
                body += chunk
            self.result = HttpResponse(head.status, head.headers, body)
            self._try_to_repeat(connection)
        except RequestRepeated:
            self.is_repeated = True
        except HttpError as error:
            self.error = repr(error)
        finally:
            client.release(connection)

    def _request(self, request_id: str) -> HttpRequest:
        headers: Headers = ((SEND_HEADER, str(self.send.number)),)
        headers += ((ID_HEADER, request_id),) if request_id else ()
        return HttpRequest(self.send.method, "/", headers)

    def _try_to_repeat(self, connection: ClientConnection) -> None:
        """Try to send the request again on its connection, and one without an id; both must fail.

        The server's side records a request that comes nevertheless.
        """
        if connection.state is ClientState.IDLE:
            for request_id in (self.send.request_id, ""):
                with contextlib.suppress(RequestRepeated):
                    connection.send_request(self._request(request_id))


class Run:
    """One run: a pool, its connections, and the server.

    :ivar faults: what the connections or the pool did wrong.
    :ivar counts: how often something of interest happened.
    """

    def __init__(self, methods: Sequence[str] = ("POST",)) -> None:
        self._request_strategy = _sends(methods)
        self.events: list[Event] = []
        self.faults: list[str] = []
        self.counts: Counter[str] = Counter()
        self.sends: dict[int, Send] = {}
        self.wires: list[Wire] = []
        self.connections: list[weakref.ref[ClientConnection]] = []
        self.exchanges: list[Exchange] = []
        self._tasks: dict[Exchange, asyncio.Task[None]] = {}
        self.client = HttpClient(WiredConnector(self), MAX_IDLE_CONNECTIONS, ID_HEADER)
        self.client.on_surplus_response = self._record_report

    async def play(self, draw: Draw) -> None:
        """Let events happen, then let all that was written arrive and be read."""
        try:
            for _ in range(draw(st.integers(MIN_EVENTS, MAX_EVENTS))):
                self.events.append(draw(draw(st.sampled_from(self._possible_events()))))
                await apply(self.events[-1], self)
                self._check_delivered()
            await self._finish()
        finally:
            for exchange in self.open_exchanges():
                self.give_up(exchange)
            await self.let_read()
            self._tasks.clear()

    async def _finish(self) -> None:
        await apply(ReadBodies(), self)
        for wire in self.wires:
            await self.deliver(wire, 0, 0, False)
        self._check_delivered()
        for exchange, task in self._tasks.items():
            if task.done() and not exchange.send.is_given_up:
                task.result()
            self._check_result(exchange)
        self._count()

    def _possible_events(self) -> list[st.SearchStrategy[Event]]:
        """Return what can happen next; what is listed more often is more likely."""
        exchanges = self.open_exchanges()
        possible: list[st.SearchStrategy[Event]] = [PAUSES]
        if len(exchanges) < MAX_OPEN_EXCHANGES:
            possible += [self._request_strategy] * 3
            possible += [REPEATED_SENDS] * 3 * bool(self.refused())
        possible += [ANSWERS] * 4 * any(wire.pending for wire in self.wires)
        possible += [COPIES] * 3 * any(wire.accepts_copies for wire in self.wires)
        possible += [ALL_PIECES, ALL_PIECES, SOME_PIECES] * any(w.unread_bytes for w in self.wires)
        possible += [HINTS, ENDS] * any(not wire.is_closed for wire in self.wires)
        possible += [st.just(ReadBodies())] * any(not e.may_read.is_set() for e in exchanges)
        return possible + [GIVE_UPS] * bool(exchanges)

    def refused(self) -> list[Send]:
        """Return the last sends of the requests whose last send was refused."""
        last = {e.send.request_id: e for e in self.exchanges if e.send.request_id}
        ended = [exchange.send for exchange in last.values() if exchange.result is not None]
        return [send for send in ended if send.answer and send.answer.is_refusal]

    async def begin(
        self, request_id: str, method: str = "POST", reads_at_once: bool = True
    ) -> None:
        """Begin an exchange, unless the request is in one already."""
        if request_id and any(e.send.request_id == request_id for e in self.open_exchanges()):
            return
        number = len(self.sends) + 1
        self.sends[number] = Send(number, request_id, method)
        exchange = Exchange(self.sends[number])
        if reads_at_once:
            exchange.may_read.set()
        self.exchanges.append(exchange)
        self._tasks[exchange] = asyncio.create_task(exchange.perform(self.client))
        await self.let_read()

    def open_exchanges(self) -> list[Exchange]:
        """Return the exchanges that have not ended."""
        return [exchange for exchange, task in self._tasks.items() if not task.done()]

    def give_up(self, exchange: Exchange) -> None:
        """Cancel an exchange."""
        exchange.send.is_given_up = True
        self._tasks[exchange].cancel()

    async def deliver(
        self, wire: Wire, piece_bytes: int, piece_count: int, reads_between: bool
    ) -> None:
        """Let bytes arrive; see :class:`Deliver`."""
        pieces = 0
        while wire.unread_bytes and (not piece_count or pieces < piece_count):
            wire.deliver(piece_bytes or wire.unread_bytes)
            pieces += 1
            if reads_between:
                await asyncio.sleep(0)
        await self.let_read()
        wire.deliver_end()
        await self.let_read()

    @staticmethod
    async def let_read() -> None:
        """Let all readers read what has arrived."""
        for _ in range(ITERATIONS_TO_READ):
            await asyncio.sleep(0)

    def _record_report(self, report: SurplusResponse) -> None:
        for exchange in self.open_exchanges():
            if exchange.send.request_id == report.request_id:
                exchange.reports.append(report)
                return
        self.faults.append(f"unreported: {report} is of no exchange")

    # Checks.

    def _check_delivered(self) -> None:
        for exchange in self.exchanges:
            send = exchange.send
            is_due = send.is_delivered and exchange.may_read.is_set() and not send.is_given_up
            if is_due and exchange.result is None:
                self.faults.append(f"lost: the answer to {send} has arrived: {exchange.error}")
        for wire in self.wires:
            if wire.is_closed and wire.sends and self._is_waiting(wire.sends[-1]):
                self.faults.append(f"waiting: {wire.sends[-1]} on a connection that has ended")

    def _is_waiting(self, send: Send) -> bool:
        exchange = next(exchange for exchange in self.exchanges if exchange.send is send)
        return exchange.may_read.is_set() and not self._tasks[exchange].done()

    def _check_result(self, exchange: Exchange) -> None:
        send, result = exchange.send, exchange.result
        if exchange.is_repeated:
            self.faults.append(f"repeated: {send} got a connection that had carried its request")
        if result is None:
            return
        answered = result.header(SEND_HEADER)
        if answered != str(send.number):
            self.faults.append(f"mistaken: {send} was given the answer to send {answered}")
        elif send.answer is None or result.body != send.expected_body():
            self.faults.append(f"mistaken: {send} was given {result}")
        reported = [Copy(report.response_id, report.status) for report in exchange.reports]
        if reported != send.copies:
            self.faults.append(f"unreported: {send} skipped {send.copies}, reported {reported}")

    def kept_connections(self) -> int:
        """Return how many connections that have ended are kept in memory."""
        refs = zip(self.connections, self.wires, strict=True)
        return sum(wire.is_closed and connection() is not None for connection, wire in refs)

    def _count(self) -> None:
        results = [exchange for exchange in self.exchanges if exchange.result is not None]
        self.counts["answered"] += len(results)
        self.counts["skipped"] += sum(len(exchange.send.copies) for exchange in results)
        self.counts["kept"] += sum(max(0, len(wire.sends) - 1) for wire in self.wires)
        self.counts["failed"] += sum(bool(exchange.error) for exchange in self.exchanges)
        ids = [send.request_id for wire in self.wires for send in wire.sends if send.request_id]
        self.counts["repeated"] += len(ids) - len(set(ids))


@singledispatch
async def apply(event: Event, run: Run) -> None:
    """Let an event happen that is possible."""
    raise NotImplementedError


@apply.register
async def _(event: SendRequest, run: Run) -> None:
    await run.begin(event.request_id, event.method, event.reads_at_once)


@apply.register
async def _(event: SendAgain, run: Run) -> None:
    refused = _choose(run.refused(), event.index)
    await run.begin(refused.request_id, refused.method)


@apply.register
async def _(event: WriteAnswer, run: Run) -> None:
    wires = [wire for wire in run.wires if wire.pending is not None]
    _choose(wires, event.index).answer(event.kind)


@apply.register
async def _(event: WriteCopy, run: Run) -> None:
    wire = _choose([wire for wire in run.wires if wire.accepts_copies], event.index)
    sends: Iterable[Send] = wire.sends
    if event.from_elsewhere and wire.pending is not None and wire.pending.request_id:
        ids = ("", wire.pending.request_id)
        sends = [send for send in run.sends.values() if send.request_id not in ids]
    answered = [send for send in sends if send.answer is not None]
    for _ in range(event.count):
        if answered and wire.accepts_copies:
            wire.copy(_choose(answered, event.answer_index))


@apply.register
async def _(event: WriteHint, run: Run) -> None:
    _choose([wire for wire in run.wires if not wire.is_closed], event.index).hint()


@apply.register
async def _(event: Deliver, run: Run) -> None:
    wire = _choose([wire for wire in run.wires if wire.unread_bytes], event.index)
    await run.deliver(wire, event.piece_bytes, event.piece_count, event.reads_between)


@apply.register
async def _(event: ReadBodies, run: Run) -> None:
    for exchange in run.exchanges:
        exchange.may_read.set()
    await run.let_read()


@apply.register
async def _(event: Pause, run: Run) -> None:
    await asyncio.sleep(event.seconds)


@apply.register
async def _(event: End, run: Run) -> None:
    wire = _choose([wire for wire in run.wires if not wire.is_closed], event.index)
    if event.is_reset:
        wire.reset(event.keeps_unread)
    else:
        wire.end()
    wire.deliver_end()
    await run.let_read()
    run.counts["ends"] += 1


@apply.register
async def _(event: GiveUp, run: Run) -> None:
    run.give_up(_choose(run.open_exchanges(), event.index))
    await run.let_read()


Item = TypeVar("Item")


def _choose(items: Sequence[Item], index: int) -> Item:
    return items[index % len(items)]


@when("requests, answers, copies, hints, pauses and ends come in any order, in {count:d} runs")
def step_any_order(context: Any, count: int) -> None:
    context.runs = _play_runs(count, ("POST",))


@when("the same happens to requests with and without HEAD, in {count:d} runs")
def step_any_method(context: Any, count: int) -> None:
    context.runs = _play_runs(count, ("POST", "HEAD"))


def _play_runs(count: int, methods: Sequence[str]) -> list[Run]:
    runs: list[Run] = []
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:

        @seed(EXAMPLES_SEED)
        @settings(
            max_examples=count,
            derandomize=True,
            database=None,
            deadline=None,
            phases=[Phase.generate],
            suppress_health_check=list(HealthCheck),
        )
        @given(st.data())
        def play(data: st.DataObject) -> None:
            runs.append(Run(methods))
            runner.run(runs[-1].play(data.draw))

        play()
    return runs


@then("no exchange was given the answer to another one, or an earlier answer to its request")
def step_not_mistaken(context: Any) -> None:
    _check_no_faults(context.runs, "mistaken")


@then("each exchange whose answer had arrived has returned it")
def step_not_lost(context: Any) -> None:
    _check_no_faults(context.runs, "lost")


@then("no exchange waits on a connection that has ended")
def step_not_waiting(context: Any) -> None:
    _check_no_faults(context.runs, "waiting")


@then("no connection carried a request twice, or one without an id after another")
def step_not_repeated(context: Any) -> None:
    _check_no_faults(context.runs, "repeated")


@then("no connection was used again after a surplus response")
def step_not_reused(context: Any) -> None:
    _check_no_faults(context.runs, "reused")


@then("each surplus response that was skipped was reported once")
def step_reported(context: Any) -> None:
    _check_no_faults(context.runs, "unreported")


def _check_no_faults(runs: list[Run], kind: str) -> None:
    """Check that no run has faults of a kind; shows those of the shortest run that has some."""
    failed = [run for run in runs if any(fault.startswith(kind) for fault in run.faults)]
    shortest = min(failed, key=lambda run: len(run.events), default=None)
    assert shortest is None, (len(failed), shortest.faults, shortest.events)


@then("nothing was kept of the connections that had ended")
def step_forgotten(context: Any) -> None:
    gc.collect()
    kept = [run for run in context.runs if run.kept_connections()]
    assert not kept, (len(kept), min(kept, key=lambda run: len(run.events)).events)


# A server that only repeats itself.


@when("a server sends copies of an earlier answer without end")
def step_only_copies(context: Any) -> None:
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        context.run = runner.run(_send_only_copies())


async def _send_only_copies() -> Run:
    """Send copies to the second request on a connection until it is closed, or far too many."""
    run = Run()
    await run.begin("r1")
    wire = run.wires[0]
    wire.answer(ANSWER_KINDS[0])
    await run.deliver(wire, 0, 0, False)
    await run.begin("r2")
    while not wire.is_closed and len(wire.copies) < MANY_COPIES:
        wire.copy(wire.sends[0])
        await run.deliver(wire, 0, 0, False)
    return run


@then("the exchange has failed, and its connection is closed")
def step_failed(context: Any) -> None:
    run: Run = context.run
    assert run.exchanges[1].error and run.wires[0].is_closed, run.exchanges[1]
    assert not run.open_exchanges(), run.exchanges


@then("the runs had exchanges on kept connections, repeated requests, skipped copies and ends")
def step_not_vacuous(context: Any) -> None:
    counts = sum((run.counts for run in context.runs), Counter[str]())
    missing = {"answered", "skipped", "kept", "repeated", "ends"} - set(+counts)
    assert not missing, counts
