"""Random changes of a site's configuration that leave its permanent routes where they are."""

import random

from attrs import define

from features.support.pool_site import MODEL_SERVICE, PLAIN_SERVICE, PoolSite, route

OTHER_PLAIN_SERVICE = "parcels"
SPLIT_ROUTE = "look"
ROUTE_TIMEOUTS_MS = (6000, 8000, 12_000)
OBJECTIVES_MS = (300, 500, 1000)
GAPS_MS = (0, 100, 300)
IDLE_LIMITS_MS = (1500, 4000, 15_000)
WEIGHTS = (1, 10, 50, 90, 99)
OPTIONAL_ROUTES = {
    "aside": route("aside", "streaming", MODEL_SERVICE),
    "extra": route("extra", "idempotent", PLAIN_SERVICE),
}


@define(frozen=True)
class Change:
    """One change of a configuration: a field of a route, an optional route, or the idle limit.

    :ivar route: name of the route; empty for the limits.
    :ivar field: field to set; empty to add an optional route, or to remove it.
    """

    route: str
    field: str
    value: object = None

    def apply(self, site: PoolSite) -> None:
        """Change the site's configuration and write it to the store."""
        if not self.route:
            site.limits = site.limits | {self.field: self.value}
        elif self.field:
            site.routes = [self._changed(each) for each in site.routes]
        else:
            self._toggle(site)
        site.configure()

    def _changed(self, fields: dict[str, object]) -> dict[str, object]:
        return fields | {self.field: self.value} if fields["name"] == self.route else fields

    def _toggle(self, site: PoolSite) -> None:
        others = [each for each in site.routes if each["name"] != self.route]
        is_there = len(others) < len(site.routes)
        site.routes = others if is_there else [*others, OPTIONAL_ROUTES[self.route]]


def random_change(source: random.Random, routes: list[str]) -> Change:
    """Return a random change.

    :param routes: names of the permanent routes.
    """
    name = source.choice(routes)
    weight = source.choice(WEIGHTS)
    split = [
        {"service": PLAIN_SERVICE, "weight": weight},
        {"service": OTHER_PLAIN_SERVICE, "weight": 100 - weight},
    ]
    return source.choice(
        (
            Change(name, "timeout-ms", source.choice(ROUTE_TIMEOUTS_MS)),
            Change(name, "target-latency-ms", source.choice(OBJECTIVES_MS)),
            Change(name, "gap-aim-ms", source.choice(GAPS_MS)),
            Change("", "idle-timeout-ms", source.choice(IDLE_LIMITS_MS)),
            Change(SPLIT_ROUTE, "traffic-split", split),
            Change(source.choice(sorted(OPTIONAL_ROUTES)), ""),
            Change(source.choice(sorted(OPTIONAL_ROUTES)), ""),
        )
    )
