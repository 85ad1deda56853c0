"""Implements :class:`loomwind.serving.ports.Dialect` with the platform's header fields."""

import math

from loomwind.http.messages import (
    Headers,
    HttpRequest,
    HttpResponse,
    end_to_end_headers,
    find_header,
)
from loomwind.serving.ports import Dialect, ResponseCheck
from loomwind.serving.views import CallerRequest, ModelKey, PromptPart

REQUEST_ID = "x-request-id"
# Milliseconds that remain until the deadline.
DEADLINE_MS = "x-deadline-ms"
# "model" or "model/adapter".
MODEL = "x-model"
# "prompt tokens,max new tokens".
TOKEN_USAGE = "x-token-usage"
# The parts of the prompt in order, as "identity:tokens,...".
PROMPT_PREFIX = "x-prompt-prefix"
LAST_EVENT_ID = "last-event-id"
# The request ID of the attempt that brought the first event of a stream that is resumed.
RESUMES = "resumes"
# Set by servers on their own responses, so that those of intermediaries can be told apart.
RESPONSE_STAMP = "x-response-stamp"
# The name of the server that a request is meant for; it is the same after a restart.
EXPECT_INSTANCE = "x-expect-instance"
# The name of the server that responds.
INSTANCE = "x-instance-id"
# Present when the server rejected the request without running it.
NOT_EXECUTED = "x-not-executed"
# In all responses of a server that falls over when it rejects more requests in a second.
SERVER_BRITTLE = "server-brittle"
# 0 is the most urgent.
PRIORITY = "x-request-priority"
MISDIRECTED_STATUS = 421
MAX_PRIORITY_VALUE = 9
# Counts stay below 2 to the 53, so that all arithmetic on them is exact.
MAX_COUNT_DIGITS = 15

# Headers that the daemon sets on requests to servers instead of forwarding the caller's.
DAEMON_HEADERS = frozenset({DEADLINE_MS, EXPECT_INSTANCE, PRIORITY, LAST_EVENT_ID})


class PlatformDialect(Dialect):
    """Reads and writes the platform's header fields."""

    def read_request(self, request: HttpRequest) -> CallerRequest:
        """Decode the headers of a request; see :meth:`Dialect.read_request`."""
        model = request.header(MODEL)
        prompt_tokens, max_new_tokens = _parse_token_usage(request.header(TOKEN_USAGE))
        return CallerRequest(
            request_id=request.header(REQUEST_ID) or "",
            host=request.header("host") or "",
            remaining_seconds=_parse_deadline_seconds(request.header(DEADLINE_MS)),
            target=_parse_target(model) if model else None,
            prompt_tokens=prompt_tokens,
            max_new_tokens=max_new_tokens,
            prompt=_parse_prompt(request.header(PROMPT_PREFIX) or ""),
            last_event_id=request.header(LAST_EVENT_ID),
            origin_id=request.header(RESUMES),
        )

    def request_id(self, headers: Headers) -> str:
        """Return the id of a request; see :meth:`Dialect.request_id`."""
        return find_header(headers, REQUEST_ID) or ""

    def server_headers(
        self,
        request: HttpRequest,
        server_name: str,
        remaining_seconds: float,
        priority: int | None,
        last_event_id: str | None,
    ) -> Headers:
        """Return the headers of a request to a server; see :meth:`Dialect.server_headers`."""
        headers: Headers = (
            ("host", request.header("host") or ""),
            (DEADLINE_MS, str(max(1, int(remaining_seconds * 1000)))),
            (EXPECT_INSTANCE, server_name),
        )
        if priority is not None:
            headers += ((PRIORITY, str(min(priority, MAX_PRIORITY_VALUE))),)
        if last_event_id is not None:
            headers += ((LAST_EVENT_ID, last_event_id),)
        return headers + _forwarded_headers(request, DAEMON_HEADERS)

    def peer_headers(
        self, request: HttpRequest, remaining_seconds: float, last_event_id: str | None
    ) -> Headers:
        """Return the headers of a relayed request; see :meth:`Dialect.peer_headers`."""
        headers: Headers = (
            ("host", request.header("host") or ""),
            (DEADLINE_MS, str(max(1, int(remaining_seconds * 1000)))),
        )
        if last_event_id is not None:
            headers += ((LAST_EVENT_ID, last_event_id),)
        return headers + _forwarded_headers(request, frozenset({DEADLINE_MS, LAST_EVENT_ID}))

    def check_response(self, server_name: str, head: HttpResponse) -> ResponseCheck:
        """Check the head of a response; see :meth:`Dialect.check_response`."""
        misdirected = head.status == MISDIRECTED_STATUS
        refused = misdirected or head.header(NOT_EXECUTED) is not None
        return ResponseCheck(
            may_have_run=not refused,
            from_server=head.header(RESPONSE_STAMP) is not None,
            missing_target=misdirected,
            other_instance=head.header(INSTANCE) not in (None, server_name),
            max_rejections_per_second=parse_rejection_limit(head),
        )

    def response_headers(self, head: HttpResponse) -> Headers:
        """Return the headers for the caller; see :meth:`Dialect.response_headers`."""
        return end_to_end_headers(head.headers)

    def refusal_headers(self, request_id: str, retry_after_seconds: float | None) -> Headers:
        """Return the headers of a refusal; see :meth:`Dialect.refusal_headers`."""
        headers: Headers = ((REQUEST_ID, request_id),) if request_id else ()
        if retry_after_seconds is not None:
            headers += (("retry-after", f"{max(0.0, retry_after_seconds):.3f}"),)
        return headers


