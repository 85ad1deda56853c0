"""Faults that tests inject into a running stand-in with ``POST /_fault``."""

import asyncio

import msgspec
from msgspec import Struct

from loomwind.http.messages import HttpResponse


class Faults(Struct):
    """The active faults.

    :param down: close every connection without a response.
    :param delay_seconds: delay before a request is processed.
    :param lose_answers: process the request, then close the connection without a response.
    :param matches: path prefix of the affected requests, for delays and, except in the application
        stand-in, lost responses; the platform stand-in also applies it to ``down``.
    :param unframed: streams are close-delimited: neither Content-Length nor chunked encoding. A
        truncated one ends inside an event.
    """

    down: bool = False
    delay_seconds: float = 0.0
    lose_answers: bool = False
    matches: str = ""
    leaving: bool = False
    cut_after_bytes: int = 0
    unframed: bool = False
    wrong_request_id: bool = False
    cannot_resume: bool = False
    refuse: bool = False
    load_factor: float = 1.0
    token_seconds: float = 0.0


def decode_faults(body: bytes) -> Faults:
    """Return the faults of a request body; faults that it does not name are off."""
    return msgspec.json.decode(body, type=Faults) if body else Faults()


async def apply_delay(faults: Faults, path: str) -> None:
    """Sleep for the injected delay if it applies to the path."""
    if faults.delay_seconds and path.startswith(faults.matches):
        await asyncio.sleep(faults.delay_seconds)


def json_response(value: object, status: int = 200) -> HttpResponse:
    """Return a response with a JSON body."""
    headers = (("content-type", "application/json"),)
    return HttpResponse(status, headers, msgspec.json.encode(value))
