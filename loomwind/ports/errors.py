"""Errors of the platform clients."""

from loomwind.errors import LoomwindError


class PlatformError(LoomwindError):
    """Base class of errors of the platform clients."""


class PlatformUnavailable(PlatformError):
    """The service could not be reached, failed, or sent no usable response.

    :param outcome_unknown: whether the operation may have taken effect.
    """

    def __init__(self, detail: str, outcome_unknown: bool) -> None:
        super().__init__(detail)
        self.outcome_unknown = outcome_unknown


class RowConflict(PlatformError):
    """The row was not at the version that the write is based on."""
