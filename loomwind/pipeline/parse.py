"""First stage: checks the headers that Loomwind reads. Turns an Exchange into a ParsedRequest."""

import math
import uuid

from loomwind import constants
from loomwind.http.messages import HttpRequest
from loomwind.http.server import Exchange
from loomwind.pipeline.errors import Problem, RequestRefused
from loomwind.pipeline.types import ParsedRequest
from loomwind.settings import LimitSettings

REQUEST_TIMEOUT_HEADER = "request-timeout"
IDEMPOTENCY_HEADER = "idempotency-key"
REQUEST_ID_HEADER = "x-request-id"
MAX_IDENTIFIER_CHARACTERS = 128


def parse(exchange: Exchange, limits: LimitSettings, now: float) -> ParsedRequest:
    """Return the request with its checked headers.

    :raises RequestRefused: the request is malformed, or a header has an invalid value.
    """
    if exchange.bad_request is not None or exchange.request is None:
        bad_request = exchange.bad_request
        detail = f"{bad_request.title}: {bad_request.detail}" if bad_request else "no request"
        status = bad_request.status if bad_request else None
        raise RequestRefused(Problem.MALFORMED_REQUEST, detail, status=status)
    http = exchange.request
    timeout = _timeout(http, limits.default_request_timeout_seconds)
    return ParsedRequest(
        http=http,
        request_id=_identifier(http, REQUEST_ID_HEADER) or uuid.uuid4().hex,
        received_at=now,
        deadline=now + timeout,
        idempotency_key=_identifier(http, IDEMPOTENCY_HEADER),
    )


def _timeout(http: HttpRequest, default_seconds: float) -> float:
    """Return the request timeout in seconds: the caller's, or the default."""
    text = http.header(REQUEST_TIMEOUT_HEADER)
    if text is None:
        return default_seconds
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not 0 < seconds <= constants.MAX_REQUEST_TIMEOUT_SECONDS:
        detail = (
            f"Request-Timeout is {text!r}; it must be a number of seconds above 0 "
            f"and at most {constants.MAX_REQUEST_TIMEOUT_SECONDS:.0f}"
        )
        raise RequestRefused(Problem.INVALID_HEADER, detail)
    return seconds


def _identifier(http: HttpRequest, name: str) -> str | None:
    value = http.header(name)
    if value is None:
        return None
    if not 0 < len(value) <= MAX_IDENTIFIER_CHARACTERS or not value.isprintable():
        detail = f"{name} must have 1 to {MAX_IDENTIFIER_CHARACTERS} printable characters"
        raise RequestRefused(Problem.INVALID_HEADER, detail)
    return value
