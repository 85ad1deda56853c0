"""Sixth stage: sends a request to its back end and waits for the response head.

A failure tells whether the request may have run. It did not run if no byte was sent, or if the back
end reported that it refused the request; otherwise this is unknown.
"""

from collections.abc import Callable

from loomwind.engines.protocol import (
    ARTIFACT_HEADER,
    LEAVING,
    NOT_RUN,
    OUTCOME_HEADER,
    PRIORITY_HEADER,
    REQUEST_ID_HEADER,
    RESUME_HEADER,
    STATE_HEADER,
)
from loomwind.http.client import HttpClient
from loomwind.http.client_connection import ClientConnection
from loomwind.http.errors import ConnectFailed, ConnectionEnded, HttpError
from loomwind.http.messages import (
    Headers,
    HttpRequest,
    HttpResponse,
    end_to_end_headers,
    find_header,
)
from loomwind.pipeline.errors import AttemptFailed
from loomwind.pipeline.types import ForwardedResponse, SelectedRequest
from loomwind.schema import Artifact, Outcome

EVENT_STREAM = "text/event-stream"
CONNECT_TIMEOUT_SECONDS = 1.0
NOT_LOADED_STATUS = 409
INTERNAL_HEADERS = frozenset(
    {ARTIFACT_HEADER, PRIORITY_HEADER, RESUME_HEADER, STATE_HEADER, REQUEST_ID_HEADER}
)


class Attempt:
    """One attempt at one back end.

    :ivar request_sent: whether any byte of the request was sent; False again once the back end
        reports that the request did not run.
    """

    def __init__(self, selected: SelectedRequest) -> None:
        self.selected = selected
        self.request_sent = False


def backend_request(selected: SelectedRequest, resume_from: int | None = None) -> HttpRequest:
    """Return the request as it is sent to the back end.

    :param resume_from: the byte offset in the response body at which to resume a broken stream.
    """
    identified = selected.admitted.identified
    http = identified.parsed.http
    headers: Headers = tuple(
        (name, value)
        for name, value in end_to_end_headers(http.headers)
        if name not in INTERNAL_HEADERS
    )
    headers += ((REQUEST_ID_HEADER, identified.parsed.request_id),)
    if isinstance(identified.target, Artifact):
        headers += ((ARTIFACT_HEADER, str(identified.target)),)
        headers += ((PRIORITY_HEADER, str(identified.priority)),)
    if resume_from is not None:
        headers += ((RESUME_HEADER, str(resume_from)),)
    return HttpRequest(http.method, http.target, headers, http.body)


class Forwarder:
    """Sends requests to back ends."""

    def __init__(self, client: HttpClient, on_leaving: Callable[[str], None]) -> None:
        self._client = client
        self._on_leaving = on_leaving

    async def forward(self, attempt: Attempt, resume_from: int | None = None) -> ForwardedResponse:
        """Send the request and return the response, of which only the head was read.

        :raises AttemptFailed: the back end sent no response to this request.
        """
        selected = attempt.selected
        request = backend_request(selected, resume_from)
        try:
            connection = await self._client.acquire(
                selected.backend.address, CONNECT_TIMEOUT_SECONDS
            )
        except ConnectFailed as error:
            raise AttemptFailed(str(error), Outcome.NOT_RUN) from error
        try:
            attempt.request_sent = True
            connection.send_request(request)
            head = await connection.read_head()
        except ConnectionEnded as error:
            attempt.request_sent = False
            raise AttemptFailed(str(error), Outcome.NOT_RUN) from error
        except HttpError as error:
            connection.close()
            raise AttemptFailed(str(error), Outcome.UNKNOWN) from error
        except BaseException:
            connection.close()
            raise
        return self._check_head(attempt, connection, head)

    def _check_head(
        self, attempt: Attempt, connection: ClientConnection, head: HttpResponse
    ) -> ForwardedResponse:
        """Check that the response belongs to this request and that the back end accepted it."""
        selected = attempt.selected
        if head.header(STATE_HEADER) == LEAVING:
            self._on_leaving(selected.backend.name)
        if head.header(REQUEST_ID_HEADER) != selected.admitted.identified.parsed.request_id:
            connection.close()
            raise AttemptFailed("the back end answered another request", Outcome.UNKNOWN)
        if head.header(OUTCOME_HEADER) == NOT_RUN:
            attempt.request_sent = False
            connection.close()
            raise AttemptFailed(
                f"{selected.backend.name} refused it unstarted",
                Outcome.NOT_RUN,
                stale_route=head.status == NOT_LOADED_STATUS,
            )
        headers = tuple(
            (name, value)
            for name, value in end_to_end_headers(head.headers)
            if name not in (STATE_HEADER, OUTCOME_HEADER)
        )
        streamed = (find_header(headers, "content-type") or "").startswith(EVENT_STREAM)
        return ForwardedResponse(selected, connection, head.status, headers, streamed)
