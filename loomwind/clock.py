"""Steady time in milliseconds, by one small type that tests can move by hand."""

import asyncio

MS_PER_SECOND = 1000.0


class Clock:
    """The running loop's steady time. It never goes back and has no relation to the time of day."""

    def now_ms(self) -> float:
        """Return the time, in milliseconds from an arbitrary start."""
        return asyncio.get_running_loop().time() * MS_PER_SECOND

    async def sleep_ms(self, duration_ms: float) -> None:
        """Wait for so many milliseconds."""
        await asyncio.sleep(duration_ms / MS_PER_SECOND)


class ManualClock(Clock):
    """A clock for tests: it stands still until it is moved."""

    def __init__(self, start_ms: float = 0.0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> float:
        """Return the time that the test has set."""
        return self._now_ms

    def advance(self, duration_ms: float) -> None:
        """Move the time on."""
        self._now_ms += duration_ms

    async def sleep_ms(self, duration_ms: float) -> None:
        """Move the time on and let other tasks run."""
        self.advance(duration_ms)
        await asyncio.sleep(0)
