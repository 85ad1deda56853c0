"""Steps for hand-overs of requests from silent servers. No processes; time is virtual."""

import asyncio
import re
from typing import Any, cast

import eliot
from attrs import define
from behave import given, then, when

from features.support.virtual_time import run_in_virtual_time
from loomwind.clock import MS_PER_SECOND
from loomwind.http.client_connection import ClientConnection
from loomwind.http.messages import HttpResponse
from loomwind.serving.breaker import ServerHealth
from loomwind.serving.errors import SendFailed
from loomwind.serving.forwarder import Forwarder, OpenResponse
from loomwind.serving.hand_over import HandOver, Moved, MoveDecision, MovePolicy
from loomwind.serving.inactivity import (
    LONGEST_PAUSE_MS,
    MIN_MOVES_AT_ONCE,
    Liveness,
    Silence,
)
from loomwind.serving.pool import ServerPool
from loomwind.serving.server_attempt import Answer, Attempt
from loomwind.serving.server_selector import ServerSelector
from loomwind.serving.views import CallerRequest, ServerEntry, ServerState
from loomwind.settings import BoundSettings

SERVICE = "tutor"
EVENT = b"id: 2\ndata: two\n\n"
FOR_EVER_MS = 60_000.0
# Choices among equal servers are random; each sample would be another server half of the time.
SAMPLES = 20
NUMBER = re.compile(r"\d+")


def server(name: str, version: str = "v1") -> ServerEntry:
    """Return the entry of a server."""
    ready = ServerState.READY
    return ServerEntry(name, SERVICE, f"{name}:1", "zone-a", 8, ready, software_version=version)


def number_in(text: str) -> float:
    """Return the first number in a text, or a long time if it has none."""
    return next(iter(numbers_in(text)), FOR_EVER_MS)


def numbers_in(text: str) -> list[float]:
    """Return all numbers in a text."""
    return [float(number) for number in NUMBER.findall(text)]


def now_ms() -> float:
    """Return the time of the event loop."""
    return asyncio.get_running_loop().time() * MS_PER_SECOND


class ScriptedAttempt(Attempt):
    """An attempt at a server that behaves as a text says.

    :param delay_ms: the time from the send to the response.
    """

    def __init__(self, behaviour: str, delay_ms: float) -> None:
        super().__init__(server("other"), ServerHealth(), 1)
        self._behaviour = behaviour
        self._delay_ms = delay_ms
        self.sent_ms: float | None = None
        self.responded_ms: float | None = None
        self.ended_ms: float | None = None

    async def connect(self) -> None:
        """Connect, unless the server accepts no connection."""
        await asyncio.sleep(0.001)
        if "fails unexpectedly" in self._behaviour:
            raise ValueError("not a port")
        if "accepts no connection" in self._behaviour:
            raise SendFailed("refused", may_have_run=False, unreachable=True)

    def send(self, last_event_id: str | None) -> asyncio.Task[Answer]:
        """Send the request."""
        assert last_event_id == "1", "the stream goes on after its last relayed event"
        self.sent_ms = now_ms()
        self.answering = asyncio.create_task(self._answer())
        return self.answering

    async def _answer(self) -> Answer:
        await asyncio.sleep(self._delay_ms / MS_PER_SECOND)
        if "resets" in self._behaviour:
            raise SendFailed("reset", may_have_run=True, broken=True)
        if "refuses" in self._behaviour:
            raise SendFailed("refused unstarted", may_have_run=False)
        self.responded_ms = now_ms()
        connection = cast(ClientConnection, None)
        return Answer(OpenResponse(connection, HttpResponse(200, ())), None)

    def stop(self) -> None:
        """End the attempt."""
        if self.answering is not None:
            self.answering.cancel()
        self.ended_ms = now_ms()

    def abandon(self) -> None:
        """End the attempt."""
        self.stop()


