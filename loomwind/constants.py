"""Default limits, timeouts and intervals. Settings override those that operators may tune."""

from typing import Final

KIBIBYTE: Final = 1024
MEBIBYTE: Final = 1024 * KIBIBYTE

# Limits of HTTP connections.
MAX_HEAD_BYTES: Final = 16 * KIBIBYTE
MAX_BODY_BYTES: Final = MEBIBYTE
MAX_HEADER_COUNT: Final = 64
HEAD_TIMEOUT_SECONDS: Final = 5.0
BODY_TIMEOUT_SECONDS: Final = 10.0
IDLE_TIMEOUT_SECONDS: Final = 60.0
# What is read from a socket at once.
READ_BYTES: Final = 64 * KIBIBYTE
READ_BUFFER_HIGH_WATER_BYTES: Final = 64 * KIBIBYTE
# Events of the HTTP parser that are processed before other connections get their turn: parsing
# takes less than a millisecond.
PARSER_EVENTS_PER_TURN: Final = 64
# A daemon with 50 servers that all send an event without end has to stay below 64 MiB. It takes
# 36 MiB itself and 256 KiB for each last read, which leaves 310 KiB for each event and the spare
# capacity of its buffer (an eighth).
MAX_EVENT_BYTES: Final = 256 * KIBIBYTE

# Request handling.
DEFAULT_REQUEST_TIMEOUT_SECONDS: Final = 30.0
MAX_REQUEST_TIMEOUT_SECONDS: Final = 3600.0
DEADLINE_MARGIN_SECONDS: Final = 0.05
STREAM_STALL_TIMEOUT_SECONDS: Final = 10.0
MAX_ATTEMPTS: Final = 4
RETRY_BUDGET_RATIO: Final = 0.2
RETRY_BUDGET_CAPACITY: Final = 10.0
CIRCUIT_FAILURE_THRESHOLD: Final = 3
CIRCUIT_OPEN_SECONDS: Final = 2.0
IDEMPOTENCY_RETENTION_SECONDS: Final = 900.0
CLAIM_TIMEOUT_SECONDS: Final = 1.0
MIN_RETRY_AFTER_SECONDS: Final = 1
FAIR_QUEUE_QUANTUM: Final = 1.0

# Membership.
HEARTBEAT_INTERVAL_SECONDS: Final = 0.5
SUSPECT_AFTER_SECONDS: Final = 1.5
GONE_AFTER_SECONDS: Final = 4.0
MEMBER_GOSSIP_INTERVAL_SECONDS: Final = 2.0
MACHINE_LIST_INTERVAL_SECONDS: Final = 1.0
ENGINE_PROBE_INTERVAL_SECONDS: Final = 2.5
ENGINE_PROBE_TIMEOUT_SECONDS: Final = 1.0
WATCHERS_PER_ENGINE: Final = 2
ENGINE_FAILURE_THRESHOLD: Final = 2

# Control plane: voters, register and controller.
MAX_VOTERS: Final = 3
CAMPAIGN_TIMEOUT_SECONDS: Final = 0.6
CAMPAIGN_STAGGER_SECONDS: Final = 0.25
REGISTER_RETRY_INTERVAL_SECONDS: Final = 0.3
REGISTER_WRITE_TIMEOUT_SECONDS: Final = 2.0
CONTROLLER_TICK_SECONDS: Final = 1.0
SLOT_ALLOCATION_INTERVAL_SECONDS: Final = 0.5
CATALOG_POLL_INTERVAL_SECONDS: Final = 3.0
DEMAND_INTERVAL_SECONDS: Final = 0.05
DEMAND_KEEPALIVE_SECONDS: Final = 1.0
ORDER_TIMEOUT_SECONDS: Final = 30.0
FENCE_TIMEOUT_SECONDS: Final = 1.0
NEW_GENERATION_AFTER_SECONDS: Final = 3.0

# Peer transport.
PEER_FRAME_MAX_BYTES: Final = 8 * MEBIBYTE
PEER_CONNECT_TIMEOUT_SECONDS: Final = 1.0
PEER_REQUEST_TIMEOUT_SECONDS: Final = 1.0
PEER_BACKLOG_MAX_BYTES: Final = 4 * MEBIBYTE

# Serving with a shared store.
STORE_TIMEOUT_SECONDS: Final = 0.8
LEASE_RENEWAL_INTERVAL_SECONDS: Final = 0.45
LEASE_MARGIN_SECONDS: Final = 0.3
LEADER_CHECK_INTERVAL_SECONDS: Final = 0.4
POOL_DEMAND_INTERVAL_SECONDS: Final = 0.25
POOL_DIGEST_INTERVAL_SECONDS: Final = 0.5
# Each uses two file descriptors: in total an eighth of the 4,100 that the deployment requirements
# allow a process.
MAX_RELAYED_REQUESTS: Final = 256
# Above this number of daemons, intervals between polls and reports grow with the fleet.
SMALL_FLEET_DAEMONS: Final = 25
# Below 2 s, the shortest time that the deployment requirements allow for applying a configuration.
TCP_USER_TIMEOUT_MS: Final = 1500.0

# Operator interface.
DEFAULT_OPERATOR_ADDRESS: Final = "127.0.0.1:7071"

# Platform calls and shutdown.
PLATFORM_TIMEOUT_SECONDS: Final = 1.0
SHUTDOWN_GRACE_SECONDS: Final = 30.0
# Requests are still accepted during this delay, while peers and load balancers learn of the stop.
SHUTDOWN_DELAY_SECONDS: Final = 1.0
