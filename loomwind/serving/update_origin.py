"""Where updates of the configuration and the server list come from, for the logs."""

import enum

from attrs import frozen


class UpdateSource(enum.Enum):
    """How an update of the server list or the configuration was received."""

    FEED = "feed"
    TABLE = "table"
    PEER = "peer"
    GOSSIP = "gossip"


@frozen
class UpdateOrigin:
    """Where an update of the server list or the configuration comes from.

    :param version: the store version of the updated list, or of the write of the configuration; 0
        when a peer did not send one.
    :param sender: the peer's ``host:port``; empty when the update came from the store.
    """

    source: UpdateSource
    version: int
    sender: str = ""
