"""The types passed between pipeline stages. Times are event-loop times in seconds."""

from msgspec import Struct

from loomwind.http.client_connection import ClientConnection
from loomwind.http.messages import Headers, HttpRequest
from loomwind.schema import Artifact


class Application(Struct, frozen=True, order=True):
    """The target of an ordinary HTTP request: the application servers that share a name."""

    name: str


Target = Artifact | Application


class ParsedRequest(Struct, frozen=True):
    """A request whose headers were checked.

    :param deadline: the time by which the response must have started.
    """

    http: HttpRequest
    request_id: str
    received_at: float
    deadline: float
    idempotency_key: str | None


class IdentifiedRequest(Struct, frozen=True):
    """A request whose target and group are known.

    :param priority: 0 to 9; higher priorities are served first.
    :param repeatable: whether the request may run more than once.
    """

    parsed: ParsedRequest
    target: Target
    group: str
    share: float
    priority: int
    max_waiting: int
    repeatable: bool


class AdmittedRequest(Struct, frozen=True):
    """A request that was admitted to the queue."""

    identified: IdentifiedRequest

    @property
    def target(self) -> Target:
        """Return the target of the request."""
        return self.identified.target

    @property
    def deadline(self) -> float:
        """Return the time by which the response must have started."""
        return self.identified.parsed.deadline


class Backend(Struct, frozen=True, order=True):
    """A server that requests can be sent to: an engine or an application server."""

    name: str
    address: str
    zone: str


class SelectedRequest(Struct, frozen=True):
    """A request that was assigned a slot at a back end."""

    admitted: AdmittedRequest
    backend: Backend


class ForwardedResponse(Struct, frozen=True):
    """A back end's response, of which the head was received.

    :param headers: end-to-end headers.
    """

    selected: SelectedRequest
    connection: ClientConnection
    status: int
    headers: Headers
    streamed: bool
