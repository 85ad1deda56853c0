"""Failure detection of daemons: a state machine without I/O. Times in seconds, passed in.

Three kinds of evidence: heartbeats heard, connections refused (the host is up and the process is
gone), and what peers near a suspect found when they probed it. The latter two follow "World Wide
Failures" (Vogels, 1996); docs/DESIGN.md gives the measurement that speaks for each.
"""

import enum

from msgspec import Struct, structs

from loomwind.messages import MemberInfo, VoterId


class MemberState(enum.Enum):
    """What is believed of a member."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


class Member(Struct, frozen=True):
    """A member and the evidence about it.

    :param heard_at: when it was last heard, directly or through a peer that reached it.
    :param connection_refused: whether its host refused a connection since.
    :param process_ended: whether its process is known to have ended, rather than just silent.
    """

    info: MemberInfo
    state: MemberState
    last_heard_at: float
    connection_refused: bool = False
    process_ended: bool = False


class DetectorSettings(Struct, frozen=True):
    """Times of the detector.

    :param trust_refusals: whether a refused connection counts as proof that a process is gone.
    :param indirect_probes: whether a peer's success in reaching a suspect keeps it from gone.
    """

    suspect_after_seconds: float
    gone_after_seconds: float
    trust_refusals: bool = True
    indirect_probes: bool = True


class Detector:
    """The members of one cell as one daemon sees them."""

    def __init__(self, settings: DetectorSettings) -> None:
        self._settings = settings
        self.members: dict[VoterId, Member] = {}

    @property
    def suspect_after_seconds(self) -> float:
        """Return the silence after which a member is suspected, in seconds."""
        return self._settings.suspect_after_seconds

    def record_heartbeat(self, info: MemberInfo, now: float) -> bool:
        """Take in a sign of life.

        :returns: whether the member is new here or came back.
        """
        known = self.members.get(info.identity)
        state = MemberState.LEAVING if info.leaving else MemberState.ALIVE
        self.members[info.identity] = Member(info, state, now)
        self._mark_earlier_incarnations_gone(info)
        return known is None or known.state is MemberState.GONE

    def _mark_earlier_incarnations_gone(self, info: MemberInfo) -> None:
        """A name that is heard under a new incarnation has ended its earlier one."""
        for identity, member in self.members.items():
            same_name = identity.name == info.identity.name
            if same_name and identity != info.identity:
                self.members[identity] = structs.replace(
                    member, state=MemberState.GONE, process_ended=True
                )

    def add_unconfirmed(self, info: MemberInfo, now: float) -> None:
        """Take in a member that a peer named, without evidence that it is alive."""
        if info.identity in self.members:
            return
        newer = any(
            identity.name == info.identity.name and member.state is not MemberState.GONE
            for identity, member in self.members.items()
        )
        if not newer:
            self.members[info.identity] = Member(info, MemberState.SUSPECT, now)

    def record_connection_refused(self, identity: VoterId) -> None:
        """Note that the member's host refused a connection."""
        member = self.members.get(identity)
        if member is not None:
            process_ended = member.process_ended or self._settings.trust_refusals
            self.members[identity] = structs.replace(
                member, connection_refused=True, process_ended=process_ended
            )

    def record_reached_by_peer(self, identity: VoterId, now: float) -> None:
        """Note that a peer near a suspect reached it: the link is at fault, not the member."""
        member = self.members.get(identity)
        if self._settings.indirect_probes and member is not None:
            self.members[identity] = structs.replace(member, last_heard_at=now)

    def mark_gone(self, name: str) -> None:
        """Note that the machine list has a daemon as gone."""
        for identity, member in self.members.items():
            if identity.name == name:
                self.members[identity] = structs.replace(
                    member, state=MemberState.GONE, process_ended=True
                )

    def tick(self, now: float) -> list[Member]:
        """Let time pass.

        :returns: the members whose state changed.
        """
        changed = []
        for identity, member in list(self.members.items()):
            state = self._next_state(member, now)
            if state is not member.state:
                self.members[identity] = structs.replace(member, state=state)
                changed.append(self.members[identity])
        return changed

    def _next_state(self, member: Member, now: float) -> MemberState:
        silent_seconds = now - member.last_heard_at
        if member.state is MemberState.GONE:
            return MemberState.GONE
        if member.connection_refused and self._settings.trust_refusals:
            return MemberState.GONE
        if silent_seconds >= self._settings.gone_after_seconds:
            return MemberState.GONE
        if member.state is MemberState.LEAVING:
            return MemberState.LEAVING
        if silent_seconds >= self._settings.suspect_after_seconds:
            return MemberState.SUSPECT
        return member.state

    def prune(self, now: float, after_seconds: float) -> None:
        """Forget members that have been gone for long."""
        for identity, member in list(self.members.items()):
            if member.state is MemberState.GONE and now - member.last_heard_at > after_seconds:
                del self.members[identity]

    def in_state(self, *states: MemberState) -> list[Member]:
        """Return the members in any of the states, by identity."""
        return [m for _, m in sorted(self.members.items()) if m.state in states]

    def state_of(self, identity: VoterId) -> MemberState | None:
        """Return what is believed of a member; None when it is not known."""
        member = self.members.get(identity)
        return member.state if member else None
