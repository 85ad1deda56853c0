"""Public data types of the catalog, for operators and callers. Read this module first.

A *group* owns *models*, *adapters* and *routes*. A model has *versions*, one of which is current.
An adapter is served with one version of its base model. A route sends ordinary HTTP requests to an
application server.
"""

import enum
from typing import Annotated

from msgspec import Meta, Struct

Name = Annotated[str, Meta(pattern=r"^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$")]
Share = Annotated[float, Meta(gt=0, le=1000)]
Priority = Annotated[int, Meta(ge=0, le=9)]
Replicas = Annotated[int, Meta(ge=1, le=64)]
MemoryMebibytes = Annotated[int, Meta(ge=1, le=1_048_576)]
Seconds = Annotated[float, Meta(gt=0, le=3600)]


class Group(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A tenant of the pool, such as a team or a business.

    :param share: weight of this group relative to the others when capacity is scarce.
    :param priority: 0 (lowest) to 9; higher priorities are served first.
    :param max_waiting: the maximum number of queued requests of the group in one daemon.
    """

    name: Name
    share: Share = 1.0
    priority: Priority = 0
    max_waiting: Annotated[int, Meta(ge=1, le=100_000)] = 512


class Version(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One set of weights of a model.

    :param memory_mib: accelerator memory of a loaded replica, in MiB.
    :param load_seconds: expected load time from the weight store.
    """

    name: Name
    memory_mib: MemoryMebibytes
    load_seconds: Seconds = 4.0


class Model(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A model of a group.

    :param current: name of the version that serves requests without a version.
    :param max_replicas: the maximum number of loaded replicas of one version.
    """

    name: Name
    group: Name
    versions: tuple[Version, ...]
    current: Name
    max_replicas: Replicas = 1

    def version(self, name: str) -> Version | None:
        """Return the version with a name, or None."""
        return next((version for version in self.versions if version.name == name), None)


class Adapter(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A low-rank adapter of a group, served on one version of a base model."""

    name: Name
    group: Name
    model: Name
    version: Name
    memory_mib: MemoryMebibytes = 64
    load_seconds: Seconds = 0.5


class Route(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Sends requests whose path starts with ``prefix`` to the servers of an application.

    :param repeatable: whether POST, PUT and PATCH requests may run more than once.
    """

    prefix: Annotated[str, Meta(pattern=r"^/[A-Za-z0-9/_.-]*$")]
    application: Name
    group: Name
    repeatable: bool = False


class Drain(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An operator's instruction to send no new requests to a back end."""

    name: Name


class Outcome(enum.Enum):
    """Whether a refused request was run by a back end, as stated in the refusal."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    PARTIAL = "partial"


class Artifact(Struct, frozen=True, order=True):
    """What an engine can load: a version of a model, or an adapter for one.

    :param adapter: name of the adapter, or empty for the base model itself.
    """

    model: str
    version: str
    adapter: str = ""

    @property
    def base(self) -> "Artifact":
        """Return the artifact of the base model; the artifact itself when it is no adapter."""
        return Artifact(self.model, self.version) if self.adapter else self

    def __str__(self) -> str:
        base = f"{self.model}@{self.version}"
        return f"{base}+{self.adapter}" if self.adapter else base
