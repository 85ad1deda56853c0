"""Monotonic clock in milliseconds, and a manual one for tests."""

import asyncio

MS_PER_SECOND = 1000.0


class Clock:
    """Monotonic time of the running event loop; unrelated to the time of day."""

    def now_ms(self) -> float:
        """Return the time in milliseconds since an arbitrary start."""
        return asyncio.get_running_loop().time() * MS_PER_SECOND

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleep for the given time."""
        await asyncio.sleep(duration_ms / MS_PER_SECOND)


class ManualClock(Clock):
    """A clock for tests that only moves when it is advanced."""

    def __init__(self, start_ms: float = 0.0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> float:
        """Return the time that the test has advanced to."""
        return self._now_ms

    def advance(self, duration_ms: float) -> None:
        """Advance the time."""
        self._now_ms += duration_ms

    async def sleep_ms(self, duration_ms: float) -> None:
        """Advance the time and let other tasks run."""
        self.advance(duration_ms)
        await asyncio.sleep(0)
