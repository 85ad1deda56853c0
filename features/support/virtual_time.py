"""An event loop whose time jumps to the next timer, so that seconds of waiting take no time."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

Result = TypeVar("Result")


class _VirtualTimeSelector(selectors.SelectSelector):
    """Moves the time on in place of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_seconds = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("all tasks wait, and no timer is set")
        self.now_seconds += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """A loop for tasks that wait for each other and for timers, but for nothing outside."""

    def __init__(self) -> None:
        self._jumping = _VirtualTimeSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._jumping.now_seconds


def run_in_virtual_time(work: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine to its end and return what it returns."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(work)
