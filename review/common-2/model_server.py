"""The project's stand-in of a model server, but for a restart, which leaves nothing in its memory.

A server that falls while it answers ends all its connections, listens no more, and is back after
some seconds as a new instance that holds no models, as the pages say. ``GET /_state`` also tells
the requests that arrived and those that were rejected.
"""

import time

import fire

from loomwind.http.messages import HttpRequest
from loomwind.http.server import Exchange
from standins.pool import server as stock
from standins.pool.places import Places

Arrival = tuple[float, str, str]


class RecordingPlaces(Places):
    """Places that record which requests got none."""

    def __init__(self) -> None:
        super().__init__()
        self.current: Arrival = (0.0, "", "")
        self.rejected: list[Arrival] = []

    def try_take(self, count: int) -> bool:
        """Take a place, or record the request that is rejected."""
        has_place = super().try_take(count)
        if not has_place:
            self.rejected.append(self.current)
        return has_place


class EmptyRestartServer(stock.PoolServer):
    """A model server that comes back empty."""

    async def _run_request(self, exchange: Exchange, request: HttpRequest) -> None:
        arrival = (
            time.time(),
            request.header("x-request-id") or "",
            request.header("x-prompt-prefix") or "",
        )
        self._seen().append(arrival)
        if not isinstance(self.places, RecordingPlaces):
            self.places = RecordingPlaces()
        # Nothing else runs before the place is asked for.
        self.places.current = arrival
        await super()._run_request(exchange, request)

    def _seen(self) -> list[Arrival]:
        seen: list[Arrival] = self.__dict__.setdefault("seen", [])
        return seen

    def _state(self) -> dict[str, object]:
        rejected = self.places.rejected if isinstance(self.places, RecordingPlaces) else []
        return {**super()._state(), "seen": self._seen(), "rejected": rejected}

    async def _restart(self, previous_instance: str, port: int) -> None:
        if self.holdings is not None:
            self.holdings.held = {}
            self.holdings.operation = None
            self.holdings.revision = 0
            self.holdings.fence = 0
        await super()._restart(previous_instance, port)


def main(**options: object) -> None:
    """Run the stand-in; its options are those of the stock one."""
    stock.PoolServer = EmptyRestartServer  # type: ignore[misc]
    stock.main(**options)  # type: ignore[arg-type]


if __name__ == "__main__":
    fire.Fire(main)
