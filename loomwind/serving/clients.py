"""The HTTP clients of a pool daemon."""

from collections.abc import Callable

from attrs import frozen

from loomwind.http.client import HttpClient


@frozen
class PoolClients:
    """Clients of which none reuses the connections of another.

    A server may repeat a response later, where the next one on that connection is due.

    :ivar requests: sends the callers' requests to servers.
    :ivar reports: reads the reports of servers.
    :ivar unpooled: keeps no idle connections, so that each exchange has a connection of its own.
    :ivar peers: relays requests to peers.
    :ivar store: reads and writes rows of the store.
    """

    requests: HttpClient
    reports: HttpClient
    unpooled: HttpClient
    peers: HttpClient
    store: HttpClient

    def watch_idle_server_connections(self, on_error: Callable[[str], None]) -> None:
        """Report broken idle connections to servers; see :class:`HttpClient`."""
        self.requests.on_idle_connection_error = on_error
        self.reports.on_idle_connection_error = on_error

    def close(self) -> None:
        """Close all idle connections."""
        for client in (self.requests, self.reports, self.unpooled, self.peers, self.store):
            client.close()
