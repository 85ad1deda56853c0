"""Faults that tests switch on in a running stand-in through ``POST /_fault``."""

import asyncio

import msgspec
from msgspec import Struct

from loomwind.http.messages import HttpResponse


class Faults(Struct):
    """The faults in force. Times in seconds.

    :param down: answer nothing: connections are closed at once.
    :param delay_seconds: wait before acting.
    :param lose_answers: act, then close without an answer.
    :param matches: only for paths that start with this.
    :param unframed: streams have neither a length nor chunks; a cut one ends inside an event.
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
    """Return the faults that a test asks for; those not named are off."""
    return msgspec.json.decode(body, type=Faults) if body else Faults()


async def apply_delay(faults: Faults, path: str) -> None:
    """Wait as long as the faults say for this path."""
    if faults.delay_seconds and path.startswith(faults.matches):
        await asyncio.sleep(faults.delay_seconds)


def json_response(value: object, status: int = 200) -> HttpResponse:
    """Return a whole JSON response."""
    headers = (("content-type", "application/json"),)
    return HttpResponse(status, headers, msgspec.json.encode(value))
