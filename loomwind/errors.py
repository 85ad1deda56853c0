"""Base class of the errors of all layers."""


class LoomwindError(Exception):
    """Base class of all errors that Loomwind raises deliberately."""
