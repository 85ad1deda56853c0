"""Dispatches messages from peers to the components of the daemon."""

from collections.abc import Callable

from loomwind.catalog.service import CatalogService
from loomwind.control.claims import ClaimStore
from loomwind.control.controller import Controller
from loomwind.control.register_service import RegisterService
from loomwind.control.voter_changes import VoterChanges
from loomwind.membership.service import Membership
from loomwind.messages import (
    Accept,
    AdmitVoter,
    AnyMessage,
    BackendReport,
    CatalogRequest,
    CatalogUpdate,
    Claim,
    ClaimRelease,
    ClaimTransferRequest,
    DemandReport,
    Heartbeat,
    MemberList,
    Prepare,
    ProbeRequest,
    RoutingRequest,
    RoutingUpdate,
)
from loomwind.peering.transport import PeerTransport
from loomwind.pipeline.router import Router


class PeerDispatch:
    """Handles the incoming messages of the protocol between daemons."""

    def __init__(
        self,
        membership: Membership,
        register: RegisterService,
        voter_changes: VoterChanges,
        claims: ClaimStore,
        catalog: CatalogService,
        router: Router,
        controller: Callable[[], Controller | None],
        transport: PeerTransport,
    ) -> None:
        self._transport = transport
        self._membership = membership
        self._register = register
        self._voter_changes = voter_changes
        self._claims = claims
        self._catalog = catalog
        self._router = router
        self._controller = controller

    async def handle(self, message: AnyMessage) -> AnyMessage | None:
        """Handle a message; returns the response to a request, None for other messages."""
        match message:
            case Heartbeat():
                return self._membership.on_heartbeat(message)
            case MemberList():
                self._membership.on_member_list(message)
                return None
            case ProbeRequest():
                return await self._membership.on_probe(message)
            case CatalogUpdate():
                return self._catalog.on_update(message)
            case CatalogRequest():
                return self._catalog.on_request(message)
            case _:
                return await self._handle_control(message)

    async def _handle_control(self, message: AnyMessage) -> AnyMessage | None:
        """Handle a control message of the own cell; those of other cells are ignored."""
        if getattr(message, "cell", self._register.cell) != self._register.cell:
            return None
        now = self._membership.now
        match message:
            case Prepare() | Accept():
                return self._register.on_message(message)
            case AdmitVoter():
                return await self._voter_changes.on_admit(message)
            case Claim():
                return self._claims.on_claim(message, now)
            case ClaimRelease():
                self._claims.on_release(message)
            case ClaimTransferRequest():
                return self._claims.on_transfer_request(message, now)
            case RoutingUpdate():
                self.on_routing(message)
            case RoutingRequest():
                return self._router.table.update
            case BackendReport():
                self._on_backend_report(message)
            case DemandReport():
                self._on_demand_report(message)
        return None

    def _on_demand_report(self, report: DemandReport) -> None:
        """Handle a report, or forward it for a daemon that cannot reach the controller."""
        controller = self._controller()
        leader = self._membership.leader
        if controller is not None:
            controller.on_demand(report)
        elif leader is not None and self._membership.hears_leader():
            self._transport.send(leader.address, report)

    def on_routing(self, update: RoutingUpdate) -> None:
        """Apply a routing update, and learn the voters from it."""
        if self._router.on_routing(update):
            self._register.update_member_infos(update.voters)
            voters = tuple(sorted(info.identity for info in update.voters))
            self._register.observe_register(update.stamp, voters)

    def _on_backend_report(self, report: BackendReport) -> None:
        self._router.on_backend_report(report)
        controller = self._controller()
        if controller is not None:
            controller.on_backend_report(report)
