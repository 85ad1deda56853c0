"""Streams that are continued at the software version that began them.

Servers of versions 1 and 2 come and go. The first daemon relays the first events of two streams,
keeps their origins in memory and writes them to its row in the store, each write under the row
version that it knows. Writes may be delayed and carried out later, if their condition still holds.
It may die and start again, with an empty memory, at any step; its streams are then broken, and
their callers resume them. A version is registered before streams begin at it, and is removed
when no server of it is listed, its streams are over and another one is registered.

The second daemon may be out of step: it has a copy of the versions, of any age, and takes the only
version in it for the answer while the copy is within its lease. A version that is registered beside
another one is opening; streams begin at it once every copy without it has expired. Time is not
modelled beyond that: a lease may expire at any step, and ``open`` stands for the wait.

Code: ``loomwind/serving/resumption.py``, ``version_registry.py``, ``origin_log.py`` and
``peer_origins.py``.
"""

from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from specification.model import Model, Mutation, State, Step

VERSIONS = (1, 2)
STREAMS = (0, 1)
MAX_RESTARTS = 2
MAX_DELAYED = 2
MAX_ROW_VERSION = 4
UNSENT, OPEN, BROKEN, OVER = "unsent", "open", "broken", "over"

Origins = frozenset[tuple[int, int]]


class Stream(NamedTuple):
    """A stream as its caller sees it.

    :param events_of: the versions of the servers that sent its events.
    """

    state: str = UNSENT
    events_of: frozenset[int] = frozenset()


class Row(NamedTuple):
    """The row of the daemon's origins; version 0 before the first write."""

    version: int = 0
    origins: Origins = frozenset()


class Daemon(NamedTuple):
    """The first daemon.

    :param knows: the row version that its next write expects.
    """

    origins: Origins = frozenset()
    knows: int = 0


class Registry(NamedTuple):
    """The row of versions.

    :param opening: the registered versions at which no stream may begin yet.
    """

    registered: frozenset[int] = frozenset({1})
    opening: frozenset[int] = frozenset()


class Copy(NamedTuple):
    """The second daemon's copy of the possible versions.

    :param is_current: whether the copy is within its lease.
    """

    versions: frozenset[int] = frozenset({1})
    is_current: bool = True


class Ghost(NamedTuple):
    """History variables for the invariants.

    :param stored: the origins that the store has acknowledged.
    :param restarts: how often the daemon has died.
    """

    stored: Origins = frozenset()
    restarts: int = 0


MUTATIONS = (
    Mutation("require-version", "a stream is continued only at the version that began it"),
    Mutation("register-first", "streams begin only at registered versions"),
    Mutation("retain-version", "a version stays registered while its streams may be resumed"),
    Mutation("retain-last", "the last registered version stays until another one is registered"),
    Mutation("reject-unknown", "a stream of unknown origin is not continued"),
    Mutation("keep-row", "a daemon that has restarted takes over the origins in its row"),
    Mutation("belief-lease", "a copy of the versions that is too old decides nothing"),
    Mutation("opening-wait", "streams begin at a further version when no copy lacks it"),
    Mutation("own-row-version", "a row is written only at the version that its writer knows"),
)

FIELDS = ("listed", "registry", "copy", "row", "daemon", "delayed", "streams", "ghost")
INITIAL: State = (
    frozenset({1}),
    Registry(),
    Copy(),
    Row(),
    Daemon(),
    (),
    (Stream(), Stream()),
    Ghost(),
)


def _put(items: tuple[Any, ...], index: int, item: object) -> tuple[Any, ...]:
    return (*items[:index], item, *items[index + 1 :])


def transitions(state: State, disabled: frozenset[str]) -> Iterator[Step]:
    """Return the steps that are possible in a state."""
    yield from _server_steps(state)
    yield from _registry_steps(state, disabled)
    yield from _copy_steps(state, disabled)
    yield from _write_steps(state, disabled)
    yield from _restart(state)
    for number in STREAMS:
        yield from _begin(state, number, disabled)
        yield from _resume(state, number, disabled)
        yield from _give_up(state, number)


