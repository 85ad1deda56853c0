"""Bounds the memory of all responses that are read whole before they are passed on. Does no I/O."""

from collections.abc import Callable

from loomwind import constants
from loomwind.errors import LoomwindError

# A body of a declared length up to this, the limit of requests, has an end: it is not limited.
MAX_UNLIMITED_BYTES = constants.MAX_BODY_BYTES
# A daemon with 50 servers that all send a body without end has to stay below 64 MiB. It takes
# 36 MiB itself and 256 KiB for each last read, which leaves 15 MiB for all bodies and the spare
# capacity of their buffers (an eighth).
MAX_TOTAL_BYTES = 12 * constants.MEBIBYTE


class BodyTooLarge(LoomwindError):
    """A body is the largest of those that together exceed the limit."""


class ResponseBuffer:
    """The part of one body that has been read; a context manager that releases its memory."""

    def __init__(self, buffers: "ResponseBuffers", on_discarded: Callable[[], None]) -> None:
        """See :meth:`ResponseBuffers.open`."""
        self._buffers = buffers
        self._on_discarded = on_discarded
        self._body = bytearray()
        self.is_discarded = False

    def __enter__(self) -> "ResponseBuffer":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._buffers.remove(self)
        self._body.clear()

    def __len__(self) -> int:
        return len(self._body)

    def append(self, chunk: bytes) -> bool:
        """Add data; returns whether there was any.

        :raises BodyTooLarge: this body has been discarded.
        """
        self.raise_if_discarded()
        self._body += chunk
        self._buffers.record_growth(self, len(chunk))
        self.raise_if_discarded()
        return bool(chunk)

    def body(self) -> bytes:
        """Return all data that was added.

        :raises BodyTooLarge: this body has been discarded.
        """
        self.raise_if_discarded()
        return bytes(self._body)

    def raise_if_discarded(self) -> None:
        """Stop reading a body that has been discarded.

        :raises BodyTooLarge: it has been discarded.
        """
        if self.is_discarded:
            raise BodyTooLarge("the largest of bodies that exceed the memory for them")

    def discard(self) -> None:
        """Release the memory, and stop reading."""
        self.is_discarded = True
        self._body.clear()
        self._on_discarded()


class ResponseBuffers:
    """All bodies that are being read. When they exceed the limit, the largest is discarded.

    A body without end becomes the largest sooner or later, so smaller ones are not affected.
    """

    def __init__(self) -> None:
        self._limited: set[ResponseBuffer] = set()
        self._total_bytes = 0

    @property
    def total_bytes(self) -> int:
        """Return the number of bytes in all limited buffers."""
        return self._total_bytes

    def open(self, declared_bytes: int | None, on_discarded: Callable[[], None]) -> ResponseBuffer:
        """Return a buffer for a body.

        :param declared_bytes: its length according to its framing, which cannot be exceeded; None
            if it has no declared length.
        :param on_discarded: called when the body is discarded; has to make its reader stop.
        """
        buffer = ResponseBuffer(self, on_discarded)
        if declared_bytes is None or declared_bytes > MAX_UNLIMITED_BYTES:
            self._limited.add(buffer)
        return buffer

    def record_growth(self, buffer: ResponseBuffer, count_bytes: int) -> None:
        """Account for data added to a buffer; discard the largest above the limit."""
        if buffer not in self._limited:
            return
        self._total_bytes += count_bytes
        while self._total_bytes > MAX_TOTAL_BYTES:
            self._discard(max(self._limited, key=len))

    def _discard(self, buffer: ResponseBuffer) -> None:
        self.remove(buffer)
        buffer.discard()

    def remove(self, buffer: ResponseBuffer) -> None:
        """Stop accounting for a buffer; does nothing for one that is not accounted for."""
        if buffer in self._limited:
            self._limited.discard(buffer)
            self._total_bytes -= len(buffer)
