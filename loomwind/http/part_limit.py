"""Limits the number of parts in which a message comes, whose parsing costs more than their bytes.

Parts are the chunks of a body, or the events of a stream. Does no I/O.
"""

from loomwind.errors import LoomwindError

# What may come at once: parsing so many chunks takes 40 ms.
FREE_PARTS = 4096
# A server-sent event with an id and some data is longer.
MIN_MEAN_PART_BYTES = 16
# For long streams with smaller parts, such as comments that keep them open: a thousandth of a core.
PARTS_PER_SECOND = 100.0


class TooManyParts(LoomwindError):
    """A message comes in too many small parts."""


class PartLimit:
    """Counts the parts of one message."""

    def __init__(self, started_at: float) -> None:
        """Begin to count.

        :param started_at: the present time in seconds.
        """
        self._started_at = started_at
        self._parts = 0
        self._bytes = 0

    def record(self, parts: int, size_bytes: int, now: float) -> None:
        """Count parts.

        :param size_bytes: the size of these parts together.
        :raises TooManyParts: their number exceeds what their bytes, and the time, allow.
        """
        self._parts += parts
        self._bytes += size_bytes
        allowed = FREE_PARTS + self._bytes / MIN_MEAN_PART_BYTES
        allowed += PARTS_PER_SECOND * (now - self._started_at)
        if self._parts > allowed:
            raise TooManyParts(f"{self._parts} parts with {self._bytes} bytes in all")
