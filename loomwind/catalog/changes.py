"""Changes of the catalog, as they are recorded and passed on."""

import enum

from msgspec import Struct

from loomwind.schema import Adapter, Drain, Group, Model, Route

CatalogObject = Group | Model | Adapter | Route | Drain


class ObjectKind(enum.Enum):
    """What an object of the catalog is."""

    GROUP = "group"
    MODEL = "model"
    ADAPTER = "adapter"
    ROUTE = "route"
    DRAIN = "drain"


class ObjectKey(Struct, frozen=True, array_like=True):
    """The kind and name that identify an object."""

    kind: ObjectKind
    name: str


class Change(Struct, frozen=True, kw_only=True):
    """A put or a delete of one object.

    :param change_id: chosen by the operator's client; the same id is applied once.
    :param base_version: the object's version that the change was based on; 0 to create it.
    :param value: the new object, or None to delete it. Exactly one field of it is set.
    """

    change_id: str
    key: ObjectKey
    base_version: int
    group: Group | None = None
    model: Model | None = None
    adapter: Adapter | None = None
    route: Route | None = None
    drain: Drain | None = None

    @property
    def value(self) -> CatalogObject | None:
        """Return the object that is put, or None for a delete."""
        return self.group or self.model or self.adapter or self.route or self.drain


class ChangeRecord(Struct, frozen=True, kw_only=True):
    """An accepted change. ``version`` counts all accepted changes from 1."""

    version: int
    change: Change