def _server_steps(state: State) -> Iterator[Step]:
    """Servers of a version appear, or the last ones of a version leave."""
    listed, *rest = state
    for version in VERSIONS:
        if version not in listed:
            yield f"appear({version})", (listed | {version}, *rest)
        elif len(listed) > 1:
            yield f"leave({version})", (listed - {version}, *rest)


def _registry_steps(state: State, disabled: frozenset[str]) -> Iterator[Step]:
    listed, registry, copy, row, daemon, delayed, streams, ghost = state
    registered, opening = registry
    rest = (copy, row, daemon, delayed, streams, ghost)
    for version in listed - registered:
        added = opening | {version} if registered else opening
        yield f"register({version})", (listed, Registry(registered | {version}, added), *rest)
    for version in opening:
        has_expired = not copy.is_current or version in copy.versions
        if has_expired or "opening-wait" in disabled:
            yield f"open({version})", (listed, Registry(registered, opening - {version}), *rest)
    for version in registered - listed:
        if registered == {version} and "retain-last" not in disabled:
            continue
        alive = any(version in s.events_of and s.state in (OPEN, BROKEN) for s in streams)
        if not alive or "retain-version" in disabled:
            left = Registry(registered - {version}, opening - {version})
            yield f"retire({version})", (listed, left, *rest)


def _copy_steps(state: State, disabled: frozenset[str]) -> Iterator[Step]:
    """The second daemon takes a copy of the versions, or its lease runs out."""
    listed, registry, copy, *rest = state
    taken = Copy(listed | registry.registered)
    if copy != taken:
        yield "copy", (listed, registry, taken, *rest)
    if copy.is_current:
        kept = copy.versions if "belief-lease" in disabled else frozenset()
        yield "expire", (listed, registry, Copy(kept, False), *rest)


def _begin(state: State, number: int, disabled: frozenset[str]) -> Iterator[Step]:
    """The first daemon relays the first event of a stream."""
    listed, registry, copy, row, daemon, delayed, streams, ghost = state
    if streams[number].state != UNSENT:
        return
    for version in listed - registry.opening:
        if version not in registry.registered and "register-first" not in disabled:
            continue
        begun = _put(streams, number, Stream(OPEN, frozenset({version})))
        knowing = daemon._replace(origins=daemon.origins | {(number, version)})
        after = (listed, registry, copy, row, knowing, delayed, begun, ghost)
        yield f"begin({number},{version})", after


def _write_steps(state: State, disabled: frozenset[str]) -> Iterator[Step]:
    """The daemon writes its origins; the write is answered, or delayed without an answer."""
    listed, registry, copy, row, daemon, delayed, streams, ghost = state
    if daemon.origins and daemon.origins != row.origins:
        after = _written(state, daemon.knows, daemon.origins, disabled)
        if after is None:
            kept = frozenset() if "keep-row" in disabled else row.origins
            inherited = Daemon(daemon.origins | kept, row.version)
            yield "conflict", (listed, registry, copy, row, inherited, delayed, streams, ghost)
        else:
            stored = ghost._replace(stored=ghost.stored | daemon.origins)
            known = daemon._replace(knows=after.version)
            yield "write", (listed, registry, copy, after, known, delayed, streams, stored)
        if len(delayed) < MAX_DELAYED:
            sent = tuple(sorted((*delayed, (daemon.knows, tuple(sorted(daemon.origins))))))
            yield "write-delayed", (listed, registry, copy, row, daemon, sent, streams, ghost)
    for index, (expected, origins) in enumerate(delayed):
        rest = delayed[:index] + delayed[index + 1 :]
        after = _written(state, expected, frozenset(origins), disabled)
        if after is not None:
            yield "carry-out", (listed, registry, copy, after, daemon, rest, streams, ghost)


def _written(state: State, expected: int, origins: Origins, disabled: frozenset[str]) -> Row | None:
    """Return the row after a write; None when its condition does not hold."""
    row: Row = state[3]
    if row.version >= MAX_ROW_VERSION:
        return None
    if expected != row.version and "own-row-version" not in disabled:
        return None
    return Row(row.version + 1, origins)


