"""Close-delimited responses (RFC 9112, section 6.3): the connection's end ends the body."""

from loomwind.http.messages import Headers
from loomwind.http.server import Exchange


def start_close_delimited(exchange: Exchange, headers: Headers, version: str = "1.1") -> None:
    """Send the head of a 200 response around h11, which would add chunked encoding.

    :param version: HTTP version of the status line.
    """
    lines = [f"HTTP/{version} 200 OK", *(f"{name}: {value}" for name, value in headers)]
    exchange.send_raw("\r\n".join([*lines, "", ""]).encode("latin-1"))


def end_close_delimited(exchange: Exchange, resets: bool) -> None:
    """End a response by closing its connection, or by resetting it, which breaks it off."""
    if resets:
        exchange.reset()
    else:
        exchange.abort()
