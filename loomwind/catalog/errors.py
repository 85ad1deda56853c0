"""Errors of the catalog layer."""

from loomwind.errors import LoomwindError


class CatalogError(LoomwindError):
    """Base class of the catalog's errors."""


class NotFound(CatalogError):
    """The named object does not exist."""


class Conflict(CatalogError):
    """The change was based on another version than the current one.

    :param current_version: the version of the object now; 0 when it does not exist.
    """

    def __init__(self, detail: str, current_version: int) -> None:
        super().__init__(detail)
        self.current_version = current_version


class InvalidChange(CatalogError):
    """The change would leave the catalog inconsistent."""


class CatalogUnavailable(CatalogError):
    """The table service does not answer: nothing was changed, or the result is not known.

    :param unknown: whether the change may have been recorded.
    """

    def __init__(self, detail: str, outcome_unknown: bool) -> None:
        super().__init__(detail)
        self.outcome_unknown = outcome_unknown
