"""Makes the leader step down when peers reach model servers that it cannot reach.

If no daemon reaches the servers, they are down and a change of leader would not help.
"""

from collections.abc import Awaitable, Callable

from loomwind.clock import Clock
from loomwind.leadership.election import Election
from loomwind.logs import log_state
from loomwind.serving.peer_exchange import PeerExchange
from loomwind.serving.pool import ServerPool
from loomwind.serving.replicated_state import ReplicatedState

CHECK_INTERVAL_MS = 250.0
# Probes run every 0.25 s; after this time too many have failed for it to be chance.
STEP_DOWN_AFTER_MS = 1000.0
# Extra wait before a daemon with unreachable servers takes a free lease, so that others go first.
UNREACHABLE_DELAY_SECONDS = 3.0


class LeaderStepDown:
    """Steps down, or delays taking the lease, depending on the connectivity to model servers."""

    def __init__(
        self,
        election: Election,
        pool: ServerPool,
        replicated_state: ReplicatedState,
        exchange: PeerExchange,
        finish_orders: Callable[[], Awaitable[None]],
    ) -> None:
        """Initialize the check.

        :param finish_orders: waits until no outstanding order can arrive any more.
        """
        self._election = election
        self._pool = pool
        self._replicated_state = replicated_state
        self._exchange = exchange
        self._finish_orders = finish_orders
        self._clock = Clock()

    async def run(self) -> None:
        """Check the connectivity periodically; never returns."""
        while True:
            unreachable = self._unreachable_services()
            self._election.unreachable_wait_seconds = (
                UNREACHABLE_DELAY_SECONDS if unreachable else 0.0
            )
            served_by_peers = [
                each for each in unreachable if self._exchange.is_reachable_by_peers(each)
            ]
            if served_by_peers and self._election.is_leader():
                reason = "model servers are not reached, and are by peers"
                log_state("election", "steps-down", reason=reason, cut=served_by_peers)
                await self._step_down()
            await self._clock.sleep_ms(CHECK_INTERVAL_MS)

    def _unreachable_services(self) -> list[str]:
        """Return the model services whose servers have been unreachable for some time."""
        configuration = self._replicated_state.configuration
        if configuration is None:
            return []
        failing_before_ms = self._clock.now_ms() - STEP_DOWN_AFTER_MS
        model_services = [each.name for each in configuration.services if each.engine is not None]
        connectivities = {name: self._pool.connectivity_of(name) for name in model_services}
        return [
            name
            for name, connectivity in connectivities.items()
            if connectivity.is_unreachable and connectivity.failing_since_ms < failing_before_ms
        ]

    async def _step_down(self) -> None:
        with self._election.suspended():
            await self._finish_orders()
            await self._election.hand_over()
