"""Ends a request after an error that nothing expected: it gets a response if none has begun."""

from functools import singledispatch

from loomwind.http.errors import UnsendableResponse
from loomwind.http.exchange import Exchange
from loomwind.http.messages import Headers
from loomwind.logs import log_decision


@singledispatch
def failure_status(error: BaseException) -> int:
    """Return the status of a request that may have run and ended with this error."""
    return 500


@failure_status.register
def _(error: UnsendableResponse) -> int:
    """Return that of a bad gateway: the response of a server cannot be passed on."""
    return 502


async def end_failed_request(
    exchange: Exchange, request_id: str, error: BaseException, headers: Headers
) -> None:
    """Log the error, and respond; a response that has begun ends with its connection.

    :param headers: the headers of the response.
    """
    status = failure_status(error)
    log_decision(
        "failed",
        request_id,
        reason=repr(error),
        status=None if exchange.started else status,
    )
    if exchange.started:
        exchange.abort()
    else:
        await exchange.respond(status, headers, b"internal error")
