"""Finds the route of a request and picks the service of a split. Pure but for the split's turn."""

from loomwind.serving.views import Configuration, RouteRule


class WeightedRoundRobin:
    """Smooth weighted round robin over the parts of one route.

    Each part gets its share of any run of requests, not only in the long run.
    """

    def __init__(self) -> None:
        self._current_weights: dict[str, float] = {}

    def next(self, route: RouteRule) -> str:
        """Return the service of the next request."""
        if len(route.parts) == 1:
            return route.parts[0].service
        total = sum(part.weight for part in route.parts)
        weights_now = {
            part.service: self._current_weights.get(part.service, 0.0) for part in route.parts
        }
        for part in route.parts:
            weights_now[part.service] += part.weight
        chosen = max(weights_now, key=lambda service: weights_now[service])
        weights_now[chosen] -= total
        self._current_weights = weights_now
        return chosen


class RouteTable:
    """The routes of one configuration, by host, with the longest prefix first."""

    def __init__(self, configuration: Configuration, previous: "RouteTable | None" = None) -> None:
        """Index a configuration.

        :param previous: the table before, whose turns in splits go on.
        """
        self.configuration = configuration
        self._by_host: dict[str, list[RouteRule]] = {}
        for route in sorted(configuration.routes, key=lambda r: len(r.prefix), reverse=True):
            self._by_host.setdefault(route.host.lower(), []).append(route)
        self._round_robins: dict[str, WeightedRoundRobin] = (
            previous._round_robins if previous else {}
        )

    def match(self, host: str, path: str) -> RouteRule | None:
        """Return the route of a request, or None.

        :param host: the host named by the request; a port is ignored.
        :param path: the path without its query.
        """
        name = host.partition(":")[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def next_service(self, route: RouteRule) -> str:
        """Return the service that the route's next request goes to."""
        return self._round_robins.setdefault(route.name, WeightedRoundRobin()).next(route)
