"""Errors of the control layer."""

from loomwind.errors import LoomwindError


class ControlError(LoomwindError):
    """Base class of all errors of the control layer."""


class RegisterUnavailable(ControlError):
    """No majority of the voters responded, or another daemon is the leader."""


class ClaimRefused(ControlError):
    """A claim on a request that must run at most once was not granted."""


class ClaimTaken(ClaimRefused):
    """Another request with the same key holds the claim and is running or has run."""


class ClaimBarrier(ClaimRefused):
    """Earlier claims were lost, so it is unknown whether a request with this key has run."""


class ClaimUnavailable(ClaimRefused):
    """Too few voters responded."""
