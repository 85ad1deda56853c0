"""HTTP requests and responses as plain data, without I/O."""

import enum

from msgspec import Struct

Headers = tuple[tuple[str, str], ...]

# Hop-by-hop headers (RFC 9110, section 7.6.1), and those that each connection sets anew.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
    }
)


def find_header(headers: Headers, name: str) -> str | None:
    """Return the first value of a header, or None.

    :param name: the header name in lower case.
    """
    return next((value for key, value in headers if key == name), None)


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers that a proxy forwards: no hop-by-hop headers, framing or host."""
    listed = find_header(headers, "connection") or ""
    dropped = HOP_BY_HOP_HEADERS | {token.strip().lower() for token in listed.split(",")}
    return tuple((name, value) for name, value in headers if name not in dropped)


class HttpRequest(Struct, frozen=True):
    """A complete request. Header names are in lower case."""

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""

    @property
    def path(self) -> str:
        """Return the target without its query string."""
        return self.target.partition("?")[0]

    def header(self, name: str) -> str | None:
        """Return the first value of a header, or None; see :func:`find_header`."""
        return find_header(self.headers, name)


class Framing(enum.Enum):
    """What marks the end of a response body (RFC 9112, section 6.3)."""

    CHUNKED = "chunked"
    LENGTH = "length"
    CLOSE = "close"


class HttpResponse(Struct, frozen=True):
    """A response; ``body`` is empty while only the head has been read."""

    status: int
    headers: Headers = ()
    body: bytes = b""

    @property
    def framing(self) -> Framing:
        """Return what marks the end of the body; only valid for responses that may have one."""
        if self.header("transfer-encoding") is not None:
            return Framing.CHUNKED
        return Framing.CLOSE if self.header("content-length") is None else Framing.LENGTH

    @property
    def declared_bytes(self) -> int | None:
        """Return the length of the body that the head declares; None if it declares none."""
        if self.framing is not Framing.LENGTH:
            return None
        return int(self.header("content-length") or 0)

    def header(self, name: str) -> str | None:
        """Return the first value of a header, or None; see :func:`find_header`."""
        return find_header(self.headers, name)
