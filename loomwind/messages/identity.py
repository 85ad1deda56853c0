"""Who speaks, and the base class of all messages."""

from msgspec import Struct


class VoterId(Struct, frozen=True, order=True, array_like=True):
    """One life of a daemon. A restart has another incarnation and remembers nothing."""

    name: str
    incarnation: str


class MemberInfo(Struct, frozen=True, order=True, array_like=True):
    """A daemon as its peers know it.

    :param address: ``host:port`` for peers.
    """

    identity: VoterId
    cell: str
    zone: str
    address: str
    leaving: bool = False


class Message(Struct, frozen=True, tag=True, array_like=True):
    """Base class of all messages between daemons."""


class Acknowledgement(Message, frozen=True, tag=True, array_like=True):
    """The message was taken in."""
