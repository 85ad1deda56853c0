"""The software versions that began resumable streams, by request ID. No I/O; time is passed in."""

from collections import defaultdict
from collections.abc import Iterable

import msgspec
import xxhash
from attrs import frozen
from msgspec import Struct

from loomwind.decoding import DecodeError, decode_msgpack
from loomwind.serving.errors import MalformedOrigins

HASH_BYTES = 8
# The store limits the size of a row; the newest origins are kept.
MAX_ROW_ORIGINS = 5000
MAX_ORIGINS = 100_000
# The version of a stream's first event if nothing tells it; no server has it.
UNKNOWN_VERSION = "unknown\0"


@frozen
class StreamOrigin:
    """Where a stream began.

    :ivar software_version: the version of the software of the server that sent its first event.
    """

    service: str
    software_version: str


class OriginGroup(Struct, frozen=True, array_like=True):
    """The streams of a row that began at one version of a service.

    :param request_hashes: the hashes of their request IDs, of ``HASH_BYTES`` bytes each.
    """

    service: str
    software_version: str
    request_hashes: bytes


class OriginTable:
    """Origins by the hash of the request ID that brought the first event."""

    def __init__(self) -> None:
        self._origins: dict[int, StreamOrigin] = {}
        self._expires_at_ms: dict[int, float] = {}

    def record(self, request_hash: int, origin: StreamOrigin, expires_at_ms: float) -> None:
        """Record the origin of a stream; the oldest one is dropped when there are too many."""
        self._origins.pop(request_hash, None)
        self._origins[request_hash] = origin
        self._expires_at_ms[request_hash] = expires_at_ms
        if len(self._origins) > MAX_ORIGINS:
            self._drop(next(iter(self._origins)))

    def find(self, request_hash: int) -> StreamOrigin | None:
        """Return the origin of a stream; None when it is not known."""
        return self._origins.get(request_hash)

    def expire(self, now_ms: float) -> None:
        """Drop the origins of streams that can no longer be resumed."""
        for request_hash in [h for h, at_ms in self._expires_at_ms.items() if at_ms <= now_ms]:
            self._drop(request_hash)

    def _drop(self, request_hash: int) -> None:
        del self._origins[request_hash]
        del self._expires_at_ms[request_hash]

    def newest(self, services: Iterable[str]) -> dict[int, StreamOrigin]:
        """Return the newest origins of the given services, as many as fit in a row."""
        wanted = frozenset(services)
        chosen = [item for item in self._origins.items() if item[1].service in wanted]
        return dict(chosen[-MAX_ROW_ORIGINS:])


def hash_request_id(request_id: str) -> int:
    """Return the hash by which a request ID is stored."""
    return xxhash.xxh64_intdigest(request_id.encode())


def group_origins(origins: dict[int, StreamOrigin]) -> tuple[OriginGroup, ...]:
    """Return origins by the version of a service."""
    grouped: dict[StreamOrigin, bytearray] = defaultdict(bytearray)
    for request_hash, origin in origins.items():
        grouped[origin] += request_hash.to_bytes(HASH_BYTES, "big")
    return tuple(
        OriginGroup(origin.service, origin.software_version, bytes(hashes))
        for origin, hashes in grouped.items()
    )


def read_groups(groups: Iterable[OriginGroup]) -> dict[int, StreamOrigin]:
    """Return the origins in groups by the hashes of their request IDs."""
    return {
        request_hash: StreamOrigin(group.service, group.software_version)
        for group in groups
        for request_hash in read_hashes(group.request_hashes)
    }


def read_hashes(packed: bytes) -> list[int]:
    """Return hashes of request IDs that were packed one after the other."""
    starts = range(0, len(packed), HASH_BYTES)
    return [int.from_bytes(packed[start : start + HASH_BYTES], "big") for start in starts]


def encode_origins(origins: dict[int, StreamOrigin]) -> bytes:
    """Encode the row of a daemon."""
    return msgspec.msgpack.encode(group_origins(origins))


def decode_origins(value: bytes) -> dict[int, StreamOrigin]:
    """Decode the row of a daemon.

    :raises MalformedOrigins: the row does not hold origins.
    """
    try:
        return read_groups(decode_msgpack(value, tuple[OriginGroup, ...]))
    except DecodeError as error:
        raise MalformedOrigins(str(error)) from error
