"""Membership service of a daemon: heartbeats, member gossip and indirect probes of suspects."""

import asyncio
import random
from collections.abc import Callable, Coroutine

import msgspec

from loomwind import constants
from loomwind.logs import log_state
from loomwind.membership.detector import Detector, DetectorSettings, MemberState
from loomwind.messages import (
    Digest,
    Heartbeat,
    HeartbeatAnswer,
    MemberInfo,
    MemberList,
    ProbeAnswer,
    ProbeRequest,
    Stamp,
    VoterId,
)
from loomwind.metrics import Metrics
from loomwind.peering.errors import PeerUnreachable
from loomwind.peering.transport import PeerTransport
from loomwind.settings import ControlSettings

DigestListener = Callable[[MemberInfo, Digest], None]

GONE_RETENTION_SECONDS = 60.0
GOSSIP_FANOUT = 2
# Fixed, so that the contacts in other cells do not grow in number with the fleet.
MAX_REMOTE_CONTACTS = 16


class Membership:
    """Maintains a daemon's view of the members of its cell.

    Heartbeats go to all daemons of the cell. Other cells are contacted only at the gossip interval,
    one daemon at a time, so that the load on a daemon does not grow with the number of cells.
    """

    def __init__(
        self,
        own: MemberInfo,
        seeds: tuple[str, ...],
        settings: ControlSettings,
        transport: PeerTransport,
        metrics: Metrics,
    ) -> None:
        self.own = own
        self.leader: MemberInfo | None = None
        self.leader_heard_at = float("-inf")
        self._leader_term = Stamp()
        self._leader_relay: MemberInfo | None = None
        self._leader_relay_heard_at = float("-inf")
        self.digest: Callable[[], Digest] = Digest
        self.is_leader: Callable[[], bool] = bool
        self.on_digest: DigestListener = lambda member, digest: None
        self.on_change: Callable[[], None] = lambda: None
        self.remote_contacts: dict[VoterId, MemberInfo] = {}
        self._seeds = seeds
        self._settings = settings
        self._transport = transport
        self._metrics = metrics
        self._random = random.Random(own.identity.incarnation)
        self._tasks: set[asyncio.Task[None]] = set()
        self._heartbeats: dict[VoterId, asyncio.Task[None]] = {}
        self.detector = Detector(
            DetectorSettings(settings.suspect_after_seconds, settings.gone_after_seconds)
        )

    @property
    def has_seeds(self) -> bool:
        """Return whether seed addresses of other daemons are configured."""
        return bool(self._seeds)

    @property
    def now(self) -> float:
        """Return the time of the event loop in seconds."""
        return asyncio.get_running_loop().time()

    def alive(self) -> list[MemberInfo]:
        """Return the live daemons of the cell, including this one unless it is leaving."""
        others = [member.info for member in self.detector.in_state(MemberState.ALIVE)]
        own = [] if self.own.leaving else [self.own]
        return sorted([*own, *others])

    def reachable(self) -> list[MemberInfo]:
        """Return the other daemons of the cell that are not gone."""
        states = (MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING)
        return [member.info for member in self.detector.in_state(*states)]

    def hears_leader(self) -> bool:
        """Return whether this daemon is the leader, or receives its heartbeats directly."""
        silence = self.now - self.leader_heard_at
        heard = self.leader is not None and silence < self._settings.suspect_after_seconds
        return self.is_leader() or heard

    def leader_silence_seconds(self) -> float:
        """Return the time since the last direct or relayed contact with a leader, in seconds."""
        if self.is_leader():
            return 0.0
        return self.now - max(self.leader_heard_at, self._leader_relay_heard_at)

    def controller_contact(self) -> MemberInfo | None:
        """Return where to send messages for the controller: to it, or to a peer that hears it."""
        if self.hears_leader() or self._leader_relay is None:
            return self.leader
        return self._leader_relay

    def find(self, identity: VoterId) -> MemberInfo | None:
        """Return a member in any state by its identity, or None when it is unknown."""
        if identity == self.own.identity:
            return self.own
        member = self.detector.members.get(identity)
        return member.info if member else None

    async def run(self) -> None:
        """Send heartbeats and gossip and update the state of members, until cancelled."""
        next_gossip = 0.0
        while True:
            now = self.now
            self._send_heartbeats()
            if now >= next_gossip:
                self._gossip()
                next_gossip = now + constants.MEMBER_GOSSIP_INTERVAL_SECONDS
            self._update_states(now)
            await asyncio.sleep(self._settings.heartbeat_seconds)

    def _spawn(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def heartbeat(self) -> Heartbeat:
        """Return a heartbeat with the current state of this daemon."""
        return Heartbeat(self.own, self.digest(), self.is_leader())

    def _send_heartbeats(self) -> None:
        message = self.heartbeat()
        for info in self.reachable():
            running = self._heartbeats.get(info.identity)
            if running is None or running.done():
                self._heartbeats[info.identity] = self._spawn(self._send_heartbeat(info, message))

    async def _send_heartbeat(self, info: MemberInfo, message: Heartbeat) -> None:
        try:
            answer = await self._transport.call(info.address, message)
        except PeerUnreachable as error:
            if error.refused:
                self.detector.record_connection_refused(info.identity)
                self._update_states(self.now)
            elif self.detector.state_of(info.identity) is MemberState.SUSPECT:
                await self._probe_indirectly(info)
            return
        if isinstance(answer, HeartbeatAnswer):
            self._record_sender(answer.sender, answer.digest)

    def _gossip(self) -> None:
        """Send the member list to a few daemons, and contact seeds that are not yet members."""
        known = {info.address for info in self.reachable()} | {self.own.address}
        for address in self._seeds:
            if address not in known:
                self._spawn(self._contact(address))
        targets = self.reachable()
        message = MemberList((*self.alive(), *self._sample_remote()))
        for info in self._random.sample(targets, min(GOSSIP_FANOUT, len(targets))):
            self._transport.send(info.address, message)
        for info in self._sample_remote()[:1]:
            self._spawn(self._contact(info.address))

    def _sample_remote(self) -> list[MemberInfo]:
        remote_contacts = sorted(self.remote_contacts.values())
        return self._random.sample(remote_contacts, min(GOSSIP_FANOUT, len(remote_contacts)))

    async def _contact(self, address: str) -> None:
        try:
            answer = await self._transport.call(address, self.heartbeat())
        except PeerUnreachable:
            self.remote_contacts = {
                k: v for k, v in self.remote_contacts.items() if v.address != address
            }
            return
        if isinstance(answer, HeartbeatAnswer):
            self._record_sender(answer.sender, answer.digest)
            self._transport.send(address, MemberList((self.own, *self.alive())))

    def on_heartbeat(self, message: Heartbeat) -> HeartbeatAnswer:
        """Record a heartbeat and answer with the state of this daemon."""
        self._record_sender(message.sender, message.digest)
        if message.leader and message.sender.cell == self.own.cell:
            self.record_leader(message.sender, message.digest.register)
        return HeartbeatAnswer(self.own, self.digest())

    def record_leader(self, info: MemberInfo, register: Stamp) -> None:
        """Record the leader of the cell. An announcement from an earlier term is ignored.

        A leader with a lower ballot was replaced and has not noticed it yet.

        :param register: the stamp of the newest register value that the leader has.
        """
        term = Stamp(register.generation, register.ballot)
        if term < self._leader_term:
            return
        self._leader_term = term
        if self.leader is None or self.leader.identity != info.identity:
            log_state("leader", "known", name=info.identity.name)
        self.leader = info
        self.leader_heard_at = self.now

    def _record_sender(self, info: MemberInfo, digest: Digest) -> None:
        if info.identity == self.own.identity:
            return
        if info.cell == self.own.cell:
            self._record_cell_member(info, digest)
        else:
            self._record_remote_daemon(info)
        self.on_digest(info, digest)

    def _record_cell_member(self, info: MemberInfo, digest: Digest) -> None:
        leader = self.leader
        if leader is not None and leader.identity.name == info.identity.name:
            # Another incarnation under the leader's name means that the leader's process has ended.
            self.leader = leader if leader.identity == info.identity else None
        if self.detector.record_heartbeat(info, self.now):
            log_state("member", "alive", name=info.identity.name, zone=info.zone)
            self.on_change()
            self._transport.send(info.address, MemberList(tuple(self.alive())))
        if digest.hears_leader:
            self._leader_relay = info
            self._leader_relay_heard_at = self.now

    def _record_remote_daemon(self, info: MemberInfo) -> None:
        same_name = [k for k in self.remote_contacts if k.name == info.identity.name]
        for identity in same_name:
            del self.remote_contacts[identity]
        self._add_remote_contact(info)

    def _add_remote_contact(self, info: MemberInfo) -> None:
        """Add a daemon of another cell as a contact, replacing a random one at the limit."""
        if (
            len(self.remote_contacts) >= MAX_REMOTE_CONTACTS
            and info.identity not in self.remote_contacts
        ):
            del self.remote_contacts[self._random.choice(sorted(self.remote_contacts))]
        self.remote_contacts[info.identity] = info

    def on_member_list(self, message: MemberList) -> None:
        """Add the members that a peer reports."""
        for info in message.members:
            if info.identity == self.own.identity:
                continue
            if info.cell == self.own.cell:
                self.detector.add_unconfirmed(info, self.now)
            elif len(self.remote_contacts) < MAX_REMOTE_CONTACTS:
                self.remote_contacts.setdefault(info.identity, info)

    async def on_probe(self, message: ProbeRequest) -> ProbeAnswer:
        """Probe a suspect on behalf of a peer."""
        try:
            await self._transport.call(message.suspect.address, self.heartbeat())
        except PeerUnreachable as error:
            return ProbeAnswer(reached=False, refused=error.refused)
        return ProbeAnswer(reached=True, refused=False)

    def _update_states(self, now: float) -> None:
        changed = self.detector.tick(now)
        if changed:
            self.on_change()
        for member in changed:
            log_state("member", member.state.value, name=member.info.identity.name)
            if member.state is MemberState.SUSPECT:
                self._spawn(self._probe_indirectly(member.info))
            if member.state is MemberState.GONE:
                self._transport.disconnect(member.info.address)
                if self.leader is not None and self.leader.identity == member.info.identity:
                    self.leader = None
        self.detector.prune(now, GONE_RETENTION_SECONDS)
        for state in MemberState:
            self._metrics.members.labels(state.value).set(len(self.detector.in_state(state)))

    async def _probe_indirectly(self, suspect: MemberInfo) -> None:
        """Ask another live daemon, preferably in the suspect's zone, to probe the suspect."""
        others = [info for info in self.alive() if info not in (self.own, suspect)]
        others.sort(key=lambda info: info.zone != suspect.zone)
        for info in others[:1]:
            try:
                answer = await self._transport.call(info.address, ProbeRequest(suspect))
            except PeerUnreachable:
                return
            if isinstance(answer, ProbeAnswer) and answer.reached:
                self.detector.record_reached_by_peer(suspect.identity, self.now)

    def announce_leadership(self) -> None:
        """Send heartbeats to all peers at once, so that none of them starts an election."""
        self.record_leader(self.own, self.digest().register)
        self._heartbeats.clear()
        self._send_heartbeats()

    def announce_leaving(self) -> None:
        """Mark this daemon as leaving and tell all peers."""
        self.own = msgspec.structs.replace(self.own, leaving=True)
        self._send_heartbeats()