class ScriptedPolicy(MovePolicy):
    """Moves a request to the scripted server, as often as the text has times; at least once."""

    def __init__(self, silent_behaviour: str, behaviour: str) -> None:
        self._silent_behaviour = silent_behaviour
        self._behaviour = behaviour
        self._delays_ms = numbers_in(behaviour) or [FOR_EVER_MS]
        self.attempts: list[ScriptedAttempt] = []
        self.returned = 0

    def decide(self, silent: ServerEntry, silent_since_ms: float) -> MoveDecision:
        """Decide for the scripted server."""
        number = len(self.attempts)
        if number == len(self._delays_ms) or "may not be asked" in self._behaviour:
            return MoveDecision("no server is left")
        self.attempts.append(ScriptedAttempt(self._behaviour, self._delays_ms[number]))
        return MoveDecision("it can run it", self.attempts[number])

    def has_ended(self, silent: ServerEntry) -> bool:
        """Whether the silent server has been replaced."""
        text = self._silent_behaviour
        return "is replaced" in text and now_ms() >= number_in(text)

    def record_begun(self, replacement: Attempt) -> str | None:
        """Return the id of the last relayed event."""
        return "1"

    def record_unsent(self, replacement: Attempt, failure: SendFailed | None) -> None:
        """Count the retry as returned."""
        self.returned += 1

    def record_dropped(
        self, replacement: Attempt, silent: ServerEntry, failure: SendFailed | None
    ) -> None:
        """Record nothing."""

    def record_moved(self, silent: ServerEntry) -> None:
        """Record nothing."""

    def check(self, answer: Answer, entry: ServerEntry) -> SendFailed | None:
        """Accept every response."""
        return None


@define
class Reading:
    """What reading a stream has brought.

    :ivar left_ms: when the silent server's connection was closed; None if it was not.
    """

    outcome: str = ""
    left_ms: float | None = None
    is_silent_read: bool = False


@given("a stream whose server {behaviour}")
def step_silent(context: Any, behaviour: str) -> None:
    context.silent_behaviour = behaviour


@given("another server that {behaviour}")
def step_other(context: Any, behaviour: str) -> None:
    context.policy = ScriptedPolicy(context.silent_behaviour, behaviour)


@when("the stream is read")
def step_read(context: Any) -> None:
    context.reading = Reading()
    context.lines = []
    eliot.add_destinations(context.lines.append)
    try:
        run_in_virtual_time(_read(context.silent_behaviour, context.policy, context.reading))
    finally:
        eliot.remove_destination(context.lines.append)


async def _read(behaviour: str, policy: ScriptedPolicy, reading: Reading) -> None:
    async def read() -> bytes:
        """Read from the silent server; its next data come at a time that cancelling keeps."""
        reading.is_silent_read = True
        try:
            due_ms = FOR_EVER_MS if "is replaced" in behaviour else number_in(behaviour)
            due_seconds = due_ms / MS_PER_SECOND
            await asyncio.sleep(due_seconds - asyncio.get_running_loop().time())
        finally:
            reading.is_silent_read = False
        if "breaks" in behaviour:
            raise SendFailed("reset", may_have_run=True, broken=True)
        return EVENT

    try:
        data = await HandOver("id-1", policy).read(server("silent"), read, LONGEST_PAUSE_MS)
        assert data == EVENT
        reading.outcome = "the silent server goes on"
    except Moved as moved:
        assert moved.replacement is policy.attempts[-1]
        reading.left_ms = now_ms()
        reading.outcome = "the other server goes on"
        moved.replacement.stop()
    except SendFailed:
        reading.outcome = "the stream fails"
    await asyncio.sleep(0)
    assert not reading.is_silent_read, "nothing reads from a server that was left"


@when("the stream is read, and its caller leaves after {after_ms:d} ms")
def step_leaves(context: Any, after_ms: int) -> None:
    context.reading = Reading()
    run_in_virtual_time(_leave(context, after_ms / MS_PER_SECOND))


