"""Steps about changes of the voter set: one daemon's register in this process, its peers made."""

import asyncio
from typing import Any

from behave import given, then, when

from features.support.processes import WAIT_TIMEOUT_SECONDS
from loomwind import constants
from loomwind.control.claims import ClaimStore
from loomwind.control.errors import RegisterUnavailable
from loomwind.control.generation import Generation, GenerationStore
from loomwind.control.register_service import RegisterService
from loomwind.membership.service import Membership
from loomwind.messages import (
    Accept,
    AnyMessage,
    Ballot,
    MemberInfo,
    Prepare,
    RegisterValue,
    Stamp,
    VoterId,
)
from loomwind.metrics import Metrics
from loomwind.peering.errors import PeerUnreachable
from loomwind.peering.transport import PeerTransport
from loomwind.ports.base import Row
from loomwind.ports.local import LocalTableService
from loomwind.settings import ControlSettings

CELL = "cell"
VOTER_COUNT = 3
RETENTION_SECONDS = 900.0
LONG_AGO_SECONDS = 1000.0
POLL_SECONDS = 0.02
LEADER = VoterId("daemon-3", "c")
OWN_EARLIER = VoterId("daemon-1", "a-earlier")
OWN = VoterId("daemon-1", "a")
OTHER_EARLIER = VoterId("daemon-2", "b-earlier")
OTHER = VoterId("daemon-2", "b")
HIGHER_BALLOT = Ballot(99, LEADER)


class SilentTransport(PeerTransport):
    """A transport through which nobody is reached."""

    def __init__(self) -> None:
        """Make no listener."""

    async def call(
        self,
        address: str,
        message: AnyMessage,
        timeout: float = constants.PEER_REQUEST_TIMEOUT_SECONDS,
    ) -> AnyMessage:
        """Reach nobody."""
        raise PeerUnreachable("made peers do not answer")

    def send(self, address: str, message: AnyMessage) -> None:
        """Drop the message."""


class HangingTable(LocalTableService):
    """A table service that never answers."""

    async def read(self, key: str) -> Row:
        """Wait for ever."""
        await asyncio.Event().wait()
        raise AssertionError("waited for ever")


class MovedMembership(Membership):
    """A membership whose time can be moved on."""

    moved_seconds = 0.0

    @property
    def now(self) -> float:
        """Return the time, moved on."""
        return asyncio.get_running_loop().time() + self.moved_seconds


def member(identity: VoterId) -> MemberInfo:
    """Return a made member."""
    return MemberInfo(identity, CELL, "zone-a", "127.0.0.1:1")


def value(
    version: int, voters: tuple[VoterId, ...], joint: tuple[VoterId, ...] = ()
) -> RegisterValue:
    """Return a value that daemon-3 has written."""
    stamp = Stamp(1, Ballot(1, LEADER), version)
    return RegisterValue(stamp, tuple(sorted(voters)), tuple(sorted(joint)), epoch=version)


class VoterCase:
    """One daemon's register, with the values that it accepts and the members that have ended."""

    def __init__(self, voters: tuple[VoterId, ...]) -> None:
        self.voters = voters
        self.table = LocalTableService()
        self.accepted: list[RegisterValue] = []
        self.ended: tuple[VoterId, ...] = ()
        self.peer_stamps: dict[VoterId, Stamp] = {}

    def make(self) -> RegisterService:
        """Make the register with all that has happened. Needs a running loop."""
        transport = SilentTransport()
        metrics = Metrics()
        membership = MovedMembership(member(OWN), ("seed",), ControlSettings(), transport, metrics)
        self.membership = membership
        claims = ClaimStore(OWN, RETENTION_SECONDS)
        register = RegisterService(membership, transport, self.table, VOTER_COUNT, claims, metrics)
        register.observe_register(value(0, self.voters).stamp, self.voters)
        for each in self.accepted:
            register.on_message(Accept(CELL, each))
        self.says_that_it_votes = bool(metrics.voter._value.get())
        for identity, stamp in self.peer_stamps.items():
            membership.detector.heard(member(identity), membership.now)
            register.record_peer_stamp(identity, stamp)
        for identity in self.ended:
            membership.detector.heard(member(identity), membership.now)
            membership.detector.refused(identity)
        membership.moved_seconds = LONG_AGO_SECONDS
        membership.detector.tick(membership.now)
        return register

    async def lead(self) -> None:
        """Wait until the daemon begins its term as leader."""
        register = self.make()
        begun = asyncio.Event()
        register.on_lead = begun.set
        running = asyncio.create_task(register.run())
        async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
            await begun.wait()
        running.cancel()

    async def end_by_refusal(self) -> bool:
        """Lead, write to a voter that has promised a higher ballot, and return how that ended."""
        register = self.make()
        begun, ended = asyncio.Event(), asyncio.Event()
        register.on_lead, register.on_step_down = begun.set, ended.set
        running = asyncio.create_task(register.run())
        async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
            await begun.wait()
        running.cancel()
        register.voter.on_prepare(Prepare(CELL, register.generation, HIGHER_BALLOT))
        try:
            await register.write((), ())
        except RegisterUnavailable:
            return ended.is_set()
        return False

    async def next_generation(self) -> int:
        """Return the generation that the table has in the end."""
        register = self.make()
        generations = GenerationStore(self.table, CELL)
        await generations.create(Generation(1, tuple(member(v) for v in self.voters)))
        running = asyncio.create_task(register.run())
        known: Generation | None = None
        async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
            while known is None or known.number == 1:
                await asyncio.sleep(POLL_SECONDS)
                known = await generations.read()
        running.cancel()
        return known.number


