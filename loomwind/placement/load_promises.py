"""The loads that callers were promised, and by when they have to start. No I/O.

Callers learn from the leader's estimate whether they can be served. Once a load was scheduled to
start in time for its callers, it keeps its place as long as they can be served: callers of other
models that come later get what is left, and are refused at once where nothing is.
"""

from collections.abc import Iterable, Mapping

from loomwind.placement.load_schedule import RequestedLoad


class LoadPromises:
    """The promised loads of one service; times are of the event loop, in seconds."""

    def __init__(self) -> None:
        self._start_by: dict[str, float] = {}

    def start_in(self, now: float) -> Mapping[str, float]:
        """Return the time until each promised load has to start."""
        return {name: start_by - now for name, start_by in self._start_by.items()}

    def update(self, scheduled: Iterable[RequestedLoad], now: float) -> list[str]:
        """Promise the loads that are scheduled to start in time; return those that did not start.

        A promise that cannot be kept now is kept if it can later. A load that nobody asks for any
        more, or that has started, is not scheduled again.
        """
        broken = []
        start_by = {}
        for load in scheduled:
            known = self._start_by.get(load.name)
            if load.has_callers and load.in_time:
                start_by[load.name] = now + load.latest_start_in
            elif load.has_callers and known is not None and known >= now:
                start_by[load.name] = known
            elif load.has_callers and known is not None:
                broken.append(load.name)
        self._start_by = start_by
        return broken