async def _leave(context: Any, after_seconds: float) -> None:
    task = asyncio.ensure_future(_read(context.silent_behaviour, context.policy, context.reading))
    await asyncio.sleep(after_seconds)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await asyncio.sleep(0)


@then("{server_name} goes on")
def step_goes_on(context: Any, server_name: str) -> None:
    assert context.reading.outcome == f"{server_name} goes on", context.reading


@then("the stream fails")
def step_fails(context: Any) -> None:
    assert context.reading.outcome == "the stream fails", context.reading


@then("the silent server was left only if it had ended or the other one had responded")
def step_not_left(context: Any) -> None:
    left_ms, silent = context.reading.left_ms, context.silent_behaviour
    has_ended = any(end in silent for end in ("breaks", "is replaced")) and (
        left_ms is not None and left_ms >= number_in(silent)
    )
    responded = context.policy.attempts and context.policy.attempts[-1].responded_ms is not None
    assert left_ms is None or has_ended or responded, context.reading


@then("both servers had the request for at most {most_ms:d} ms")
def step_overlap(context: Any, most_ms: int) -> None:
    reading: Reading = context.reading
    for attempt in context.policy.attempts:
        is_last = attempt is context.policy.attempts[-1]
        if attempt.sent_ms is not None:
            ended_ms = reading.left_ms if is_last and reading.left_ms else attempt.ended_ms
            assert ended_ms is not None and ended_ms - attempt.sent_ms <= most_ms, ended_ms


@then("every retry was returned")
def step_returned(context: Any) -> None:
    assert context.policy.returned == len(context.policy.attempts) == 1


@then("neither server has the request")
def step_neither(context: Any) -> None:
    attempt = context.policy.attempts[0]
    assert attempt.sent_ms is not None and attempt.answering.cancelled()
    assert not context.reading.is_silent_read


@then("the silent server was left {least_ms:d} to {most_ms:d} ms after its last event")
def step_left(context: Any, least_ms: int, most_ms: int) -> None:
    assert least_ms <= context.reading.left_ms <= most_ms, context.reading


@then("one line tells that the silent server is kept, and why")
def step_logged(context: Any) -> None:
    lines = [line for line in context.lines if line.get("decision") == "silent"]
    assert len(lines) == 1, lines
    assert lines[0]["kept"] and lines[0]["reason"] == "no server is left", lines


@when("a server {state}, and was last heard at {heard_ms:d} ms")
def step_liveness(context: Any, state: str, heard_ms: int) -> None:
    running, moves = {
        "has requests": (1, 0),
        "has 8 requests and gets 7 more": (8, 7),
        "has 8 requests and gets 8 more": (8, 8),
        "is being moved to": (0, MIN_MOVES_AT_ONCE),
    }.get(state, (0, 0))
    is_suspect = state == "is suspect"
    context.liveness = Liveness(float(heard_ms), running + moves, is_suspect, moves)


@then("it {may} from one that is silent since {since_ms:d} ms")
def step_may(context: Any, may: str, since_ms: int) -> None:
    expected = {"may take over": True, "may not take over": False}[may]
    assert Silence(float(since_ms)).may_be_taken_over(context.liveness) is expected


class IdleForwarder:
    """A forwarder with an idle connection to every server."""

    def has_idle_connection(self, entry: ServerEntry) -> bool:
        """Return that one is open."""
        return True


@given("a silent server of version {own}, and servers of versions {others} that were heard since")
def step_versions(context: Any, own: str, others: str) -> None:
    context.silent = server("silent", own)
    context.servers = [server(f"s{i}", each) for i, each in enumerate(others.split(" and "))]


def choose_replacement(
    silent: ServerEntry, others: list[ServerEntry], version: str | None, has_begun: bool = True
) -> ServerEntry | None:
    """Return the server that takes over a stream that is silent since 1 s, at 2 s.

    :param version: the required software version; None before the first event.
    :param has_begun: whether the caller has got the head of the response.
    """
    selector = new_selector(ServerPool(BoundSettings()), silent, others, version)
    return selector.choose_replacement(silent, Silence(1000.0, has_begun=has_begun), 2.0)


