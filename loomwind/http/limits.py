"""Limits of an HTTP server."""

import h11
from msgspec import Struct

from loomwind import constants
from loomwind.http.exchange import BadRequest


class ServerLimits(Struct, frozen=True):
    """Limits that each connection enforces on its requests."""

    max_head_bytes: int = constants.MAX_HEAD_BYTES
    max_body_bytes: int = constants.MAX_BODY_BYTES
    max_header_count: int = constants.MAX_HEADER_COUNT
    head_timeout_seconds: float = constants.HEAD_TIMEOUT_SECONDS
    body_timeout_seconds: float = constants.BODY_TIMEOUT_SECONDS
    idle_timeout_seconds: float = constants.IDLE_TIMEOUT_SECONDS

    def refuse_head(self, head: h11.Request) -> BadRequest | None:
        """Return why a request with this head is not read; None if it is."""
        names = [name for name, _ in head.headers]
        head_bytes = len(head.target) + sum(len(n) + len(v) for n, v in head.headers)
        if head_bytes > self.max_head_bytes:
            detail = f"the head is larger than {self.max_head_bytes} bytes"
            return BadRequest(431, "head-too-large", detail)
        if len(names) > self.max_header_count:
            detail = f"more than {self.max_header_count} header fields"
            return BadRequest(431, "too-many-headers", detail)
        if b"transfer-encoding" in names and b"content-length" in names:
            detail = "both transfer-encoding and content-length are given"
            return BadRequest(400, "ambiguous-length", detail)
        content_length = next((v for n, v in head.headers if n == b"content-length"), b"0")
        return self.refuse_body(int(content_length))

    def refuse_body(self, body_bytes: int) -> BadRequest | None:
        """Return why a body of this length is not read; None if it is."""
        if body_bytes <= self.max_body_bytes:
            return None
        detail = f"the body is larger than {self.max_body_bytes} bytes"
        return BadRequest(413, "body-too-large", detail)
