"""Operator commands: ``loomwind group|model|adapter|route|version ...``, ``drain``, ``status``.

Exit statuses: 0 success, 1 failure, 2 invalid arguments, 3 conflict with another change, 4 not
found, 5 unavailable, 6 not authenticated. After status 5 a change may have taken effect: repeat it
with the same --change_id.
"""

import asyncio
import json
import os
import sys
import uuid
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from google.protobuf.json_format import MessageToDict, ParseDict, ParseError
from google.protobuf.message import Message

from loomwind.constants import DEFAULT_OPERATOR_ADDRESS
from loomwind.operator import operator_pb2 as pb
from loomwind.operator.client import InvalidArgument, ObjectNotFound, OperatorClient, OperatorError

TOKEN_VARIABLE = "LOOMWIND_OPERATOR_TOKEN"

Result = TypeVar("Result")


class Connection:
    """Runs calls to a daemon with the address and token from the flags or the environment."""

    def __init__(self, address: str, token: str) -> None:
        self._address = address
        self._token = token or os.environ.get(TOKEN_VARIABLE, "")

    def run(self, operation: Callable[[OperatorClient], Awaitable[Result]]) -> Result:
        """Return the result of an operation; on an error, print it and exit with its status."""

        async def call() -> Result:
            async with OperatorClient(self._address, self._token) as client:
                return await operation(client)

        try:
            return asyncio.run(call())
        except OperatorError as error:
            print(f"{type(error).__name__}: {error}", file=sys.stderr)
            sys.exit(error.exit_status)


def print_table(rows: list[dict[str, Any]]) -> None:
    """Print rows as a table with a heading; columns are in the order of first appearance."""
    if not rows:
        print("none")
        return
    columns = list(dict.fromkeys(key for row in rows for key in row))
    lines = [columns, *([_format_cell(row.get(column, "")) for column in columns] for row in rows)]
    widths = [max(len(line[index]) for line in lines) for index in range(len(columns))]
    for line in lines:
        cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        print("  ".join(cells).rstrip())


def _format_cell(value: object) -> str:
    if isinstance(value, list):
        return ",".join(str(v.get("name", v)) if isinstance(v, dict) else str(v) for v in value)
    return str(value)


def _to_dict(message: Message) -> dict[str, Any]:
    return MessageToDict(
        message, preserving_proto_field_name=True, always_print_fields_with_no_presence=True
    )


def _to_row(found: pb.Object) -> dict[str, Any]:
    field = found.WhichOneof("value")
    values = _to_dict(getattr(found, field)) if field else {}
    return {**values, "version": found.version}


