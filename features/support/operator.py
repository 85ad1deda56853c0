"""Blocking operator calls for test steps."""

import asyncio
import uuid
from collections.abc import Awaitable, Callable
from typing import TypeVar

from loomwind.operator import operator_pb2 as pb
from loomwind.operator.client import OperatorClient

Result = TypeVar("Result")


class Operator:
    """Makes operator calls to one daemon."""

    def __init__(self, address: str, token: str) -> None:
        self._address = address
        self._token = token

    def _run(self, operation: Callable[[OperatorClient], Awaitable[Result]]) -> Result:
        async def call() -> Result:
            async with OperatorClient(self._address, self._token) as client:
                return await operation(client)

        return asyncio.run(call())

    def put_group(self, name: str, share: float, base_version: int = 0, change_id: str = "") -> int:
        """Create or change a group and return its new version."""
        value = pb.Object(group=pb.Group(name=name, share=share))
        change = change_id or uuid.uuid4().hex
        return self._run(lambda client: client.put(change, base_version, value))

    def group(self, name: str) -> pb.Object:
        """Return a group."""
        return self._run(lambda client: client.get(pb.KIND_GROUP, name))

    def groups(self) -> pb.ListReply:
        """Return all groups."""
        return self._run(lambda client: client.list(pb.KIND_GROUP))

    def use_version(self, model: str, version: str) -> int:
        """Make a version the current one of a model and return the model's new version."""

        async def operation(client: OperatorClient) -> int:
            found = await client.get(pb.KIND_MODEL, model)
            found.model.current = version
            return await client.put(uuid.uuid4().hex, found.version, found)

        return self._run(operation)

    def drain(self, backend: str) -> None:
        """Drain a back end, so that it gets no new requests."""
        self._run(lambda client: client.drain(backend, True))

    def status(self) -> pb.StatusReply:
        """Return the daemon's status."""
        return self._run(lambda client: client.status())
