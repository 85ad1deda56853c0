"""Errors of the platform clients."""

from loomwind.errors import LoomwindError


class PlatformError(LoomwindError):
    """Base class of the platform clients' errors."""


class PlatformUnavailable(PlatformError):
    """The service did not answer.

    :param unknown: whether the action may have taken effect all the same.
    """

    def __init__(self, detail: str, outcome_unknown: bool) -> None:
        super().__init__(detail)
        self.outcome_unknown = outcome_unknown


class RowConflict(PlatformError):
    """A row was not at the version that the write was based on."""
