"""Answers without a length or chunks, whose end is the end of their connection."""

from loomwind.http.messages import Headers
from loomwind.http.server import Exchange


def start_close_delimited(exchange: Exchange, headers: Headers, version: str = "1.1") -> None:
    """Send the head of a success past h11, which would announce chunks.

    :param version: of HTTP, in the answer's first line.
    """
    lines = [f"HTTP/{version} 200 OK", *(f"{name}: {value}" for name, value in headers)]
    exchange.send_raw("\r\n".join([*lines, "", ""]).encode("latin-1"))
