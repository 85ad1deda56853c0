"""Limits of an HTTP server."""

from msgspec import Struct

from loomwind import constants


class ServerLimits(Struct, frozen=True):
    """Limits that each connection enforces on its requests."""

    max_head_bytes: int = constants.MAX_HEAD_BYTES
    max_body_bytes: int = constants.MAX_BODY_BYTES
    max_header_count: int = constants.MAX_HEADER_COUNT
    head_timeout_seconds: float = constants.HEAD_TIMEOUT_SECONDS
    body_timeout_seconds: float = constants.BODY_TIMEOUT_SECONDS
    idle_timeout_seconds: float = constants.IDLE_TIMEOUT_SECONDS
