"""Failure detector for daemons: a state machine without I/O. Callers pass the time in seconds.

It uses three kinds of evidence: received heartbeats, refused connections (the host is up, but the
process has ended), and indirect probes of a suspect by peers near it. The latter two follow "World
Wide Failures" (Vogels, 1996); docs/DESIGN.md gives the measurements that support each of them.
"""

import enum

from msgspec import Struct, structs

from loomwind.messages import MemberInfo, VoterId


class MemberState(enum.Enum):
    """The state of a member according to the available evidence."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


class Member(Struct, frozen=True):
    """A member and the evidence about it.

    :param last_heard_at: the time of its last message, or of the last successful indirect probe.
    :param connection_refused: whether its host has refused a connection since its last message.
    :param process_ended: whether its process is known to have ended; silence alone is no proof.
    """

    info: MemberInfo
    state: MemberState
    last_heard_at: float
    connection_refused: bool = False
    process_ended: bool = False


class DetectorSettings(Struct, frozen=True):
    """Timeouts of the detector, and the evidence that it uses.

    :param trust_refusals: whether a refused connection proves that the process has ended.
    :param indirect_probes: whether a successful probe by a peer keeps a suspect from being gone.
    """

    suspect_after_seconds: float
    gone_after_seconds: float
    trust_refusals: bool = True
    indirect_probes: bool = True


class Detector:
    """Tracks the state of the other daemons of a cell, as observed by this daemon."""

    def __init__(self, settings: DetectorSettings) -> None:
        self._settings = settings
        self.members: dict[VoterId, Member] = {}

    @property
    def suspect_after_seconds(self) -> float:
        """Return the time without a heartbeat after which a member is suspected, in seconds."""
        return self._settings.suspect_after_seconds

    def record_heartbeat(self, info: MemberInfo, now: float) -> bool:
        """Record a heartbeat, or its answer, from a member.

        :returns: whether the member is new or was gone.
        """
        known = self.members.get(info.identity)
        state = MemberState.LEAVING if info.leaving else MemberState.ALIVE
        self.members[info.identity] = Member(info, state, now)
        self._mark_earlier_incarnations_gone(info)
        return known is None or known.state is MemberState.GONE

    def _mark_earlier_incarnations_gone(self, info: MemberInfo) -> None:
        """Mark other incarnations of the name as gone: a newer process has replaced them."""
        for identity, member in self.members.items():
            same_name = identity.name == info.identity.name
            if same_name and identity != info.identity:
                self.members[identity] = structs.replace(
                    member, state=MemberState.GONE, process_ended=True
                )

    def add_unconfirmed(self, info: MemberInfo, now: float) -> None:
        """Add a member reported by a peer as a suspect, as nothing shows yet that it is alive."""
        if info.identity in self.members:
            return
        newer = any(
            identity.name == info.identity.name and member.state is not MemberState.GONE
            for identity, member in self.members.items()
        )
        if not newer:
            self.members[info.identity] = Member(info, MemberState.SUSPECT, now)

    def record_connection_refused(self, identity: VoterId) -> None:
        """Record that the member's host refused a connection."""
        member = self.members.get(identity)
        if member is not None:
            process_ended = member.process_ended or self._settings.trust_refusals
            self.members[identity] = structs.replace(
                member, connection_refused=True, process_ended=process_ended
            )

    def record_reached_by_peer(self, identity: VoterId, now: float) -> None:
        """Record that a peer reached a suspect, so only the connection to it has failed."""
        member = self.members.get(identity)
        if self._settings.indirect_probes and member is not None:
            self.members[identity] = structs.replace(member, last_heard_at=now)

    def mark_gone(self, name: str) -> None:
        """Mark a daemon as gone because the machine list says so."""
        for identity, member in self.members.items():
            if identity.name == name:
                self.members[identity] = structs.replace(
                    member, state=MemberState.GONE, process_ended=True
                )

    def tick(self, now: float) -> list[Member]:
        """Update the state of all members for the current time.

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
        """Remove gone members that were last heard more than ``after_seconds`` ago."""
        for identity, member in list(self.members.items()):
            if member.state is MemberState.GONE and now - member.last_heard_at > after_seconds:
                del self.members[identity]

    def in_state(self, *states: MemberState) -> list[Member]:
        """Return the members in any of the states, by identity."""
        return [m for _, m in sorted(self.members.items()) if m.state in states]

    def state_of(self, identity: VoterId) -> MemberState | None:
        """Return the state of a member, or None when it is unknown."""
        member = self.members.get(identity)
        return member.state if member else None