async def _made(case: VoterCase) -> None:
    case.make()


@given("a daemon that votes with daemon-2 and daemon-3")
def step_votes_with(context: Any) -> None:
    context.case = VoterCase((OWN, OTHER_EARLIER, LEADER))


@given("a daemon that is to vote with daemon-2 and daemon-3")
def step_to_vote(context: Any) -> None:
    context.case = VoterCase((OWN_EARLIER, OTHER, LEADER))


@given("a daemon that votes alone, and a table service that never answers")
def step_votes_alone(context: Any) -> None:
    context.case = VoterCase((OWN,))
    context.case.table = HangingTable()


@given("a daemon that votes alone and leads")
def step_leads_alone(context: Any) -> None:
    context.case = VoterCase((OWN,))


@when("its voter has promised a higher ballot, and it writes")
def step_refused(context: Any) -> None:
    context.term_ended = asyncio.run(context.case.end_by_refusal())


@then("its term has ended")
def step_term_ended(context: Any) -> None:
    assert context.term_ended


@given("a daemon that knows daemon-3 as the only voter")
def step_other_alone(context: Any) -> None:
    context.case = VoterCase((LEADER,))


@given("daemon-3 has said that it knows a newer value")
def step_knows_newer(context: Any) -> None:
    context.case.peer_stamps[LEADER] = value(2, (LEADER,)).stamp


@when("daemon-3 has ended")
def step_leader_ended(context: Any) -> None:
    context.case.ended = (LEADER,)


@when("it seeks the role")
def step_seeks(context: Any) -> None:
    context.leading = context.case.lead


@then("it begins its term")
def step_begins(context: Any) -> None:
    asyncio.run(context.leading())


@given("it has accepted that a new life of daemon-2 votes in place of the earlier one")
def step_accepts_other(context: Any) -> None:
    change = value(1, (OWN, OTHER, LEADER), joint=(OWN, OTHER_EARLIER, LEADER))
    context.case.accepted.append(change)


@when("it has accepted that it votes in place of its earlier life")
def step_accepts_own(context: Any) -> None:
    change = value(1, (OWN, OTHER, LEADER), joint=(OWN_EARLIER, OTHER, LEADER))
    context.case.accepted.append(change)


@when("it has accepted that the change is settled")
def step_accepts_settled(context: Any) -> None:
    context.case.accepted.append(value(2, (OWN, OTHER, LEADER)))


@when("the earlier life of daemon-2 and daemon-3 have ended")
def step_ended(context: Any) -> None:
    context.case.ended = (OTHER_EARLIER, LEADER)


@then("it founds the next generation")
def step_founds(context: Any) -> None:
    assert asyncio.run(context.case.next_generation()) == 2


@then("it does not say that it votes")
def step_says_not(context: Any) -> None:
    asyncio.run(_made(context.case))
    assert not context.case.says_that_it_votes


@then("it says that it votes")
def step_says(context: Any) -> None:
    asyncio.run(_made(context.case))
    assert context.case.says_that_it_votes
