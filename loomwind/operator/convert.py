"""Converts between the operator API's messages and the types of ``loomwind.schema``."""

from typing import Any

import msgspec
from google.protobuf.json_format import MessageToDict, ParseDict

from loomwind.catalog.changes import CatalogObject, ObjectKey, ObjectKind
from loomwind.catalog.errors import InvalidChange
from loomwind.catalog.model import Entry
from loomwind.operator import operator_pb2 as pb
from loomwind.schema import Adapter, Group, Model, Route

OBJECT_TYPES: dict[str, type[CatalogObject]] = {
    "group": Group,
    "model": Model,
    "adapter": Adapter,
    "route": Route,
}


def to_object_kind(value: "pb.Kind.ValueType") -> ObjectKind:
    """Return the catalog's object kind for a kind of the API.

    :raises InvalidChange: no kind is given.
    """
    names = {
        pb.KIND_GROUP: ObjectKind.GROUP,
        pb.KIND_MODEL: ObjectKind.MODEL,
        pb.KIND_ADAPTER: ObjectKind.ADAPTER,
        pb.KIND_ROUTE: ObjectKind.ROUTE,
    }
    if value not in names:
        raise InvalidChange("no kind is given")
    return names[value]


def parse_object(message: pb.Object) -> CatalogObject:
    """Return the catalog object in a message.

    :raises InvalidChange: the message has no object, or one with an invalid value.
    """
    field = message.WhichOneof("value")
    if field is None:
        raise InvalidChange("no object is given")
    raw: dict[str, Any] = MessageToDict(getattr(message, field), preserving_proto_field_name=True)
    try:
        return msgspec.convert(raw, OBJECT_TYPES[field], strict=False)
    except msgspec.ValidationError as error:
        raise InvalidChange(f"{field}: {error}") from error


def to_message(entry: Entry) -> pb.Object:
    """Return the API message for a catalog entry."""
    value = entry.value
    field = next(name for name, kind in OBJECT_TYPES.items() if isinstance(value, kind))
    raw = {"version": entry.version, field: msgspec.to_builtins(value)}
    return ParseDict(raw, pb.Object())


def to_object_key(kind: "pb.Kind.ValueType", name: str) -> ObjectKey:
    """Return the catalog key for a kind and name of the API.

    :raises InvalidChange: no kind is given.
    """
    return ObjectKey(to_object_kind(kind), name)
