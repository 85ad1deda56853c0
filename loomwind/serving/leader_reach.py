"""Hands the lease over when the leader does not reach model servers that peers reach.

Where no daemon reaches them the servers are down, and another leader would do no better.
"""

from collections.abc import Awaitable, Callable

from loomwind.clock import Clock
from loomwind.leadership.election import Election
from loomwind.logs import log_state
from loomwind.serving.peer_exchange import PeerExchange
from loomwind.serving.pool import ServerPool
from loomwind.serving.replicated_state import ReplicatedState

LOOK_MS = 250.0
# A probe comes each quarter of a second: so many must have failed that no chance explains it.
HAND_OVER_AFTER_MS = 1000.0
# A daemon that is cut takes a free lease only when no other has by then.
CUT_TAKER_SECONDS = 3.0


class LeaderReach:
    """Looks after the lease by what is known of the way to the servers."""

    def __init__(
        self,
        election: Election,
        pool: ServerPool,
        replicated_state: ReplicatedState,
        exchange: PeerExchange,
        finish_orders: Callable[[], Awaitable[None]],
    ) -> None:
        """Make one.

        :param finish_orders: waits until no order can arrive any more.
        """
        self._election = election
        self._pool = pool
        self._replicated_state = replicated_state
        self._exchange = exchange
        self._finish_orders = finish_orders
        self._clock = Clock()

    async def run(self) -> None:
        """Look for ever."""
        while True:
            cut = self._cut_services()
            self._election.cut_seconds = CUT_TAKER_SECONDS if cut else 0.0
            elsewhere = [each for each in cut if self._exchange.is_reached_by_peers(each)]
            if elsewhere and self._election.leads():
                reason = "model servers are not reached, and are by peers"
                log_state("election", "steps-down", reason=reason, cut=elsewhere)
                await self._step_down()
            await self._clock.sleep_ms(LOOK_MS)

    def _cut_services(self) -> list[str]:
        """Return the services with models whose servers were not reached for a while."""
        configuration = self._replicated_state.configuration
        if configuration is None:
            return []
        long_ago_ms = self._clock.now_ms() - HAND_OVER_AFTER_MS
        with_models = [each.name for each in configuration.services if each.engine is not None]
        reaches = {name: self._pool.connectivity_of(name) for name in with_models}
        return [
            name
            for name, reach in reaches.items()
            if reach.is_cut and reach.failing_since_ms < long_ago_ms
        ]

    async def _step_down(self) -> None:
        with self._election.paused():
            await self._finish_orders()
            await self._election.hand_over()
