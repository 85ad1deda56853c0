"""What daemons add to a request that one of them serves for another, and to its answer.

The request goes on as HTTP to the peer's own listener for such requests, with the caller's headers
and the time that is left; these fields are set between daemons alone and reach nobody else.
"""

import enum

from attrs import frozen

from loomwind.http.messages import Headers, HttpRequest, HttpResponse
from loomwind.serving.errors import Refused, RelayDeclined

RUNS_HEADER = "loomwind-runs"
CONFIGURATION_HEADER = "loomwind-configuration"
OUTCOME_HEADER = "loomwind-end"
RELAY_HEADERS = frozenset({RUNS_HEADER, CONFIGURATION_HEADER, OUTCOME_HEADER})
RETRY_AFTER_HEADER = "retry-after"


class RelayOutcome(enum.Enum):
    """How a peer ends a request without a server's answer.

    ``declined``: it has done nothing, and another peer may be asked. ``refused``: what it answers
    is final.
    """

    DECLINED = "declined"
    REFUSED = "refused"


@frozen
class RelayMetadata:
    """What a peer has to know of a request that it serves for another daemon.

    :ivar runs: at how many servers it may have run already.
    :ivar configuration_version: it is not served by an older configuration.
    """

    runs: int
    configuration_version: int

    @property
    def headers(self) -> Headers:
        """Return the fields that say so."""
        return (
            (RUNS_HEADER, str(self.runs)),
            (CONFIGURATION_HEADER, str(self.configuration_version)),
        )


def read_metadata(request: HttpRequest) -> RelayMetadata:
    """Return the terms of a request from a peer.

    :raises ValueError: it carries none.
    """
    return RelayMetadata(
        int(request.header(RUNS_HEADER) or ""),
        int(request.header(CONFIGURATION_HEADER) or ""),
    )


def strip_relay_headers(headers: Headers) -> Headers:
    """Return headers as they are outside of the exchange between daemons."""
    return tuple((name, value) for name, value in headers if name not in RELAY_HEADERS)


def outcome_headers(outcome: RelayOutcome, retry_after_seconds: float | None = None) -> Headers:
    """Return the fields of an answer that no server gave."""
    headers: Headers = ((OUTCOME_HEADER, outcome.value),)
    if retry_after_seconds is not None:
        headers += ((RETRY_AFTER_HEADER, f"{retry_after_seconds:.3f}"),)
    return headers


def configuration_headers(version: int) -> Headers:
    """Return the field that names the configuration that a request was served by."""
    return ((CONFIGURATION_HEADER, str(version)),)


def configuration_version_of(head: HttpResponse) -> int:
    """Return the version of the configuration that a request was served by; 0 if not said."""
    text = head.header(CONFIGURATION_HEADER) or ""
    return int(text) if text.isdigit() else 0


def is_server_answer(head: HttpResponse) -> bool:
    """Whether a server has given the answer, and the peer passes it on."""
    return head.header(OUTCOME_HEADER) is None


def decode_error(head: HttpResponse, body: bytes) -> Refused | RelayDeclined:
    """Return what an answer says that no server has given."""
    reason = body.decode(errors="replace")
    if head.header(OUTCOME_HEADER) == RelayOutcome.DECLINED.value:
        return RelayDeclined(reason)
    return Refused(head.status, reason, _parse_seconds(head.header(RETRY_AFTER_HEADER)))


def _parse_seconds(text: str | None) -> float | None:
    try:
        return None if text is None else float(text)
    except ValueError:
        return None
