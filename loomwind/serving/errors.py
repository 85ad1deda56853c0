"""Errors of serving, with whether the request may have run."""

from loomwind.errors import LoomwindError

RETRY_SOON_SECONDS = 0.5


class ServingError(LoomwindError):
    """Base class of the errors of serving."""


class SendFailed(ServingError):
    """A server sent no usable response to a request.

    :param may_have_run: whether the request may have run, or may still run.
    :param missing_target: the server has not loaded the model or adapter of the request.
    :param other_instance: another instance of the server responds at its address.
    :param at_fault: whether the failure counts against the server.
    :param unreachable: whether no connection could be made.
    :param not_sent: whether nothing was sent, because the server started to leave, or a kept
        connection to it ended.
    :param broken: whether the connection failed before the response was complete.
    :param no_permit: whether nothing was sent, because the server has no place.
    :param rejected: whether the server had no place for the request, or is loading or unloading
        what it needs.
    :param connection: label of the connection that the request was sent on; empty for none.
    """

    def __init__(
        self,
        detail: str,
        may_have_run: bool,
        missing_target: bool = False,
        other_instance: bool = False,
        at_fault: bool = True,
        unreachable: bool = False,
        not_sent: bool = False,
        broken: bool = False,
        rejected: bool = False,
        no_permit: bool = False,
        connection: str = "",
    ) -> None:
        super().__init__(detail)
        self.may_have_run = may_have_run
        self.missing_target = missing_target
        self.other_instance = other_instance
        self.at_fault = at_fault
        self.unreachable = unreachable
        self.not_sent = not_sent
        self.broken = broken
        self.rejected = rejected
        self.no_permit = no_permit
        self.connection = connection


class RelayDeclined(ServingError):
    """A peer did not accept a relayed request, which has not run there."""


class ModelUnavailable(ServingError):
    """No server has loaded the model of a request, nor will one before its deadline.

    :param ready_in_seconds: the expected time until the model is loaded.
    """

    def __init__(self, ready_in_seconds: float) -> None:
        super().__init__("the model cannot be loaded in time")
        self.ready_in_seconds = ready_in_seconds


class NoPlace(ServingError):
    """Every server that can run a request is full, and will be until after its deadline.

    :param retry_after_seconds: the expected time until a place is free.
    """

    def __init__(self, retry_after_seconds: float) -> None:
        super().__init__("every server that can run the request is full")
        self.retry_after_seconds = retry_after_seconds


class StreamTruncated(ServingError):
    """A stream to the caller has begun but cannot be completed."""


class Refused(ServingError):
    """The daemon itself responds to a request with an error.

    :param status: HTTP status; 503 guarantees that the request has not run and never will.
    :param retry_after_seconds: when the caller may retry.
    """

    def __init__(self, status: int, detail: str, retry_after_seconds: float | None = None) -> None:
        super().__init__(detail)
        self.status = status
        self.retry_after_seconds = retry_after_seconds


class OriginUnknown(ServingError):
    """Nothing tells at which software version a stream began, so it cannot be continued.

    :param retry_after_seconds: when the caller may retry; None when its stream is lost.
    """

    def __init__(self, detail: str, retry_after_seconds: float | None = None) -> None:
        super().__init__(detail)
        self.retry_after_seconds = retry_after_seconds


class MalformedVersions(ServingError):
    """A row of the store is not a registry of software versions."""


class MalformedOrigins(ServingError):
    """A row of the store does not hold origins of streams."""
