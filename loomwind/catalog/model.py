"""The catalog as an immutable value, with functions that validate and apply changes."""

from msgspec import Struct, structs

from loomwind.catalog.changes import CatalogObject, Change, ChangeRecord, ObjectKey, ObjectKind
from loomwind.catalog.errors import Conflict, InvalidChange, NotFound
from loomwind.schema import Adapter, Artifact, Drain, Group, Model, Route


class Entry(Struct, frozen=True, kw_only=True):
    """An object and the catalog version that last changed it.

    :param previous: the model version that was current before the present one; empty if none was.
    """

    version: int
    previous: str = ""
    group: Group | None = None
    model: Model | None = None
    adapter: Adapter | None = None
    route: Route | None = None
    drain: Drain | None = None

    @property
    def value(self) -> CatalogObject:
        """Return the object."""
        value = self.group or self.model or self.adapter or self.route or self.drain
        assert value is not None
        return value


class SnapshotEntry(Struct, frozen=True, array_like=True):
    """An entry of a snapshot with its key."""

    key: ObjectKey
    entry: Entry


class CatalogSnapshot(Struct, frozen=True):
    """The complete catalog at one version, as it is sent and stored."""

    version: int
    entries: tuple[SnapshotEntry, ...] = ()


class Catalog(Struct, frozen=True):
    """The catalog at one version. It is immutable; :func:`apply` returns the next version."""

    version: int = 0
    entries: dict[ObjectKey, Entry] = {}

    def entry(self, kind: ObjectKind, name: str) -> Entry | None:
        """Return the entry of that kind and name, or None."""
        return self.entries.get(ObjectKey(kind, name))

    def group(self, name: str) -> Group | None:
        """Return the group of that name, or None."""
        entry = self.entry(ObjectKind.GROUP, name)
        return entry.group if entry else None

    def model(self, name: str) -> Model | None:
        """Return the model of that name, or None."""
        entry = self.entry(ObjectKind.MODEL, name)
        return entry.model if entry else None

    def previous_version(self, model: str) -> str:
        """Return the model version that was current before the present one; empty if none was."""
        entry = self.entry(ObjectKind.MODEL, model)
        return entry.previous if entry else ""

    def adapter(self, name: str) -> Adapter | None:
        """Return the adapter of that name, or None."""
        entry = self.entry(ObjectKind.ADAPTER, name)
        return entry.adapter if entry else None

    def entries_of_kind(self, kind: ObjectKind) -> list[Entry]:
        """Return all entries of a kind, sorted by name."""
        return [entry for key, entry in ordered_entries(self) if key.kind is kind]

    def routes(self) -> list[Route]:
        """Return all routes, longest prefix first."""
        routes = [
            entry.route
            for entry in self.entries_of_kind(ObjectKind.ROUTE)
            if entry.route is not None
        ]
        return sorted(routes, key=lambda route: -len(route.prefix))

    def is_drained(self, backend: str) -> bool:
        """Return whether an operator has drained a back end, so that it gets no new requests."""
        return self.entry(ObjectKind.DRAIN, backend) is not None

    def memory_mib(self, artifact: Artifact) -> int | None:
        """Return the memory that an artifact needs in MiB, or None if it is not in the catalog."""
        if artifact.adapter:
            adapter = self.adapter(artifact.adapter)
            return adapter.memory_mib if adapter else None
        model = self.model(artifact.model)
        version = model.version(artifact.version) if model else None
        return version.memory_mib if version else None

    def max_replicas(self, artifact: Artifact) -> int:
        """Return the maximum number of loaded replicas of an artifact; 0 if it is unknown."""
        model = self.model(artifact.model)
        return model.max_replicas if model else 0

    def load_seconds(self, artifact: Artifact) -> float:
        """Return the expected load time from the weight store in seconds; 0 if it is unknown."""
        if artifact.adapter:
            adapter = self.adapter(artifact.adapter)
            return adapter.load_seconds if adapter else 0.0
        model = self.model(artifact.model)
        version = model.version(artifact.version) if model else None
        return version.load_seconds if version else 0.0

    def owner(self, artifact: Artifact) -> str:
        """Return the group that owns an artifact; empty if it is unknown."""
        if artifact.adapter:
            adapter = self.adapter(artifact.adapter)
            return adapter.group if adapter else ""
        model = self.model(artifact.model)
        return model.group if model else ""


