"""HTTP headers that daemons add to relayed requests and their responses.

A request is relayed over HTTP to the peer's relay listener, with the caller's headers and the
remaining time. The headers defined here are used only between daemons and are removed elsewhere.
"""

import enum
from urllib.parse import quote, unquote

from attrs import frozen

from loomwind.http.messages import Headers, HttpRequest, HttpResponse
from loomwind.serving.errors import Refused, RelayDeclined, SendFailed
from loomwind.serving.stream_origins import UNKNOWN_VERSION

RUNS_HEADER = "loomwind-runs"
CONFIGURATION_HEADER = "loomwind-configuration"
OUTCOME_HEADER = "loomwind-end"
SOFTWARE_HEADER = "loomwind-software"
# Says that a response began with its first event, which came from a server of this version. Peers
# of an earlier version send SOFTWARE_HEADER alone, before any event.
ORIGIN_HEADER = "loomwind-origin"
RELAY_HEADERS = frozenset(
    {RUNS_HEADER, CONFIGURATION_HEADER, OUTCOME_HEADER, SOFTWARE_HEADER, ORIGIN_HEADER}
)
RETRY_AFTER_HEADER = "retry-after"


class RelayOutcome(enum.Enum):
    """How a peer ends a relayed request without a server's response.

    ``declined``: the peer did nothing, and another one may be asked. ``refused``: the peer's
    response is final. ``failed``: the peer failed, and the request may have run.
    """

    DECLINED = "declined"
    REFUSED = "refused"
    FAILED = "failed"


@frozen
class RelayMetadata:
    """What a peer needs to know about a request relayed to it.

    :ivar runs: the number of servers that may have run the request already.
    :ivar configuration_version: the oldest configuration that may serve the request.
    :ivar software_version: the software version that the server must have; None for any.
    """

    runs: int
    configuration_version: int
    software_version: str | None = None

    @property
    def headers(self) -> Headers:
        """Return the headers that carry the metadata."""
        headers: Headers = (
            (RUNS_HEADER, str(self.runs)),
            (CONFIGURATION_HEADER, str(self.configuration_version)),
        )
        if self.software_version is not None:
            headers += ((SOFTWARE_HEADER, quote(self.software_version)),)
        return headers


def read_metadata(request: HttpRequest) -> RelayMetadata:
    """Return the metadata of a relayed request.

    :raises ValueError: a header is missing or not a number.
    """
    return RelayMetadata(
        int(request.header(RUNS_HEADER) or ""),
        int(request.header(CONFIGURATION_HEADER) or ""),
        _decode_software(request.header(SOFTWARE_HEADER)),
    )


def strip_relay_headers(headers: Headers) -> Headers:
    """Return the headers without those used only between daemons."""
    return tuple((name, value) for name, value in headers if name not in RELAY_HEADERS)


def strip_relay_head(head: HttpResponse) -> HttpResponse:
    """Return the head of a response without the headers used only between daemons."""
    return HttpResponse(head.status, strip_relay_headers(head.headers))


def outcome_headers(outcome: RelayOutcome, retry_after_seconds: float | None = None) -> Headers:
    """Return the headers of a response that does not come from a server."""
    headers: Headers = ((OUTCOME_HEADER, outcome.value),)
    if retry_after_seconds is not None:
        headers += ((RETRY_AFTER_HEADER, f"{retry_after_seconds:.3f}"),)
    return headers


def configuration_headers(version: int) -> Headers:
    """Return the header with the configuration version that served a request."""
    return ((CONFIGURATION_HEADER, str(version)),)


def with_origin(headers: Headers, version: str) -> Headers:
    """Return headers with the software version of a stream's first event.

    They may be sent only with that event. The version may contain any characters.
    """
    return (*headers, (SOFTWARE_HEADER, quote(version)), (ORIGIN_HEADER, quote(version)))


def origin_version_of(head: HttpResponse, required: str | None) -> str:
    """Return the software version of a stream's first event, which comes with this head.

    :param required: the version that the request has to be served at, which all peers keep to.
    """
    version = _decode_software(head.header(ORIGIN_HEADER))
    if version is None:
        version = required
    return UNKNOWN_VERSION if version is None else version


def _decode_software(text: str | None) -> str | None:
    return None if text is None else unquote(text)


def configuration_version_of(head: HttpResponse) -> int:
    """Return the configuration version that served a request; 0 if not given."""
    text = head.header(CONFIGURATION_HEADER) or ""
    return int(text) if text.isdigit() else 0


def is_server_response(head: HttpResponse) -> bool:
    """Whether the peer forwarded a server's response.

    One without a configuration is from the peer's HTTP layer, after a failure there.
    """
    has_configuration = head.header(CONFIGURATION_HEADER) is not None
    return has_configuration and head.header(OUTCOME_HEADER) is None


def decode_error(head: HttpResponse, body: bytes) -> Refused | RelayDeclined | SendFailed:
    """Return the error in a response that does not come from a server."""
    reason = body.decode(errors="replace")
    outcome = head.header(OUTCOME_HEADER)
    if outcome == RelayOutcome.DECLINED.value:
        return RelayDeclined(reason)
    if outcome is None or outcome == RelayOutcome.FAILED.value:
        return SendFailed(f"the peer failed: {reason}", may_have_run=True)
    return Refused(head.status, reason, _parse_seconds(head.header(RETRY_AFTER_HEADER)))


def _parse_seconds(text: str | None) -> float | None:
    try:
        return None if text is None else float(text)
    except ValueError:
        return None
