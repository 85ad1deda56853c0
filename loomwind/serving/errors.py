"""Errors of serving, and what each says about whether the request ran."""

from loomwind.errors import LoomwindError

RETRY_SOON_SECONDS = 0.5


class ServingError(LoomwindError):
    """Base class of serving's errors."""


class SendFailed(ServingError):
    """A server gave no usable answer to a request.

    :param ran: whether it may have run, or may yet run.
    :param missing_target: the server does not hold what the request needs.
    :param other_instance: another life answers at the address.
    :param at_fault: whether it speaks against the server.
    :param unreachable: whether nothing listens at its address, or nothing answers there.
    :param unsent: whether nothing was sent, because the server began to leave before.
    :param broken: whether the connection ended before the answer did.
    """

    def __init__(
        self,
        detail: str,
        ran: bool,
        missing_target: bool = False,
        other_instance: bool = False,
        at_fault: bool = True,
        unreachable: bool = False,
        unsent: bool = False,
        broken: bool = False,
    ) -> None:
        super().__init__(detail)
        self.ran = ran
        self.missing_target = missing_target
        self.other_instance = other_instance
        self.at_fault = at_fault
        self.unreachable = unreachable
        self.unsent = unsent
        self.broken = broken


class RelayDeclined(ServingError):
    """A peer has not taken a request, and nothing of it has run there."""


class ModelUnavailable(ServingError):
    """A request's model is at no server, and will not be before its caller leaves.

    :param ready_in_seconds: when it should be there.
    """

    def __init__(self, ready_in_seconds: float) -> None:
        super().__init__("the model cannot be loaded in time")
        self.ready_in_seconds = ready_in_seconds


class StreamTruncated(ServingError):
    """A stream ended before its proper end."""


class Refused(ServingError):
    """A request gets a daemon's own answer.

    :param status: HTTP status; 503 promises that the request has not run and never will.
    :param retry_after_seconds: when to come back.
    """

    def __init__(self, status: int, detail: str, retry_after_seconds: float | None = None) -> None:
        super().__init__(detail)
        self.status = status
        self.retry_after_seconds = retry_after_seconds
