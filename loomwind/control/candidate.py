"""The proposer side of the register protocol: a state machine without I/O or clock.

A candidate prepares a ballot, reads the accepted values of a majority, writes the newest value back
under its own ballot and then leads. The leader changes the register by getting a new version
accepted by a majority. See docs/DESIGN.md, "The register", for the rules and why each is needed;
``specification`` models the same rules.
"""

import enum
from collections.abc import Iterable

from msgspec import Struct, structs

from loomwind.messages import (
    Accept,
    Accepted,
    Ballot,
    Intent,
    Prepare,
    Promise,
    Refused,
    RegisterValue,
    Stamp,
    VoterId,
)


class Phase(enum.Enum):
    """The phase of a candidate in the protocol."""

    IDLE = "idle"
    PREPARING = "preparing"
    RECOVERING = "recovering"
    LEADING = "leading"


class Envelope(Struct, frozen=True):
    """A message and the voter that it is addressed to."""

    voter: VoterId
    message: Prepare | Accept


def is_majority(acknowledged: Iterable[VoterId], voters: tuple[VoterId, ...]) -> bool:
    """Return whether the acknowledging voters form a majority of a voter set."""
    return 2 * len(set(acknowledged) & set(voters)) > len(voters)


def is_quorum(acknowledged: Iterable[VoterId], value: RegisterValue) -> bool:
    """Return whether a value is committed: by a majority of its voters and of any joint set."""
    known = set(acknowledged)
    return is_majority(known, value.voters) and (not value.joint or is_majority(known, value.joint))


class Candidate:
    """One daemon's attempts to lead its cell.

    ``committed`` is the last value that a quorum is known to have accepted under the current
    ballot of this candidate.
    """

    def __init__(self, cell: str, identity: VoterId) -> None:
        self.cell = cell
        self.identity = identity
        self.phase = Phase.IDLE
        self.generation = 0
        self.ballot = Ballot()
        self.highest_round = 0
        self.committed: RegisterValue | None = None
        self.pending: RegisterValue | None = None
        self._base_voters: tuple[VoterId, ...] = ()
        self._promises: dict[VoterId, RegisterValue | None] = {}
        self._acknowledged: set[VoterId] = set()

    @property
    def leading(self) -> bool:
        """Whether this candidate leads, and so may propose changes."""
        return self.phase is Phase.LEADING

    @property
    def is_writing(self) -> bool:
        """Whether a write is in progress."""
        return self.pending is not None

    def campaign(self, generation: int, voters: tuple[VoterId, ...]) -> list[Envelope]:
        """Start a new ballot and return the requests for promises.

        :param voters: the newest known voter set.
        """
        self.phase = Phase.PREPARING
        self.generation = generation
        self.highest_round += 1
        self.ballot = Ballot(self.highest_round, self.identity)
        self.committed = None
        self.pending = None
        self._base_voters = voters
        self._promises = {}
        self._acknowledged = set()
        return self.unanswered_messages()

    def step_down(self) -> None:
        """Give up leadership, or the attempt to gain it."""
        self.phase = Phase.IDLE
        self.pending = None

    def unanswered_messages(self) -> list[Envelope]:
        """Return the messages that are not answered yet, to send or to retry."""
        if self.phase is Phase.PREPARING:
            prepare = Prepare(self.cell, self.generation, self.ballot)
            missing = sorted(self._recipients() - set(self._promises))
            return [Envelope(voter, prepare) for voter in missing]
        if self.pending is not None:
            accept = Accept(self.cell, self.pending)
            recipients = {*self.pending.voters, *self.pending.joint}
            return [Envelope(voter, accept) for voter in sorted(recipients - self._acknowledged)]
        return []

    def propose_placements(
        self, intents: tuple[Intent, ...], fenced_engines: tuple[str, ...]
    ) -> list[Envelope]:
        """Start writing the next version, with new placements."""
        stamp, current = self._next_version()
        self._write(
            structs.replace(
                current, stamp=stamp, joint=(), intents=intents, fenced_engines=fenced_engines
            )
        )
        return self.unanswered_messages()

    def propose_voters(self, voters: tuple[VoterId, ...]) -> list[Envelope]:
        """Start writing the next version, with a new voter set.

        It is committed once a majority of the old set and a majority of the new set accepted it.
        """
        stamp, current = self._next_version()
        epoch = current.epoch + 1
        changed = structs.replace(
            current, stamp=stamp, voters=voters, joint=current.voters, epoch=epoch
        )
        self._write(changed)
        return self.unanswered_messages()

    def _next_version(self) -> tuple[Stamp, RegisterValue]:
        assert self.leading and not self.is_writing and self.committed is not None
        version = self.committed.stamp.version + 1
        return Stamp(self.generation, self.ballot, version), self.committed

    def _write(self, value: RegisterValue) -> None:
        self.pending = value
        self._acknowledged = set()

    def _newest(self) -> RegisterValue | None:
        """Return the accepted value with the highest ballot, then version, among the promises."""
        values = [value for value in self._promises.values() if value is not None]
        return max(values, key=lambda value: value.stamp, default=None)

    def _recipients(self) -> set[VoterId]:
        newest = self._newest()
        return {*self._base_voters} if newest is None else {*newest.voters, *newest.joint}

    def on_promise(self, message: Promise) -> list[Envelope]:
        """Record a promise. Once a quorum has promised, write the newest value back."""
        current = (self.generation, self.ballot)
        if self.phase is not Phase.PREPARING or (message.generation, message.ballot) != current:
            return []
        previous_recipients = self._recipients()
        self._promises[message.voter] = message.accepted
        newest = self._newest()
        if newest is None:
            if not is_majority(self._promises, self._base_voters):
                return []
            newest = RegisterValue(Stamp(self.generation), self._base_voters)
        elif not is_quorum(self._promises, newest):
            return self.unanswered_messages() if self._recipients() != previous_recipients else []
        self._recover(newest)
        return self.unanswered_messages()

    def _recover(self, newest: RegisterValue) -> None:
        self.phase = Phase.RECOVERING
        stamp = Stamp(self.generation, self.ballot, newest.stamp.version)
        self._write(structs.replace(newest, stamp=stamp))

    def on_accepted(self, message: Accepted) -> bool:
        """Record an acknowledgement.

        :returns: whether it commits the pending value.
        """
        if self.pending is None or message.stamp != self.pending.stamp:
            return False
        self._acknowledged.add(message.voter)
        if not is_quorum(self._acknowledged, self.pending):
            return False
        self.committed = self.pending
        self.pending = None
        self.phase = Phase.LEADING
        return True

    def on_refused(self, message: Refused) -> bool:
        """Step down if the voter promised a higher ballot or is in a newer generation.

        :returns: whether this candidate stepped down.
        """
        self.highest_round = max(self.highest_round, message.promised.round)
        active = self.phase is not Phase.IDLE
        newer = (message.generation, message.promised) > (self.generation, self.ballot)
        if active and newer:
            self.step_down()
            return True
        return False
