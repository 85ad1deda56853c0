"""At-most-once execution of non-repeatable requests, and correct reports of "not run".

Two daemons have the same request with the same key. Voters A, B and C record claims. A may fail and
be replaced by A', which first fetches the claims of a majority of the old voter set; a voter that
has sent its claims grants no more claims in the old epoch. A daemon may crash at any point, and the
response of the backend may be lost.

Code: ``loomwind/control/claims.py``.
"""

from collections.abc import Iterator
from typing import Any, NamedTuple

from specification.model import Model, Mutation, State, Step

DAEMONS = (0, 1)
VOTER_SETS = (("A", "B", "C"), ("A'", "B", "C"))
MAJORITY = 2
CONFLICT = -1

START, CLAIMING, CLAIMED, SENT, ANSWERED, REFUSED, UNKNOWN, DEAD = (
    "start",
    "claiming",
    "claimed",
    "sent",
    "answered",
    "refused-not-run",
    "refused-unknown",
    "dead",
)


class Voter(NamedTuple):
    """A voter.

    :param claim: the daemon that the key is granted to, or CONFLICT.
    :param sealed: it has sent its claims, and grants no more in the old epoch.
    :param ready: it may grant claims.
    """

    claim: int | None = None
    sealed: bool = False
    ready: bool = True


class Daemon(NamedTuple):
    """A daemon with the request.

    :param epoch: index of the voter set whose grants it counts.
    :param handed_over: it has begun to send the request to the backend.
    """

    phase: str = START
    epoch: int = 0
    granted: frozenset[str] = frozenset()
    handed_over: bool = False
    tries: int = 0


MUTATIONS = (
    Mutation("claim-majority", "a claim is valid only if granted by a majority of the voters"),
    Mutation("claim-transfer", "a new voter fetches the claims of a majority of the old set"),
    Mutation("claim-conflict", "a key that two daemons claimed is not granted again"),
    Mutation("claim-seal", "a voter that sent its claims grants no more in the old epoch"),
    Mutation("retry-only-not-run", "a request that may have run is not retried"),
    Mutation("not-run-only-unsent", "not-run is reported only if no byte was sent to the backend"),
)

FIELDS = ("voters", "fetched", "epoch", "daemons", "runs")
INITIAL: State = (
    (("A", Voter()), ("A'", Voter(ready=False)), ("B", Voter()), ("C", Voter())),
    frozenset(),
    0,
    (Daemon(), Daemon()),
    (0, 0),
)


def transitions(state: State, disabled: frozenset[str]) -> Iterator[Step]:
    """Return the steps that are possible in a state."""
    yield from _replace_voter(state, disabled)
    for d in DAEMONS:
        yield from _claim(state, d, disabled)
        yield from _release(state, d)
        yield from _run_request(state, d, disabled)
        yield from _finish_request(state, d, disabled)


def _put(daemons: tuple[Daemon, ...], d: int, daemon: Daemon) -> tuple[Daemon, ...]:
    return (*daemons[:d], daemon, *daemons[d + 1 :])


def _put_voter(voters: tuple[Any, ...], name: str, voter: Voter) -> tuple[Any, ...]:
    return tuple((n, voter if n == name else v) for n, v in voters)


def _replace_voter(state: State, disabled: frozenset[str]) -> Iterator[Step]:
    voters, fetched, epoch, daemons, runs = state
    known = dict(voters)
    if epoch == 1:
        return
    for name in ("A", "B", "C"):
        if name in fetched:
            continue
        source = known[name]
        after = voters
        if "claim-seal" not in disabled:
            after = _put_voter(after, name, source._replace(sealed=True))
        merged = _merge(known["A'"].claim, source.claim, disabled)
        after = _put_voter(after, "A'", known["A'"]._replace(claim=merged))
        if "claim-transfer" not in disabled:
            yield f"fetch({name})", (after, fetched | {name}, epoch, daemons, runs)
    enough = len(fetched) >= MAJORITY or "claim-transfer" in disabled
    if enough:
        ready = _put_voter(voters, "A'", known["A'"]._replace(ready=True))
        yield "replace(A)", (ready, fetched, 1, daemons, runs)


def _merge(held: int | None, fetched: int | None, disabled: frozenset[str]) -> int | None:
    """Return the claim of the new voter after it fetched one from another voter."""
    if fetched is None or held is None:
        return held if fetched is None else fetched
    return fetched if held == fetched or "claim-conflict" in disabled else CONFLICT


