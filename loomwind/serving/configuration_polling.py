"""How often a daemon polls the store for the configuration.

A few daemons, the mirrors, use short long-polls, so that a request that the store has lost is
repeated in time. The others learn of versions from peers
(:mod:`loomwind.serving.configuration_gossip`): they use long long-polls, and pause for longer in a
large fleet, since each new version makes the store respond to every daemon.
"""

from collections.abc import Callable

from loomwind.clock import MS_PER_SECOND
from loomwind.serving.follower import LONG_POLL_SECONDS
from loomwind.serving.peers import PeerTable
from loomwind.settings import BoundSettings

# Fractions of the time in which a configuration must be active; the rest is for failed calls.
POLL_INTERVAL_FRACTION = 0.25
MAX_POLL_INTERVAL_FRACTION = 0.5
MIRROR_LONG_POLL_FRACTION = 0.4


def mirror_poll_interval_seconds(bounds: BoundSettings) -> float:
    """Return a mirror's pause between two polls.

    Versions written within it arrive together; an operator may write several a second.
    """
    return POLL_INTERVAL_FRACTION * bounds.apply_ms / MS_PER_SECOND


class ConfigurationPolling:
    """Polling intervals of one daemon.

    :param bounds: returns the current bounds.
    """

    def __init__(self, peers: PeerTable, bounds: Callable[[], BoundSettings]) -> None:
        self._peers = peers
        self._bounds = bounds

    def poll_interval_seconds(self) -> float:
        """Return the pause between two polls."""
        interval = mirror_poll_interval_seconds(self._bounds())
        if self._peers.is_mirror():
            return interval
        max_interval = MAX_POLL_INTERVAL_FRACTION * self._bounds().apply_ms / MS_PER_SECOND
        return min(max_interval, self._peers.scale_interval(interval))

    def long_poll_seconds(self) -> float:
        """Return how long the store may hold its response until there is a new version."""
        if not self._peers.is_mirror():
            return LONG_POLL_SECONDS
        return MIRROR_LONG_POLL_FRACTION * self._bounds().apply_ms / MS_PER_SECOND