def new_selector(
    pool: ServerPool, silent: ServerEntry, others: list[ServerEntry], version: str | None
) -> ServerSelector:
    """Return a selector of servers, of which the silent one sent data at 0.9 s, others at 1.9 s."""
    for entry in (silent, *others):
        pool.directory.put(entry)
        pool.health(entry).record_received(0.9 if entry is silent else 1.9)
    forwarder = cast(Forwarder, IdleForwarder())
    caller = CallerRequest("id-1", "h", 30.0, None)
    selector = ServerSelector(pool, forwarder, "zone-a", SERVICE, caller)
    selector.software_version = version
    return selector


@when("the stream has been sent to server {name:w} in vain")
def step_in_vain(context: Any, name: str) -> None:
    context.pool_of_servers = ServerPool(BoundSettings())
    context.selector = new_selector(context.pool_of_servers, context.silent, context.servers, "v1")
    context.selector.dropped.append(name)


@then("server {name:w} takes its stream over, whether {other:w} has requests or is idle")
def step_other_asked(context: Any, name: str, other: str) -> None:
    selector, silence = context.selector, Silence(1000.0, has_begun=True)
    chosen = [selector.choose_replacement(context.silent, silence, 2.0) for _ in range(SAMPLES)]
    context.pool_of_servers.health(server(name)).record_sent(2.0)
    chosen += [selector.choose_replacement(context.silent, silence, 2.0) for _ in range(SAMPLES)]
    names = {each.name for each in chosen if each is not None}
    assert None not in chosen and names == {name}, names


@then("server {name:w} does when the route allows no further server")
def step_asked_again(context: Any, name: str) -> None:
    context.selector.allowed = {context.silent.instance, name}
    chosen = context.selector.choose_replacement(context.silent, Silence(1000.0), 2.0)
    context.selector.allowed = None
    assert chosen is not None and chosen.name == name, chosen


@then("the stream is sent to server {name:w} when the silent server fails")
def step_chosen_next(context: Any, name: str) -> None:
    context.selector.tried.add(context.silent.instance)
    chosen = [run_in_virtual_time(_choose(context.selector)) for _ in range(SAMPLES)]
    names = {each.name for each in chosen if each is not None}
    assert None not in chosen and names == {name}, names


async def _choose(selector: ServerSelector) -> ServerEntry | None:
    return selector.choose(2.0)


@then("no server takes its stream over")
def step_none(context: Any) -> None:
    assert choose_replacement(context.silent, context.servers, "v1") is None


@then("one does when a server of version {version} is heard as well")
def step_one(context: Any, version: str) -> None:
    same = server("same", version)
    assert choose_replacement(context.silent, [*context.servers, same], "v1") == same


@when("its stream has no event yet")
def step_no_event(context: Any) -> None:
    context.version = None


@then("a server takes its stream over before the head was passed on, and none after it")
def step_head(context: Any) -> None:
    version = context.version
    assert choose_replacement(context.silent, context.servers, version, has_begun=False)
    assert not choose_replacement(context.silent, context.servers, version, has_begun=True)


@given("a server from which a request was moved at {now:f} s")
def step_left_server(context: Any, now: float) -> None:
    context.left = ServerHealth()
    context.left.record_left(now)


@when("the server sends data at {now:f} s")
def step_sends(context: Any, now: float) -> None:
    context.left.record_received(now)


@then("the server is suspect at {late:f} s, and not at {later:f} s")
def step_left_suspect(context: Any, late: float, later: float) -> None:
    assert context.left.is_suspect(late) and not context.left.is_suspect(later)


@then("the server is not suspect at {now:f} s")
def step_left_sound(context: Any, now: float) -> None:
    assert not context.left.is_suspect(now)
