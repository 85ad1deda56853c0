"""The places of a stand-in server, and the requests that it rejects for want of one."""

import time

WINDOW_SECONDS = 1.0


class Places:
    """Counts the requests that run, and those that were rejected.

    :ivar rejection_times_s: Unix times of all rejections.
    """

    def __init__(self) -> None:
        self._taken = 0
        self._counted_from_s = 0.0
        self.rejection_times_s: list[float] = []

    def try_take(self, count: int) -> bool:
        """Take a place, or record a rejection and return False.

        :param count: the number of places; 0 for no limit.
        """
        if count and self._taken >= count:
            self.rejection_times_s.append(time.time())
            return False
        self._taken += 1
        return True

    def give_back(self) -> None:
        """Give a place back."""
        self._taken -= 1

    def exceeds(self, max_rejections: int) -> bool:
        """Whether the last second had more than this number of rejections; 0 for no limit."""
        since = max(time.time() - WINDOW_SECONDS, self._counted_from_s)
        recent = sum(at_s >= since for at_s in self.rejection_times_s)
        return 0 < max_rejections < recent

    def forget_rejections(self) -> None:
        """Count anew, as a process that has started again does."""
        self._counted_from_s = time.time()
