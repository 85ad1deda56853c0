"""Refusals: the problems that are reported to callers as problem details (RFC 9457)."""

import enum
import math

import msgspec
from msgspec import Struct

from loomwind import constants
from loomwind.errors import LoomwindError
from loomwind.http.messages import Headers
from loomwind.schema import Outcome


class Problem(enum.Enum):
    """Problem types, with their HTTP status and title."""

    MALFORMED_REQUEST = ("malformed-request", 400, "The request is not valid HTTP")
    INVALID_BODY = ("invalid-body", 400, "The body is not a valid chat-completions request")
    INVALID_HEADER = ("invalid-header", 400, "A header has an invalid value")
    UNKNOWN_ROUTE = ("unknown-route", 404, "No route serves this path")
    UNKNOWN_MODEL = ("unknown-model", 404, "No model, adapter or version has this name")
    UNKNOWN_GROUP = ("unknown-group", 404, "No group has this name")
    METHOD_NOT_ALLOWED = ("method-not-allowed", 405, "The path does not take this method")
    DUPLICATE_REQUEST = ("duplicate-request", 409, "A request with this key runs or has run")
    TOO_MANY_WAITING = ("too-many-waiting", 429, "Too many requests of the group wait")
    NOT_READY = ("not-ready", 503, "This daemon does not take requests now")
    NO_CONTROLLER = ("no-controller", 503, "No model can be loaded now")
    CANNOT_MEET_DEADLINE = ("cannot-meet-deadline", 503, "The request can't be served in time")
    NO_BACKEND = ("no-backend", 503, "No back end could take the request")
    CLAIMS_UNAVAILABLE = ("claims-unavailable", 503, "The request's key could not be claimed")
    KEY_UNCERTAIN = ("key-uncertain", 503, "Whether the key was used before can't be told now")
    DEADLINE_EXCEEDED = ("deadline-exceeded", 504, "The deadline passed")
    BACKEND_FAILED = ("backend-failed", 502, "The back end failed while it had the request")
    ANSWER_CUT_SHORT = ("answer-cut-short", 502, "The answer ended before its end")
    INTERNAL_ERROR = ("internal-error", 500, "Loomwind failed")

    def __init__(self, slug: str, status: int, title: str) -> None:
        self.slug = slug
        self.status = status
        self.title = title


class ProblemBody(Struct, frozen=True):
    """The JSON body of a refusal; ``outcome`` and ``request_id`` are extension members."""

    type: str
    title: str
    status: int
    detail: str
    outcome: str
    request_id: str = ""


class RequestRefused(LoomwindError):
    """The request is refused: Loomwind itself sends the final response.

    :param outcome: whether the request ran at a back end.
    :param retry_after_seconds: when a retry may succeed; None if a retry is no use.
    """

    def __init__(
        self,
        problem: Problem,
        detail: str,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after_seconds: float | None = None,
        status: int | None = None,
    ) -> None:
        super().__init__(detail)
        self.problem = problem
        self.detail = detail
        self.outcome = outcome
        self.retry_after_seconds = retry_after_seconds
        self.status = status or problem.status

    def headers(self) -> Headers:
        """Return the response headers of the refusal."""
        headers: Headers = (
            ("content-type", "application/problem+json"),
            ("x-outcome", self.outcome.value),
        )
        if self.retry_after_seconds is not None:
            seconds = max(constants.MIN_RETRY_AFTER_SECONDS, math.ceil(self.retry_after_seconds))
            headers += (("retry-after", str(seconds)),)
        return headers

    def body(self, request_id: str) -> bytes:
        """Return the refusal as an RFC 9457 JSON body."""
        return msgspec.json.encode(
            ProblemBody(
                type=f"urn:loomwind:problem:{self.problem.slug}",
                title=self.problem.title,
                status=self.status,
                detail=self.detail,
                outcome=self.outcome.value,
                request_id=request_id,
            )
        )


class AttemptFailed(LoomwindError):
    """One attempt at one back end failed; the handler decides whether to retry.

    :param outcome: NOT_RUN only if no byte was sent, or the back end reported it.
    :param stale_route: whether the back end lacks the replica that the route names, which does not
        count as a failure of the back end.
    """

    def __init__(self, detail: str, outcome: Outcome, stale_route: bool = False) -> None:
        super().__init__(detail)
        self.outcome = outcome
        self.stale_route = stale_route
