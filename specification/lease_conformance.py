"""Replays random walks of the lease model against the lease state machine of the code.

The replay has one ``Lease`` per daemon, one row and one monotonic clock. After each step, code and
model must agree on which daemons lead, and on their fencing tokens.
"""

import random
import re
from collections.abc import Iterator

from loomwind.leadership.lease import Lease, LeaseAction, LeaseHolder
from specification import lease
from specification.conformance import ConformanceError
from specification.model import State, Step
from specification.walks import random_walk

LEASE_DURATION_SECONDS = 3.0
RENEWAL_INTERVAL_SECONDS = 0.5
MARGIN_SECONDS = 0.3
STORE_AVAILABLE_SECONDS = 60.0
WALK_STEPS = 40
LABEL = re.compile(r"([a-z-]+)\((\d)\)")


class LeaseReplay:
    """The leases of the code, driven by steps of the model."""

    def __init__(self) -> None:
        self._now = 100.0
        self._holders = [LeaseHolder(f"daemon-{d}", f"life-{d}", f"a:{d}") for d in lease.DAEMONS]
        self._leases = [
            Lease(h, LEASE_DURATION_SECONDS, RENEWAL_INTERVAL_SECONDS, MARGIN_SECONDS)
            for h in self._holders
        ]
        version, _ = lease.INITIAL[0]
        initial_holder = LeaseHolder("daemon-9", "life-9", "a:9")
        for own in self._leases:
            own.record_row(version, initial_holder, self._now)
            own.record_ended_process(initial_holder.incarnation, self._now)

    def step(self, label: str, before: State, after: State) -> None:
        """Apply a step of the model to the code."""
        match = LABEL.fullmatch(label)
        if match is None:
            return
        action, d = match[1], int(match[2])
        version, holder = before[0]
        if action == "lease-ends":
            self._now += LEASE_DURATION_SECONDS
        elif action == "decide-to-take":
            self._decide(d, version, holder)
        elif action == "take":
            self._leases[d].record_write(after[0][0], self._now)
        elif action in ("conflict", "renewal-conflict"):
            self._leases[d].record_row(version, self._holders[holder], self._now)
        elif action in ("renew", "renew-late"):
            self._renew(d, after[0][0], late=action == "renew-late")

    def _decide(self, d: int, version: int, holder: int) -> None:
        """A daemon reads the row, and does not hear from its holder for the lease duration."""
        own = self._leases[d]
        if holder != lease.NOBODY:
            own.record_row(version, self._holders[holder], self._now)
            self._now += LEASE_DURATION_SECONDS
        if own.action(self._now, STORE_AVAILABLE_SECONDS) is not LeaseAction.ACQUIRE:
            raise ConformanceError(
                f"daemon {d} does not acquire the lease at row version {version}"
            )
        if own.expected_version != version:
            raise ConformanceError(
                f"daemon {d} expects row version {own.expected_version}, not {version}"
            )

    def _renew(self, d: int, version: int, late: bool) -> None:
        own = self._leases[d]
        sent_at = self._now - LEASE_DURATION_SECONDS if late else self._now
        if own.expected_version != version - 1:
            raise ConformanceError(
                f"daemon {d} renews at row version {own.expected_version}, not {version - 1}"
            )
        own.record_write(version, sent_at)

    def check(self, state: State) -> None:
        """Compare the code with a state of the model.

        :raises ConformanceError: if they differ.
        """
        for d, expected in enumerate(state[1]):
            own = self._leases[d]
            leads = own.is_leader(self._now)
            if leads != expected.good:
                raise ConformanceError(f"daemon {d} leads: {leads}, in the model {expected.good}")
            if leads and own.fence != expected.fence:
                raise ConformanceError(f"daemon {d}: fence {own.fence}, not {expected.fence}")


def _steps_of(state: State) -> Iterator[Step]:
    return lease.transitions(state, frozenset())


def replay_lease_walks(seed: int, walks: int) -> int:
    """Replay random walks of the lease model and compare after each step.

    :returns: the number of steps compared.
    :raises ConformanceError: if code and model differ.
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
