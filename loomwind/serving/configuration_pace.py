"""How closely a daemon follows the configuration in the store.

A few daemons, the mirrors, ask often, so that a store that has lost a question is asked again in
time. The others hear of versions from peers (:mod:`loomwind.serving.configuration_gossip`): they
leave a question with the store for long, and pause for longer in a large fleet, since each version
answers the question of each daemon.
"""

from collections.abc import Callable

from loomwind.clock import MS_PER_SECOND
from loomwind.serving.follower import FEED_WAIT_SECONDS
from loomwind.serving.peers import PeerTable
from loomwind.settings import BoundSettings

# Parts of the time in which a configuration must be in force; the rest is for calls that fail.
REST_PART = 0.25
LONGEST_REST_PART = 0.5
MIRROR_WAIT_PART = 0.4


def rest_seconds(bounds: BoundSettings) -> float:
    """Return the pause of a mirror between two looks; versions of it come together.

    An operator may write several a second.
    """
    return REST_PART * bounds.apply_ms / MS_PER_SECOND


class ConfigurationPace:
    """One daemon's pace.

    :param bounds: returns the bounds in force.
    """

    def __init__(self, peers: PeerTable, bounds: Callable[[], BoundSettings]) -> None:
        self._peers = peers
        self._bounds = bounds

    def rest_seconds(self) -> float:
        """Return the pause between two looks."""
        rest = rest_seconds(self._bounds())
        if self._peers.is_mirror():
            return rest
        longest = LONGEST_REST_PART * self._bounds().apply_ms / MS_PER_SECOND
        return min(longest, self._peers.scale_interval(rest))

    def wait_seconds(self) -> float:
        """Return how long the store may hold its answer until there is a new version."""
        if not self._peers.is_mirror():
            return FEED_WAIT_SECONDS
        return MIRROR_WAIT_PART * self._bounds().apply_ms / MS_PER_SECOND
