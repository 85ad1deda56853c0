"""The identity of daemons, and the base class of all messages."""

from msgspec import Struct


class VoterId(Struct, frozen=True, order=True, array_like=True):
    """Identifies a daemon process, whether or not it is a voter.

    :param name: the daemon's name.
    :param incarnation: changes with each restart, which loses the daemon's state.
    """

    name: str
    incarnation: str


class MemberInfo(Struct, frozen=True, order=True, array_like=True):
    """A daemon as known to its peers.

    :param address: the daemon's peer address, ``host:port``.
    :param leaving: whether the daemon is shutting down.
    """

    identity: VoterId
    cell: str
    zone: str
    address: str
    leaving: bool = False


class Message(Struct, frozen=True, tag=True, array_like=True):
    """Base class of all messages between daemons."""


class Acknowledgement(Message, frozen=True, tag=True, array_like=True):
    """Acknowledges that a message was processed."""
