"""The platform's header fields behind :class:`loomwind.serving.ports.Dialect`."""

from loomwind.http.messages import Headers, HttpRequest, HttpResponse, end_to_end_headers
from loomwind.serving.ports import Dialect, ResponseCheck
from loomwind.serving.views import CallerRequest, ModelKey, PromptPart

REQUEST_ID = "x-request-id"
DEADLINE_MS = "x-deadline-ms"
MODEL = "x-model"
TOKEN_USAGE = "x-token-usage"
PROMPT_PREFIX = "x-prompt-prefix"
LAST_EVENT_ID = "last-event-id"
RESPONSE_STAMP = "x-response-stamp"
EXPECT_INSTANCE = "x-expect-instance"
INSTANCE = "x-instance-id"
NOT_EXECUTED = "x-not-executed"
PRIORITY = "x-request-priority"
MISDIRECTED_STATUS = 421
MAX_PRIORITY_VALUE = 9

# Fields that the daemon itself sets on what it sends to a server.
DAEMON_HEADERS = frozenset({DEADLINE_MS, EXPECT_INSTANCE, PRIORITY, LAST_EVENT_ID})


class PlatformDialect(Dialect):
    """Reads and writes the platform's header fields."""

    def read_request(self, request: HttpRequest) -> CallerRequest:
        """Return what a caller's request says; see :meth:`Dialect.read_request`."""
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
        )

    def server_headers(
        self,
        request: HttpRequest,
        server_name: str,
        remaining_seconds: float,
        priority: int | None,
        last_event_id: str | None,
    ) -> Headers:
        """Return the headers for a server; see :meth:`Dialect.server_headers`."""
        kept = tuple(
            (name, value)
            for name, value in end_to_end_headers(request.headers)
            if name not in DAEMON_HEADERS
        )
        own: Headers = (
            ("host", request.header("host") or ""),
            (DEADLINE_MS, str(max(1, int(remaining_seconds * 1000)))),
            (EXPECT_INSTANCE, server_name),
        )
        if priority is not None:
            own += ((PRIORITY, str(min(priority, MAX_PRIORITY_VALUE))),)
        if last_event_id is not None:
            own += ((LAST_EVENT_ID, last_event_id),)
        return own + kept

    def peer_headers(
        self, request: HttpRequest, remaining_seconds: float, last_event_id: str | None
    ) -> Headers:
        """Return the headers for a peer; see :meth:`Dialect.peer_headers`."""
        changed = (DEADLINE_MS, LAST_EVENT_ID)
        headers: Headers = (
            ("host", request.header("host") or ""),
            (DEADLINE_MS, str(max(1, int(remaining_seconds * 1000)))),
        )
        if last_event_id is not None:
            headers += ((LAST_EVENT_ID, last_event_id),)
        kept = ((name, value) for name, value in end_to_end_headers(request.headers))
        return headers + tuple((name, value) for name, value in kept if name not in changed)

    def check_response(
        self, request_id: str, server_name: str, head: HttpResponse
    ) -> ResponseCheck:
        """Return what the head of an answer says; see :meth:`Dialect.check_response`."""
        matches_request = head.header(REQUEST_ID) == request_id
        misdirected = head.status == MISDIRECTED_STATUS
        refused = misdirected or head.header(NOT_EXECUTED) is not None
        return ResponseCheck(
            matches_request=matches_request or refused,
            may_have_run=not refused,
            from_server=head.header(RESPONSE_STAMP) is not None,
            missing_target=misdirected,
            other_instance=head.header(INSTANCE) not in (None, server_name),
        )

    def response_headers(self, head: HttpResponse) -> Headers:
        """Return an answer's headers for the caller; see :meth:`Dialect.response_headers`."""
        return end_to_end_headers(head.headers)

    def refusal_headers(self, request_id: str, retry_after_seconds: float | None) -> Headers:
        """Return the headers of an own answer; see :meth:`Dialect.refusal_headers`."""
        headers: Headers = ((REQUEST_ID, request_id),) if request_id else ()
        if retry_after_seconds is not None:
            headers += (("retry-after", f"{max(0.0, retry_after_seconds):.3f}"),)
        return headers


def _parse_deadline_seconds(text: str | None) -> float | None:
    try:
        return None if text is None else float(text) / 1000
    except ValueError:
        return None


def _parse_token_usage(text: str | None) -> tuple[int, int]:
    first, _, second = (text or "").partition(",")
    try:
        return int(first or 0), int(second or 0)
    except ValueError:
        return 0, 0


def _parse_target(text: str) -> ModelKey:
    model, _, adapter = text.partition("/")
    return ModelKey(model.strip(), adapter.strip())


def _parse_prompt(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in text.split(","):
        identity, _, tokens = item.strip().partition(":")
        if identity and tokens.isdigit():
            parts.append(PromptPart(identity, int(tokens)))
    return tuple(parts)
