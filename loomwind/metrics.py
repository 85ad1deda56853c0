"""Prometheus metrics of a daemon."""

from functools import partial

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

REQUEST_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 1.5, 3.0, 6.0, 12.0, 30.0)
LIST_AGE_BUCKETS_S = (0.25, 0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 4.0, 8.0)
CALL_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0)
MAX_SERVER_LABELS = 64
OTHER_SERVERS_LABEL = "other"


class ServerLabels:
    """Label values for servers: bounds their number by mapping later names to one shared value."""

    def __init__(self, max_names: int = MAX_SERVER_LABELS) -> None:
        self._max_names = max_names
        self._names: set[str] = set()

    def label_for(self, name: str) -> str:
        """Return the label value for a server."""
        if name not in self._names and len(self._names) >= self._max_names:
            return OTHER_SERVERS_LABEL
        self._names.add(name)
        return name


class Metrics:
    """All metrics of one daemon, in its own registry so that daemons can share a process."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.server_labels = ServerLabels()
        self._counter = partial(Counter, registry=self.registry)
        self._gauge = partial(Gauge, registry=self.registry)
        self._histogram = partial(Histogram, registry=self.registry)
        self._create_request_metrics()
        self._create_fleet_metrics()
        self._create_placement_metrics()

    def _create_request_metrics(self) -> None:
        """Create the metrics of requests, streams and the log."""
        self.accepted = self._counter(
            "loomwind_requests_accepted", "Requests read whole from a caller"
        )
        self.answered = self._counter(
            "loomwind_requests_answered", "Requests answered by a back end"
        )
        self.refused = self._counter(
            "loomwind_requests_refused",
            "Requests refused, by problem type and outcome",
            ["problem", "outcome"],
        )
        self.cancelled = self._counter(
            "loomwind_requests_cancelled", "Requests whose caller went away"
        )
        self.unanswered = self._counter(
            "loomwind_requests_unanswered",
            "Requests that were served no response, by whether the caller had left",
            ["caller"],
        )
        self.connections_closed = self._counter(
            "loomwind_connections_closed",
            "Connections of callers that were closed, by the side that ended them and the reason",
            ["by", "reason"],
        )
        self.waiting = self._gauge(
            "loomwind_requests_waiting", "Requests in the daemon and not finished"
        )
        self.retries = self._counter("loomwind_retries", "Attempts after a not-run answer")
        self.relayed_bytes = self._counter(
            "loomwind_relayed_bytes", "Body bytes relayed to callers"
        )
        self.request_seconds = self._histogram(
            "loomwind_request_seconds",
            "Time from a request's arrival to its end, by kind of route and end",
            ["kind", "end"],
            buckets=REQUEST_BUCKETS_S,
        )
        self.first_event_seconds = self._histogram(
            "loomwind_first_event_seconds",
            "Time from a stream's arrival to its first event",
            buckets=REQUEST_BUCKETS_S,
        )
        self.streams_ended = self._counter(
            "loomwind_streams_ended",
            "Streams that servers ended, by what marked the end of the body",
            ["framing"],
        )
        self.surplus_responses = self._counter(
            "loomwind_surplus_responses",
            "Responses of servers that were skipped, since they belong to another request",
            ["status"],
        )
        self.unreadable_requests = self._counter(
            "loomwind_unreadable_requests",
            "Requests that were refused before they were read whole, by reason",
            ["reason"],
        )
        self.resumed_streams = self._counter(
            "loomwind_resumed_streams",
            "Sends that continue a stream, by whether its caller or this daemon resumed it",
            ["by"],
        )
        self.model_wait_seconds = self._histogram(
            "loomwind_model_wait_seconds",
            "Time that a request waited for its model or adapter to be loaded",
            buckets=REQUEST_BUCKETS_S,
        )
        self.waiting_for_model = self._gauge(
            "loomwind_waiting_for_model", "Requests that wait for a model or adapter now"
        )
        self.sends = self._counter(
            "loomwind_sends", "Sends of requests to servers, by server and end", ["server", "end"]
        )
        self.permits = self._counter(
            "loomwind_permits",
            "Permits for requests to servers that must not reject many, by outcome",
            ["outcome"],
        )
        self.waiting_for_place = self._gauge(
            "loomwind_waiting_for_place", "Requests that wait for a place at a server now"
        )
        self.server_rejections = self._counter(
            "loomwind_server_rejections",
            "Requests that servers rejected unstarted, by the likely cause",
            ["cause"],
        )
        self.peer_relays = self._counter(
            "loomwind_peer_relays",
            "Requests that a peer serves for this daemon (sent) or this one for a peer (taken)",
            ["side", "end"],
        )
        self.repeats = self._counter(
            "loomwind_repeats", "Repeated sends that the retry budget allowed or not", ["verdict"]
        )
        self.log_lines_dropped = self._gauge(
            "loomwind_log_lines_dropped", "Log lines that found the buffer full"
        )

    def _create_fleet_metrics(self) -> None:
        """Create the metrics of peers, leadership and configuration."""
        self.peer_messages = self._counter(
            "loomwind_peer_messages", "Messages sent to peers, by type", ["type"]
        )
        self.peer_bytes = self._counter("loomwind_peer_bytes", "Bytes sent to peers")
        self.elections = self._counter(
            "loomwind_controller_terms", "Times this daemon became controller"
        )
        self.leading = self._gauge(
            "loomwind_controller", "1 while this daemon is its cell's controller"
        )
        self.voter = self._gauge(
            "loomwind_voter", "1 while this daemon is one of its cell's voters"
        )
        self.generation = self._gauge("loomwind_generation", "Generation of the cell's register")
        self.catalog_version = self._gauge(
            "loomwind_catalog_version", "Version of the catalog in force here"
        )
        self.members = self._gauge("loomwind_members", "Members known, by state", ["state"])
        self.lease_fence = self._gauge(
            "loomwind_lease_fence", "Fence under which this daemon leads"
        )

    def _create_placement_metrics(self) -> None:
        """Create the metrics of servers, loads and the store."""
        self.orders = self._counter(
            "loomwind_orders", "Orders sent to engines, by result", ["result"]
        )
        self.servers = self._gauge("loomwind_servers", "Servers that the directory lists here")
        self.server_list_age_seconds = self._histogram(
            "loomwind_server_list_age_seconds",
            "Age of the list of servers when a server is chosen from it",
            buckets=LIST_AGE_BUCKETS_S,
        )
        self.servers_usable = self._gauge(
            "loomwind_servers_usable", "Servers that may get new work"
        )
        self.cut_from_servers = self._gauge(
            "loomwind_cut_from_servers",
            "1 while several servers, and none in between, accept no connection of this daemon",
        )
        self.store_calls = self._counter(
            "loomwind_store_calls",
            "Calls to the store, by call, table and result",
            ["call", "table", "result"],
        )
        self.store_seconds = self._histogram(
            "loomwind_store_seconds",
            "Time of calls to the store that do not wait for changes",
            ["call"],
            buckets=CALL_BUCKETS_S,
        )
        self.store_loads = self._counter(
            "loomwind_store_loads",
            "Loads that this daemon began from the weight store, by what they are for",
            ["purpose"],
        )
        self.load_promises_broken = self._counter(
            "loomwind_load_promises_broken",
            "Loads that callers were told to return for and that did not start in time",
        )
        self.models_unserved = self._gauge(
            "loomwind_models_unserved",
            "Models asked for more than once since any server last held them, as the leader knows",
        )
        self.replicas = self._gauge("loomwind_replicas", "Replicas in the routing table here")

    def expose(self) -> bytes:
        """Return all metrics in the Prometheus text exposition format."""
        return generate_latest(self.registry)
