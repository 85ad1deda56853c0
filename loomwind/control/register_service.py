"""Runs the voter and the candidate of one daemon: sends their messages and keeps their timers."""

import asyncio
from collections.abc import Callable

from loomwind import constants
from loomwind.control.candidate import Candidate, Envelope, Phase, is_majority
from loomwind.control.claims import ClaimStore
from loomwind.control.errors import RegisterUnavailable
from loomwind.control.generation import Generation, GenerationStore
from loomwind.control.voter import Voter
from loomwind.control.voter_set import choose_voters, has_lost_majority
from loomwind.logs import log_state
from loomwind.membership.detector import MemberState
from loomwind.membership.service import Membership
from loomwind.messages import (
    Accept,
    Accepted,
    AnyMessage,
    Intent,
    MemberInfo,
    Prepare,
    Promise,
    Refused,
    RegisterValue,
    Stamp,
    VoterId,
)
from loomwind.metrics import Metrics
from loomwind.peering.errors import PeerUnreachable
from loomwind.peering.transport import PeerTransport
from loomwind.ports.base import TableService
from loomwind.ports.errors import PlatformUnavailable

POLL_INTERVAL_SECONDS = 0.05
BOOTSTRAP_WAIT_SECONDS = 1.5


class RegisterService:
    """One daemon's part in the register protocol of its cell."""

    def __init__(
        self,
        membership: Membership,
        transport: PeerTransport,
        table: TableService,
        voter_count: int,
        claims: ClaimStore,
        metrics: Metrics,
    ) -> None:
        own = membership.own
        self.voter = Voter(own.cell, own.identity)
        self.candidate = Candidate(own.cell, own.identity)
        self.claims = claims
        self.generation = 0
        self.voters: tuple[VoterId, ...] = ()
        self._joint: tuple[VoterId, ...] = ()
        self.newest_stamp = Stamp()
        self._peer_stamps: dict[VoterId, Stamp] = {}
        self.on_lead: Callable[[], None] = lambda: None
        self.on_step_down: Callable[[], None] = lambda: None
        self._membership = membership
        self._transport = transport
        self._generations = GenerationStore(table, own.cell)
        self._voter_count = voter_count
        self._metrics = metrics
        self._member_infos: dict[VoterId, MemberInfo] = {}
        self._commit_done: asyncio.Future[None] | None = None
        self._write_lock = asyncio.Lock()
        self._tasks: set[asyncio.Task[None]] = set()
        self._ended_voters: set[VoterId] = set()
        self._started_at = membership.now
        self._campaign_at = 0.0
        self._in_term = False
        self.retired = False

    @property
    def cell(self) -> str:
        """Return the name of the cell."""
        return self._membership.own.cell

    @property
    def leading(self) -> bool:
        """Whether this daemon is the controller of the cell."""
        return self.candidate.leading

    @property
    def committed(self) -> RegisterValue:
        """Return the committed value; only while leading."""
        assert self.candidate.committed is not None
        return self.candidate.committed

    def voter_infos(self) -> tuple[MemberInfo, ...]:
        """Return the voters whose addresses are known."""
        infos = [self.info(voter) for voter in self.voters]
        return tuple(info for info in infos if info is not None)

    def info(self, voter: VoterId) -> MemberInfo | None:
        """Return a voter's address and zone, or None if unknown."""
        return self._membership.find(voter) or self._member_infos.get(voter)

    # Elections.

    async def run(self) -> None:
        """Start an election whenever the cell has no controller, until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            if self.leading and not self._hears_majority():
                self.step_down()
            if self.leading or self.retired or self._has_active_leader():
                self._campaign_at = 0.0
                continue
            now = self._membership.now
            if not self._campaign_at:
                self._campaign_at = now + self._campaign_delay_seconds()
            if now >= self._campaign_at:
                self._campaign_at = 0.0
                await self._try_to_lead()

    def _hears_majority(self) -> bool:
        """Return whether heartbeats arrive from a majority of the voters.

        Without a majority a leader cannot commit anything, so an isolated leader steps down early.
        Safety does not depend on this, but on ballots.
        """
        heard = {info.identity for info in self._membership.alive()}
        suspects = self._membership.detector.in_state(MemberState.SUSPECT, MemberState.LEAVING)
        heard |= {member.info.identity for member in suspects}
        return is_majority(heard, self.committed.voters)

    def _has_active_leader(self) -> bool:
        membership = self._membership
        silence_seconds = membership.leader_silence_seconds()
        return membership.leader is not None and silence_seconds < self._suspect_after_seconds

    @property
    def _suspect_after_seconds(self) -> float:
        return self._membership.detector.suspect_after_seconds

    def _campaign_delay_seconds(self) -> float:
        """Return a delay that differs between daemons, to avoid simultaneous campaigns."""
        names = [info.identity for info in self._membership.alive()]
        rank = names.index(self._membership.own.identity) if names else 0
        return rank * constants.CAMPAIGN_STAGGER_SECONDS

    async def _try_to_lead(self) -> None:
        if not await self._ensure_generation():
            return
        if self._majority_lost() and not await self._create_next_generation():
            return
        await self._campaign()

    async def _ensure_generation(self) -> bool:
        """Learn the generation from the table service or create the first; return whether known."""
        if self.generation:
            return True
        try:
            stored = await self._generations.read()
        except PlatformUnavailable:
            return False
        if stored is not None:
            self._adopt(stored)
            return True
        waited_seconds = self._membership.now - self._started_at
        alive = len(self._membership.alive())
        if (
            self._membership.has_seeds
            and alive < self._voter_count
            and waited_seconds < BOOTSTRAP_WAIT_SECONDS
        ):
            return False
        return await self._create_generation(1)

    def _adopt(self, stored: Generation) -> None:
        if stored.number <= self.generation:
            return
        self.generation = stored.number
        self.voters = tuple(sorted(info.identity for info in stored.voters))
        self._joint = ()
        self.update_member_infos(stored.voters)
        log_state("generation", "known", generation=stored.number)

    async def _create_generation(self, number: int) -> bool:
        """Create a generation with live daemons as voters; return False if that failed."""
        alive = self._membership.alive()
        chosen = choose_voters((), alive, self._voter_count)
        members = tuple(info for info in alive if info.identity in chosen)
        created = Generation(number, members)
        if not await self._generations.create(created):
            return False
        log_state("generation", "founded", generation=number)
        self._adopt(created)
        return True

    def _majority_lost(self) -> bool:
        """Return whether too many voters have ended for any majority.

        Missing heartbeats alone do not prove that a process has ended.
        """
        uptime_seconds = self._membership.now - self._started_at
        if self._peer_has_newer_voters() or uptime_seconds < constants.NEW_GENERATION_AFTER_SECONDS:
            return False
        ended = {voter for voter in (*self.voters, *self._joint) if self._has_ended(voter)}
        return not self.voters or has_lost_majority(self.voters, self._joint, ended)

    def _peer_has_newer_voters(self) -> bool:
        """Return whether a reachable peer has a newer voter set, and so must make the decision."""
        reachable = {info.identity for info in self._membership.reachable()}
        return any(
            self._peer_stamps.get(peer, self.newest_stamp) > self.newest_stamp for peer in reachable
        )

    def record_peer_stamp(self, peer: VoterId, stamp: Stamp) -> None:
        """Record the newest register stamp that a peer reported."""
        self._peer_stamps[peer] = stamp
        members = self._membership.detector.members
        self._peer_stamps = {k: v for k, v in self._peer_stamps.items() if k in members}

    def _has_ended(self, voter: VoterId) -> bool:
        member = self._membership.detector.members.get(voter)
        return voter in self._ended_voters or (member is not None and member.process_ended)

    async def _create_next_generation(self) -> bool:
        """Create the next generation, unless another daemon already did."""
        try:
            stored = await self._generations.read()
        except PlatformUnavailable:
            return False
        if stored is not None and stored.number > self.generation:
            self._adopt(stored)
            return False
        return await self._create_generation(self.generation + 1)

    async def _campaign(self) -> None:
        self._commit_done = asyncio.get_running_loop().create_future()
        self._send(self.candidate.campaign(self.generation, self.voters))
        try:
            async with asyncio.timeout(constants.CAMPAIGN_TIMEOUT_SECONDS):
                await self._commit_done
        except (TimeoutError, RegisterUnavailable):
            self.candidate.step_down()
            return
        self._metrics.elections.inc()
        self._observe_committed()
        self._membership.announce_leadership()
        log_state("controller", "leading", generation=self.generation)
        try:
            # An unfinished voter change may have stopped voters from granting claims in the present
            # epoch; a new epoch lets them grant claims again.
            await self.change_voters(self.committed.voters)
        except RegisterUnavailable:
            return
        self._in_term = True
        self.on_lead()
        await self.publish_voters()

    def step_down(self) -> None:
        """Stop leading or campaigning."""
        # After a refusal by a voter the candidate is idle already, so check the term as well.
        was_leading = self._in_term or self.candidate.phase is not Phase.IDLE
        self._in_term = False
        self.candidate.step_down()
        if self._commit_done is not None and not self._commit_done.done():
            self._commit_done.set_exception(RegisterUnavailable("another daemon leads"))
            self._commit_done.exception()
        if was_leading:
            log_state("controller", "stepped-down", generation=self.generation)
            self.on_step_down()

    def retire(self) -> None:
        """Step down and start no more elections, since this daemon is shutting down."""
        self.retired = True
        self.step_down()

    # Messages.

    def _send(self, envelopes: list[Envelope]) -> None:
        for envelope in envelopes:
            task = asyncio.get_running_loop().create_task(self._send_one(envelope))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send_one(self, envelope: Envelope) -> None:
        if envelope.voter == self._membership.own.identity:
            self._on_answer(self.on_message(envelope.message))
            return
        info = self.info(envelope.voter)
        if info is None:
            return
        try:
            answer = await self._transport.call(info.address, envelope.message)
        except PeerUnreachable as error:
            if error.refused:
                self._ended_voters.add(envelope.voter)
            return
        self._check_incarnation(envelope.voter, answer)
        self._on_answer(answer)

    def _check_incarnation(self, asked: VoterId, answer: AnyMessage) -> None:
        """Record that a voter has ended if it answers with another incarnation."""
        if isinstance(answer, Promise | Accepted | Refused):
            same_name = answer.voter.name == asked.name
            if same_name and answer.voter.incarnation != asked.incarnation:
                self._ended_voters.add(asked)

    def _on_answer(self, answer: AnyMessage) -> None:
        candidate = self.candidate
        if isinstance(answer, Promise):
            self._send(candidate.on_promise(answer))
        elif isinstance(answer, Accepted):
            if candidate.on_accepted(answer) and self._commit_done and not self._commit_done.done():
                self._commit_done.set_result(None)
        elif isinstance(answer, Refused):
            if answer.generation > self.generation:
                self.generation = 0  # Read the generation from the table service again.
            if candidate.on_refused(answer):
                self.step_down()

    def on_message(self, message: Prepare | Accept) -> AnyMessage:
        """Handle a candidate's message as a voter, and return the answer."""
        if isinstance(message, Prepare):
            return self._on_prepare(message)
        answer = self.voter.on_accept(message)
        value = message.value
        if isinstance(answer, Accepted):
            self.observe_register(value.stamp, value.voters, value.joint)
            if value.epoch == 0 and self.voter.identity in value.voters:
                self.claims.start_generation(value.stamp.generation, self._membership.now)
        return answer

    def _on_prepare(self, message: Prepare) -> AnyMessage:
        """Answer a prepare request; refuse it while another leader is active.

        A candidate that lost contact only with the leader must not win. Safety does not depend on
        this, but two daemons that reach a third and not each other would otherwise depose each
        other endlessly.
        """
        leader = self._membership.leader
        other_leader_known = leader is not None and leader.identity != message.ballot.candidate
        if other_leader_known and not self.retired and (self.leading or self._has_active_leader()):
            return Refused(
                self.cell, self.voter.identity, self.voter.generation, self.voter.promised
            )
        return self.voter.on_prepare(message)

    def observe_register(
        self, stamp: Stamp, voters: tuple[VoterId, ...], joint: tuple[VoterId, ...] = ()
    ) -> None:
        """Record a register stamp and its voter set if they are newer than the known ones.

        :param joint: the previous voter set until the change is committed.
        """
        if stamp <= self.newest_stamp:
            return
        self.newest_stamp = stamp
        if stamp.generation >= self.generation:
            self.generation = stamp.generation
            self.voters = voters
            self._joint = joint
            own = self._membership.own.identity
            self._metrics.generation.set(stamp.generation)
            # Operators replace the next voter once this metric is set, so the change must be
            # committed first.
            self._metrics.voter.set(own in voters and (not joint or own in joint))
        term = (self.candidate.generation, self.candidate.ballot)
        if self.leading and (stamp.generation, stamp.ballot) > term:
            self.step_down()

    def update_member_infos(self, infos: tuple[MemberInfo, ...]) -> None:
        """Record the addresses and zones of voters."""
        self._member_infos.update({info.identity: info for info in infos})

    # Writes.

    async def write(self, intents: tuple[Intent, ...], fenced_engines: tuple[str, ...]) -> None:
        """Write new placements and wait until they are committed.

        :raises RegisterUnavailable: this daemon does not lead, or stepped down; the placements may
            or may not be committed.
        """
        async with self._write_lock:
            await self._commit(lambda: self.candidate.propose_placements(intents, fenced_engines))

    async def _commit(self, propose: Callable[[], list[Envelope]]) -> None:
        if not self.leading:
            raise RegisterUnavailable("this daemon does not lead")
        self._commit_done = asyncio.get_running_loop().create_future()
        commit_done = self._commit_done
        self._send(propose())
        deadline = self._membership.now + constants.REGISTER_WRITE_TIMEOUT_SECONDS
        while not commit_done.done():
            await asyncio.wait([commit_done], timeout=constants.REGISTER_RETRY_INTERVAL_SECONDS)
            if commit_done.done():
                break
            if self._membership.now >= deadline:
                self.step_down()
                raise RegisterUnavailable("no majority of the voters answered")
            self._send(self.candidate.unanswered_messages())
        commit_done.result()
        self._observe_committed()

    def _observe_committed(self) -> None:
        self.observe_register(self.committed.stamp, self.committed.voters, self.committed.joint)

    async def change_voters(self, voters: tuple[VoterId, ...]) -> None:
        """Change the voter set, which takes a majority of the old set and one of the new set.

        :raises RegisterUnavailable: this daemon does not lead, or stepped down; the change may or
            may not be committed.
        """
        async with self._write_lock:
            await self._commit(lambda: self.candidate.propose_voters(voters))
            value = self.committed
            await self._commit(
                lambda: self.candidate.propose_placements(value.intents, value.fenced_engines)
            )
        log_state("voters", "changed", voters=[voter.name for voter in voters])

    async def publish_voters(self) -> None:
        """Store the voters in the table service, for daemons that start when no peer answers."""
        await self._generations.publish(Generation(self.generation, self.voter_infos()))
