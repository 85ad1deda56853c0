"""Errors of the engine client."""

from loomwind.errors import LoomwindError


class EngineError(LoomwindError):
    """Base class of errors of the engine client."""


class EngineUnreachable(EngineError):
    """No connection could be opened, so nothing was sent.

    :param refused: whether the host refused the connection, so no process listens there.
    """

    def __init__(self, detail: str, refused: bool = False) -> None:
        super().__init__(detail)
        self.refused = refused


class EngineResponseLost(EngineError):
    """No complete, valid response was received; the request may have been executed."""
