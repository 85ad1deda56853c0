"""Identifies a request by what a server sees of it, so that it is known again under another ID."""

import hashlib
from collections.abc import Iterable

from loomwind.http.messages import HttpRequest
from loomwind.serving.views import CallerRequest

FINGERPRINT_BYTES = 16
LENGTH_BYTES = 8
PERSONALIZATION = b"loomwind-request"


def fingerprint(request: HttpRequest, caller: CallerRequest) -> str:
    """Return a hash of a request's method, host, target, model, prompt and body, in hex.

    Its ID, its deadline and the event after which a stream resumes differ between the attempts at
    the same request, and are left out.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES, person=PERSONALIZATION)
    for value in _identifying_fields(request, caller):
        digest.update(len(value).to_bytes(LENGTH_BYTES, "big"))
        digest.update(value)
    return digest.hexdigest()


def _identifying_fields(request: HttpRequest, caller: CallerRequest) -> Iterable[bytes]:
    yield request.method.encode()
    yield caller.host.encode()
    yield request.target.encode()
    yield str(caller.target or "").encode()
    yield ",".join(part.identity for part in caller.prompt).encode()
    yield request.body
