"""Replays random walks of the lease's model against the code's lease state machine.

The walk drives one lease for each daemon over one row and one steady clock. After each step who may
lead, and under which fence, must be what the model says.
"""

import random
import re
from collections.abc import Iterator

from loomwind.leadership.lease import Lease, LeaseAction, LeaseHolder
from specification import lease
from specification.conformance import Disagreement
from specification.model import State, Step
from specification.walks import random_walk

DURATION_S = 3.0
RENEW_S = 0.5
MARGIN_S = 0.3
ANSWERS_S = 60.0
WALK_STEPS = 40
LABEL = re.compile(r"([a-z-]+)\((\d)\)")


class LeaseReplay:
    """The code's leases, driven by the model's steps."""

    def __init__(self) -> None:
        self._now = 100.0
        self._holders = [LeaseHolder(f"daemon-{d}", f"life-{d}", f"a:{d}") for d in lease.DAEMONS]
        self._leases = [Lease(h, DURATION_S, RENEW_S, MARGIN_S) for h in self._holders]
        version, _ = lease.INITIAL[0]
        free = LeaseHolder("daemon-9", "life-9", "a:9")
        for each in self._leases:
            each.record_row(version, free, self._now)
            each.record_ended_process(free.incarnation, self._now)

    def step(self, label: str, before: State, after: State) -> None:
        """Do in the code what a step of the model does."""
        match = LABEL.fullmatch(label)
        if match is None:
            return
        verb, d = match[1], int(match[2])
        version, holder = before[0]
        if verb == "lease-ends":
            self._now += DURATION_S
        elif verb == "decide-to-take":
            self._decide(d, version, holder)
        elif verb == "take":
            self._leases[d].record_write(after[0][0], self._now)
        elif verb in ("conflict", "renewal-conflict"):
            self._leases[d].record_row(version, self._holders[holder], self._now)
        elif verb in ("renew", "renew-late"):
            self._renew(d, after[0][0], late=verb == "renew-late")

    def _decide(self, d: int, version: int, holder: int) -> None:
        """A daemon sees the row, and nothing of its holder for the whole duration."""
        own = self._leases[d]
        if holder != lease.NOBODY:
            own.record_row(version, self._holders[holder], self._now)
            self._now += DURATION_S
        if own.action(self._now, ANSWERS_S) is not LeaseAction.ACQUIRE:
            raise Disagreement(f"daemon {d} does not take the row at version {version}")
        if own.expected_version != version:
            raise Disagreement(f"daemon {d} expects {own.expected_version}, not {version}")

    def _renew(self, d: int, version: int, late: bool) -> None:
        own = self._leases[d]
        sent_at = self._now - DURATION_S if late else self._now
        if own.expected_version != version - 1:
            raise Disagreement(f"daemon {d} renews at {own.expected_version}, not {version - 1}")
        own.record_write(version, sent_at)

    def check(self, state: State) -> None:
        """Compare the code with a state of the model.

        :raises Disagreement: they differ.
        """
        for d, expected in enumerate(state[1]):
            own = self._leases[d]
            leads = own.is_leader(self._now)
            if leads != expected.good:
                raise Disagreement(f"daemon {d} leads: {leads}, in the model {expected.good}")
            if leads and own.fence != expected.fence:
                raise Disagreement(f"daemon {d}: fence {own.fence}, not {expected.fence}")


def _steps_of(state: State) -> Iterator[Step]:
    return lease.transitions(state, frozenset())


def conform_lease(seed: int, walks: int) -> int:
    """Replay walks and compare after each step.

    :returns: how many steps were compared.
    :raises Disagreement: code and model differ.
    """
    source = random.Random(seed)
    compared = 0
    for _ in range(walks):
        replay = LeaseReplay()
        for step in random_walk(source, lease.INITIAL, _steps_of, WALK_STEPS):
            replay.step(step.label, step.before, step.after)
            replay.check(step.after)
            compared += 1
    return compared
