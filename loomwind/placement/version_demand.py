"""Running streams by model and software version, and the copies that can resume them. Pure.

A stream that has begun is resumed only by a server of the same software version.
"""

from collections.abc import Iterator

import attrs

from loomwind.placement.plan import PlanInput
from loomwind.placement.server_tracker import ServerTracker
from loomwind.serving.demand import VersionedModel
from loomwind.serving.views import ModelKey


@attrs.frozen
class VersionDemand:
    """Running streams of a model at a software version.

    :ivar copies: the servers of that version that hold or load it, or have memory reserved for it.
    """

    key: VersionedModel
    streams: int
    copies: tuple[ServerTracker, ...]


def version_demand(inputs: PlanInput) -> list[VersionDemand]:
    """Return the streams by model and version, most first; none while one version serves."""
    by_version = servers_by_version(inputs)
    if len(by_version) < 2:
        return []
    streams = inputs.demand.streams(inputs.service, inputs.now)
    return [
        VersionDemand(key, streams[key], tuple(_copies(inputs, key, by_version)))
        for key in sorted(streams, key=lambda key: (-streams[key], key))
        if key.software_version in by_version
    ]


def servers_by_version(inputs: PlanInput) -> dict[str, list[ServerTracker]]:
    """Return the servers that may receive orders, by software version."""
    found: dict[str, list[ServerTracker]] = {}
    for server in inputs.servers:
        found.setdefault(server.entry.software_version, []).append(server)
    return found


def _copies(
    inputs: PlanInput, key: VersionedModel, by_version: dict[str, list[ServerTracker]]
) -> Iterator[ServerTracker]:
    target = ModelKey(key.model)
    for server in by_version[key.software_version]:
        is_reserved = server.memory_reserved_for(inputs.now) == key.model
        if server.holds(target) or server.is_loading(target) or is_reserved:
            yield server
