"""gRPC client for operator calls, with typed errors."""

from typing import Any

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError

from loomwind.errors import LoomwindError
from loomwind.operator import operator_pb2 as pb
from loomwind.operator.operator_grpc import OperatorStub

CALL_TIMEOUT_SECONDS = 10.0


class OperatorError(LoomwindError):
    """A call failed.

    :cvar exit_status: the exit status of the command line.
    """

    exit_status = 1


class ChangeConflict(OperatorError):
    """The change is not based on the current version of the object."""

    exit_status = 3


class ObjectNotFound(OperatorError):
    """The object does not exist."""

    exit_status = 4


class OperatorUnavailable(OperatorError):
    """The daemon or its table service is unavailable."""

    exit_status = 5


class NotAuthenticated(OperatorError):
    """The token is missing or wrong."""

    exit_status = 6


class InvalidArgument(OperatorError):
    """The arguments of the call are invalid."""

    exit_status = 2


ERROR_TYPES: dict[Status, type[OperatorError]] = {
    Status.ABORTED: ChangeConflict,
    Status.NOT_FOUND: ObjectNotFound,
    Status.UNAVAILABLE: OperatorUnavailable,
    Status.UNAUTHENTICATED: NotAuthenticated,
    Status.INVALID_ARGUMENT: InvalidArgument,
}


class OperatorClient:
    """Calls the operator endpoint of a daemon. Use it as an asynchronous context manager."""

    def __init__(self, address: str, token: str) -> None:
        host, _, port = address.rpartition(":")
        self._channel = Channel(host, int(port))
        self._stub = OperatorStub(self._channel)
        self._metadata = {"authorization": f"Bearer {token}"}

    async def __aenter__(self) -> "OperatorClient":
        return self

    async def __aexit__(self, *_: object) -> None:
        self._channel.close()

    async def _call(self, method: Any, request: Any) -> Any:
        try:
            return await method(request, timeout=CALL_TIMEOUT_SECONDS, metadata=self._metadata)
        except GRPCError as error:
            error_type = ERROR_TYPES.get(error.status, OperatorError)
            raise error_type(error.message or error.status.name) from error
        except (OSError, StreamTerminatedError, TimeoutError) as error:
            raise OperatorUnavailable(str(error) or type(error).__name__) from error

    async def put(self, change_id: str, base_version: int, value: pb.Object) -> int:
        """Create or replace an object and return its new version."""
        request = pb.PutRequest(change_id=change_id, base_version=base_version, object=value)
        reply: pb.ChangeReply = await self._call(self._stub.Put, request)
        return reply.version

    async def delete(
        self, change_id: str, base_version: int, kind: "pb.Kind.ValueType", name: str
    ) -> int:
        """Delete an object and return the resulting catalog version."""
        request = pb.DeleteRequest(
            change_id=change_id, base_version=base_version, kind=kind, name=name
        )
        reply: pb.ChangeReply = await self._call(self._stub.Delete, request)
        return reply.version

    async def get(self, kind: "pb.Kind.ValueType", name: str) -> pb.Object:
        """Return an object.

        :raises ObjectNotFound: it does not exist.
        """
        request = pb.GetRequest(kind=kind, name=name)
        reply: pb.Object = await self._call(self._stub.Get, request)
        return reply

    async def list(self, kind: "pb.Kind.ValueType") -> pb.ListReply:
        """Return all objects of a kind."""
        request = pb.ListRequest(kind=kind)
        reply: pb.ListReply = await self._call(self._stub.List, request)
        return reply

    async def drain(self, backend: str, leaving: bool) -> None:
        """Drain a back end, so that it gets no new requests, or stop draining it."""
        await self._call(self._stub.Drain, pb.DrainRequest(backend=backend, leaving=leaving))

    async def status(self) -> pb.StatusReply:
        """Return placements, queues, daemons and the configuration version."""
        reply: pb.StatusReply = await self._call(self._stub.Status, pb.StatusRequest())
        return reply
