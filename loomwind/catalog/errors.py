"""Errors of the catalog."""

from loomwind.errors import LoomwindError


class CatalogError(LoomwindError):
    """Base class of catalog errors."""


class NotFound(CatalogError):
    """The named object does not exist."""


class Conflict(CatalogError):
    """The change is not based on the current version of the object.

    :param current_version: the object's current version; 0 when it does not exist.
    """

    def __init__(self, detail: str, current_version: int) -> None:
        super().__init__(detail)
        self.current_version = current_version


class InvalidChange(CatalogError):
    """The change is malformed or would make the catalog inconsistent."""


class CatalogUnavailable(CatalogError):
    """The table service is unavailable, or too many writers compete for the next version.

    :param outcome_unknown: whether the change may have been stored; otherwise it was not.
    """

    def __init__(self, detail: str, outcome_unknown: bool) -> None:
        super().__init__(detail)
        self.outcome_unknown = outcome_unknown
