"""Cell membership: failure detection, member gossip, and probes of back ends."""
