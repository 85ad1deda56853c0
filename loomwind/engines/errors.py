"""Errors of the engine client."""

from loomwind.errors import LoomwindError


class EngineError(LoomwindError):
    """Base class of the engine client's errors."""


class EngineUnreachable(EngineError):
    """No byte was handed over.

    :param refused: whether the host refused, so that the process is gone.
    """

    def __init__(self, detail: str, refused: bool = False) -> None:
        super().__init__(detail)
        self.refused = refused


class EngineResponseLost(EngineError):
    """The request was handed over, and no whole answer came back: it may have been carried out."""
