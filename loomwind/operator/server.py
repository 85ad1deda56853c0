"""Operator endpoint of a daemon: a gRPC server on asyncio with token authentication."""

import hmac
import uuid
from collections.abc import Awaitable, Callable
from typing import Any

from grpclib.const import Status
from grpclib.events import RecvRequest, listen
from grpclib.exceptions import GRPCError
from grpclib.server import Server, Stream

from loomwind.catalog.changes import Change, ObjectKey, ObjectKind
from loomwind.catalog.errors import (
    CatalogError,
    CatalogUnavailable,
    Conflict,
    InvalidChange,
    NotFound,
)
from loomwind.catalog.service import CatalogService, make_change, object_key
from loomwind.membership.service import Membership
from loomwind.messages import MemberInfo
from loomwind.operator import operator_pb2 as pb
from loomwind.operator.convert import parse_object, to_message, to_object_key, to_object_kind
from loomwind.operator.operator_grpc import OperatorBase
from loomwind.pipeline.router import Router
from loomwind.schema import Drain

CURRENT_VERSION_KEY = "current-version"
OUTCOME_KEY = "outcome"

STATUSES: dict[type[CatalogError], Status] = {
    Conflict: Status.ABORTED,
    NotFound: Status.NOT_FOUND,
    InvalidChange: Status.INVALID_ARGUMENT,
    CatalogUnavailable: Status.UNAVAILABLE,
}


def error_metadata(error: CatalogError) -> dict[str, str]:
    """Return the trailing metadata for an error."""
    if isinstance(error, Conflict):
        return {CURRENT_VERSION_KEY: str(error.current_version)}
    if isinstance(error, CatalogUnavailable) and error.outcome_unknown:
        return {OUTCOME_KEY: "unknown"}
    return {}


class OperatorService(OperatorBase):
    """Handles operator calls with this daemon's catalog, membership and routing table."""

    def __init__(self, catalog: CatalogService, membership: Membership, router: Router) -> None:
        self._catalog = catalog
        self._membership = membership
        self._router = router

    async def _handle(
        self, stream: Stream[Any, Any], handler: Callable[[Any], Awaitable[Any]]
    ) -> None:
        """Read the request, run the handler, and send its reply or the status of its error."""
        request = await stream.recv_message()
        try:
            reply = await handler(request)
        except CatalogError as error:
            status = STATUSES.get(type(error), Status.INTERNAL)
            await stream.send_trailing_metadata(
                status=status, status_message=str(error), metadata=error_metadata(error)
            )
            return
        await stream.send_message(reply)

    async def Put(self, stream: Stream[pb.PutRequest, pb.ChangeReply]) -> None:
        """Create or replace an object."""
        await self._handle(stream, self._put)

    async def Delete(self, stream: Stream[pb.DeleteRequest, pb.ChangeReply]) -> None:
        """Delete an object."""
        await self._handle(stream, self._delete)

    async def Get(self, stream: Stream[pb.GetRequest, pb.Object]) -> None:
        """Return an object with its version."""
        await self._handle(stream, self._get)

    async def List(self, stream: Stream[pb.ListRequest, pb.ListReply]) -> None:
        """Return all objects of a kind."""
        await self._handle(stream, self._list)

    async def Drain(self, stream: Stream[pb.DrainRequest, pb.DrainReply]) -> None:
        """Drain a back end, so that it gets no new requests, or stop draining it."""
        await self._handle(stream, self._drain)

    async def Status(self, stream: Stream[pb.StatusRequest, pb.StatusReply]) -> None:
        """Return placements, queues, daemons and the configuration version."""
        await self._handle(stream, self._status)

    async def _submit(self, change: Change) -> pb.ChangeReply:
        if not change.change_id:
            raise InvalidChange("a change needs a change_id")
        record = await self._catalog.submit(change)
        return pb.ChangeReply(version=record.version)

    async def _put(self, request: pb.PutRequest) -> pb.ChangeReply:
        value = parse_object(request.object)
        key = object_key(value)
        return await self._submit(make_change(request.change_id, key, request.base_version, value))

    async def _delete(self, request: pb.DeleteRequest) -> pb.ChangeReply:
        key = to_object_key(request.kind, request.name)
        return await self._submit(make_change(request.change_id, key, request.base_version, None))

    async def _get(self, request: pb.GetRequest) -> pb.Object:
        key = to_object_key(request.kind, request.name)
        entry = self._catalog.catalog.entries.get(key)
        if entry is None:
            raise NotFound(f"{key.kind.value} {key.name} does not exist")
        return to_message(entry)

    async def _list(self, request: pb.ListRequest) -> pb.ListReply:
        catalog = self._catalog.catalog
        entries = catalog.entries_of_kind(to_object_kind(request.kind))
        objects = [to_message(entry) for entry in entries]
        return pb.ListReply(catalog_version=catalog.version, objects=objects)

    async def _drain(self, request: pb.DrainRequest) -> pb.DrainReply:
        key = ObjectKey(ObjectKind.DRAIN, request.backend)
        entry = self._catalog.catalog.entries.get(key)
        if (entry is not None) == request.leaving:
            return pb.DrainReply()
        value = Drain(name=request.backend) if request.leaving else None
        base_version = entry.version if entry else 0
        await self._submit(make_change(uuid.uuid4().hex, key, base_version, value))
        return pb.DrainReply()

    async def _status(self, request: pb.StatusRequest) -> pb.StatusReply:
        update = self._router.table.update
        replicas = [
            pb.PlacedReplica(engine=route.engine, artifact=str(artifact))
            for route in (update.engines if update else ())
            for artifact in route.replicas
        ]
        groups = [
            entry.group.name
            for entry in self._catalog.catalog.entries_of_kind(ObjectKind.GROUP)
            if entry.group
        ]
        queues = [pb.Queue(group=g, waiting=self._router.queue.waiting_in_group(g)) for g in groups]
        return pb.StatusReply(
            daemon=self._membership.own.identity.name,
            catalog_version=self._catalog.catalog.version,
            replicas=replicas,
            queues=queues,
            daemons=self._daemon_statuses(),
        )

    def _daemon_statuses(self) -> list[pb.DaemonStatus]:
        own = self._membership.own
        own_state = "leaving" if own.leaving else "alive"
        daemons = [self._daemon_status(own, own_state)]
        for _, member in sorted(self._membership.detector.members.items()):
            daemons.append(self._daemon_status(member.info, member.state.value))
        return daemons

    def _daemon_status(self, info: MemberInfo, state: str) -> pb.DaemonStatus:
        leader = self._membership.leader
        leads = leader is not None and leader.identity == info.identity
        return pb.DaemonStatus(
            name=info.identity.name, zone=info.zone, state=state, controller=leads
        )


def create_operator_server(service: OperatorService, token: str) -> Server:
    """Return a server that rejects calls without the operator token."""
    expected = f"Bearer {token}".encode()

    async def authenticate(event: RecvRequest) -> None:
        received = str(event.metadata.get("authorization", "")).encode()
        if not hmac.compare_digest(received, expected):
            raise GRPCError(Status.UNAUTHENTICATED, "the operator token is missing or wrong")

    server = Server([service])
    listen(server, RecvRequest, authenticate)
    return server
