"""Steps for daemons that tell each other of crashes and answers, in virtual time."""

import asyncio
import random
from typing import Any, cast

from attrs import define, field
from behave import given, then, when

from features.support.virtual_time import run_in_virtual_time
from loomwind.messages import AnyMessage
from loomwind.messages.serving import PromptCrashes, PromptsAnswered
from loomwind.peering.transport import PeerTransport
from loomwind.serving.peers import PeerEntry, PeerTable
from loomwind.serving.prompt_guard import PromptGuard
from loomwind.serving.views import CallerRequest

MAX_DELAY_SECONDS = 0.01
# Far beyond the time that a message takes over all daemons.
QUIET_SECONDS = 5.0
# Ends a conversation that would never end.
MAX_MESSAGES = 5000


@define
class GossipNetwork:
    """Delivers messages with random delays.

    :ivar sent: how many were sent.
    """

    guards: dict[str, PromptGuard] = field(factory=dict)
    source: random.Random = field(factory=lambda: random.Random(7))
    sent: int = 0

    def send(self, address: str, message: AnyMessage) -> None:
        """Deliver a message later, as a peer transport does."""
        self.sent += 1
        if self.sent < MAX_MESSAGES:
            delay = self.source.uniform(0.0, MAX_DELAY_SECONDS)
            asyncio.get_running_loop().call_later(delay, self._deliver, address, message)

    def _deliver(self, address: str, message: AnyMessage) -> None:
        match message:
            case PromptCrashes():
                self.guards[address].on_crashes(message)
            case PromptsAnswered():
                self.guards[address].on_answered(message)


@define
class GossipPeers:
    """The peers of one daemon, all of which it tells."""

    own: str
    names: list[str]

    def gossip_targets(self) -> list[PeerEntry]:
        """Return all other daemons."""
        return [PeerEntry(name, "z", name) for name in self.names if name != self.own]


@given("{count:d} daemons that tell each other of crashes and answers")
def step_daemons(context: Any, count: int) -> None:
    context.names = [f"daemon-{number}" for number in range(count)]


@when(
    "a server crashes under the request {name:w} at the first daemon, "
    "and the second one answers it after {delay:d} ms"
)
def step_crash_and_answer(context: Any, name: str, delay: int) -> None:
    context.network = GossipNetwork()
    context.caller = CallerRequest("id", "host", 5.0, fingerprint=name)
    run_in_virtual_time(_converse(context, delay))


async def _converse(context: Any, delay_ms: int) -> None:
    network = context.network
    for name in context.names:
        peers = cast(PeerTable, GossipPeers(name, context.names))
        network.guards[name] = PromptGuard(name, cast(PeerTransport, network), peers)
    first, second = (network.guards[name] for name in context.names[:2])
    first.record_crash(context.caller, "i-1", 0.0, is_early=True)
    await asyncio.sleep(delay_ms / 1000)
    second.record_answered(context.caller, is_by_one_server=True)
    await asyncio.sleep(QUIET_SECONDS)
    context.sent = network.sent
    context.suspecting = [
        name for name, guard in network.guards.items() if guard.is_suspected(context.caller)
    ]


@then("the daemons fall silent after at most {count:d} messages")
def step_silent(context: Any, count: int) -> None:
    assert context.sent <= count, context.sent


@then("no daemon suspects the request {name:w}")
def step_no_suspicion(context: Any, name: str) -> None:
    assert not context.suspecting, context.suspecting
