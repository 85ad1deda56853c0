"""The acceptor side of the register protocol: a state machine without I/O or clock.

A voter keeps its state in memory only. After a restart it is a different voter: its identity has a
new incarnation, and candidates count promises and acknowledgements by identity.
"""

from loomwind.messages import (
    Accept,
    Accepted,
    Ballot,
    Prepare,
    Promise,
    Refused,
    RegisterValue,
    VoterId,
)


class Voter:
    """The voter of one daemon process."""

    def __init__(self, cell: str, identity: VoterId) -> None:
        self.cell = cell
        self.identity = identity
        self.generation = 0
        self.promised = Ballot()
        self.accepted: RegisterValue | None = None

    def on_prepare(self, message: Prepare) -> Promise | Refused:
        """Promise to accept no lower ballot, or refuse if a higher one was promised."""
        self._enter_generation(message.generation)
        if message.generation < self.generation or message.ballot < self.promised:
            return self._refusal()
        self.promised = message.ballot
        return Promise(self.cell, self.identity, self.generation, message.ballot, self.accepted)

    def on_accept(self, message: Accept) -> Accepted | Refused:
        """Accept a value, or refuse if a higher ballot was promised."""
        stamp = message.value.stamp
        self._enter_generation(stamp.generation)
        if stamp.generation < self.generation or stamp.ballot < self.promised:
            return self._refusal()
        self.promised = stamp.ballot
        if self.accepted is None or stamp > self.accepted.stamp:
            self.accepted = message.value
        return Accepted(self.cell, self.identity, stamp)

    def _enter_generation(self, generation: int) -> None:
        """Reset the state for a new generation: the engines fence off the earlier one."""
        if generation > self.generation:
            self.generation = generation
            self.promised = Ballot()
            self.accepted = None

    def _refusal(self) -> Refused:
        return Refused(self.cell, self.identity, self.generation, self.promised)
