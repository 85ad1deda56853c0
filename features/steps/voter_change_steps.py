"""Steps about changes of the voter set: one daemon's register with simulated peers."""

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
POLL_INTERVAL_SECONDS = 0.02
LEADER = VoterId("daemon-3", "c")
OWN_EARLIER = VoterId("daemon-1", "a-earlier")
OWN = VoterId("daemon-1", "a")
OTHER_EARLIER = VoterId("daemon-2", "b-earlier")
OTHER = VoterId("daemon-2", "b")
HIGHER_BALLOT = Ballot(99, LEADER)


class UnreachableTransport(PeerTransport):
    """A transport on which no peer can be reached."""

    def __init__(self) -> None:
        """Skip the base class, which creates a listener."""

    async def call(
        self,
        address: str,
        message: AnyMessage,
        timeout: float = constants.PEER_REQUEST_TIMEOUT_SECONDS,
    ) -> AnyMessage:
        """Fail to reach the peer."""
        raise PeerUnreachable("simulated peers do not answer")

    def send(self, address: str, message: AnyMessage) -> None:
        """Drop the message."""


class UnresponsiveTable(LocalTableService):
    """A table service that never answers."""

    async def read(self, key: str) -> Row:
        """Wait forever."""
        await asyncio.Event().wait()
        raise AssertionError("an event that is never set was set")


class AdvancedMembership(Membership):
    """A membership whose clock can be advanced."""

    advanced_seconds = 0.0

    @property
    def now(self) -> float:
        """Return the advanced time."""
        return asyncio.get_running_loop().time() + self.advanced_seconds


def member(identity: VoterId) -> MemberInfo:
    """Return a member of the test's cell."""
    return MemberInfo(identity, CELL, "zone-a", "127.0.0.1:1")


def value(
    version: int, voters: tuple[VoterId, ...], joint: tuple[VoterId, ...] = ()
) -> RegisterValue:
    """Return a register value as written by daemon-3."""
    stamp = Stamp(1, Ballot(1, LEADER), version)
    return RegisterValue(stamp, tuple(sorted(voters)), tuple(sorted(joint)), epoch=version)


class VoterCase:
    """The inputs of one daemon's register: accepted values, peers' stamps and ended members."""

    def __init__(self, voters: tuple[VoterId, ...]) -> None:
        self.voters = voters
        self.table = LocalTableService()
        self.accepted: list[RegisterValue] = []
        self.ended: tuple[VoterId, ...] = ()
        self.peer_stamps: dict[VoterId, Stamp] = {}

    def build(self) -> RegisterService:
        """Create the register and apply the inputs. Needs a running event loop."""
        transport = UnreachableTransport()
        metrics = Metrics()
        membership = AdvancedMembership(
            member(OWN), ("seed",), ControlSettings(), transport, metrics
        )
        self.membership = membership
        claims = ClaimStore(OWN, RETENTION_SECONDS)
        register = RegisterService(membership, transport, self.table, VOTER_COUNT, claims, metrics)
        register.observe_register(value(0, self.voters).stamp, self.voters)
        for accepted_value in self.accepted:
            register.on_message(Accept(CELL, accepted_value))
        self.voter_metric_set = bool(metrics.voter._value.get())
        for identity, stamp in self.peer_stamps.items():
            membership.detector.record_heartbeat(member(identity), membership.now)
            register.record_peer_stamp(identity, stamp)
        for identity in self.ended:
            membership.detector.record_heartbeat(member(identity), membership.now)
            membership.detector.record_connection_refused(identity)
        membership.advanced_seconds = LONG_AGO_SECONDS
        membership.detector.tick(membership.now)
        return register

    async def run_until_leading(self) -> None:
        """Run the register until the daemon begins its term as leader."""
        register = self.build()
        begun = asyncio.Event()
        register.on_lead = begun.set
        running = asyncio.create_task(register.run())
        async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
            await begun.wait()
        running.cancel()

    async def write_refused(self) -> bool:
        """Lead, have a write refused, and return whether the term ended by it."""
        register = self.build()
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
        """Run the register until the table has a later generation, and return its number."""
        register = self.build()
        generations = GenerationStore(self.table, CELL)
        await generations.create(Generation(1, tuple(member(v) for v in self.voters)))
        running = asyncio.create_task(register.run())
        known: Generation | None = None
        async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
            while known is None or known.number == 1:
                await asyncio.sleep(POLL_INTERVAL_SECONDS)
                known = await generations.read()
        running.cancel()
        return known.number


async def _build(case: VoterCase) -> None:
    case.build()


@given("a daemon that votes with daemon-2 and daemon-3")
def step_votes_with(context: Any) -> None:
    context.case = VoterCase((OWN, OTHER_EARLIER, LEADER))


@given("a daemon whose earlier process votes with daemon-2 and daemon-3")
def step_to_vote(context: Any) -> None:
    context.case = VoterCase((OWN_EARLIER, OTHER, LEADER))


@given("a daemon that votes alone, and a table service that never answers")
def step_votes_alone(context: Any) -> None:
    context.case = VoterCase((OWN,))
    context.case.table = UnresponsiveTable()


@given("a daemon that votes alone and leads")
def step_leads_alone(context: Any) -> None:
    context.case = VoterCase((OWN,))


@when("its voter has promised a higher ballot, and it writes")
def step_refused(context: Any) -> None:
    context.term_ended = asyncio.run(context.case.write_refused())


@then("its term has ended")
def step_term_ended(context: Any) -> None:
    assert context.term_ended


@given("a daemon that knows daemon-3 as the only voter")
def step_other_alone(context: Any) -> None:
    context.case = VoterCase((LEADER,))


@given("daemon-3 has reported a newer value")
def step_knows_newer(context: Any) -> None:
    context.case.peer_stamps[LEADER] = value(2, (LEADER,)).stamp


@when("daemon-3 has ended")
def step_leader_ended(context: Any) -> None:
    context.case.ended = (LEADER,)


@when("it campaigns")
def step_campaigns(context: Any) -> None:
    context.leading = context.case.run_until_leading


@then("it begins its term")
def step_begins(context: Any) -> None:
    asyncio.run(context.leading())


@given("it has accepted a voter change from the earlier process of daemon-2 to its new one")
def step_accepts_other(context: Any) -> None:
    change = value(1, (OWN, OTHER, LEADER), joint=(OWN, OTHER_EARLIER, LEADER))
    context.case.accepted.append(change)


@when("it has accepted a voter change from its earlier process to itself")
def step_accepts_own(context: Any) -> None:
    change = value(1, (OWN, OTHER, LEADER), joint=(OWN_EARLIER, OTHER, LEADER))
    context.case.accepted.append(change)


@when("it has accepted the value that follows the committed change")
def step_accepts_settled(context: Any) -> None:
    context.case.accepted.append(value(2, (OWN, OTHER, LEADER)))


@when("the earlier process of daemon-2 and daemon-3 have ended")
def step_ended(context: Any) -> None:
    context.case.ended = (OTHER_EARLIER, LEADER)


@then("it creates the next generation")
def step_generation_created(context: Any) -> None:
    assert asyncio.run(context.case.next_generation()) == 2


@then("its metric does not report it as a voter")
def step_voter_not_reported(context: Any) -> None:
    asyncio.run(_build(context.case))
    assert not context.case.voter_metric_set


@then("its metric reports it as a voter")
def step_voter_reported(context: Any) -> None:
    asyncio.run(_build(context.case))
    assert context.case.voter_metric_set