def _restart(state: State) -> Iterator[Step]:
    listed, registry, copy, row, _, delayed, streams, ghost = state
    if ghost.restarts == MAX_RESTARTS:
        return
    broken = tuple(s._replace(state=BROKEN) if s.state == OPEN else s for s in streams)
    died = ghost._replace(restarts=ghost.restarts + 1)
    yield "restart", (listed, registry, copy, row, Daemon(), delayed, broken, died)


def _resume(state: State, number: int, disabled: frozenset[str]) -> Iterator[Step]:
    """The caller of a broken stream resumes it, at either daemon."""
    listed, registry, copy, row, daemon, delayed, streams, ghost = state
    stream = streams[number]
    if stream.state != BROKEN:
        return
    allowed = _allowed(state, number, disabled) | _allowed_by_copy(state)
    for version in allowed & listed:
        resumed = _put(streams, number, Stream(OPEN, stream.events_of | {version}))
        after = (listed, registry, copy, row, daemon, delayed, resumed, ghost)
        yield f"resume({number},{version})", after


def _allowed_by_copy(state: State) -> frozenset[int]:
    """Return the version at which the second daemon continues a stream that it does not know.

    Without a copy within its lease it reads the registry and the rows, or asks the first daemon.
    """
    copy: Copy = state[2]
    return copy.versions if len(copy.versions) == 1 else frozenset()


def _allowed(state: State, number: int, disabled: frozenset[str]) -> frozenset[int]:
    """Return the versions at which a daemon with the present versions continues a stream."""
    listed, registry, _, row, daemon, *_ = state
    possible: frozenset[int] = registry.registered | listed
    if "require-version" in disabled:
        return possible
    for origins in (daemon.origins, row.origins if len(possible) > 1 else frozenset()):
        known = frozenset(version for of, version in origins if of == number)
        if known:
            return known
    if len(possible) == 1 or "reject-unknown" in disabled:
        return possible
    return frozenset()


def _give_up(state: State, number: int) -> Iterator[Step]:
    """A stream ends, or its caller gives it up."""
    listed, registry, copy, row, daemon, delayed, streams, ghost = state
    if streams[number].state in (OPEN, BROKEN):
        over = _put(streams, number, streams[number]._replace(state=OVER))
        yield f"over({number})", (listed, registry, copy, row, daemon, delayed, over, ghost)


def _one_version(state: dict[str, Any]) -> bool:
    return all(len(stream.events_of) <= 1 for stream in state["streams"])


def _stored_origins_stay(state: dict[str, Any]) -> bool:
    row: Row = state["row"]
    ghost: Ghost = state["ghost"]
    return ghost.stored <= row.origins


def _canonical(state: State) -> State:
    """Return one of the two states that differ only in which stream is which."""
    listed, registry, copy, row, daemon, delayed, streams, ghost = state
    if _rank(streams[0]) <= _rank(streams[1]):
        return state
    return (
        listed,
        registry,
        copy,
        row._replace(origins=_swapped(row.origins)),
        daemon._replace(origins=_swapped(daemon.origins)),
        tuple(sorted((knows, tuple(sorted(_swapped(origins)))) for knows, origins in delayed)),
        (streams[1], streams[0]),
        ghost._replace(stored=_swapped(ghost.stored)),
    )


def _rank(stream: Stream) -> tuple[str, list[int]]:
    return stream.state, sorted(stream.events_of)


def _swapped(origins: Iterable[tuple[int, int]]) -> Origins:
    return frozenset((1 - number, version) for number, version in origins)


MODEL = Model(
    name="streams",
    fields=FIELDS,
    initial=INITIAL,
    canonical=_canonical,
    transitions=transitions,
    invariants={
        "no stream has events of two versions": _one_version,
        "an origin that the store has acknowledged stays in the row": _stored_origins_stay,
    },
    mutations=MUTATIONS,
)