class ObjectCommands:
    """Lists, shows, puts and deletes objects of one kind."""

    def __init__(self, field: str, kind: "pb.Kind.ValueType") -> None:
        self._field = field
        self._kind = kind

    def list(
        self, address: str = DEFAULT_OPERATOR_ADDRESS, token: str = "", json: bool = False
    ) -> None:
        """List all objects of the kind.

        Args:
            address: host:port of any daemon's operator endpoint.
            token: the operator token; default: LOOMWIND_OPERATOR_TOKEN.
            json: print JSON instead of text.
        """
        reply = Connection(address, token).run(lambda client: client.list(self._kind))
        _print_rows([_to_row(found) for found in reply.objects], json)

    def get(
        self,
        name: str,
        address: str = DEFAULT_OPERATOR_ADDRESS,
        token: str = "",
        json: bool = False,
    ) -> None:
        """Show one object with its version."""
        found = Connection(address, token).run(lambda client: client.get(self._kind, str(name)))
        _print_rows([_to_row(found)], json)

    def put(
        self,
        name: str,
        base_version: int = -1,
        change_id: str = "",
        address: str = DEFAULT_OPERATOR_ADDRESS,
        token: str = "",
        **fields: Any,
    ) -> None:
        """Create or change an object. Fields that are not given keep their values.

        Args:
            name: the name of the object (the prefix of a route).
            base_version: the version that the change is based on; default: the current one.
            change_id: an ID that makes it safe to repeat the call; default: a random one.
            address: host:port of any daemon's operator endpoint.
            token: the operator token; default: LOOMWIND_OPERATOR_TOKEN.
            fields: the fields of the object, such as --share=2.
        """

        async def operation(client: OperatorClient) -> int:
            existing = await self._get_or_none(client, str(name))
            row = {**_to_row(existing), **fields} if existing else dict(fields)
            row.pop("version", None)
            row["prefix" if self._field == "route" else "name"] = str(name)
            base = base_version if base_version >= 0 else (existing.version if existing else 0)
            return await client.put(change_id or uuid.uuid4().hex, base, self._parse_object(row))

        print(f"version {Connection(address, token).run(operation)}")

    async def _get_or_none(self, client: OperatorClient, name: str) -> pb.Object | None:
        try:
            return await client.get(self._kind, name)
        except ObjectNotFound:
            return None

    def _parse_object(self, row: dict[str, Any]) -> pb.Object:
        try:
            return ParseDict({self._field: row}, pb.Object())
        except ParseError as error:
            raise InvalidArgument(str(error)) from error

    def delete(
        self,
        name: str,
        base_version: int = -1,
        change_id: str = "",
        address: str = DEFAULT_OPERATOR_ADDRESS,
        token: str = "",
    ) -> None:
        """Delete an object."""

        async def operation(client: OperatorClient) -> int:
            base = base_version
            if base < 0:
                base = (await client.get(self._kind, str(name))).version
            return await client.delete(change_id or uuid.uuid4().hex, base, self._kind, str(name))

        print(f"version {Connection(address, token).run(operation)}")


class VersionCommands:
    """Adds and removes versions of a model, and selects the current one."""

    def add(
        self,
        model: str,
        version: str,
        memory_mib: int,
        load_seconds: float = 4.0,
        address: str = DEFAULT_OPERATOR_ADDRESS,
        token: str = "",
    ) -> None:
        """Add a version to a model."""
        added = pb.ModelVersion(name=str(version), memory_mib=memory_mib, load_seconds=load_seconds)

        def change(model_message: pb.Model) -> None:
            model_message.versions.append(added)

        self._change(model, change, address, token)

    def remove(
        self, model: str, version: str, address: str = DEFAULT_OPERATOR_ADDRESS, token: str = ""
    ) -> None:
        """Remove a version that is not the current one."""

        def change(model_message: pb.Model) -> None:
            remaining = [v for v in model_message.versions if v.name != str(version)]
            del model_message.versions[:]
            model_message.versions.extend(remaining)

        self._change(model, change, address, token)

    def use(
        self, model: str, version: str, address: str = DEFAULT_OPERATOR_ADDRESS, token: str = ""
    ) -> None:
        """Make a version the current one."""

        def change(model_message: pb.Model) -> None:
            model_message.current = str(version)

        self._change(model, change, address, token)

    @staticmethod
    def _change(model: str, change: Callable[[pb.Model], None], address: str, token: str) -> None:
        async def operation(client: OperatorClient) -> int:
            found = await client.get(pb.KIND_MODEL, model)
            change(found.model)
            return await client.put(uuid.uuid4().hex, found.version, found)

        print(f"version {Connection(address, token).run(operation)}")


def show_status(address: str, token: str, as_json: bool) -> None:
    """Print placements, queues, daemons and the configuration version."""
    reply = Connection(address, token).run(lambda client: client.status())
    status = _to_dict(reply)
    if as_json:
        print(json.dumps(status))
        return
    print(f"daemon {reply.daemon}, catalog version {reply.catalog_version}")
    for title in ("daemons", "replicas", "queues"):
        print(f"\n{title}")
        print_table(status[title])


def set_drain(backend: str, leaving: bool, address: str, token: str) -> None:
    """Drain a back end, so that it gets no new requests, or stop draining it."""
    Connection(address, token).run(lambda client: client.drain(backend, leaving))
    print(f"{backend} {'gets no new work' if leaving else 'takes work again'}")


def _print_rows(rows: list[dict[str, Any]], as_json: bool) -> None:
    if as_json:
        print(json.dumps(rows))
    else:
        print_table(rows)
