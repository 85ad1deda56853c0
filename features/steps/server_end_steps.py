"""Steps for the evidence that a silent server has ended, and for where its requests go."""

from typing import Any, cast

from attrs import frozen
from behave import given, then, when

from features.steps.hand_over_steps import SERVICE, IdleForwarder
from features.support.virtual_time import run_in_virtual_time
from loomwind.clock import MS_PER_SECOND
from loomwind.serving.errors import SendFailed
from loomwind.serving.forwarder import Forwarder
from loomwind.serving.pool import ServerPool
from loomwind.serving.server_selector import ServerSelector
from loomwind.serving.views import CallerRequest, ServerEntry, ServerState
from loomwind.settings import BoundSettings

NAME = "one"
START_MS = 1000


def entry(
    name: str = NAME, start_ms: int = START_MS, state: ServerState = ServerState.READY
) -> ServerEntry:
    """Return the entry of a server process."""
    return ServerEntry(name, SERVICE, f"{name}:1", "zone-a", 8, state, started_at_ms=start_ms)


@frozen
class SilentServer:
    """A server that sends nothing, and the pool that has its entry."""

    pool: ServerPool
    since_ms: int


@given("a server that is silent since {since_ms:d} ms")
def step_silent_since(context: Any, since_ms: int) -> None:
    pool = ServerPool(BoundSettings())
    pool.directory.put(entry())
    pool.health(entry()).record_received(since_ms / MS_PER_SECOND)
    context.silent_server = SilentServer(pool, since_ms)


@when("nothing else is seen")
def step_nothing(context: Any) -> None:
    """Leave everything as it is."""


@when("its host refuses a connection at {at_ms:d} ms")
def step_refuses(context: Any, at_ms: int) -> None:
    _fail_connect(context, at_ms)


@when("it says that it leaves, and refuses a connection at {at_ms:d} ms")
def step_leaves(context: Any, at_ms: int) -> None:
    context.silent_server.pool.directory.put(entry(state=ServerState.DRAINING))
    _fail_connect(context, at_ms)


@when("its entry is removed")
def step_removed(context: Any) -> None:
    context.silent_server.pool.directory.remove(NAME, 2.5, False, 2.5)


@when("its entry is removed, and it refuses one at {at_ms:d} ms")
def step_removed_refuses(context: Any, at_ms: int) -> None:
    context.silent_server.pool.directory.remove(NAME, 2.5, False, 2.5)
    _fail_connect(context, at_ms)


@when("another server responds at its address")
def step_other_responds(context: Any) -> None:
    failure = SendFailed("421", may_have_run=False, other_instance=True)
    context.silent_server.pool.record_failure(entry(), None, failure, 2.5)


@when("a later process of it is listed")
def step_later_process(context: Any) -> None:
    context.silent_server.pool.directory.put(entry(start_ms=START_MS + 1))


@when("an earlier process of it is listed")
def step_earlier_process(context: Any) -> None:
    context.silent_server.pool.directory.put(entry(start_ms=START_MS - 1))


def _fail_connect(context: Any, at_ms: int) -> None:
    failure = SendFailed("connect", may_have_run=False, unreachable=True)
    pool: ServerPool = context.silent_server.pool
    pool.record_failure(entry(), None, failure, at_ms / MS_PER_SECOND)


@then("it counts as {state}")
def step_counts_as(context: Any, state: str) -> None:
    server: SilentServer = context.silent_server
    has_ended = server.pool.directory.is_replaced(entry())
    assert has_ended is {"ended": True, "not ended": False}[state]


@given("a request that may go to servers {one:w} and {two:w} again, and has failed at {tried:w}")
def step_allowed(context: Any, one: str, two: str, tried: str) -> None:
    pool = ServerPool(BoundSettings())
    forwarder = cast(Forwarder, IdleForwarder())
    caller = CallerRequest("id-1", "h", 30.0, None)
    selector = ServerSelector(pool, forwarder, "zone-a", SERVICE, caller)
    selector.allowed = {entry(one).instance, entry(two).instance}
    selector.tried = {entry(tried).instance}
    context.pool_of_servers, context.selector = pool, selector
    for name in (one, two):
        pool.directory.put(entry(name))


@when("server {silent:w} was silent, and server {idle:w} is idle")
def step_idle(context: Any, silent: str, idle: str) -> None:
    context.pool_of_servers.directory.put(entry(idle))
    context.pool_of_servers.health(entry(silent)).record_left(2.0)


@then("it is sent to server {name:w}")
def step_sent_to(context: Any, name: str) -> None:
    chosen = run_in_virtual_time(_choose(context.selector))
    assert chosen is not None and chosen.name == name, chosen


async def _choose(selector: ServerSelector) -> ServerEntry | None:
    return selector.choose(2.1)
