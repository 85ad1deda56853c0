"""Steps for fetching configuration versions from peers, in virtual time."""

import asyncio
from typing import Any, cast

from behave import then, when

from features.support.fake_store import configuration_document
from features.support.virtual_time import run_in_virtual_time
from loomwind.messages import AnyMessage
from loomwind.messages.serving import ConfigurationCopy
from loomwind.metrics import Metrics
from loomwind.peering.transport import PeerTransport
from loomwind.platform.documents import PlatformDocumentParser
from loomwind.serving.configuration_gossip import ConfigurationGossip
from loomwind.serving.follower import StoreHealth
from loomwind.serving.peers import PeerTable
from loomwind.serving.pool import ServerPool
from loomwind.serving.ports import Snapshot, StoredRow
from loomwind.serving.replicated_state import ReplicatedState
from loomwind.settings import BoundSettings

SETTLE_SECONDS = 0.2


class EmptyPeerTable:
    """A peer table without peers."""

    def gossip_targets(self) -> list[Any]:
        """Return no peers."""
        return []


class InvalidCopyTransport:
    """Peers whose copies contain a document of the wrong type."""

    def __init__(self) -> None:
        self.queried: list[str] = []

    async def call(self, address: str, message: AnyMessage, timeout: float) -> AnyMessage:
        """Respond with an invalid copy."""
        self.queried.append(address)
        return ConfigurationCopy(9, cast(bytes, None))


@when("a peer announces version 4 with an invalid copy, and then another peer version 5")
def step_bad_copy(context: Any) -> None:
    context.copies = InvalidCopyTransport()
    run_in_virtual_time(_fetch(context))


async def _fetch(context: Any) -> None:
    replicated_state = ReplicatedState(
        PlatformDocumentParser(), "config", ServerPool(BoundSettings()), StoreHealth(), Metrics()
    )
    row = StoredRow("config", context.version, configuration_document(context.version))
    replicated_state.on_configuration_rows(Snapshot((row,), context.version), True)
    gossip = ConfigurationGossip(
        "own:1",
        cast(PeerTransport, context.copies),
        cast(PeerTable, EmptyPeerTable()),
        replicated_state,
    )
    task = asyncio.ensure_future(gossip.run())
    for address, version in (("peer:1", 4), ("peer:2", 5)):
        gossip.record_peer_version(address, version)
        await asyncio.sleep(SETTLE_SECONDS)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


@then("it has queried both peers")
def step_both(context: Any) -> None:
    assert context.copies.queried == ["peer:1", "peer:2"], context.copies.queried