def ordered_entries(catalog: Catalog) -> list[tuple[ObjectKey, Entry]]:
    """Return all entries, sorted by kind and name."""
    return sorted(catalog.entries.items(), key=lambda item: (item[0].kind.value, item[0].name))


def snapshot(catalog: Catalog) -> CatalogSnapshot:
    """Return the catalog in the form in which it is sent and stored."""
    entries = tuple(SnapshotEntry(key, entry) for key, entry in ordered_entries(catalog))
    return CatalogSnapshot(catalog.version, entries)


def restore(stored: CatalogSnapshot) -> Catalog:
    """Return the catalog that a snapshot holds."""
    return Catalog(stored.version, {item.key: item.entry for item in stored.entries})


def apply(catalog: Catalog, record: ChangeRecord) -> Catalog:
    """Return the catalog after an accepted change.

    :raises ValueError: the record does not have the next version.
    """
    if record.version != catalog.version + 1:
        raise ValueError(f"change {record.version} does not follow version {catalog.version}")
    entries = dict(catalog.entries)
    change = record.change
    if change.value is None:
        entries.pop(change.key, None)
    else:
        entries[change.key] = Entry(
            version=record.version,
            previous=_previous_version(entries.get(change.key), change.model),
            group=change.group,
            model=change.model,
            adapter=change.adapter,
            route=change.route,
            drain=change.drain,
        )
    return structs.replace(catalog, version=record.version, entries=entries)


def _previous_version(entry: Entry | None, model: Model | None) -> str:
    if entry is None or entry.model is None or model is None:
        return ""
    return entry.previous if entry.model.current == model.current else entry.model.current


def validate(catalog: Catalog, change: Change) -> None:
    """Check that a change can be applied to a catalog.

    :raises Conflict: the change is not based on the current version of the object.
    :raises NotFound: the object to delete does not exist.
    :raises InvalidChange: the change would leave a dangling reference or a duplicate name.
    """
    entry = catalog.entries.get(change.key)
    current_version = entry.version if entry else 0
    if change.value is None and entry is None:
        raise NotFound(f"{change.key.kind.value} {change.key.name} does not exist")
    if change.base_version != current_version:
        raise Conflict(
            f"{change.key.kind.value} {change.key.name} is at version {current_version}, "
            f"the change is based on {change.base_version}",
            current_version,
        )
    if change.value is None:
        _validate_delete(catalog, change.key)
    else:
        _validate_put(catalog, change.key, change.value)


def _validate_put(catalog: Catalog, key: ObjectKey, value: CatalogObject) -> None:
    name = value.prefix if isinstance(value, Route) else value.name
    if name != key.name:
        raise InvalidChange(f"the object is named {name}, the key says {key.name}")
    if not isinstance(value, Group | Drain) and catalog.group(value.group) is None:
        raise InvalidChange(f"group {value.group} does not exist")
    if isinstance(value, Model) and value.version(value.current) is None:
        raise InvalidChange(f"current version {value.current} is not among the versions")
    if isinstance(value, Model) and len({v.name for v in value.versions}) < len(value.versions):
        raise InvalidChange("two versions have the same name")
    if isinstance(value, Adapter):
        model = catalog.model(value.model)
        if model is None or model.version(value.version) is None:
            raise InvalidChange(f"model {value.model}@{value.version} does not exist")
        if catalog.model(value.name) is not None:
            raise InvalidChange(f"a model is named {value.name}")
    if isinstance(value, Model) and catalog.adapter(value.name) is not None:
        raise InvalidChange(f"an adapter is named {value.name}")


def _validate_delete(catalog: Catalog, key: ObjectKey) -> None:
    for other, entry in catalog.entries.items():
        value = entry.value
        belongs_to_group = not isinstance(value, Group | Drain) and value.group == key.name
        if key.kind is ObjectKind.GROUP and belongs_to_group:
            raise InvalidChange(f"{other.kind.value} {other.name} belongs to the group")
        uses_model = isinstance(value, Adapter) and value.model == key.name
        if key.kind is ObjectKind.MODEL and uses_model:
            raise InvalidChange(f"adapter {other.name} is based on the model")
