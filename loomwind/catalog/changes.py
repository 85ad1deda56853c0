"""Catalog changes, as they are stored and sent between daemons."""

import enum

from msgspec import Struct

from loomwind.schema import Adapter, Drain, Group, Model, Route

CatalogObject = Group | Model | Adapter | Route | Drain


class ObjectKind(enum.Enum):
    """The kind of a catalog object."""

    GROUP = "group"
    MODEL = "model"
    ADAPTER = "adapter"
    ROUTE = "route"
    DRAIN = "drain"


class ObjectKey(Struct, frozen=True, array_like=True):
    """Identifies a catalog object by kind and name."""

    kind: ObjectKind
    name: str


class Change(Struct, frozen=True, kw_only=True):
    """Puts or deletes one object. A put sets exactly one of the object fields, a delete none.

    :param change_id: chosen by the operator's client. A change with the same ID is applied once.
    :param base_version: the version of the object that the change is based on; 0 to create it.
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
        """Return the object to put, or None for a delete."""
        return self.group or self.model or self.adapter or self.route or self.drain


class ChangeRecord(Struct, frozen=True, kw_only=True):
    """An accepted change. ``version`` numbers all accepted changes consecutively from 1."""

    version: int
    change: Change