def _forwarded_headers(request: HttpRequest, replaced: frozenset[str]) -> Headers:
    """Return the caller's headers that are passed on.

    The id is passed on although a ``connection`` header may list it: responses are matched by it.

    :param replaced: headers that the daemon sets itself.
    """
    request_id = request.header(REQUEST_ID)
    headers: Headers = ((REQUEST_ID, request_id),) if request_id is not None else ()
    return headers + tuple(
        (name, value)
        for name, value in end_to_end_headers(request.headers)
        if name != REQUEST_ID and name not in replaced
    )


def parse_rejection_limit(head: HttpResponse) -> int | None:
    """Return how many rejections in a second a server stands; None if it does not say."""
    return _parse_count(head.header(SERVER_BRITTLE) or "")


def _parse_deadline_seconds(text: str | None) -> float | None:
    """Return the time until the deadline; None when the header is missing or malformed."""
    try:
        seconds = None if text is None else float(text) / 1000
    except ValueError:
        return None
    return seconds if seconds is None or math.isfinite(seconds) else None


def _parse_token_usage(text: str | None) -> tuple[int, int]:
    """Return the prompt tokens and the maximum of new tokens; zeros when malformed."""
    prompt_tokens, _, max_new_tokens = (text or "").partition(",")
    counts = _parse_count(prompt_tokens or "0"), _parse_count(max_new_tokens or "0")
    return (counts[0] or 0, counts[1] or 0) if None not in counts else (0, 0)


def _parse_count(text: str) -> int | None:
    """Return a count; None when it is malformed or too large for any use."""
    digits = text.strip()
    is_valid = digits.isascii() and digits.isdigit() and len(digits) <= MAX_COUNT_DIGITS
    return int(digits) if is_valid else None


def _parse_target(text: str) -> ModelKey:
    model, _, adapter = text.partition("/")
    return ModelKey(model.strip(), adapter.strip())


def _parse_prompt(text: str) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt; malformed items are skipped."""
    parts = []
    for item in text.split(","):
        identity, _, tokens = item.strip().partition(":")
        count = _parse_count(tokens)
        if identity and count is not None:
            parts.append(PromptPart(identity, count))
    return tuple(parts)
