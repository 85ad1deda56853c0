"""Membership messages: heartbeats, member lists and probes."""

from msgspec import Struct

from loomwind.messages.identity import MemberInfo, Message
from loomwind.messages.register import Stamp


class Digest(Struct, frozen=True, array_like=True):
    """Versions of a daemon's state, so that a peer can tell which of the two is out of date.

    :param hears_leader: whether the daemon receives heartbeats of its cell's controller, or is the
        controller.
    """

    catalog_version: int = 0
    routing: Stamp = Stamp()
    routing_sequence: int = 0
    register: Stamp = Stamp()
    hears_leader: bool = False


class Heartbeat(Message, frozen=True, tag=True, array_like=True):
    """Sent to each daemon of the cell at a fixed interval.

    :param leader: whether the sender is the cell's controller.
    """

    sender: MemberInfo
    digest: Digest
    leader: bool = False


class HeartbeatAnswer(Message, frozen=True, tag=True, array_like=True):
    """The answer to a heartbeat."""

    sender: MemberInfo
    digest: Digest


class MemberList(Message, frozen=True, tag=True, array_like=True):
    """The members that the sender considers alive or suspect."""

    members: tuple[MemberInfo, ...]


class ProbeRequest(Message, frozen=True, tag=True, array_like=True):
    """Asks a peer near a suspect to contact it. See docs/DESIGN.md, "Failure detection"."""

    suspect: MemberInfo


class ProbeAnswer(Message, frozen=True, tag=True, array_like=True):
    """The result of a probe.

    :param reached: whether the suspect answered.
    :param refused: whether its host refused the connection.
    """

    reached: bool
    refused: bool
