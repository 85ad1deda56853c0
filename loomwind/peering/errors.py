"""Errors of the peer transport."""

from loomwind.errors import LoomwindError


class PeeringError(LoomwindError):
    """Base class of the peer transport's errors."""


class PeerUnreachable(PeeringError):
    """The connection to the peer failed, or the peer did not answer in time.

    :param refused: whether the connection was refused: the peer process has ended, or a partition
        refuses connections to it.
    """

    def __init__(self, detail: str, refused: bool = False) -> None:
        super().__init__(detail)
        self.refused = refused


class BadFrame(PeeringError):
    """A peer sent bytes that are not a valid frame."""
