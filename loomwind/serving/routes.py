"""Matches requests to routes and distributes them over the services of split routes. No I/O."""

from loomwind.serving.views import Configuration, RouteRule


class WeightedRoundRobin:
    """Smooth weighted round robin over the services of a route.

    Each service gets its share of any sequence of consecutive requests, also of a short one.
    """

    def __init__(self) -> None:
        self._current_weights: dict[str, float] = {}

    def next(self, route: RouteRule) -> str:
        """Return the service for the next request."""
        if len(route.parts) == 1:
            return route.parts[0].service
        total = sum(part.weight for part in route.parts)
        weights = {
            part.service: self._current_weights.get(part.service, 0.0) for part in route.parts
        }
        for part in route.parts:
            weights[part.service] += part.weight
        chosen = max(weights, key=lambda service: weights[service])
        weights[chosen] -= total
        self._current_weights = weights
        return chosen


class RouteTable:
    """Routes of a configuration by host, longest prefix first."""

    def __init__(self, configuration: Configuration, previous: "RouteTable | None" = None) -> None:
        """Index a configuration.

        :param previous: the previous table, whose round robin state is kept.
        """
        self.configuration = configuration
        self._by_host: dict[str, list[RouteRule]] = {}
        for route in sorted(configuration.routes, key=lambda r: len(r.prefix), reverse=True):
            self._by_host.setdefault(route.host.lower(), []).append(route)
        self._round_robins: dict[str, WeightedRoundRobin] = (
            previous._round_robins if previous else {}
        )

    def match(self, host: str, path: str) -> RouteRule | None:
        """Return the route with the longest matching prefix, or None.

        :param host: the host of the request; a port is ignored.
        :param path: the path without the query string.
        """
        name = host.partition(":")[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def next_service(self, route: RouteRule) -> str:
        """Return the service for the next request of a route."""
        return self._round_robins.setdefault(route.name, WeightedRoundRobin()).next(route)