def _claim(state: State, d: int, disabled: frozenset[str]) -> Iterator[Step]:
    voters, fetched, epoch, daemons, runs = state
    daemon = daemons[d]
    if daemon.phase == START:
        claiming = daemon._replace(phase=CLAIMING, granted=frozenset())
        yield f"begin({d})", (voters, fetched, epoch, _put(daemons, d, claiming), runs)
    if daemon.phase == CLAIMING and daemon.epoch < epoch:
        moved = daemon._replace(epoch=epoch, granted=frozenset())
        yield f"learn-epoch({d})", (voters, fetched, epoch, _put(daemons, d, moved), runs)
    if daemon.phase != CLAIMING:
        return
    known = dict(voters)
    for name in VOTER_SETS[daemon.epoch]:
        voter = known[name]
        blocked = voter.sealed and daemon.epoch == 0
        if not voter.ready or blocked or name in daemon.granted or voter.claim not in (None, d):
            continue
        after = _put_voter(voters, name, voter._replace(claim=d))
        if after != voters:
            yield f"grant-lost({d},{name})", (after, fetched, epoch, daemons, runs)
        granted = daemon.granted | {name}
        needed = 1 if "claim-majority" in disabled else MAJORITY
        phase = CLAIMED if len(granted) >= needed else CLAIMING
        counted = daemon._replace(phase=phase, granted=granted)
        yield f"grant({d},{name})", (after, fetched, epoch, _put(daemons, d, counted), runs)


def _release(state: State, d: int) -> Iterator[Step]:
    """A daemon releases a grant, while it is claiming or after it reported "not run"."""
    voters, fetched, epoch, daemons, runs = state
    daemon = daemons[d]
    if daemon.phase != CLAIMING and (daemon.phase != REFUSED or daemon.handed_over):
        return
    for name, voter in voters:
        if voter.claim == d and name != "A'":
            after = _put_voter(voters, name, voter._replace(claim=None))
            updated = daemon._replace(granted=daemon.granted - {name})
            new_daemons = _put(daemons, d, updated)
            yield f"release({d},{name})", (after, fetched, epoch, new_daemons, runs)


def _run_request(state: State, d: int, disabled: frozenset[str]) -> Iterator[Step]:
    voters, fetched, epoch, daemons, runs = state
    daemon = daemons[d]
    if daemon.phase == CLAIMED:
        sent = daemon._replace(phase=SENT, handed_over=True)
        after = _put(daemons, d, sent)
        ran = (*runs[:d], runs[d] + 1, *runs[d + 1 :])
        yield f"run({d})", (voters, fetched, epoch, after, ran)
        yield f"not-reached({d})", (voters, fetched, epoch, after, runs)
    if daemon.phase == SENT:
        if runs[d]:
            answered = daemon._replace(phase=ANSWERED)
            yield f"answer({d})", (voters, fetched, epoch, _put(daemons, d, answered), runs)
        if "retry-only-not-run" in disabled and daemon.tries == 0:
            again = daemon._replace(phase=CLAIMED, tries=1)
            yield f"retry({d})", (voters, fetched, epoch, _put(daemons, d, again), runs)


def _finish_request(state: State, d: int, disabled: frozenset[str]) -> Iterator[Step]:
    """The deadline of the request passes, or the daemon crashes."""
    voters, fetched, epoch, daemons, runs = state
    daemon = daemons[d]
    if daemon.phase in (ANSWERED, REFUSED, UNKNOWN, DEAD):
        return
    unknown = daemon.handed_over and "not-run-only-unsent" not in disabled
    ended = daemon._replace(phase=UNKNOWN if unknown else REFUSED)
    yield f"refuse({d})", (voters, fetched, epoch, _put(daemons, d, ended), runs)
    dead = daemon._replace(phase=DEAD)
    yield f"die({d})", (voters, fetched, epoch, _put(daemons, d, dead), runs)


def _runs_at_most_once(state: dict[str, Any]) -> bool:
    runs: tuple[int, ...] = state["runs"]
    return sum(runs) <= 1


def _not_run_is_correct(state: dict[str, Any]) -> bool:
    pairs = zip(state["daemons"], state["runs"], strict=True)
    return all(daemon.phase != REFUSED or runs == 0 for daemon, runs in pairs)


MODEL = Model(
    name="claims",
    fields=FIELDS,
    initial=INITIAL,
    transitions=transitions,
    invariants={
        "a request runs at most once": _runs_at_most_once,
        "what is said not to have run did not run": _not_run_is_correct,
    },
    mutations=MUTATIONS,
)
